//! Replication of the table to every host over peer connections.
//!
//! - [`TableFeed`] stores the table in force and the newest changes; versions are monotonic.
//! - [`serve_follower`] sends changes, or the complete table, to one follower.
//! - [`follow_source`] receives and applies them; [`HostReport`]s are sent in the other direction.

mod feed;
mod follow;
mod message;
mod serve;

pub use feed::{FeedStep, TableFeed, TableImage};
pub use follow::{FollowError, follow_source};
pub use message::{FeedMessage, FollowHello, FollowReport, HostReport};
pub use serve::serve_follower;
