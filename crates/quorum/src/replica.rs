//! The handle of a replica: start, status, formation, compaction.

use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::Display;
use linnet_journal::{DataFolder, DiskOps, Journal, JournalError, JournalWriter};
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::PeerIdentity;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::machine::MachineCell;
use crate::state::ReplicaState;
use crate::storage::{StoredSnapshot, encode, restore_state};
use crate::{
    LogEntry, LogPayload, LogPosition, MachineHooks, MemberChange, Members, NodeId, ProposeError,
    QuorumTiming, election, replicate,
};

/// Entries in memory at which a snapshot is taken.
const SNAPSHOT_ENTRIES: u64 = 2_000;

/// Bytes of entries in memory at which a snapshot is taken; the journal holds about as many.
const SNAPSHOT_BYTES: usize = 4 * 1024 * 1024;

/// Bytes of entries that stay beside a snapshot.
const KEPT_BYTES: usize = 1024 * 1024;

/// Entries that stay beside a snapshot, so that a replica a little behind gets entries instead.
const KEPT_ENTRIES: u64 = 500;

/// What a replica is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Role {
    /// Follows a leader, or waits for one.
    #[display("follower")]
    Follower,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Leads its term.
    #[display("leader")]
    Leader,
}

/// What a replica needs to start.
pub struct ReplicaConfig {
    /// Name, keys and clock towards peers.
    pub identity: PeerIdentity,
    /// Where events go.
    pub recorder: Arc<EventRecorder>,
    /// The spans of time.
    pub timing: QuorumTiming,
    /// The file operations.
    pub disk: DiskOps,
    /// Runs when the disk fails for good; must end the process.
    pub on_fatal: Box<dyn FnOnce(JournalError) + Send>,
}

/// What a replica tells of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its identity.
    pub id: NodeId,
    /// Its cluster, once formed.
    pub cluster: Option<u64>,
    /// How often a process has opened its folder.
    pub incarnation: u64,
    /// Its term.
    pub term: u64,
    /// What it does.
    pub role: Role,
    /// Whether it leads and its lease lasts at the moment of asking.
    pub lease_lasts: bool,
    /// The leader that it knows of.
    pub leader: Option<NodeId>,
    /// The end of its log.
    pub last: LogPosition,
    /// The last index known to be committed.
    pub commit: u64,
    /// The members in force.
    pub members: Members,
}

/// Why a replica did not start.
#[derive(Debug, Display, derive_more::Error, derive_more::From)]
pub enum StartError {
    /// The data folder cannot be used.
    #[display("{_0}")]
    Journal(JournalError),
    /// The system gave no random number for a new identity.
    #[display("no random number for a new identity")]
    #[from(ignore)]
    NoRandom,
}

/// Why a cluster was not formed here.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error, Serialize, Deserialize)]
pub enum FormError {
    /// The replica belongs to another cluster.
    #[display("the replica belongs to cluster {_0:016x}")]
    #[error(ignore)]
    OtherCluster(u64),
    /// The founders do not name this replica's identity.
    #[display("the founders do not name this replica, which is {_0}")]
    #[error(ignore)]
    NotAFounder(NodeId),
    /// The disk refused.
    #[display("the disk refused: {_0}")]
    #[error(ignore)]
    Disk(String),
}

/// What all tasks of a replica share.
pub(crate) struct ReplicaShared {
    pub(crate) identity: PeerIdentity,
    pub(crate) recorder: Arc<EventRecorder>,
    pub(crate) timing: QuorumTiming,
    pub(crate) writer: JournalWriter,
    state: Mutex<ReplicaState>,
    machine: Mutex<MachineCell>,
    folder: Mutex<DataFolder>,
    changed: watch::Sender<u64>,
    compacting: std::sync::atomic::AtomicBool,
}

/// A replica of the log. Cheap to clone; tasks run until the process ends.
#[derive(Clone)]
pub struct Replica {
    pub(crate) shared: Arc<ReplicaShared>,
}

impl Replica {
    /// Opens the data folder, recovers what it holds and starts the tasks on this runtime.
    ///
    /// # Errors
    ///
    /// [`StartError`] when the folder is held, corrupt or cannot be read.
    pub fn start(
        folder: &Path,
        hooks: MachineHooks,
        config: ReplicaConfig,
    ) -> Result<Self, StartError> {
        let fresh = getrandom::u64().map_err(|_| StartError::NoRandom)?;
        let folder = DataFolder::open(folder, fresh)?;
        let (journal, recovered) = Journal::open(&folder, config.disk)?;
        let torn = recovered.torn_bytes;
        let stored = restore_state(recovered)?;
        let mark = folder.metadata();
        let mut state = ReplicaState::new(NodeId(mark.identity), mark.cluster, &config.timing);
        let mut machine = MachineCell {
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
        state.refresh_members();
        let detail = format!(
            "identity={} term={} last={} torn_bytes={torn}",
            state.me, state.term, state.synced
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
        ntex::rt::spawn(apply_as_committed(shared.clone()));
        Ok(Self { shared })
    }

    /// Proposes a command and returns what the state machine answered, once it is committed.
    ///
    /// # Errors
    ///
    /// [`ProposeError`]; only [`ProposeError::Unknown`] leaves the outcome open.
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
        self.shared.propose_members(change).await
    }

    /// Makes this blank replica a founder of a cluster. Asked again, it answers the same.
    ///
    /// # Errors
    ///
    /// [`FormError`]; the replica is as it was.
    pub async fn form(&self, cluster: u64, founders: Members) -> Result<(), FormError> {
        let (ticket, position) = {
            let mut state = self.shared.lock();
            if !founders.is_voter(state.me) {
                return Err(FormError::NotAFounder(state.me));
            }
            match state.cluster {
                Some(other) if other != cluster => return Err(FormError::OtherCluster(other)),
                Some(_) if state.log.last().index > 0 => return Ok(()),
                _ => self
                    .shared
                    .join_cluster(&mut state, cluster)
                    .map_err(FormError::Disk)?,
            }
            // Every founder holds the same first entry, so any of them may lead.
            state.set_ballot(1, None);
            state.append_entry(LogEntry {
                index: 1,
                term: 1,
                payload: LogPayload::Members(founders),
            });
            (
                state.flush(&self.shared.writer),
                LogPosition { term: 1, index: 1 },
            )
        };
        self.shared
            .await_synced(ticket, position)
            .await
            .map_err(FormError::Disk)
    }

    /// Says whether this replica leads and its lease lasts now. True answers allow reads of
    /// authority that began before the call.
    pub fn lease_lasts(&self) -> bool {
        self.shared.lock().lease_lasts(&self.shared.timing)
    }

    /// Returns the term, which fences what a leader orders.
    pub fn term(&self) -> u64 {
        self.shared.lock().term
    }

    /// Returns the index that the state machine has reached.
    pub fn applied(&self) -> u64 {
        self.shared.lock_machine().applied.index
    }

    /// Says whether the state machine has reached all that was committed before the current term, as a leader
    /// of that term knows it. Until then what a replica that has just started holds may be older than what was
    /// acknowledged.
    pub fn has_reached_term(&self) -> bool {
        let applied = self.applied();
        let state = self.shared.lock();
        state.leader.is_some() && state.log.term_at(applied) == Some(state.term)
    }

    /// Says whether this replica leads, or has heard a leader within the longest time after which another is elected.
    pub fn hears_leader(&self) -> bool {
        let state = self.shared.lock();
        let timing = &self.shared.timing;
        let heard = state.heard_since_start && state.leader_heard.elapsed() < timing.election_max;
        heard || state.lease_lasts(timing)
    }

    /// Returns what the replica tells of itself.
    pub fn status(&self) -> ReplicaStatus {
        let incarnation = self.shared.lock_folder().metadata().incarnation;
        let state = self.shared.lock();
        ReplicaStatus {
            id: state.me,
            cluster: state.cluster,
            incarnation,
            term: state.term,
            role: state.role,
            lease_lasts: state.lease_lasts(&self.shared.timing),
            leader: state.leader,
            last: state.log.last(),
            commit: state.commit,
            members: state.members.clone(),
        }
    }

    /// Returns the voters that have not answered this leader for a span, the longest silent first;
    /// nothing where this replica does not lead.
    pub fn silent_voters(&self, span: std::time::Duration) -> Vec<NodeId> {
        let state = self.shared.lock();
        if !state.lease_lasts(&self.shared.timing) {
            return Vec::new();
        }
        let voters = state.members.voters.iter().map(|voter| voter.id);
        let others = voters.filter(|id| *id != state.me);
        let mut silent: Vec<_> = others
            .map(|id| (state.silence_of(id), id))
            .filter(|(silence, _)| *silence >= span)
            .collect();
        silent.sort_by(|a, b| b.cmp(a));
        silent.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns a receiver that wakes whenever log, commit or role may have changed.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }
}

impl ReplicaShared {
    // A panic elsewhere leaves whole values behind each lock, so a poisoned lock is taken over.
    pub(crate) fn lock(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state machine. Order: machine before state.
    pub(crate) fn lock_machine(&self) -> MutexGuard<'_, MachineCell> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_folder(&self) -> MutexGuard<'_, DataFolder> {
        self.folder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes every task that waits for a change.
    pub(crate) fn bump(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Writes the cluster into the mark of the folder, once in the life of a replica.
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

    pub(crate) fn note_refusal(&self, refusal: &str) {
        self.recorder
            .record(EventCode::DiskRefused, "", refusal.to_owned());
    }

    /// Takes a snapshot when the log has grown, and drops what the snapshot holds.
    async fn compact_if_grown(&self) {
        let job = {
            let mut machine = self.lock_machine();
            let mut state = self.lock();
            let applied = machine.applied;
            let entries = applied.index - state.log.base().index.min(applied.index);
            let large = entries > 0 && state.log.bytes() >= SNAPSHOT_BYTES;
            if entries < SNAPSHOT_ENTRIES && !large {
                return;
            }
            let keep_from = first_kept(&state, applied.index);
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
                    state.log.drop_through(base.index);
                    state.base_members = base_members;
                }
                drop(state);
                let detail = format!("through={}", base.index);
                self.recorder.record(EventCode::SnapshotTaken, "", detail);
            }
            Ok(Err(refusal)) => self.note_refusal(&refusal),
            Err(_) => {}
        }
    }
}

/// Returns the first entry that stays beside a snapshot of what is applied.
fn first_kept(state: &ReplicaState, applied: u64) -> u64 {
    let mut first = applied + 1;
    let mut bytes = 0;
    let oldest = state.log.base().index + 1;
    while first > oldest && applied - (first - 1) < KEPT_ENTRIES {
        bytes += state.log.get(first - 1).map_or(0, LogEntry::weight);
        if bytes > KEPT_BYTES {
            break;
        }
        first -= 1;
    }
    first
}

/// Returns the members in force at an index that the log still holds.
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

async fn apply_as_committed(shared: Arc<ReplicaShared>) {
    let mut changes = shared.subscribe();
    loop {
        let before = shared.lock_machine().applied.index;
        shared.apply_committed();
        if shared.lock_machine().applied.index != before {
            shared.bump();
            // A snapshot is taken beside the applying, so that a slow disk does not hold it up.
            let busy = &shared.compacting;
            if !busy.swap(true, std::sync::atomic::Ordering::AcqRel) {
                let shared = shared.clone();
                ntex::rt::spawn(async move {
                    shared.compact_if_grown().await;
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
