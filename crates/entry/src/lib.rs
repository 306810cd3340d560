//! The entry daemon: callers' HTTP interface, pipelines, targets.
//!
//! - [`EntrySettings`] are its settings; [`run_entry`] runs it.
//! - `caller` validates requests and builds responses; all errors are a [`CallerError`].
//! - `run` runs a request through its stages; `adapter` has one module for each external system.
//! - `hall` and `source` keep the table up to date, also while the hall is unreachable.
//! - `control_link` sends calls to the leading control host; `deferred` runs deferred requests.

pub mod adapter;
mod caller;
mod context;
mod control_link;
mod daemon;
mod deferred;
mod hall;
mod hosts;
mod ops;
mod run;
mod settings;
mod shares;
mod source;
mod stats;

pub use caller::{CallerError, ErrorCode, RanState};
pub use daemon::run_entry;
pub use ops::EntryStatus;
pub use settings::EntrySettings;
