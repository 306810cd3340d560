//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::{LogEntry, LogPosition, Members, NodeId};

/// A request with its address. A replica refuses what is meant for another identity, so a host
/// whose disk was wiped can never answer as its former self.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AddressedRequest {
    pub(crate) cluster: u64,
    pub(crate) from: NodeId,
    pub(crate) to: NodeId,
    pub(crate) request: PeerRequest,
}

/// A candidate's request for a vote.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term that the vote is for.
    pub term: u64,
    /// The end of the candidate's log.
    pub last: LogPosition,
    /// Whether every voter said that it neither leads nor has heard a leader since it started, so
    /// that no lease can last.
    pub leaderless: bool,
}

/// What one replica asks of another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Would the peer vote? Changes nothing.
    PreVote(VoteRequest),
    /// The peer's vote.
    Vote(VoteRequest),
    /// A leader's sign of life.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// The leader's commit index.
        commit: u64,
    },
    /// Entries that follow a position.
    AppendEntries {
        /// The leader's term.
        term: u64,
        /// The position that the entries follow.
        previous: LogPosition,
        /// The entries; empty to find out whether the logs agree there.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: u64,
    },
    /// A part of a snapshot.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The last entry that the snapshot holds.
        last: LogPosition,
        /// The members at that entry.
        members: Members,
        /// Where the part stands in the snapshot, in bytes.
        offset: u64,
        /// The bytes of the part.
        #[serde(with = "serde_bytes")]
        chunk: Vec<u8>,
        /// Whether the snapshot is whole with this part.
        done: bool,
    },
}

/// What a replica answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    /// To a vote or pre-vote.
    Vote {
        /// The voter's term.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
        /// Whether the voter neither leads nor has heard a leader since it started.
        leaderless: bool,
    },
    /// To a heartbeat.
    Acknowledged {
        /// The peer's term.
        term: u64,
    },
    /// The peer has synced all entries up to an index.
    Matched {
        /// The peer's term.
        term: u64,
        /// That index.
        index: u64,
    },
    /// The logs do not agree at the position given; try from an earlier index.
    Mismatch {
        /// The peer's term.
        term: u64,
        /// The index from which to try.
        next: u64,
    },
    /// Another replica runs at the address, so the one that was meant does not run any more.
    WrongReplica,
    /// The peer is of another cluster, or its disk refused.
    Refused,
}

#[cfg(test)]
mod tests;
