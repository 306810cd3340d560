//! Which share of an account's fleet-wide limits one host enforces.
//!
//! The hosts of a data hall tell each other how much each account asks of them. The hall has the
//! share of its hosts in the fleet; inside the hall an account's share follows its demand.

/// The least share of a hall's part that a host keeps for an account that hardly asks of it, as a
/// part of an even share; it lets a first request in before the hall has heard of it.
const LEAST_OF_EVEN: f64 = 0.25;

/// What a host knows when it computes its share for one account.
#[derive(Debug, Clone, Copy)]
pub struct ShareFacts {
    /// Entry hosts that live in the whole fleet.
    pub fleet: u32,
    /// Entry hosts that the hall is set up with, this one among them.
    pub hall: u32,
    /// Other hosts of the hall that are heard now.
    pub heard: u32,
    /// What the account asks of this host, in requests of late.
    pub own_demand: f64,
    /// What it asks of the hosts that are heard, together.
    pub heard_demand: f64,
}

/// Returns the share of the account's limits that this host enforces.
///
/// A host of the hall that is not heard may be down, or cut off and serving: it counts with an even
/// share, so that a cut inside a hall gives nothing out twice.
pub fn share_of(facts: &ShareFacts) -> f64 {
    let hall = facts.hall.max(1);
    let fleet = facts.fleet.max(hall);
    let hall_part = f64::from(hall) / f64::from(fleet);
    let even = 1.0 / f64::from(hall);
    let present = facts.heard.min(hall - 1) + 1;
    let present_part = f64::from(present) * even;
    let demand = facts.own_demand + facts.heard_demand;
    if demand <= 0.0 {
        return hall_part * even;
    }
    let by_demand = present_part * facts.own_demand / demand;
    hall_part * by_demand.max(even * LEAST_OF_EVEN)
}
