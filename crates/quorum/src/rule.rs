//! The safety rules of voting, commit and lease, as pure functions.

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// A position in the log, ordered by term before index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term of the entry.
    pub term: u64,
    /// The index of the entry.
    pub index: u64,
}

/// The state of a voter on which its vote depends.
#[derive(Debug, Clone, Copy)]
pub struct VoterState {
    /// The current term of the voter.
    pub term: u64,
    /// The candidate it voted for in that term.
    pub voted_for: Option<NodeId>,
    /// The last position of its log.
    pub last: LogPosition,
    /// Whether it leads, or was in contact with a leader so recently that a lease may be valid.
    pub lease_may_last: bool,
}

/// Returns whether a voter grants its vote in `term` to a candidate whose log ends at `last`.
///
/// Invariants: at most one vote per term; never for a log that ends before the voter's own; never
/// while the lease of another replica may be valid.
pub fn grant_vote(voter: &VoterState, term: u64, candidate: NodeId, last: LogPosition) -> bool {
    if voter.lease_may_last || term < voter.term || last < voter.last {
        return false;
    }
    let free = term > voter.term || voter.voted_for.is_none();
    free || voter.voted_for == Some(candidate)
}

/// Returns the greatest index synced by a majority, given the synced index of each voter.
pub fn quorum_index(mut synced: Vec<u64>) -> u64 {
    synced.sort_unstable();
    match synced.len() {
        0 => 0,
        count => synced[(count - 1) / 2],
    }
}

/// Returns the latest instant at which a majority is known to have followed the leader, given the
/// sending time of the last heartbeat that each voter acknowledged; `None` without a majority.
pub fn quorum_instant<T: Ord + Copy>(mut acknowledged: Vec<Option<T>>) -> Option<T> {
    acknowledged.sort_unstable();
    match acknowledged.len() {
        0 => None,
        count => acknowledged[(count - 1) / 2],
    }
}
