//! What the host list tells of targets, and what operators see of them.

use std::net::SocketAddr;

/// One target as a host list names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetListing {
    /// Its name.
    pub name: String,
    /// The pool it belongs to.
    pub pool: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The data hall it stands in.
    pub hall: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What a read of the host list changed, by names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListingChange {
    /// Targets that are new or came back.
    pub listed: Vec<String>,
    /// Targets that began to leave.
    pub leaving: Vec<String>,
    /// Targets that a whole read no longer names.
    pub gone: Vec<String>,
}

/// What an operator sees of a target.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TargetReport {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// Its data hall.
    pub hall: String,
    /// `live`, `leaving`, `gone` or `ejected`.
    pub state: String,
    /// Requests of this host in flight there.
    pub in_flight: u32,
    /// The bound of those.
    pub window: u32,
}

/// What an operator sees of a pool.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PoolReport {
    /// Its name.
    pub name: String,
    /// Requests that wait.
    pub waiting: usize,
    /// The usual time of an attempt, in microseconds.
    pub usual_us: u64,
}
