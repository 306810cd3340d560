//! A control host's part of the directory.

mod commands;
mod rate_limits;
mod rollouts;
mod state;
mod suspects;
mod tasks;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derive_more::Display;
use linnet_quorum::{Member, Replica};
use linnet_rollout::{ExposureRule, OrderFault, RolloutBook};
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::PeerIdentity;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::{
    DirectoryUpdate, DocumentMachine, DocumentParser, DocumentPayload, DocumentRequest,
    EvacuationStore, RegistryChange, StoredDocument, TargetRecord,
};

pub(crate) use state::{NodeState, SubscriberState};

/// How long after its start a control host waits for a leader before it tells entry hosts what its disk holds. After
/// the start of a whole fleet one is elected within 0.1 to 0.35 s; without the wait hosts served for 60 ms by an
/// older configuration than was acknowledged, the one of the last snapshot. Where no quorum comes back, what
/// the disk holds is better than nothing.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Spans of time of the directory.
#[derive(Debug, Clone, Copy)]
pub struct DirectoryTiming {
    /// How long a target may be silent before it is marked so.
    pub silence_timeout: Duration,
    /// How long a command may take until it is given up, beside the time that its bytes take.
    pub commit_timeout: Duration,
    /// How long the followers' word is waited for before a withdrawal is acknowledged.
    pub propagation_timeout: Duration,
    /// How long after its start a control host has heard of every target: two heartbeats, since one may be
    /// lost.
    pub discovery_time: Duration,
}

impl DirectoryTiming {
    /// Creates the spans for targets that send a heartbeat each `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            silence_timeout: heartbeat * 5,
            commit_timeout: Duration::from_millis(900),
            propagation_timeout: Duration::from_millis(600),
            discovery_time: heartbeat * 2,
        }
    }
}

/// Why the directory did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum DirectoryError {
    /// The document is invalid.
    #[display("invalid: {_0}")]
    #[error(ignore)]
    Invalid(String),
    /// No quorum committed it in time; whether it is in force later is not known.
    #[display("no quorum in time")]
    NoQuorum,
    /// There is no such data hall.
    #[display("no data hall has the name {_0}")]
    #[error(ignore)]
    UnknownHall(String),
    /// The order makes no sense.
    #[display("{_0}")]
    #[error(ignore)]
    InvalidOrder(OrderFault),
    /// The configuration has no such service.
    #[display("no service has the name {_0}")]
    #[error(ignore)]
    UnknownService(String),
    /// Another roll-out of the service is under way.
    #[display("version {_0} is being rolled out")]
    #[error(ignore)]
    RolloutInProgress(String),
    /// A control host of an earlier build is left, which could not keep the order.
    #[display("a control host of an earlier build is left")]
    OutdatedControlHost,
    /// No other control host has taken the word of the target.
    #[display("no other control host has taken it")]
    NotPropagated,
}

/// How much a control host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectoryCounts {
    /// Targets that are known.
    pub targets: usize,
    /// Entry hosts that are heard.
    pub entry_hosts: usize,
    /// Those of them that told last that they have an older configuration than is held here.
    pub outdated_entry_hosts: usize,
}

struct Shared {
    replica: Replica,
    machine: DocumentMachine,
    parser: DocumentParser,
    identity: PeerIdentity,
    recorder: Arc<EventRecorder>,
    timing: DirectoryTiming,
    started: Instant,
    peer_address: SocketAddr,
    ops_address: SocketAddr,
    hall: String,
    state: Mutex<NodeState>,
    changed: watch::Sender<u64>,
    /// Rises when a subscriber acknowledges. Apart from `changed`, which wakes the pushes to every
    /// subscriber: with n of them an update that each acknowledges would take n times n wakes.
    acknowledged: watch::Sender<u64>,
    /// Whether [`DirectoryNode::tells_state`] held once.
    may_announce_state: AtomicBool,
}

/// The directory of one control host. Cheap to clone.
#[derive(Clone)]
pub struct DirectoryNode {
    shared: Arc<Shared>,
}

impl DirectoryNode {
    /// Creates the node and starts its tasks. `me` is where peers reach it, `ops` where operators
    /// do.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        replica: Replica,
        machine: DocumentMachine,
        parser: DocumentParser,
        identity: PeerIdentity,
        recorder: Arc<EventRecorder>,
        timing: DirectoryTiming,
        (peer_address, ops_address): (SocketAddr, SocketAddr),
        hall: String,
    ) -> Self {
        let node = Self {
            shared: Arc::new(Shared {
                replica,
                machine,
                parser,
                identity,
                recorder,
                timing,
                started: Instant::now(),
                peer_address,
                ops_address,
                hall,
                state: Mutex::default(),
                changed: watch::Sender::new(0),
                acknowledged: watch::Sender::new(0),
                may_announce_state: AtomicBool::new(false),
            }),
        };
        ntex::rt::spawn(tasks::expire_targets(node.clone()));
        ntex::rt::spawn(tasks::announce_documents(node.clone()));
        ntex::rt::spawn(tasks::announce_state(node.clone()));
        ntex::rt::spawn(suspects::load_held_requests(node.clone()));
        ntex::rt::spawn(suspects::persist_held_requests(node.clone()));
        ntex::rt::spawn(rollouts::advance_rollouts(node.clone()));
        node
    }

    /// Returns the committed evacuations that this host has reached.
    pub fn evacuations(&self) -> Arc<EvacuationStore> {
        self.shared.machine.evacuations()
    }

    /// Returns the committed roll-outs that this host has reached.
    pub fn rollouts(&self) -> Arc<RolloutBook> {
        self.shared.machine.rollouts()
    }

    /// Sets what a version that is rolled out may be exposed to.
    pub fn set_exposure(&self, rule: ExposureRule) {
        self.lock().exposure = rule;
    }

    /// Takes a heartbeat of a target. Returns once it may be acknowledged: a withdrawal only when
    /// another control host has it too and the entry hosts that are heard took it, or had time to.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::NotSpread`]: no other control host has it yet; the target should ask
    /// another one.
    pub async fn receive_heartbeat(&self, record: TargetRecord) -> Result<(), DirectoryError> {
        let (id, detail) = (record.id.clone(), describe_target(&record));
        self.refresh_services(&record);
        let change = self.lock().registry.apply_heartbeat(record, Instant::now());
        self.publish_change(&id, &detail, change).await
    }

    /// Tells the registry which services there are, where that decides on a target that has come. Reading the
    /// whole configuration for each heartbeat, or each version, would cost more than it is needed for.
    fn refresh_services(&self, record: &TargetRecord) {
        if !self.lock().registry.is_new_at_used_address(record) {
            return;
        }
        let current = self.current_document();
        let services = current.map(|current| (self.shared.parser.services)(current.body()));
        self.lock().registry.set_services(services);
    }

    /// Takes the word of a target that it leaves, of the start that it names or the newest. A target that is
    /// not known is left already.
    ///
    /// # Errors
    ///
    /// As [`DirectoryNode::take_heartbeat`].
    pub async fn deregister_target(
        &self,
        id: &str,
        born: Option<u64>,
    ) -> Result<(), DirectoryError> {
        let change = self.lock().registry.deregister(id, born, Instant::now());
        match change {
            Some(change) => self.publish_change(id, "state=Gone", change).await,
            None => Ok(()),
        }
    }

    async fn publish_change(
        &self,
        id: &str,
        detail: &str,
        change: RegistryChange,
    ) -> Result<(), DirectoryError> {
        self.record_change(id, detail, change);
        if change == RegistryChange::Withdrawn {
            return self.wait_for_propagation().await;
        }
        Ok(())
    }

    /// Logs a change of a target and wakes the tasks that push it on.
    pub(crate) fn record_change(&self, id: &str, detail: &str, change: RegistryChange) {
        let code = match change {
            RegistryChange::Unchanged => return,
            RegistryChange::Registered => EventCode::TargetRegistered,
            RegistryChange::Withdrawn => EventCode::TargetWithdrawn,
        };
        self.shared.recorder.record(code, id, detail);
        self.notify_subscribers();
    }

    async fn wait_for_propagation(&self) -> Result<(), DirectoryError> {
        let revision = self.lock().registry.revision();
        let mut changes = self.shared.acknowledged.subscribe();
        let all_acknowledged = async {
            while !self.all_acknowledged(revision, |_| true) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = timeout(self.shared.timing.propagation_timeout, all_acknowledged).await;
        let only_voter = self.shared.replica.status().members.voters.len() <= 1;
        let is_safe = only_voter || self.any_control_acknowledged(revision);
        is_safe.then_some(()).ok_or(DirectoryError::NotPropagated)
    }

    /// Notes that another control host was lost.
    pub fn mark_control_lost(&self, from: SocketAddr) {
        self.lock().mark_control_lost(from, Instant::now());
        self.notify_subscribers();
    }

    /// Resolves when the entry hosts that follow this control host took what it knows now, or had time to: another
    /// control host acknowledges a withdrawal for those that follow this one as well.
    pub async fn wait_for_followers(&self) {
        let revision = self.lock().registry.revision();
        let mut changes = self.shared.acknowledged.subscribe();
        let all_acknowledged = async {
            while !self.all_acknowledged(revision, |one| !one.is_control) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // Whoever waits for this host's word has to get it within its own bound.
        let bound = self.shared.timing.propagation_timeout / 2;
        let _ = timeout(bound, all_acknowledged).await;
    }

    fn all_acknowledged(&self, revision: u64, which: impl Fn(&SubscriberState) -> bool) -> bool {
        let state = self.lock();
        let mut wanted = state.subscribers.values().filter(|one| which(one));
        wanted.all(|one| one.acknowledged >= revision)
    }

    fn any_control_acknowledged(&self, revision: u64) -> bool {
        let state = self.lock();
        let mut controls = state.subscribers.values().filter(|one| one.is_control);
        controls.any(|one| one.acknowledged >= revision)
    }

    /// Returns this host as a member of the cluster.
    pub fn member(&self) -> Member {
        Member {
            id: self.shared.replica.status().id,
            name: self.shared.identity.name.clone(),
            hall: self.shared.hall.clone(),
            peer: self.shared.peer_address,
            ops: self.shared.ops_address,
            replaces: None,
        }
    }

    /// Returns the replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.shared.replica
    }

    /// Returns the name, keys and clock towards peers.
    pub fn identity(&self) -> &PeerIdentity {
        &self.shared.identity
    }

    /// Returns the committed configuration that this host has reached.
    pub fn current_document(&self) -> Option<Arc<StoredDocument>> {
        self.shared.machine.current_document()
    }

    /// Returns what brings a subscriber the configuration that it wants, or the newest.
    pub(crate) fn payload(&self, request: &DocumentRequest) -> Option<Arc<DocumentPayload>> {
        self.shared.machine.payload(request.key, request.base)
    }

    /// Says whether this host has run for so long that it has heard of every target that is there.
    pub(crate) fn is_discovery_complete(&self) -> bool {
        self.shared.started.elapsed() >= self.shared.timing.discovery_time
    }

    /// Says whether what this host holds by agreement may be told: it has reached what was committed before
    /// its start, or has run for so long without a leader that none is to be awaited.
    pub(crate) fn may_announce_state(&self) -> bool {
        let may_announce = &self.shared.may_announce_state;
        if !may_announce.load(Ordering::Relaxed) {
            let is_waiting = self.shared.started.elapsed() < LEADER_WAIT_TIMEOUT;
            let ready = !is_waiting || self.shared.replica.has_reached_term();
            may_announce.store(ready, Ordering::Relaxed);
        }
        may_announce.load(Ordering::Relaxed)
    }

    /// Returns the peer addresses of all members of the cluster.
    pub(crate) fn control_addresses(&self) -> Vec<SocketAddr> {
        let members = self.shared.replica.status().members;
        members.all().map(|member| member.peer).collect()
    }

    /// Counts what this host knows.
    pub fn counts(&self) -> DirectoryCounts {
        let current = self
            .current_document()
            .map_or(0, |current| current.version());
        let state = self.lock();
        let subscribers = state.subscribers.values();
        let entry_hosts = subscribers.filter(|one| one.entry_host.is_some());
        let behind = entry_hosts
            .clone()
            .filter(|one| one.document_version < current);
        DirectoryCounts {
            targets: state.registry.records().count(),
            entry_hosts: entry_hosts.clone().count(),
            outdated_entry_hosts: behind.count(),
        }
    }

    pub(crate) fn record(&self, code: EventCode, detail: &str) {
        self.shared.recorder.record(code, "", detail);
    }

    /// Takes what another control host knows of targets and entry hosts.
    pub fn merge_control_update(&self, from: SocketAddr, update: DirectoryUpdate, now: Instant) {
        if let Some(records) = update.local_entry_hosts {
            self.lock().set_remote_entry_hosts(from, records);
            self.notify_subscribers();
        }
        for record in update.targets {
            let (id, detail) = (record.id.clone(), describe_target(&record));
            self.refresh_services(&record);
            let change = self.lock().registry.merge_record(record, now);
            self.record_change(&id, &detail, change);
        }
        self.merge_suspects(&update.suspects);
        self.merge_rate_limits(&update.rate_limits);
        self.lock().evidence.take_told(&update.reporter_counts);
        for heartbeat in &update.heartbeats {
            let change = self
                .lock()
                .registry
                .apply_forwarded_heartbeat(heartbeat, now);
            self.record_change(&heartbeat.id, "heard by another control host", change);
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, NodeState> {
        // Every change of the state is whole before anything can fail.
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn notify_subscribers(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }

    pub(crate) fn notify_acknowledged(&self) {
        self.shared.acknowledged.send_modify(|count| *count += 1);
    }

    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }
}

fn describe_target(record: &TargetRecord) -> String {
    format!(
        "service={} address={} hall={} state={:?} born={} sequence={}",
        record.service, record.address, record.hall, record.state, record.born, record.sequence
    )
}
