//! The handle of a replica: start, status, cluster formation, log compaction.

use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Display;
use linnet_journal::{DataFolder, DiskOps, Journal, JournalError, JournalWriter};
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::PeerIdentity;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::state::ReplicaState;
use crate::state_machine::AppliedStateMachine;
use crate::storage::{StoredSnapshot, encode, restore_state};
use crate::{
    LogEntry, LogPayload, LogPosition, MemberChange, Members, NodeId, ProposeError, QuorumTiming,
    StateMachineHooks, election, replicate,
};

/// Number of entries in memory at which a snapshot is taken.
const SNAPSHOT_LOG_ENTRIES: u64 = 2_000;

/// Size of the entries in memory at which a snapshot is taken; the journal has about the same size.
const SNAPSHOT_LOG_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of the entries that are retained alongside a snapshot.
const RETAINED_LOG_BYTES: usize = 1024 * 1024;

/// Maximum number of entries that are retained alongside a snapshot, so that a replica that lags
/// slightly receives entries instead of the snapshot.
const RETAINED_LOG_ENTRIES: u64 = 500;

/// The role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Role {
    /// Follows a leader, or waits for one.
    #[display("follower")]
    Follower,
    /// Requests votes.
    #[display("candidate")]
    Candidate,
    /// Leads its term.
    #[display("leader")]
    Leader,
}

/// The configuration of a replica.
pub struct ReplicaConfig {
    /// Name, keys and clock for connections to peers.
    pub identity: PeerIdentity,
    /// The recorder of events.
    pub recorder: Arc<EventRecorder>,
    /// The timing parameters.
    pub timing: QuorumTiming,
    /// The file operations.
    pub disk: DiskOps,
    /// Called if the disk fails permanently; must end the process.
    pub on_fatal: Box<dyn FnOnce(JournalError) + Send>,
}

/// The status of a replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// The identity of the replica.
    pub id: NodeId,
    /// The cluster, once joined.
    pub cluster: Option<u64>,
    /// Number of times that a process has opened its data folder.
    pub incarnation: u64,
    /// The current term.
    pub term: u64,
    /// The current role.
    pub role: Role,
    /// Whether it leads with a valid lease at the time of the call.
    pub lease_lasts: bool,
    /// The known leader.
    pub leader: Option<NodeId>,
    /// The last position of its log.
    pub last: LogPosition,
    /// The last index known to be committed.
    pub commit: u64,
    /// The members in force.
    pub members: Members,
}

/// Why a replica could not start.
#[derive(Debug, Display, derive_more::Error, derive_more::From)]
pub enum StartError {
    /// The data folder cannot be used.
    #[display("{_0}")]
    Journal(JournalError),
    /// The system provided no random number for a new identity.
    #[display("cannot generate a random identity")]
    #[from(ignore)]
    NoRandom,
}

/// Why a cluster could not be formed.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error, Serialize, Deserialize)]
pub enum FormError {
    /// The replica belongs to another cluster.
    #[display("the replica belongs to cluster {_0:016x}")]
    #[error(ignore)]
    OtherCluster(u64),
    /// The founders do not include this replica's identity.
    #[display("replica {_0} is not among the founders")]
    #[error(ignore)]
    NotAFounder(NodeId),
    /// The disk refused a write.
    #[display("the disk refused the write: {_0}")]
    #[error(ignore)]
    Disk(String),
}

/// The state shared by all tasks of a replica.
pub(crate) struct ReplicaShared {
    pub(crate) identity: PeerIdentity,
    pub(crate) recorder: Arc<EventRecorder>,
    pub(crate) timing: QuorumTiming,
    pub(crate) writer: JournalWriter,
    state: Mutex<ReplicaState>,
    machine: Mutex<AppliedStateMachine>,
    folder: Mutex<DataFolder>,
    changed: watch::Sender<u64>,
    compacting: std::sync::atomic::AtomicBool,
}

/// A replica of the log. Cheap to clone; its tasks run until the process ends.
#[derive(Clone)]
pub struct Replica {
    pub(crate) shared: Arc<ReplicaShared>,
}

impl Replica {
    /// Opens the data folder, recovers its contents and starts the tasks on this runtime.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the folder is held by another process, corrupt or unreadable.
    pub fn start(
        folder: &Path,
        hooks: StateMachineHooks,
        config: ReplicaConfig,
    ) -> Result<Self, StartError> {
        let new_identity = getrandom::u64().map_err(|_| StartError::NoRandom)?;
        let folder = DataFolder::open(folder, new_identity)?;
        let (journal, recovered) = Journal::open(&folder, config.disk)?;
        let torn_bytes = recovered.torn_bytes;
        let stored = restore_state(recovered)?;
        let mark = folder.metadata();
        let mut state = ReplicaState::new(NodeId(mark.identity), mark.cluster, &config.timing);
        let mut machine = AppliedStateMachine {
            hooks,
            applied: LogPosition::default(),
        };
        if let Some(snapshot) = &stored.snapshot {
            (machine.hooks.restore)(&snapshot.state);
            machine.applied = snapshot.last;
            state.commit = snapshot.last.index;
        }
        state.term = stored.term;
        state.vote = stored.vote;
        state.synced = stored.log.last().index;
        state.log = stored.log;
        state.base_members = stored.base_members;
        state.reload_members();
        let detail = format!(
            "identity={} term={} last={} torn_bytes={torn_bytes}",
            state.own_id, state.term, state.synced
        );
        config
            .recorder
            .record(EventCode::JournalRecovered, "", detail);
        let shared = Arc::new(ReplicaShared {
            identity: config.identity,
            recorder: config.recorder,
            timing: config.timing,
            writer: JournalWriter::new(journal, config.on_fatal),
            state: Mutex::new(state),
            machine: Mutex::new(machine),
            folder: Mutex::new(folder),
            changed: watch::Sender::new(0),
            compacting: std::sync::atomic::AtomicBool::new(false),
        });
        ntex::rt::spawn(election::run_elections(shared.clone()));
        ntex::rt::spawn(replicate::run_membership(shared.clone()));
        ntex::rt::spawn(run_apply_loop(shared.clone()));
        Ok(Self { shared })
    }

    /// Proposes a command and returns the result of the state machine once it is committed.
    ///
    /// # Errors
    ///
    /// [`ProposeError`]; the outcome is open only for [`ProposeError::Unknown`].
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        self.shared
            .propose_payload(LogPayload::Command(command))
            .await
    }

    /// Changes one member and returns once the change is committed.
    ///
    /// # Errors
    ///
    /// [`ProposeError`].
    pub async fn change_members(&self, change: &MemberChange) -> Result<(), ProposeError> {
        self.shared.propose_member_change(change).await
    }

    /// Makes this blank replica a founder of a cluster. Repeated calls give the same result.
    ///
    /// # Errors
    ///
    /// [`FormError`]; the replica is unchanged.
    pub async fn form_cluster(&self, cluster: u64, founders: Members) -> Result<(), FormError> {
        let (ticket, position) = {
            let mut state = self.shared.lock();
            if !founders.is_voter(state.own_id) {
                return Err(FormError::NotAFounder(state.own_id));
            }
            match state.cluster {
                Some(other) if other != cluster => return Err(FormError::OtherCluster(other)),
                // An earlier call may still wait for its sync.
                Some(_) if state.log.last().index > 0 => {}
                _ => {
                    self.shared
                        .join_cluster(&mut state, cluster)
                        .map_err(FormError::Disk)?;
                    // All founders have the same first entry, so any of them may become leader.
                    state.set_ballot(1, None);
                    state.append_entry(LogEntry {
                        index: 1,
                        term: 1,
                        payload: LogPayload::Members(founders),
                    });
                }
            }
            (
                state.flush(&self.shared.writer),
                LogPosition { term: 1, index: 1 },
            )
        };
        self.shared
            .wait_until_synced(ticket, position)
            .await
            .map_err(FormError::Disk)
    }

    /// Returns whether this replica leads and its lease is valid now. If so, authoritative reads
    /// that began before the call may be served.
    pub fn has_valid_lease(&self) -> bool {
        self.shared.lock().has_valid_lease(&self.shared.timing)
    }

    /// Returns the term, which is the fencing token of a leader's orders.
    pub fn term(&self) -> u64 {
        self.shared.lock().term
    }

    /// Returns the index of the last entry applied to the state machine.
    pub fn applied_index(&self) -> u64 {
        self.shared.lock_machine().applied.index
    }

    /// Returns whether the state machine has applied everything committed before the current term,
    /// as known to the leader of that term. Until then a replica that has just started may hold
    /// older state than was acknowledged.
    pub fn has_applied_current_term(&self) -> bool {
        let applied = self.applied_index();
        let state = self.shared.lock();
        state.leader.is_some() && state.log.term_at(applied) == Some(state.term)
    }

    /// Returns whether this replica leads, or was in contact with a leader within the maximum
    /// election timeout.
    pub fn has_recent_leader(&self) -> bool {
        let state = self.shared.lock();
        let timing = &self.shared.timing;
        let has_contact = state.leader_seen_since_start
            && state.last_leader_contact.elapsed() < timing.max_election_timeout;
        has_contact || state.has_valid_lease(timing)
    }

    /// Returns the status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        let incarnation = self.shared.lock_folder().metadata().incarnation;
        let state = self.shared.lock();
        ReplicaStatus {
            id: state.own_id,
            cluster: state.cluster,
            incarnation,
            term: state.term,
            role: state.role,
            lease_lasts: state.has_valid_lease(&self.shared.timing),
            leader: state.leader,
            last: state.log.last(),
            commit: state.commit,
            members: state.members.clone(),
        }
    }

    /// Returns the voters that have not replied to this leader for `span`, the longest silent
    /// first; empty if this replica does not lead.
    pub fn silent_voters(&self, span: std::time::Duration) -> Vec<NodeId> {
        let state = self.shared.lock();
        if !state.has_valid_lease(&self.shared.timing) {
            return Vec::new();
        }
        let voters = state.members.voters.iter().map(|voter| voter.id);
        let others = voters.filter(|id| *id != state.own_id);
        let mut voters_by_silence: Vec<_> = others
            .map(|id| (state.silence_of(id), id))
            .filter(|(silence, _)| *silence >= span)
            .collect();
        voters_by_silence.sort_by(|a, b| b.cmp(a));
        voters_by_silence.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns a receiver that is notified whenever the log, the commit index or the role may have
    /// changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }
}

impl ReplicaShared {
    // A panic leaves consistent values behind each lock, so a poisoned lock is still used.
    pub(crate) fn lock(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state machine. Lock order: state machine before state.
    pub(crate) fn lock_machine(&self) -> MutexGuard<'_, AppliedStateMachine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_folder(&self) -> MutexGuard<'_, DataFolder> {
        self.folder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notifies all tasks that wait for a change.
    pub(crate) fn notify_change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Persists the cluster in the data folder, once in the lifetime of a replica.
    pub(crate) fn join_cluster(
        &self,
        state: &mut ReplicaState,
        cluster: u64,
    ) -> Result<(), String> {
        if state.cluster != Some(cluster) {
            let joined = self.lock_folder().set_cluster(cluster);
            joined.map_err(|error| error.to_string())?;
            state.cluster = Some(cluster);
        }
        Ok(())
    }

    pub(crate) fn record_disk_refusal(&self, refusal: &str) {
        self.recorder
            .record(EventCode::DiskRefused, "", refusal.to_owned());
    }

    /// Takes a snapshot if the log has become large, and removes the entries that the snapshot
    /// covers.
    async fn compact_if_large(&self) {
        let job = {
            let mut machine = self.lock_machine();
            let mut state = self.lock();
            let applied = machine.applied;
            let entries = applied.index - state.log.base().index.min(applied.index);
            let is_large = entries > 0 && state.log.bytes() >= SNAPSHOT_LOG_BYTES;
            if entries < SNAPSHOT_LOG_ENTRIES && !is_large {
                return;
            }
            let keep_from = first_retained_index(&state, applied.index);
            let base = LogPosition {
                index: keep_from - 1,
                term: state.log.term_at(keep_from - 1).unwrap_or(0),
            };
            let snapshot = StoredSnapshot {
                last: applied,
                members: members_at(&state, applied.index),
                log_base: base,
                base_members: members_at(&state, base.index),
                state: (machine.hooks.snapshot)(),
            };
            let mut records = vec![state.ballot_record()];
            records.extend(
                state
                    .log
                    .from(keep_from)
                    .map(|entry| encode(&crate::storage::StoredRecord::Entry(entry.clone()))),
            );
            let ticket = self.writer.compact(encode(&snapshot), records);
            (ticket, base, snapshot.base_members)
        };
        let (ticket, base, base_members) = job;
        match ticket.await {
            Ok(Ok(())) => {
                let mut state = self.lock();
                if base.index > state.log.base().index {
                    state.log.compact_through(base.index);
                    state.base_members = base_members;
                }
                drop(state);
                let detail = format!("through={}", base.index);
                self.recorder.record(EventCode::SnapshotTaken, "", detail);
            }
            Ok(Err(refusal)) => self.record_disk_refusal(&refusal),
            Err(_) => {}
        }
    }
}

/// Returns the index of the first entry retained alongside a snapshot of the applied state.
fn first_retained_index(state: &ReplicaState, applied: u64) -> u64 {
    let mut first = applied + 1;
    let mut bytes = 0;
    let oldest = state.log.base().index + 1;
    while first > oldest && applied - (first - 1) < RETAINED_LOG_ENTRIES {
        bytes += state
            .log
            .get(first - 1)
            .map_or(0, LogEntry::estimated_bytes);
        if bytes > RETAINED_LOG_BYTES {
            break;
        }
        first -= 1;
    }
    first
}

/// Returns the members in force at an index that the log still covers.
pub(crate) fn members_at(state: &ReplicaState, index: u64) -> Members {
    let base = state.log.base().index;
    let named = state
        .log
        .from(base + 1)
        .take_while(|entry| entry.index <= index)
        .filter_map(|entry| match &entry.payload {
            LogPayload::Members(members) => Some(members),
            _ => None,
        });
    named.last().unwrap_or(&state.base_members).clone()
}

async fn run_apply_loop(shared: Arc<ReplicaShared>) {
    let mut changes = shared.subscribe();
    loop {
        let before = shared.lock_machine().applied.index;
        shared.apply_committed();
        if shared.lock_machine().applied.index != before {
            shared.notify_change();
            // The snapshot is taken in a separate task, so that a slow disk does not delay the
            // application of entries.
            let busy = &shared.compacting;
            if !busy.swap(true, std::sync::atomic::Ordering::AcqRel) {
                let shared = shared.clone();
                ntex::rt::spawn(async move {
                    shared.compact_if_large().await;
                    shared
                        .compacting
                        .store(false, std::sync::atomic::Ordering::Release);
                });
            }
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}
