//! A control host's part of the directory.

mod commands;
mod rates;
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
    DirectoryUpdate, DocumentMachine, DocumentParser, DocumentPayload, DocumentWant,
    EvacuationBook, HeldDocument, RegistryChange, TargetRecord,
};

pub(crate) use state::{NodeState, SubscriberState};

/// How long after its start a control host waits for a leader before it tells entry hosts what its disk holds. After
/// the start of a whole fleet one is elected within 0.1 to 0.35 s; without the wait hosts served for 60 ms by an
/// older configuration than was acknowledged, the one of the last snapshot. Where no quorum comes back, what
/// the disk holds is better than nothing.
const LEADER_AWAITED: Duration = Duration::from_secs(2);

/// Spans of time of the directory.
#[derive(Debug, Clone, Copy)]
pub struct DirectoryTiming {
    /// How long a target may be silent before it is marked so.
    pub silence: Duration,
    /// How long a command may take until it is given up, beside the time that its bytes take.
    pub commit: Duration,
    /// How long the followers' word is waited for before a withdrawal is acknowledged.
    pub spread: Duration,
    /// How long after its start a control host has heard of every target: two heartbeats, since one may be
    /// lost.
    pub hearing: Duration,
}

impl DirectoryTiming {
    /// Creates the spans for targets that send a heartbeat each `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            silence: heartbeat * 5,
            commit: Duration::from_millis(900),
            spread: Duration::from_millis(600),
            hearing: heartbeat * 2,
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
    BadOrder(OrderError),
    /// The configuration has no such service.
    #[display("no service has the name {_0}")]
    #[error(ignore)]
    UnknownService(String),
    /// Another roll-out of the service is under way.
    #[display("version {_0} is being rolled out")]
    #[error(ignore)]
    UnderWay(String),
    /// A control host of an earlier build is left, which could not keep the order.
    #[display("a control host of an earlier build is left")]
    EarlierBuild,
    /// No other control host has taken the word of the target.
    #[display("no other control host has taken it")]
    NotSpread,
}

/// How much a control host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectoryCounts {
    /// Targets that are known.
    pub targets: usize,
    /// Entry hosts that are heard.
    pub gateways: usize,
    /// Those of them that told last that they have an older configuration than is held here.
    pub gateways_behind: usize,
}

struct Shared {
    replica: Replica,
    machine: DocumentMachine,
    parser: DocumentParser,
    identity: PeerIdentity,
    recorder: Arc<EventRecorder>,
    timing: DirectoryTiming,
    started: Instant,
    me: SocketAddr,
    ops: SocketAddr,
    hall: String,
    state: Mutex<NodeState>,
    changed: watch::Sender<u64>,
    /// Rises when a subscriber acknowledges. Apart from `changed`, which wakes the pushes to every
    /// subscriber: with n of them an update that each acknowledges would take n times n wakes.
    acknowledged: watch::Sender<u64>,
    /// Whether [`DirectoryNode::tells_state`] held once.
    tells_state: AtomicBool,
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
        (me, ops): (SocketAddr, SocketAddr),
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
                me,
                ops,
                hall,
                state: Mutex::default(),
                changed: watch::Sender::new(0),
                acknowledged: watch::Sender::new(0),
                tells_state: AtomicBool::new(false),
            }),
        };
        ntex::rt::spawn(tasks::expire_targets(node.clone()));
        ntex::rt::spawn(tasks::announce_documents(node.clone()));
        ntex::rt::spawn(tasks::announce_state(node.clone()));
        ntex::rt::spawn(suspects::take_held(node.clone()));
        ntex::rt::spawn(suspects::keep_held(node.clone()));
        ntex::rt::spawn(rollouts::steer_rollouts(node.clone()));
        node
    }

    /// Returns the committed evacuations that this host has reached.
    pub fn evacuations(&self) -> Arc<EvacuationBook> {
        self.shared.machine.evacuations()
    }

    /// Returns the committed roll-outs that this host has reached.
    pub fn rollouts(&self) -> Arc<RolloutStore> {
        self.shared.machine.rollouts()
    }

    /// Sets what a version that is rolled out may be exposed to.
    pub fn set_exposure(&self, rule: ExposureLimit) {
        self.lock().exposure = rule;
    }

    /// Takes a heartbeat of a target. Returns once it may be acknowledged: a withdrawal only when
    /// another control host has it too and the entry hosts that are heard took it, or had time to.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::NotSpread`]: no other control host has it yet; the target should ask
    /// another one.
    pub async fn take_heartbeat(&self, record: TargetRecord) -> Result<(), DirectoryError> {
        let (id, detail) = (record.id.clone(), describe_target(&record));
        self.name_services(&record);
        let change = self.lock().registry.take_heartbeat(record, Instant::now());
        self.finish_change(&id, &detail, change).await
    }

    /// Tells the registry which services there are, where that decides on a target that has come. Reading the
    /// whole configuration for each heartbeat, or each version, would cost more than it is needed for.
    fn name_services(&self, record: &TargetRecord) {
        if !self.lock().registry.is_newcomer(record) {
            return;
        }
        let held = self.held_document();
        let services = held.map(|held| (self.shared.parser.services)(held.body()));
        self.lock().registry.set_services(services);
    }

    /// Takes the word of a target that it leaves, of the start that it names or the newest. A target that is
    /// not known is left already.
    ///
    /// # Errors
    ///
    /// As [`DirectoryNode::take_heartbeat`].
    pub async fn take_leave(&self, id: &str, born: Option<u64>) -> Result<(), DirectoryError> {
        let change = self.lock().registry.take_leave(id, born, Instant::now());
        match change {
            Some(change) => self.finish_change(id, "state=Gone", change).await,
            None => Ok(()),
        }
    }

    async fn finish_change(
        &self,
        id: &str,
        detail: &str,
        change: RegistryChange,
    ) -> Result<(), DirectoryError> {
        self.note_change(id, detail, change);
        if change == RegistryChange::Withdrawn {
            return self.await_spread().await;
        }
        Ok(())
    }

    /// Logs a change of a target and wakes the tasks that push it on.
    pub(crate) fn note_change(&self, id: &str, detail: &str, change: RegistryChange) {
        let code = match change {
            RegistryChange::Nothing => return,
            RegistryChange::Registered => EventCode::TargetRegistered,
            RegistryChange::Withdrawn => EventCode::TargetWithdrawn,
        };
        self.shared.recorder.record(code, id, detail);
        self.wake();
    }

    async fn await_spread(&self) -> Result<(), DirectoryError> {
        let number = self.lock().registry.number();
        let mut changes = self.shared.acknowledged.subscribe();
        let all_took_it = async {
            while !self.spread_to(number, |_| true) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = timeout(self.shared.timing.spread, all_took_it).await;
        let alone = self.shared.replica.status().members.voters.len() <= 1;
        let safe = alone || self.any_control_took(number);
        safe.then_some(()).ok_or(DirectoryError::NotSpread)
    }

    /// Notes that another control host was lost.
    pub fn lose_control(&self, from: SocketAddr) {
        self.lock().lose_control(from, Instant::now());
        self.wake();
    }

    /// Resolves when the entry hosts that follow this control host took what it knows now, or had time to: another
    /// control host acknowledges a withdrawal for those that follow this one as well.
    pub async fn await_followers(&self) {
        let number = self.lock().registry.number();
        let mut changes = self.shared.acknowledged.subscribe();
        let all_took_it = async {
            while !self.spread_to(number, |one| !one.control) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        // Whoever waits for this host's word has to get it within its own bound.
        let bound = self.shared.timing.spread / 2;
        let _ = timeout(bound, all_took_it).await;
    }

    fn spread_to(&self, number: u64, which: impl Fn(&SubscriberState) -> bool) -> bool {
        let state = self.lock();
        let mut wanted = state.subscribers.values().filter(|one| which(one));
        wanted.all(|one| one.acknowledged >= number)
    }

    fn any_control_took(&self, number: u64) -> bool {
        let state = self.lock();
        let mut controls = state.subscribers.values().filter(|one| one.control);
        controls.any(|one| one.acknowledged >= number)
    }

    /// Returns this host as a member of the cluster.
    pub fn member(&self) -> Member {
        Member {
            id: self.shared.replica.status().id,
            name: self.shared.identity.name.clone(),
            hall: self.shared.hall.clone(),
            peer: self.shared.me,
            ops: self.shared.ops,
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
    pub fn held_document(&self) -> Option<Arc<HeldDocument>> {
        self.shared.machine.held()
    }

    /// Returns what brings a subscriber the configuration that it wants, or the newest.
    pub(crate) fn payload(&self, want: &DocumentWant) -> Option<Arc<DocumentPayload>> {
        self.shared.machine.payload(want.key, want.base)
    }

    /// Says whether this host has run for so long that it has heard of every target that is there.
    pub(crate) fn has_heard_all(&self) -> bool {
        self.shared.started.elapsed() >= self.shared.timing.hearing
    }

    /// Says whether what this host holds by agreement may be told: it has reached what was committed before
    /// its start, or has run for so long without a leader that none is to be awaited.
    pub(crate) fn tells_state(&self) -> bool {
        let told = &self.shared.tells_state;
        if !told.load(Ordering::Relaxed) {
            let awaited = self.shared.started.elapsed() < LEADER_AWAITED;
            let ready = !awaited || self.shared.replica.has_applied_current_term();
            told.store(ready, Ordering::Relaxed);
        }
        told.load(Ordering::Relaxed)
    }

    /// Returns the peer addresses of all members of the cluster.
    pub(crate) fn controls(&self) -> Vec<SocketAddr> {
        let members = self.shared.replica.status().members;
        members.all().map(|member| member.peer).collect()
    }

    /// Counts what this host knows.
    pub fn counts(&self) -> DirectoryCounts {
        let held = self.held_document().map_or(0, |held| held.version());
        let state = self.lock();
        let subscribers = state.subscribers.values();
        let gateways = subscribers.filter(|one| one.gateway.is_some());
        let behind = gateways.clone().filter(|one| one.document_version < held);
        DirectoryCounts {
            targets: state.registry.records().count(),
            gateways: gateways.clone().count(),
            gateways_behind: behind.count(),
        }
    }

    pub(crate) fn record(&self, code: EventCode, detail: &str) {
        self.shared.recorder.record(code, "", detail);
    }

    /// Takes what another control host knows of targets and entry hosts.
    pub fn take_from_control(&self, from: SocketAddr, update: DirectoryUpdate, now: Instant) {
        if let Some(records) = update.own_gateways {
            self.lock().take_gateways(from, records);
            self.wake();
        }
        for record in update.targets {
            let (id, detail) = (record.id.clone(), describe_target(&record));
            self.name_services(&record);
            let change = self.lock().registry.take_record(record, now);
            self.note_change(&id, &detail, change);
        }
        self.take_suspects(&update.suspects);
        self.take_rates(&update.rates);
        self.lock().evidence.merge_forwarded(&update.counted);
        for heard in &update.heard {
            let change = self.lock().registry.take_heard(heard, now);
            self.note_change(&heard.id, "heard by another control host", change);
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, NodeState> {
        // Every change of the state is whole before anything can fail.
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn wake(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }

    pub(crate) fn note_acknowledged(&self) {
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
