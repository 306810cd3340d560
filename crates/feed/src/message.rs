//! Messages between a source of the table and a follower.

use linnet_table::{RowKey, TableChange, VersionedRow};
use serde::{Deserialize, Serialize};

/// A follower's first message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowHello {
    /// The version that the follower has in force; 0 for none.
    pub have_version: u64,
}

/// What a follower sends now and then: itself and the hosts of its hall that it hears.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowReport {
    /// The hosts.
    pub hosts: Vec<HostReport>,
}

/// What is known of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The name of the host.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Where operators reach it.
    pub ops: String,
    /// The version in force there; 0 for none.
    pub version: u64,
    /// How long ago it was heard, in milliseconds.
    pub age_ms: u64,
}

/// What a source sends.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum FeedMessage {
    /// One change; it makes `version` out of the version before.
    Delta {
        /// The version that the change makes.
        version: u64,
        /// The change.
        change: TableChange,
    },
    /// The whole table begins; rows follow.
    ImageStart,
    /// Rows of the whole table.
    ImageRows(Vec<VersionedRow>),
    /// The whole table is there.
    ImageEnd {
        /// Its version.
        version: u64,
        /// Deletions that are remembered.
        tombstones: Vec<(RowKey, u64)>,
    },
    /// Nothing new; the source lives and has this version.
    Heartbeat {
        /// The version of the source.
        version: u64,
        /// Entry hosts that live in the whole fleet, as far as the source knows; 0 for unknown.
        entry_hosts: u32,
    },
}
