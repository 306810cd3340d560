//! Proposals: appending them to the log and applying them to the state machine once committed.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::log::LogPayload;
use crate::replica::ReplicaShared;
use crate::state::{ProposalWaiter, ReplicaState, SyncTicket};
use crate::{LogPosition, Member, MemberChange, MemberError, Role};

/// Maximum number of pending proposals; more are refused.
const MAX_PENDING_PROPOSALS: usize = 4_096;

/// Maximum time that a proposal waits for its commit.
pub(crate) const COMMIT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Why a proposal has no result.
#[derive(Debug, Clone, Display, derive_more::Error, Serialize, Deserialize)]
pub enum ProposeError {
    /// This replica is not the leader, or its lease has expired. The proposal was not accepted.
    #[display("not the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<Box<Member>>,
    },
    /// Too many proposals are pending. The proposal was not accepted.
    #[display("too many pending proposals")]
    Busy,
    /// The membership change is not valid. It was not accepted.
    #[display("{_0}")]
    #[error(ignore)]
    Members(MemberError),
    /// Another leader's entry replaced the proposal, which has no effect.
    #[display("replaced by an entry of another leader")]
    Lost,
    /// The proposal may or may not be committed later.
    #[display("the outcome of the proposal is unknown")]
    Unknown,
}

impl ReplicaShared {
    /// Appends a payload as the leader and waits for the result of the state machine.
    pub(crate) async fn propose_payload(
        &self,
        payload: LogPayload,
    ) -> Result<Vec<u8>, ProposeError> {
        let (result, ticket, position) = {
            let mut state = self.lock();
            self.check_accepts_proposals(&state)?;
            if let LogPayload::Members(_) = payload {
                check_membership_settled(&state).map_err(ProposeError::Members)?;
            }
            let index = state.append_as_leader(payload);
            let (result_sender, result) = oneshot::channel();
            let term = state.term;
            state.proposals.insert(
                index,
                ProposalWaiter {
                    term,
                    result_sender,
                },
            );
            let ticket = state.flush(&self.writer);
            (result, ticket, LogPosition { term, index })
        };
        self.notify_change();
        if self.wait_until_synced(ticket, position).await.is_err() {
            self.lock().proposals.remove(&position.index);
            return Err(ProposeError::Unknown);
        }
        match timeout(COMMIT_TIMEOUT, result).await {
            Ok(Ok(result)) => result,
            _ => {
                self.lock().proposals.remove(&position.index);
                Err(ProposeError::Unknown)
            }
        }
    }

    /// Changes one member as the leader and waits for the commit.
    pub(crate) async fn propose_member_change(
        &self,
        change: &MemberChange,
    ) -> Result<(), ProposeError> {
        let members = {
            let state = self.lock();
            self.check_accepts_proposals(&state)?;
            state
                .members
                .with_change(change)
                .map_err(ProposeError::Members)?
        };
        self.propose_payload(LogPayload::Members(members)).await?;
        Ok(())
    }

    fn check_accepts_proposals(&self, state: &ReplicaState) -> Result<(), ProposeError> {
        if !state.has_valid_lease(&self.timing) {
            let leader = state.leader.filter(|id| *id != state.own_id);
            return Err(ProposeError::NotLeader {
                leader: leader
                    .and_then(|id| state.members.find(id))
                    .map(|member| Box::new(member.clone())),
            });
        }
        if state.proposals.len() >= MAX_PENDING_PROPOSALS {
            return Err(ProposeError::Busy);
        }
        Ok(())
    }

    /// Waits until records are synced and advances the synced index.
    ///
    /// `position` is the last entry among the records. It is counted only if the log still contains
    /// it: a newer leader may have replaced it in the meantime.
    pub(crate) async fn wait_until_synced(
        &self,
        ticket: SyncTicket,
        position: LogPosition,
    ) -> Result<(), String> {
        let outcome = ticket.synced.await;
        let mut state = self.lock();
        match outcome {
            Ok(Ok(())) => {
                if state.log.term_at(position.index) == Some(position.term) {
                    state.synced = state.synced.max(position.index);
                }
                if state.advance_commit() {
                    drop(state);
                    self.notify_change();
                }
                Ok(())
            }
            Ok(Err(refusal)) if !ticket.has_records => Err(refusal),
            Ok(Err(refusal)) => {
                state.roll_back_unsynced(&self.timing);
                self.writer.resume();
                drop(state);
                self.record_disk_refusal(&refusal);
                self.notify_change();
                Err(refusal)
            }
            // The journal thread has ended, which ends the process.
            Err(_) => Err("the journal thread has ended".to_owned()),
        }
    }

    /// Applies every committed entry that is not yet applied.
    pub(crate) fn apply_committed(&self) {
        let mut machine = self.lock_machine();
        loop {
            let entry = {
                let state = self.lock();
                let next = machine.applied.index + 1;
                let next_entry = (next <= state.commit).then(|| state.log.get(next).cloned());
                match next_entry.flatten() {
                    Some(entry) => entry,
                    None => return,
                }
            };
            let result = match &entry.payload {
                LogPayload::Command(command) => (machine.hooks.apply)(entry.index, command),
                LogPayload::Members(_) | LogPayload::Noop => Vec::new(),
            };
            machine.applied = LogPosition {
                term: entry.term,
                index: entry.index,
            };
            let mut state = self.lock();
            resolve_proposal(&mut state, entry.index, entry.term, result);
            self.step_down_if_removed(&mut state, entry.index);
        }
    }

    // A leader that was removed as a voter keeps leading until the entry that removes it is
    // committed.
    fn step_down_if_removed(&self, state: &mut ReplicaState, applied: u64) {
        let removed = applied >= state.members_index && !state.members.is_voter(state.own_id);
        if state.role == Role::Leader && removed {
            state.step_down(state.term, &self.timing);
        }
    }
}

fn resolve_proposal(state: &mut ReplicaState, index: u64, term: u64, result: Vec<u8>) {
    if let Some(waiter) = state.proposals.remove(&index) {
        let result = if waiter.term == term {
            Ok(result)
        } else {
            Err(ProposeError::Lost)
        };
        let _ = waiter.result_sender.send(result);
    }
}

// The majorities of two overlapping membership changes may be disjoint. For the same reason a new
// leader must first have committed an entry of its own term.
fn check_membership_settled(state: &ReplicaState) -> Result<(), MemberError> {
    let own_term_committed = state.log.term_at(state.commit) == Some(state.term);
    if state.members_index > state.commit || !own_term_committed {
        return Err(MemberError::Pending);
    }
    Ok(())
}
