//! Computes the share of an account's fleet-wide limits that one host enforces.
//!
//! The hosts of a data hall publish the demand of each account to each other. The hall gets the
//! share of its hosts in the fleet; within the hall, the share of a host follows the demand of the
//! account there.

/// The minimum share of a host, as a fraction of an even share of the hall's part. It admits the
/// first requests of an account before the hall has learned of its demand at this host.
const MIN_EVEN_SHARE_FRACTION: f64 = 0.25;

/// The inputs of a host for its share of one account's limits.
#[derive(Debug, Clone, Copy)]
pub struct ShareInputs {
    /// The number of live entry hosts in the complete fleet.
    pub fleet_hosts: u32,
    /// The number of configured entry hosts of the hall, including this one.
    pub hall_hosts: u32,
    /// The number of other entry hosts of the hall from which heartbeats are received.
    pub live_peers: u32,
    /// The recent demand of the account at this host, in requests.
    pub local_demand: f64,
    /// The total recent demand of the account at the live peers, in requests.
    pub peer_demand: f64,
}

/// Returns the share of the account's limits that this host enforces.
///
/// A host of the hall without heartbeats may be down, or unreachable but serving. It counts with an
/// even share, so that a network partition within a hall does not assign a share twice.
pub fn compute_share(inputs: &ShareInputs) -> f64 {
    let hall = inputs.hall_hosts.max(1);
    let fleet = inputs.fleet_hosts.max(hall);
    let hall_part = f64::from(hall) / f64::from(fleet);
    let even = 1.0 / f64::from(hall);
    let present = inputs.live_peers.min(hall - 1) + 1;
    let present_part = f64::from(present) * even;
    let demand = inputs.local_demand + inputs.peer_demand;
    if demand <= 0.0 {
        return hall_part * even;
    }
    let by_demand = present_part * inputs.local_demand / demand;
    hall_part * by_demand.max(even * MIN_EVEN_SHARE_FRACTION)
}
