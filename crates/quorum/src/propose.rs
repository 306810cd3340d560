//! Taking proposals and giving them to the state machine once they are committed.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::log::LogPayload;
use crate::replica::ReplicaShared;
use crate::state::{ReplicaState, Waiter};
use crate::{LogPosition, Member, MemberChange, MemberError, Role};

/// Proposals that may wait at one time; more are refused.
const MAX_WAITERS: usize = 4_096;

/// The longest time that a proposal waits for its commit.
pub(crate) const PROPOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Why a proposal has no answer.
#[derive(Debug, Clone, Display, derive_more::Error, Serialize, Deserialize)]
pub enum ProposeError {
    /// This replica does not lead, or its lease has lapsed. The proposal was not taken.
    #[display("not the leader")]
    NotLeader {
        /// The leader, where it is known.
        leader: Option<Box<Member>>,
    },
    /// Too many proposals wait. The proposal was not taken.
    #[display("too many proposals wait")]
    Busy,
    /// A change of members does not fit. It was not taken.
    #[display("{_0}")]
    #[error(ignore)]
    Members(MemberError),
    /// Another entry took the place of the proposal. It was not taken.
    #[display("another leader's entry took its place")]
    Lost,
    /// The proposal may be committed later, or never.
    #[display("the outcome is unknown")]
    Unknown,
}

impl ReplicaShared {
    /// Appends a payload as the leader and waits for the answer of the state machine.
    pub(crate) async fn propose_payload(
        &self,
        payload: LogPayload,
    ) -> Result<Vec<u8>, ProposeError> {
        let (answer, ticket, position) = {
            let mut state = self.lock();
            self.check_can_propose(&state)?;
            if let LogPayload::Members(_) = payload {
                check_members_settled(&state).map_err(ProposeError::Members)?;
            }
            let index = state.append_own(payload);
            let (done, answer) = oneshot::channel();
            let term = state.term;
            state.waiters.insert(index, Waiter { term, done });
            let ticket = state.flush(&self.writer);
            (answer, ticket, LogPosition { term, index })
        };
        self.bump();
        if self.await_synced(ticket, position).await.is_err() {
            self.lock().waiters.remove(&position.index);
            return Err(ProposeError::Unknown);
        }
        match timeout(PROPOSE_TIMEOUT, answer).await {
            Ok(Ok(result)) => result,
            _ => {
                self.lock().waiters.remove(&position.index);
                Err(ProposeError::Unknown)
            }
        }
    }

    /// Changes one member as the leader and waits for the commit.
    pub(crate) async fn propose_members(&self, change: &MemberChange) -> Result<(), ProposeError> {
        let members = {
            let state = self.lock();
            self.check_can_propose(&state)?;
            state.members.after(change).map_err(ProposeError::Members)?
        };
        self.propose_payload(LogPayload::Members(members)).await?;
        Ok(())
    }

    fn check_can_propose(&self, state: &ReplicaState) -> Result<(), ProposeError> {
        if !state.lease_lasts(&self.timing) {
            let leader = state.leader.filter(|id| *id != state.me);
            return Err(ProposeError::NotLeader {
                leader: leader
                    .and_then(|id| state.members.find(id))
                    .map(|member| Box::new(member.clone())),
            });
        }
        if state.waiters.len() >= MAX_WAITERS {
            return Err(ProposeError::Busy);
        }
        Ok(())
    }

    /// Waits until records are synced and counts them as synced.
    ///
    /// `position` is the last entry among them. It counts only while the log still holds it: a
    /// newer leader may have had it replaced meanwhile.
    pub(crate) async fn await_synced(
        &self,
        ticket: Option<linnet_journal::CommitReceiver>,
        position: LogPosition,
    ) -> Result<(), String> {
        let outcome = match ticket {
            Some(ticket) => ticket.await,
            None => Ok(Ok(())),
        };
        let mut state = self.lock();
        match outcome {
            Ok(Ok(())) => {
                if state.log.term_at(position.index) == Some(position.term) {
                    state.synced = state.synced.max(position.index);
                }
                if state.advance_commit() {
                    drop(state);
                    self.bump();
                }
                Ok(())
            }
            Ok(Err(refusal)) => {
                state.undo_refused(&self.timing);
                self.writer.resume();
                drop(state);
                self.note_refusal(&refusal);
                self.bump();
                Err(refusal)
            }
            // The journal thread has ended, which ends the process.
            Err(_) => Err("the journal has ended".to_owned()),
        }
    }

    /// Gives every committed entry that is due to the state machine.
    pub(crate) fn apply_committed(&self) {
        let mut machine = self.lock_machine();
        loop {
            let entry = {
                let state = self.lock();
                let next = machine.applied.index + 1;
                let due = (next <= state.commit).then(|| state.log.get(next).cloned());
                match due.flatten() {
                    Some(entry) => entry,
                    None => return,
                }
            };
            let answer = match &entry.payload {
                LogPayload::Command(command) => (machine.hooks.apply)(entry.index, command),
                LogPayload::Members(_) | LogPayload::Noop => Vec::new(),
            };
            machine.applied = LogPosition {
                term: entry.term,
                index: entry.index,
            };
            let mut state = self.lock();
            answer_waiter(&mut state, entry.index, entry.term, answer);
            self.leave_if_removed(&mut state, entry.index);
        }
    }

    // A leader that is no voter any more leads until the entry that says so is committed.
    fn leave_if_removed(&self, state: &mut ReplicaState, applied: u64) {
        let removed = applied >= state.members_index && !state.members.is_voter(state.me);
        if state.role == Role::Leader && removed {
            state.step_down(state.term, &self.timing);
        }
    }
}

fn answer_waiter(state: &mut ReplicaState, index: u64, term: u64, answer: Vec<u8>) {
    if let Some(waiter) = state.waiters.remove(&index) {
        let result = if waiter.term == term {
            Ok(answer)
        } else {
            Err(ProposeError::Lost)
        };
        let _ = waiter.done.send(result);
    }
}

// Two changes of members that overlap could have majorities that do not meet. A new leader must
// have committed an entry of its own term first, for the same reason.
fn check_members_settled(state: &ReplicaState) -> Result<(), MemberError> {
    let own_term_committed = state.log.term_at(state.commit) == Some(state.term);
    if state.members_index > state.commit || !own_term_committed {
        return Err(MemberError::Pending);
    }
    Ok(())
}
