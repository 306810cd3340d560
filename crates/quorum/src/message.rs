//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::{LogEntry, LogPosition, Members, NodeId};

/// A request and its addressee. A replica refuses requests to another identity, so a host whose
/// disk was wiped can never reply as its former self.
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
    /// Whether every voter replied that it neither leads nor has been in contact with a leader
    /// since it started, so that no lease can be valid.
    pub leaderless: bool,
}

/// A request between replicas.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Queries whether the peer would grant its vote; changes no state.
    PreVote(VoteRequest),
    /// Requests the peer's vote.
    Vote(VoteRequest),
    /// A heartbeat of the leader.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// The leader's commit index.
        commit: u64,
    },
    /// Appends entries after a position.
    AppendEntries {
        /// The leader's term.
        term: u64,
        /// The position that the entries follow.
        previous: LogPosition,
        /// The entries; empty to probe whether the logs match at `previous`.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: u64,
    },
    /// Installs a chunk of a snapshot.
    InstallSnapshot {
        /// The leader's term.
        term: u64,
        /// The last entry covered by the snapshot.
        last: LogPosition,
        /// The members at that entry.
        members: Members,
        /// Offset of the chunk in the snapshot, in bytes.
        offset: u64,
        /// The bytes of the chunk.
        #[serde(with = "serde_bytes")]
        chunk: Vec<u8>,
        /// Whether this is the last chunk.
        done: bool,
    },
}

/// A reply between replicas.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to a vote or pre-vote request.
    Vote {
        /// The voter's term.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
        /// Whether the voter neither leads nor has been in contact with a leader since it started.
        leaderless: bool,
    },
    /// Reply to a heartbeat, to a chunk that is not the last one, or to a chunk of a leader whose
    /// term is over.
    Acknowledged {
        /// The peer's term.
        term: u64,
    },
    /// The peer has synced all entries through an index.
    Matched {
        /// The peer's term.
        term: u64,
        /// The index.
        index: u64,
    },
    /// The logs do not match at the given position; the leader retries from an earlier index.
    Mismatch {
        /// The peer's term.
        term: u64,
        /// The index to retry from.
        next: u64,
    },
    /// Another replica runs at this address, so the addressed one no longer exists there.
    WrongReplica,
    /// The peer belongs to another cluster, its disk refused a write, or it did not accept the
    /// request.
    Refused,
}

#[cfg(test)]
mod tests;
