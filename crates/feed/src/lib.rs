//! How a table comes into force on every host: a feed that is followed over peer connections.
//!
//! - [`TableFeed`] holds the table in force and the newest changes; versions only rise.
//! - [`serve_follower`] pushes changes, or the whole table, to one follower.
//! - [`follow_source`] takes them in; [`HostReport`]s travel the other way.

mod feed;
mod follow;
mod message;
mod serve;

pub use feed::{FeedStep, TableFeed, TableImage};
pub use follow::{FollowError, follow_source};
pub use message::{FeedMessage, FollowHello, FollowReport, HostReport};
pub use serve::serve_follower;
