//! Following the directories of control hosts: a control host follows all others, an entry host a
//! few.

mod acknowledge;
mod followed;
mod report;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_quarantine::PartRecord;
use linnet_rate::RateObservation;
use linnet_rollout::PhaseCounts;
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::{
    MessageVersion, PeerGreeting, PeerIdentity, PeerReader, PeerWriter, WireError, connect_peer,
};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::change_reports::{PartSource, RateLimitSource, SuspectSource};
use crate::document_follower::{DocumentFollower, DocumentSink};
use crate::message::{RoleTail, UpdateTail};
use crate::message_v1::DirectoryUpdateV1;
use crate::serve::PEER_SILENCE_TIMEOUT;
use crate::{DirectoryUpdate, EntryHostRecord, SubscriberHello, TargetRecord, TargetState};

pub use acknowledge::PropagationWait;

use acknowledge::{AppliedUpdate, acknowledge};
use followed::{FollowedHost, choose_followed, choose_list_sources, rank_controls};
use report::send_reports;

/// Timeout for opening a connection. The system resends a lost first packet only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delays before reconnecting to a control host: short at first, since a process that was restarted
/// is back within moments, and doubled with each failed attempt.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);

/// How often the set of control hosts to follow is recomputed.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(200);

/// Rounds after which a control host that is no longer needed is not followed any more.
const MAX_ROUNDS_UNNEEDED: u32 = 50;

/// Returns what a process counts for the roll-outs in progress; empty if there are none.
pub type CountSource = Box<dyn Fn() -> Vec<PhaseCounts>>;

/// Configuration of a follower.
pub struct FollowConfig {
    /// Name, keys and clock used towards peers.
    pub identity: PeerIdentity,
    /// Receives events.
    pub recorder: Arc<EventRecorder>,
    /// Record of this process if it serves callers; reported to every control host.
    pub entry_host: watch::Receiver<Option<EntryHostRecord>>,
    /// Where configurations are stored; `None` for a control host, which gets them through the
    /// replicated log.
    pub documents: Option<DocumentSink>,
    /// Suspected requests that this process knows of, if it sends requests to targets; reported to
    /// every control host.
    pub suspects: Option<SuspectSource>,
    /// Suspected parts of prompts that this process knows of, if it sends requests to targets;
    /// reported to every control host.
    pub parts: Option<PartSource>,
    /// Rate limits that targets announced to this process, if it sends requests to them; reported
    /// to every control host.
    pub rate_limits: Option<RateLimitSource>,
    /// Counts for roll-outs, if this process sends requests to targets; reported to every control
    /// host.
    pub counts: Option<CountSource>,
    /// Whether this process is a control host.
    pub is_control: bool,
    /// Address of this process, which it does not follow.
    pub own_address: SocketAddr,
    /// Control hosts to start from; read again whenever they change.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Called with each update from a control host.
    pub on_update: Box<dyn Fn(SocketAddr, DirectoryUpdate)>,
    /// Called when the connection to a control host is lost.
    pub on_lost: Box<dyn Fn(SocketAddr)>,
    /// Waits until the followers of this process have received a withdrawal; `None` for a process
    /// without followers.
    pub propagation: Option<PropagationWait>,
}

struct FollowState {
    config: FollowConfig,
    documents: Option<DocumentFollower>,
    /// Members that each connected control host announced.
    announced_members: RefCell<BTreeMap<SocketAddr, Vec<SocketAddr>>>,
    followed: RefCell<BTreeMap<SocketAddr, FollowedHost>>,
    /// Control hosts for which a task is running, including those that the task is about to stop
    /// following.
    tasks: RefCell<BTreeSet<SocketAddr>>,
    /// Wakes the tasks when a control host is no longer followed.
    unfollowed: watch::Sender<()>,
    /// Control hosts to which a connection is open.
    connected: RefCell<BTreeSet<SocketAddr>>,
    /// Connected control hosts from which this process receives the lists of targets and entry
    /// hosts.
    list_sources: watch::Sender<BTreeSet<SocketAddr>>,
    /// Distinguishes this incarnation of the process from others.
    incarnation: u64,
}

impl FollowState {
    fn new(mut config: FollowConfig) -> Self {
        let (own_address, recorder) = (config.own_address, config.recorder.clone());
        let sink = config.documents.take();
        Self {
            documents: sink.map(|sink| DocumentFollower::new(own_address, sink, recorder)),
            config,
            announced_members: RefCell::default(),
            followed: RefCell::default(),
            tasks: RefCell::default(),
            unfollowed: watch::Sender::default(),
            connected: RefCell::default(),
            list_sources: watch::Sender::default(),
            incarnation: fastrand::u64(..),
        }
    }

    fn is_followed(&self, address: SocketAddr) -> bool {
        self.followed.borrow().contains_key(&address)
    }

    /// Resolves when a control host is no longer followed.
    async fn wait_until_unfollowed(&self, address: SocketAddr) {
        let mut unfollowed = self.unfollowed.subscribe();
        while self.is_followed(address) {
            if unfollowed.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Records whether a control host runs an earlier build, by the message version that it
    /// announced.
    fn record_build(&self, address: SocketAddr, message_version: Option<MessageVersion>) {
        if let Some(host) = self.followed.borrow_mut().get_mut(&address) {
            host.runs_earlier_build = message_version < Some(MessageVersion::V3);
        }
    }

    /// Records whether a control host is in contact with a leader.
    fn record_leadership(&self, address: SocketAddr, leaderless: bool) {
        if let Some(host) = self.followed.borrow_mut().get_mut(&address) {
            host.leaderless_since = match (leaderless, host.leaderless_since) {
                (false, _) => None,
                (true, since) => Some(since.unwrap_or_else(Instant::now)),
            };
        }
    }

    fn set_connected(&self, address: SocketAddr, is_connected: bool) {
        if let Some(host) = self.followed.borrow_mut().get_mut(&address) {
            host.connected = is_connected;
            host.changed_at = Instant::now();
            host.leaderless_since = None;
        }
        let mut connected = self.connected.borrow_mut();
        match is_connected {
            true => connected.insert(address),
            false => connected.remove(&address),
        };
        let list_sources = match self.config.is_control {
            true => connected.clone(),
            false => choose_list_sources(self.config.own_address, &connected),
        };
        let former = self.list_sources.send_replace(list_sources.clone());
        // Hosts that are no longer list sources send no more changes, so their lists would become
        // outdated.
        for removed in former
            .difference(&list_sources)
            .filter(|one| connected.contains(one))
        {
            (self.config.on_lost)(*removed);
        }
    }

    fn is_list_source(&self, address: SocketAddr) -> bool {
        self.list_sources.borrow().contains(&address)
    }

    fn document_version(&self) -> u64 {
        let documents = self.documents.as_ref();
        documents.map_or(0, DocumentFollower::current_version)
    }
}

/// Follows control hosts that the seeds or the followed control hosts name, until the process ends:
/// an entry host a few of them, a control host all.
pub async fn follow_directory(config: FollowConfig) {
    let state = Rc::new(FollowState::new(config));
    loop {
        for address in update_followed(&state) {
            if state.tasks.borrow_mut().insert(address) {
                ntex::rt::spawn(follow_host(state.clone(), address));
            }
        }
        if let Some(documents) = &state.documents {
            documents.check_timeout();
        }
        sleep(MEMBERSHIP_INTERVAL).await;
    }
}

// Seeds may be outdated, so the members that connected control hosts announce are used as well. A
// host that neither names any more is dropped after some rounds.
fn update_followed(state: &FollowState) -> Vec<SocketAddr> {
    let mut known: BTreeSet<SocketAddr> = state.config.seeds.borrow().iter().copied().collect();
    known.extend(state.announced_members.borrow().values().flatten().copied());
    known.remove(&state.config.own_address);
    let now = Instant::now();
    let chosen = choose_hosts(state, known, now);
    let mut followed = state.followed.borrow_mut();
    for (address, host) in followed.iter_mut() {
        host.rounds_unneeded = match chosen.contains(address) {
            true => 0,
            false => host.rounds_unneeded + 1,
        };
    }
    let before = followed.len();
    followed.retain(|_, host| host.rounds_unneeded <= MAX_ROUNDS_UNNEEDED);
    if followed.len() < before {
        state.unfollowed.send_replace(());
    }
    let fresh = chosen.into_iter();
    let fresh: Vec<SocketAddr> = fresh.filter(|one| !followed.contains_key(one)).collect();
    followed.extend(fresh.iter().map(|one| (*one, FollowedHost::new(now))));
    fresh
}

/// Chooses the control hosts to follow among the known ones.
fn choose_hosts(
    state: &FollowState,
    known: BTreeSet<SocketAddr>,
    now: Instant,
) -> BTreeSet<SocketAddr> {
    let followed = state.followed.borrow();
    // A control host of an earlier build does not report to the others which entry hosts are
    // connected to it, so this process has to connect to each control host.
    if state.config.is_control || followed.values().any(|host| host.runs_earlier_build) {
        return known;
    }
    let ranked = rank_controls(state.config.own_address, &known);
    choose_followed(&ranked, |address| {
        followed
            .get(&address)
            .is_none_or(|host| host.is_usable(now))
    })
}

async fn follow_host(state: Rc<FollowState>, address: SocketAddr) {
    let config = &state.config;
    let mut failure_recorded = false;
    let mut delay = MIN_RETRY_DELAY;
    while state.is_followed(address) {
        let connected = match timeout(CONNECT_TIMEOUT, connect(config, address)).await {
            Ok(connected) => connected.map_err(|error| error.to_string()),
            Err(_) => Err("connect timed out".to_owned()),
        };
        if let Ok((reader, writer)) = connected {
            failure_recorded = false;
            delay = MIN_RETRY_DELAY;
            let detail = format!("have_version={}", state.document_version());
            record(config, EventCode::ControlFollowed, address, detail);
            state.set_connected(address, true);
            state.record_build(address, reader.message_version());
            let ended = tokio::select! {
                ended = run_connection(&state, address, reader, writer) => ended,
                () = state.wait_until_unfollowed(address) => Ok(()),
            };
            state.set_connected(address, false);
            state.announced_members.borrow_mut().remove(&address);
            if let Some(documents) = &state.documents {
                documents.mark_source_lost(address);
            }
            (config.on_lost)(address);
            let cause = ended.err().map_or(String::new(), |error| error.to_string());
            record(
                config,
                EventCode::ControlLost,
                address,
                format!("cause={cause}"),
            );
        } else if !failure_recorded {
            failure_recorded = true;
            let cause = connected.err().unwrap_or_default();
            record(config, EventCode::ControlLost, address, cause);
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
    state.tasks.borrow_mut().remove(&address);
}

fn record(config: &FollowConfig, code: EventCode, address: SocketAddr, detail: String) {
    config.recorder.record(code, &address.to_string(), detail);
}

async fn connect(
    config: &FollowConfig,
    address: SocketAddr,
) -> Result<(PeerReader, PeerWriter), WireError> {
    let (reader, mut writer) = connect_peer(&config.identity, address).await?;
    writer.send(&PeerGreeting::Directory).await?;
    let hello = SubscriberHello {
        is_control: config.is_control,
    };
    writer.send(&hello).await?;
    Ok((
        reader.with_silence_timeout(PEER_SILENCE_TIMEOUT),
        writer.with_silence_timeout(PEER_SILENCE_TIMEOUT),
    ))
}

async fn run_connection(
    state: &FollowState,
    address: SocketAddr,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let (acknowledged_sender, acknowledged) = watch::channel(0);
    let (applied_sender, applied) = mpsc::unbounded_channel();
    tokio::select! {
        ended = receive_updates(state, address, reader, applied_sender) => ended,
        ended = send_reports(state, address, writer, acknowledged) => ended,
        () = acknowledge(state.config.propagation.as_ref(), applied, acknowledged_sender) => Ok(()),
    }
}

async fn receive_updates(
    state: &FollowState,
    address: SocketAddr,
    mut reader: PeerReader,
    applied_sender: mpsc::UnboundedSender<AppliedUpdate>,
) -> Result<(), WireError> {
    loop {
        let mut update = receive_update(state, address, &mut reader).await?;
        if let Some(addresses) = &update.control_addresses {
            let mut announced_members = state.announced_members.borrow_mut();
            announced_members.insert(address, addresses.clone());
        }
        if let Some(documents) = &state.documents {
            apply_document_update(documents, address, &mut update);
        }
        if !state.is_list_source(address) {
            // Lists from this host would become outdated, but a withdrawal is final.
            let withdrew = |record: &TargetRecord| record.state > TargetState::Ready;
            update.targets.retain(withdrew);
            update.entry_hosts = None;
            update.lists_complete = false;
        }
        state.record_leadership(address, update.leaderless);
        let withdraws = update
            .targets
            .iter()
            .any(|one| one.state > TargetState::Ready);
        let revision = update.revision;
        (state.config.on_update)(address, update);
        // The receiver is gone only when the connection is about to end.
        let _ = applied_sender.send(AppliedUpdate {
            revision,
            withdraws,
        });
    }
}

/// Receives an update. If the control host announced no message version, its first update reveals
/// it.
async fn receive_update(
    state: &FollowState,
    address: SocketAddr,
    reader: &mut PeerReader,
) -> Result<DirectoryUpdate, WireError> {
    let known = reader.message_version();
    let (update, tail, rate_limits, parts, roles) = reader
        .receive_with_tails::<DirectoryUpdate, DirectoryUpdateV1, UpdateTail, Vec<RateObservation>, Vec<PartRecord>, RoleTail>(
        )
        .await?;
    let update = update
        .with_tails(tail, rate_limits, parts)
        .with_roles(roles);
    if let (None, Some(message_version)) = (known, reader.message_version()) {
        let detail = format!("peer={} form={message_version}", reader.peer());
        record(&state.config, EventCode::PeerEarlier, address, detail);
    }
    Ok(update)
}

fn apply_document_update(
    documents: &DocumentFollower,
    address: SocketAddr,
    update: &mut DirectoryUpdate,
) {
    if let Some(offer) = update.offer.take() {
        documents.record_offer(address, offer);
    }
    if let Some(part) = update.part.take() {
        documents.receive_part(address, part);
    }
}

#[cfg(test)]
mod tests;
