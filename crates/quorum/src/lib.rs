//! Consensus over a replicated log: terms, pre-vote, commit after sync, leases, membership changes.
//!
//! - [`Replica`] is the handle: it starts the tasks, accepts proposals and serves peers.
//! - [`StateMachineHooks`] is the state machine that committed commands are applied to.
//! - [`Members`] are the voters and learners; [`MemberChange`] changes one of them at a time.
//! - [`grant_vote`], [`quorum_index`] and [`quorum_instant`] are the safety rules, as pure
//!   functions so that tests can check them over many inputs.

mod election;
mod log;
mod member;
mod message;
mod propose;
mod replica;
mod replicate;
mod rule;
mod serve;
mod state;
mod state_machine;
mod storage;
mod timing;

pub use log::{LogEntry, LogPayload};
pub use member::{Member, MemberChange, MemberError, Members, NodeId};
pub use message::{PeerReply, PeerRequest, VoteRequest};
pub use propose::ProposeError;
pub use replica::{FormError, Replica, ReplicaConfig, ReplicaStatus, Role, StartError};
pub use rule::{LogPosition, VoterState, grant_vote, quorum_index, quorum_instant};
pub use serve::serve_peer;
pub use state_machine::StateMachineHooks;
pub use timing::QuorumTiming;
