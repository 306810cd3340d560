//! A control host's part of the directory.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derive_more::Display;
use linnet_quorum::{Member, ProposeError, Replica};
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::PeerIdentity;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::call::call;
use crate::machine::{DocumentAnswer, DocumentCommand};
use crate::message::{DirectoryCall, DirectoryReply};
use crate::{
    DirectoryUpdate, Document, DocumentMachine, DocumentParser, DocumentPayload, DocumentWant,
    EvacuationBook, EvacuationOrder, EvacuationOutcome, GatewayRecord, HeldDocument, Registry,
    RegistryChange, TargetRecord,
};

/// Wait before a command is tried again where no leader is known.
const LEADER_RETRY_WAIT: Duration = Duration::from_millis(40);

/// How long one try of a small command is waited for. A leader that is frozen answers nothing; the next
/// one is elected within half a second, and a command is handed to it by the next try in place of being
/// refused when the time for all tries is over.
const TRY_BOUND: Duration = Duration::from_millis(300);

/// Bytes up to which a command is small. Larger ones pass several links before they are committed, and a
/// try that is broken off sends them anew: one of 4 MB was not acknowledged over links of 24 Mbit/s.
const SMALL_COMMAND: usize = 64 * 1024;

/// How often an order for a hall is given anew since others changed the hall meanwhile.
const ORDER_TRIES: usize = 3;

/// Bytes a second at which a command and its answer are taken to pass between control hosts, at least.
/// With one limit for every size a configuration of 4 MB was committed and never acknowledged over
/// links of 24 Mbit/s, and each try sent it anew.
const LEAST_BYTES_PER_S: f64 = 2_000_000.0;

/// How often targets are checked for silence.
const EXPIRY_TICK: Duration = Duration::from_millis(250);

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
    /// No other control host has taken the word of the target.
    #[display("no other control host has taken it")]
    NotSpread,
}

/// What a subscriber told.
#[derive(Debug, Clone)]
pub(crate) struct SubscriberState {
    pub(crate) control: bool,
    pub(crate) acknowledged: u64,
    pub(crate) gateway: Option<GatewayRecord>,
    /// The version of the configuration that it told last.
    pub(crate) document_version: u64,
    /// What it wants of a configuration.
    pub(crate) want: Option<DocumentWant>,
    /// Whether it wants to be told of targets and entry hosts by this control host.
    pub(crate) lists: bool,
}

#[derive(Default)]
pub(crate) struct NodeState {
    pub(crate) registry: Registry,
    pub(crate) subscribers: BTreeMap<u64, SubscriberState>,
    pub(crate) next_subscriber: u64,
    /// Entry hosts that were lost without a word, and until when they are told on.
    pub(crate) lost_gateways: BTreeMap<String, (GatewayRecord, Instant)>,
    gateway_list: Option<GatewayList>,
}

/// The entry hosts as they are told, kept until one of them changes. Working the list of 295 out for each
/// of as many subscribers took 23 ms a change, 76 ms of a control host with 0.3 of a core, and takes
/// 0.08 ms (`measure_lists_of_entry_hosts`, release build). After a loss of power 580 hosts and targets
/// come in a second.
struct GatewayList {
    list: Arc<[GatewayRecord]>,
    /// When the first host that was lost is not told any more.
    until: Instant,
}

/// How long an entry host that was lost without a word is told on. It may be cut off from the control
/// hosts only, and the others should meet it at the same places then.
const LOST_GATEWAY_TOLD: Duration = Duration::from_secs(15);

impl NodeState {
    /// Returns the entry hosts that are heard, or were until a moment ago, by name.
    pub(crate) fn gateways(&mut self, now: Instant) -> Arc<[GatewayRecord]> {
        if let Some(kept) = self.gateway_list.as_ref().filter(|kept| now < kept.until) {
            return kept.list.clone();
        }
        let list: Arc<[GatewayRecord]> = self.list_gateways(now).into();
        let lost = self.lost_gateways.values();
        self.gateway_list = Some(GatewayList {
            list: list.clone(),
            until: lost
                .map(|(_, until)| *until)
                .min()
                .unwrap_or(now + LOST_GATEWAY_TOLD),
        });
        list
    }

    fn list_gateways(&mut self, now: Instant) -> Vec<GatewayRecord> {
        let heard = self.subscribers.values();
        let heard: Vec<GatewayRecord> = heard.filter_map(|one| one.gateway.clone()).collect();
        let names: HashSet<&str> = heard.iter().map(|one| one.name.as_str()).collect();
        self.lost_gateways
            .retain(|name, (_, until)| *until > now && !names.contains(name.as_str()));
        let lost = self
            .lost_gateways
            .values()
            .map(|(record, _)| record.clone());
        let mut all: Vec<GatewayRecord> = heard.iter().cloned().chain(lost).collect();
        all.sort();
        all
    }

    /// Says whether a subscriber wants targets and entry hosts from here.
    pub(crate) fn wants_lists(&self, number: u64) -> bool {
        let subscriber = self.subscribers.get(&number);
        subscriber.is_some_and(|subscriber| subscriber.lists)
    }

    /// Takes what a subscriber tells of itself; says whether that changes the entry hosts. Nothing where
    /// the subscriber is not known.
    pub(crate) fn set_gateway(&mut self, number: u64, told: Option<GatewayRecord>) -> Option<bool> {
        let subscriber = self.subscribers.get_mut(&number)?;
        let changes = subscriber.gateway != told;
        if changes {
            subscriber.gateway = told;
            self.gateway_list = None;
        }
        Some(changes)
    }

    /// Forgets a subscriber. One that did not say that it stops may come back.
    pub(crate) fn lose_subscriber(&mut self, number: u64, now: Instant) {
        let lost = self.subscribers.remove(&number);
        let record = lost.and_then(|subscriber| subscriber.gateway);
        if let Some(record) = record.filter(|record| !record.stopping) {
            let until = now + LOST_GATEWAY_TOLD;
            self.lost_gateways
                .insert(record.name.clone(), (record, until));
        }
        self.gateway_list = None;
    }
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
            }),
        };
        ntex::rt::spawn(expire_targets(node.clone()));
        ntex::rt::spawn(announce_documents(node.clone()));
        node
    }

    /// Takes a configuration; the version that is held then.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::Invalid`] changes nothing; [`DirectoryError::NoQuorum`] leaves open
    /// whether the configuration comes into force.
    pub async fn put_document(&self, body: Vec<u8>) -> Result<u64, DirectoryError> {
        let version = (self.shared.parser)(&body).map_err(|fault| {
            self.record(EventCode::RoutingRefused, &fault);
            DirectoryError::Invalid(fault)
        })?;
        let bytes = body.len();
        if let Some(held) = self
            .held_document()
            .filter(|held| held.version() >= version)
        {
            // What is held is committed, so the operator's second try needs no other commit.
            let detail = format!("version={version} bytes={bytes} held={}", held.version());
            self.record(EventCode::RoutingAccepted, &detail);
            return Ok(held.version());
        }
        let command = DocumentCommand::Put(Document { version, body });
        let outcome = self.commit(&command).await;
        let detail = |held| format!("version={version} bytes={bytes} held={held}");
        match outcome {
            Ok(DocumentAnswer::Held(held)) => {
                self.record(EventCode::RoutingAccepted, &detail(held.to_string()));
                Ok(held)
            }
            _ => {
                self.record(EventCode::RoutingRefused, &detail("unknown".to_owned()));
                Err(DirectoryError::NoQuorum)
            }
        }
    }

    /// Returns the newest configuration, after a round of the quorum that began with this call.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::NoQuorum`].
    pub async fn read_document(&self) -> Result<Option<Document>, DirectoryError> {
        match self.commit(&DocumentCommand::Read).await? {
            DocumentAnswer::Document(document) => {
                let version = document.as_ref().map_or(0, |document| document.version);
                self.record(EventCode::RoutingRead, &format!("version={version}"));
                Ok(document)
            }
            _ => Err(DirectoryError::NoQuorum),
        }
    }

    /// Takes a hall out of work, or back; returns once a majority of control hosts has that on disk.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::NoQuorum`] leaves open whether the order comes into force.
    pub async fn order_evacuation(
        &self,
        hall: &str,
        evacuated: bool,
    ) -> Result<(), DirectoryError> {
        let mut seen = self.evacuations().state_of(hall).revision;
        for _ in 0..ORDER_TRIES {
            let order = EvacuationOrder {
                hall: hall.to_owned(),
                evacuated,
                seen,
            };
            let answer = self.commit(&DocumentCommand::Evacuate(order)).await;
            match answer {
                Ok(DocumentAnswer::Evacuation(EvacuationOutcome::Held(state))) => {
                    let revision = state.revision;
                    let detail = format!("hall={hall} evacuated={evacuated} revision={revision}");
                    self.record(EventCode::EvacuationAccepted, &detail);
                    return Ok(());
                }
                // This host had not reached the newest order for the hall yet.
                Ok(DocumentAnswer::Evacuation(EvacuationOutcome::Outdated(state))) => {
                    seen = state.revision;
                }
                _ => break,
            }
        }
        let detail = format!("hall={hall} evacuated={evacuated} outcome=unknown");
        self.record(EventCode::EvacuationFailed, &detail);
        Err(DirectoryError::NoQuorum)
    }

    /// Returns the committed evacuations that this host has reached.
    pub fn evacuations(&self) -> Arc<EvacuationBook> {
        self.shared.machine.evacuations()
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
        let change = self.lock().registry.take_heartbeat(record, Instant::now());
        self.finish_change(&id, &detail, change).await
    }

    /// Takes the word of a target that it leaves. A target that is not known is left already.
    ///
    /// # Errors
    ///
    /// As [`DirectoryNode::take_heartbeat`].
    pub async fn take_leave(&self, id: &str) -> Result<(), DirectoryError> {
        let change = self.lock().registry.take_leave(id, Instant::now());
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
            // The others are told by these, not by this host.
            while !self.spread_to(number, |one| one.lists) {
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

    /// Commits a command, here or at the leader, within the time that a command of its size may take.
    async fn commit(&self, command: &DocumentCommand) -> Result<DocumentAnswer, DirectoryError> {
        let bytes = postcard::to_stdvec(command).map_err(|_| DirectoryError::NoQuorum)?;
        let answer_bytes = match command {
            DocumentCommand::Put(_) | DocumentCommand::Evacuate(_) => 0,
            DocumentCommand::Read => self.held_document().map_or(0, |held| held.body().len()),
        };
        let length = bytes.len() + answer_bytes;
        let passing = Duration::from_secs_f64(length as f64 / LEAST_BYTES_PER_S);
        let bound = self.shared.timing.commit + passing;
        let try_bound = match length <= SMALL_COMMAND {
            true => TRY_BOUND,
            false => bound,
        };
        let started = Instant::now();
        while let Some(left) = bound.checked_sub(started.elapsed()) {
            let left = left.min(try_bound);
            let answer = match timeout(left, self.commit_once(&bytes, left)).await {
                Ok(Some(answer)) => postcard::from_bytes(&answer).ok(),
                _ => None,
            };
            if let Some(answer) = answer {
                return Ok(answer);
            }
            sleep(LEADER_RETRY_WAIT).await;
        }
        Err(DirectoryError::NoQuorum)
    }

    // Every command may be given twice: a put of the same version changes nothing the second time, and
    // an order for a hall that is as it wants it neither.
    async fn commit_once(&self, bytes: &[u8], bound: Duration) -> Option<Vec<u8>> {
        match self.shared.replica.propose(bytes.to_vec()).await {
            Ok(answer) => return Some(answer),
            Err(ProposeError::NotLeader { .. }) => {}
            Err(_) => return None,
        }
        let leader = self.leader_address()?;
        let request = DirectoryCall::Command(bytes.to_vec());
        match call(&self.shared.identity, leader, &request, bound).await {
            Ok(DirectoryReply::Answer(answer)) => Some(answer),
            _ => None,
        }
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        let status = self.shared.replica.status();
        let leader = status.leader.filter(|id| *id != status.id)?;
        status.members.find(leader).map(|member| member.peer)
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

    /// Takes what another control host knows of targets.
    pub fn take_from_control(&self, update: DirectoryUpdate, now: Instant) {
        for record in update.targets {
            let (id, detail) = (record.id.clone(), describe_target(&record));
            let change = self.lock().registry.take_record(record, now);
            self.note_change(&id, &detail, change);
        }
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
        "service={} address={} hall={} state={:?} sequence={}",
        record.service, record.address, record.hall, record.state, record.sequence
    )
}

async fn expire_targets(node: DirectoryNode) {
    loop {
        sleep(EXPIRY_TICK).await;
        let span = node.shared.timing.silence;
        let silent = node.lock().registry.expire(Instant::now(), span);
        for id in &silent {
            let detail = format!("silent_ms={}", span.as_millis());
            node.shared
                .recorder
                .record(EventCode::TargetSilent, id, detail);
        }
        if !silent.is_empty() {
            node.wake();
        }
    }
}

async fn announce_documents(node: DirectoryNode) {
    let mut changes = node.shared.machine.changes();
    while changes.changed().await.is_ok() {
        node.wake();
    }
}

#[cfg(test)]
mod tests;
