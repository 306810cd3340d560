//! The rules of voting, commit and lease, as functions of plain facts.

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// The end of a log: the term counts before the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term of the last entry.
    pub term: u64,
    /// The index of the last entry.
    pub index: u64,
}

/// What a voter knows when it is asked for a vote.
#[derive(Debug, Clone, Copy)]
pub struct VoterState {
    /// Its term.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<NodeId>,
    /// The end of its log.
    pub last: LogPosition,
    /// Whether it leads, or has heard a leader so lately that a lease may last.
    pub lease_may_last: bool,
}

/// Says whether a voter gives its vote in `term` to a candidate whose log ends at `last`.
///
/// Invariants: one vote a term; never for a log that ends before the voter's own; never while
/// another's lease may last.
pub fn grant_vote(facts: &VoterState, term: u64, candidate: NodeId, last: LogPosition) -> bool {
    if facts.lease_may_last || term < facts.term || last < facts.last {
        return false;
    }
    let free = term > facts.term || facts.vote.is_none();
    free || facts.vote == Some(candidate)
}

/// Returns the greatest index that a majority has synced, given what each voter has synced.
pub fn quorum_index(mut synced: Vec<u64>) -> u64 {
    synced.sort_unstable();
    match synced.len() {
        0 => 0,
        count => synced[(count - 1) / 2],
    }
}

/// Returns the latest instant at which a majority was known to follow, given the sending times of
/// the last heartbeat that each voter answered; nothing where no majority answered yet.
pub fn quorum_instant<T: Ord + Copy>(mut answered: Vec<Option<T>>) -> Option<T> {
    answered.sort_unstable();
    match answered.len() {
        0 => None,
        count => answered[(count - 1) / 2],
    }
}
