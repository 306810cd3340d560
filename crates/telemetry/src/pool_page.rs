//! Reports of a coordinator to operators on the pools that it coordinates.

use serde::{Deserialize, Serialize};

/// Path, on the metrics port of an entry host, of the list of [`AccountShareLine`]s as JSON.
pub const ACCOUNT_SHARES_PATH: &str = "/account-shares";

/// Path, on the metrics port of an entry host, of the list of [`PoolQueueLine`]s as JSON.
pub const POOL_QUEUES_PATH: &str = "/pool-queues";

/// What one client account asks of one pool beside its share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountShareLine {
    /// Service of the pool.
    pub service: String,
    /// Priority of the account.
    pub account_priority: u8,
    /// Priority of the route.
    pub route_priority: u8,
    /// Name of the account; `None` for accounts without a record of their own, and for one that the
    /// configuration no longer has.
    pub account: Option<String>,
    /// Recent demand, in pieces per second.
    pub demand_per_s: f64,
    /// Usual demand, in pieces per second.
    pub usual_per_s: f64,
    /// Share of its requests that is admitted, in thousandths.
    pub admit_permille: u16,
}

impl AccountShareLine {
    /// Returns the demand that the share admits, in pieces per second.
    pub fn admitted_per_s(&self) -> f64 {
        self.demand_per_s * f64::from(self.admit_permille.min(1_000)) / 1_000.0
    }

    /// Returns the demand above the share, in pieces per second; 0 if everything is admitted.
    pub fn above_per_s(&self) -> f64 {
        self.demand_per_s - self.admitted_per_s()
    }
}

/// The pieces of one rank that wait for one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolQueueLine {
    /// Service of the pool.
    pub service: String,
    /// Priority of the account.
    pub account_priority: u8,
    /// Priority of the route.
    pub route_priority: u8,
    /// Queued pieces, and those that admitted requests are expected to submit.
    pub pieces: u32,
    /// Targets of the pool that accept calls.
    pub targets: u32,
    /// Those of them that are free.
    pub free: u32,
}
