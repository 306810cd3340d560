//! Which software version began a stream. Versions write events that do not fit together, so a
//! stream may go on only at a target of the version that began it. No sockets and no clock: callers
//! pass the time.
//!
//! - [`OriginTable`] holds the origins of streams that callers may take up again.
//! - [`VersionHistory`] holds the versions that a service has had lately.

mod origin_table;
mod stream_key;
mod version_history;

pub use origin_table::{OriginTable, StreamOrigin};
pub use stream_key::StreamKey;
pub use version_history::VersionHistory;
