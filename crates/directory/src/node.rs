//! The directory of a control host.

mod commands;
mod order_admission;
mod parts;
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
use linnet_rollout::{ExposureLimit, OrderError, RolloutStore};
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::PeerIdentity;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::{
    DirectoryUpdate, DocumentMachine, DocumentParser, DocumentPayload, DocumentRequest,
    EvacuationStore, RegistryChange, StoredDocument, TargetRecord,
};

pub(crate) use state::{NodeState, SubscriberState};

/// How long after its start a control host waits for a leader before it sends entry hosts the state
/// on its disk. When a complete fleet starts, a leader is elected within 0.1 to 0.35 s. Without the
/// wait, hosts served for 60 ms with the configuration of the last snapshot, which was older than
/// the acknowledged one. If no quorum returns, the state on disk is better than none.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeouts and waiting times of the directory.
#[derive(Debug, Clone, Copy)]
pub struct DirectoryTiming {
    /// Time without a heartbeat after which a target is marked as silent.
    pub silence_timeout: Duration,
    /// Timeout for committing a command, in addition to the transfer time for its bytes.
    pub commit_timeout: Duration,
    /// Maximum time to wait for acknowledgements of followers before a withdrawal is acknowledged.
    pub propagation_timeout: Duration,
    /// How long after its start a control host has received a heartbeat of every target: two
    /// heartbeat intervals, since one heartbeat may be lost.
    pub discovery_time: Duration,
}

impl DirectoryTiming {
    /// Creates the timing for targets whose heartbeat interval is `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            silence_timeout: heartbeat * 5,
            commit_timeout: Duration::from_millis(900),
            propagation_timeout: Duration::from_millis(600),
            discovery_time: heartbeat * 2,
        }
    }
}

/// Why an operation of the directory failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum DirectoryError {
    /// The configuration is invalid, for the given reason.
    #[display("invalid: {_0}")]
    #[error(ignore)]
    Invalid(String),
    /// No quorum committed the command in time; whether it comes into force later is not known.
    #[display("not committed by a quorum in time")]
    NoQuorum,
    /// There is no such data hall.
    #[display("unknown data hall {_0}")]
    #[error(ignore)]
    UnknownHall(String),
    /// The roll-out order is invalid.
    #[display("{_0}")]
    #[error(ignore)]
    InvalidOrder(OrderError),
    /// The configuration has no such service.
    #[display("unknown service {_0}")]
    #[error(ignore)]
    UnknownService(String),
    /// Another roll-out of the service is in progress.
    #[display("roll-out of version {_0} in progress")]
    #[error(ignore)]
    RolloutInProgress(String),
    /// A connected control host runs an earlier build, which could not apply the order.
    #[display("a connected control host runs an earlier build")]
    OutdatedControlHost,
    /// This host was suspended, and the order may have waited in it while later ones were executed.
    #[display("this host was suspended; send the order again")]
    OrderOutdated,
    /// No other control host has acknowledged the withdrawal of the target.
    #[display("not acknowledged by any other control host")]
    NotPropagated,
}

/// Numbers of known targets and entry hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectoryCounts {
    /// Known targets.
    pub targets: usize,
    /// Connected entry hosts.
    pub entry_hosts: usize,
    /// Connected entry hosts that last reported an older configuration than this host has.
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
    /// Wakes when a subscriber acknowledges an update. Separate from `changed`, which wakes the
    /// push to every subscriber: with n subscribers, an update that each of them acknowledges would
    /// cause n times n wakes.
    acknowledged: watch::Sender<u64>,
    /// Whether [`DirectoryNode::may_announce_state`] has returned true.
    may_announce_state: AtomicBool,
}

/// The directory of one control host. Cheap to clone.
#[derive(Clone)]
pub struct DirectoryNode {
    shared: Arc<Shared>,
}

impl DirectoryNode {
    /// Creates the node and starts its tasks. `peer_address` is where peers connect to it,
    /// `ops_address` where operators do.
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
        ntex::rt::spawn(parts::load_held_parts(node.clone()));
        ntex::rt::spawn(suspects::persist_held_requests(node.clone()));
        ntex::rt::spawn(rollouts::advance_rollouts(node.clone()));
        ntex::rt::spawn(order_admission::detect_suspensions(node.clone()));
        node
    }

    /// Returns the evacuations that this host has applied.
    pub fn evacuations(&self) -> Arc<EvacuationStore> {
        self.shared.machine.evacuations()
    }

    /// Returns the roll-outs that this host has applied.
    pub fn rollouts(&self) -> Arc<RolloutStore> {
        self.shared.machine.rollouts()
    }

    /// Sets the limit on the requests that a version may receive during a roll-out.
    pub fn set_exposure(&self, rule: ExposureLimit) {
        self.lock().exposure = rule;
    }

    /// Applies a heartbeat of a target. Returns once it may be acknowledged: a withdrawal only
    /// after another control host has it too, and the connected entry hosts have acknowledged it or
    /// the timeout for that has passed.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::NotPropagated`]: no other control host has it yet; the target should send
    /// it to another one.
    pub async fn receive_heartbeat(&self, record: TargetRecord) -> Result<(), DirectoryError> {
        let (id, detail) = (record.id.clone(), describe_target(&record));
        self.refresh_services(&record);
        let change = self.lock().registry.apply_heartbeat(record, Instant::now());
        self.publish_change(&id, &detail, change).await
    }

    /// Sets the services of the configuration in the registry if they decide whether to accept a
    /// new target. Parsing the complete configuration for each heartbeat, or for each version,
    /// would be too expensive.
    fn refresh_services(&self, record: &TargetRecord) {
        if !self.lock().registry.is_new_at_used_address(record) {
            return;
        }
        let current = self.current_document();
        let services = current.map(|current| (self.shared.parser.services)(current.body()));
        self.lock().registry.set_services(services);
    }

    /// Withdraws a target that announced its stop: the incarnation that started at `born`, or the
    /// newest one. Does nothing if the target is not known.
    ///
    /// # Errors
    ///
    /// As [`DirectoryNode::receive_heartbeat`].
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

    /// Records an event for a change of a target and wakes the tasks that push it to subscribers.
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

    /// Handles the loss of the connection to another control host.
    pub fn mark_control_lost(&self, from: SocketAddr) {
        self.lock().mark_control_lost(from, Instant::now());
        self.notify_subscribers();
    }

    /// Resolves when the entry hosts that follow this control host have acknowledged its current
    /// state, or the timeout for that has passed. Another control host that acknowledges a
    /// withdrawal relies on this for the followers of this host.
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
        // The host that waits for this acknowledgement has to get it within its own timeout.
        let max_wait = self.shared.timing.propagation_timeout / 2;
        let _ = timeout(max_wait, all_acknowledged).await;
    }

    fn all_acknowledged(&self, revision: u64, which: impl Fn(&SubscriberState) -> bool) -> bool {
        let state = self.lock();
        let mut selected = state.subscribers.values().filter(|one| which(one));
        selected.all(|one| one.acknowledged >= revision)
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

    /// Returns the name, keys and clock used towards peers.
    pub fn identity(&self) -> &PeerIdentity {
        &self.shared.identity
    }

    /// Returns the newest configuration that this host has applied.
    pub fn current_document(&self) -> Option<Arc<StoredDocument>> {
        self.shared.machine.current_document()
    }

    /// Returns the payload that brings a subscriber the requested configuration, or the newest.
    pub(crate) fn payload(&self, request: &DocumentRequest) -> Option<Arc<DocumentPayload>> {
        self.shared.machine.payload(request.key, request.base)
    }

    /// Returns whether this host has run long enough to have received a heartbeat of every target.
    pub(crate) fn is_discovery_complete(&self) -> bool {
        self.shared.started.elapsed() >= self.shared.timing.discovery_time
    }

    /// Returns whether replicated state may be sent to subscribers: this host has applied what was
    /// committed before its start, or has run without a leader for longer than
    /// [`LEADER_WAIT_TIMEOUT`].
    pub(crate) fn may_announce_state(&self) -> bool {
        let may_announce = &self.shared.may_announce_state;
        if !may_announce.load(Ordering::Relaxed) {
            let is_waiting = self.shared.started.elapsed() < LEADER_WAIT_TIMEOUT;
            let ready = !is_waiting || self.shared.replica.has_applied_current_term();
            may_announce.store(ready, Ordering::Relaxed);
        }
        may_announce.load(Ordering::Relaxed)
    }

    /// Returns the peer addresses of all members of the cluster.
    pub(crate) fn control_addresses(&self) -> Vec<SocketAddr> {
        let members = self.shared.replica.status().members;
        members.all().map(|member| member.peer).collect()
    }

    /// Counts known targets and entry hosts.
    pub fn counts(&self) -> DirectoryCounts {
        let current = self
            .current_document()
            .map_or(0, |current| current.version());
        let state = self.lock();
        let subscribers = state.subscribers.values();
        let entry_hosts = subscribers.filter(|one| one.entry_host.is_some());
        let outdated = entry_hosts
            .clone()
            .filter(|one| one.document_version < current);
        DirectoryCounts {
            targets: state.registry.records().count(),
            entry_hosts: entry_hosts.clone().count(),
            outdated_entry_hosts: outdated.count(),
        }
    }

    pub(crate) fn record(&self, code: EventCode, detail: &str) {
        self.shared.recorder.record(code, "", detail);
    }

    /// Merges an update from another control host.
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
        self.merge_parts(&update.parts);
        self.merge_rate_limits(&update.rate_limits);
        self.lock()
            .evidence
            .merge_forwarded(&update.reporter_counts);
        for heartbeat in &update.heartbeats {
            let change = self
                .lock()
                .registry
                .apply_forwarded_heartbeat(heartbeat, now);
            self.record_change(
                &heartbeat.id,
                "heartbeat received by another control host",
                change,
            );
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, NodeState> {
        // No change of the state can panic half-way, so a poisoned state is still consistent.
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
