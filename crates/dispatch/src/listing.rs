//! Targets as read from the host list, and the status of targets as shown to operators.

use std::net::SocketAddr;

/// A target as listed by the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetListing {
    /// The name of the target.
    pub name: String,
    /// The pool it belongs to.
    pub pool: String,
    /// Its network address.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The changes caused by a read of the host list, as target names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListingChange {
    /// Targets that are new, returned or changed their address.
    pub listed: Vec<String>,
    /// Targets that started leaving.
    pub leaving: Vec<String>,
    /// Targets that a complete read no longer lists.
    pub gone: Vec<String>,
}

/// The status of a target as shown to operators.
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
    /// The number of requests of this host in flight at the target.
    pub in_flight: u32,
    /// The limit of requests in flight.
    pub window: u32,
}

/// The status of a pool as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PoolReport {
    /// Its name.
    pub name: String,
    /// The number of queued requests.
    pub waiting: usize,
    /// The typical duration of an attempt, in microseconds.
    pub usual_us: u64,
}
