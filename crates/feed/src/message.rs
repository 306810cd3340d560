//! Messages between a source of the table and a follower.

use linnet_table::{RowKey, TableChange, VersionedRow};
use serde::{Deserialize, Serialize};

/// First message of a follower.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowHello {
    /// Version in force at the follower; 0 for none.
    pub have_version: u64,
}

/// Periodic report of a follower on itself and the reachable hosts of its data hall.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowReport {
    /// Reports on the hosts.
    pub hosts: Vec<HostReport>,
}

/// State of one host, as last reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// Name of the host.
    pub name: String,
    /// Data hall of the host.
    pub hall: String,
    /// Address of the operators' port of the host.
    pub ops: String,
    /// Table version in force on the host; 0 for none.
    pub version: u64,
    /// Time since the host last sent a message, in milliseconds.
    pub age_ms: u64,
}

/// A message from a source to a follower.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum FeedMessage {
    /// One change, which turns the previous version into `version`.
    Delta {
        /// The version after the change.
        version: u64,
        /// The change.
        change: TableChange,
    },
    /// Start of a complete table; its rows follow.
    ImageStart,
    /// Part of the rows of a complete table.
    ImageRows(Vec<VersionedRow>),
    /// End of a complete table.
    ImageEnd {
        /// Version of the table.
        version: u64,
        /// Retained tombstones of deleted rows.
        tombstones: Vec<(RowKey, u64)>,
    },
    /// No new change; the source is alive and has this version.
    Heartbeat {
        /// Version of the source.
        version: u64,
        /// Number of live entry hosts in the complete deployment, as far as the source knows; 0 for
        /// unknown.
        entry_hosts: u32,
    },
}
