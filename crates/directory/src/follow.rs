//! Following the directories of control hosts: a control host follows all others, an entry host a few.

mod acknowledge;
mod followed;
mod report;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_rate::RateWord;
use linnet_rollout::PhaseCounts;
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::{
    MessageForm, PeerGreeting, PeerIdentity, PeerReader, PeerWriter, WireError, connect_peer,
};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::change_reports::{RateLimitSource, SuspectSource};
use crate::document_follower::{DocumentFollower, DocumentSink};
use crate::message::UpdateTail;
use crate::message_v1::DirectoryUpdateV1;
use crate::serve::PEER_SILENCE_TIMEOUT;
use crate::{DirectoryUpdate, EntryHostRecord, SubscriberHello, TargetRecord, TargetState};

pub use acknowledge::PropagationWait;

use acknowledge::{AppliedUpdate, acknowledge};
use followed::{FollowedHost, choose_followed, choose_list_sources, rank_controls};
use report::send_reports;

/// How long opening a connection may take. A first packet that is lost is sent again by the system
/// only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits before a control host that was lost is tried again: short at first, since a process that
/// was started anew is there within moments, and doubled with each try that fails.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);

/// How often the set of control hosts is looked at.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(200);

/// How long a control host that is not wanted any more is followed on.
const MAX_ROUNDS_UNNEEDED: u32 = 50;

/// Returns what a process counts for the roll-outs that are under way; nothing where none is.
pub type CountSource = Box<dyn Fn() -> Vec<PhaseCounts>>;

/// What a follower needs.
pub struct FollowConfig {
    /// Name, keys and clock towards peers.
    pub identity: PeerIdentity,
    /// Where events go.
    pub recorder: Arc<EventRecorder>,
    /// This process, where it takes callers' requests; told to every control host.
    pub entry_host: watch::Receiver<Option<EntryHostRecord>>,
    /// Where configurations are kept; nothing for a control host, which gets them by agreement.
    pub documents: Option<DocumentSink>,
    /// What this process holds against requests, where it sends them to targets; told to every control host.
    pub suspects: Option<SuspectSource>,
    /// The rates that targets named to this process, where it sends requests to them; told to every control host.
    pub rate_limits: Option<RateLimitSource>,
    /// What this process counts for roll-outs, where it sends requests to targets; told to every control host.
    pub counts: Option<CountSource>,
    /// Whether this process is a control host.
    pub is_control: bool,
    /// The address of this process, which is not followed.
    pub own_address: SocketAddr,
    /// Where to start; read again whenever it changes.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Takes an update of a control host.
    pub on_update: Box<dyn Fn(SocketAddr, DirectoryUpdate)>,
    /// Hears that a control host was lost.
    pub on_lost: Box<dyn Fn(SocketAddr)>,
    /// Waits until those that follow this process know of a withdrawal that it took; nothing where nobody follows it.
    pub propagation: Option<PropagationWait>,
}

struct FollowState {
    config: FollowConfig,
    documents: Option<DocumentFollower>,
    /// The members that each connected control host named.
    announced_members: RefCell<BTreeMap<SocketAddr, Vec<SocketAddr>>>,
    followed: RefCell<BTreeMap<SocketAddr, FollowedHost>>,
    /// Control hosts for which a task runs that follows them: also those that it is about to leave.
    tasks: RefCell<BTreeSet<SocketAddr>>,
    /// Wakes those that follow a control host when one is not followed any more.
    unfollowed: watch::Sender<()>,
    /// Control hosts that this process is connected with.
    connected: RefCell<BTreeSet<SocketAddr>>,
    /// Those of them that tell it of targets and entry hosts.
    list_sources: watch::Sender<BTreeSet<SocketAddr>>,
    /// Tells this start of the process apart from others.
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

    /// Resolves when a control host is not followed any more.
    async fn wait_until_unfollowed(&self, address: SocketAddr) {
        let mut unfollowed = self.unfollowed.subscribe();
        while self.is_followed(address) {
            if unfollowed.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Notes the form that a control host has announced.
    fn record_build(&self, address: SocketAddr, message_version: Option<MessageForm>) {
        if let Some(host) = self.followed.borrow_mut().get_mut(&address) {
            host.runs_earlier_build = message_version < Some(MessageForm::Third);
        }
    }

    /// Notes whether a control host hears a leader.
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
        // What those told that tell no more would be out of date from now on.
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

/// Follows control hosts that the seeds or the followed ones name, until the process ends: an entry host a few of
/// them, a control host all.
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

// Seeds may be out of date, so the members that connected control hosts name count beside them. A
// host that neither names any more is given up after some rounds.
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

/// Returns the control hosts that are to be followed, of those that are known.
fn choose_hosts(
    state: &FollowState,
    known: BTreeSet<SocketAddr>,
    now: Instant,
) -> BTreeSet<SocketAddr> {
    let followed = state.followed.borrow();
    // One of an earlier build tells the others nothing of whom it hears, so each has to hear this process itself.
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
            Err(_) => Err("no answer in time".to_owned()),
        };
        if let Ok((reader, writer)) = connected {
            failure_recorded = false;
            delay = MIN_RETRY_DELAY;
            let detail = format!("have_version={}", state.document_version());
            record(config, EventCode::ControlFollowed, address, detail);
            state.set_connected(address, true);
            state.record_build(address, reader.form());
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
        reader.with_silence_limit(PEER_SILENCE_TIMEOUT),
        writer.with_silence_limit(PEER_SILENCE_TIMEOUT),
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
            pass_documents(documents, address, &mut update);
        }
        if !state.is_list_source(address) {
            // Its lists would not stay up to date; that a target withdrew stays true.
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
        // Nobody takes it where the exchange is about to end.
        let _ = applied_sender.send(AppliedUpdate {
            revision,
            withdraws,
        });
    }
}

/// Receives an update. The first one of a control host that announced no form tells it.
async fn receive_update(
    state: &FollowState,
    address: SocketAddr,
    reader: &mut PeerReader,
) -> Result<DirectoryUpdate, WireError> {
    let known = reader.form();
    let (update, tail, rate_limits) = reader
        .receive_tailed::<DirectoryUpdate, DirectoryUpdateV1, UpdateTail, Vec<RateWord>>()
        .await?;
    let update = update.with_tails(tail, rate_limits);
    if let (None, Some(message_version)) = (known, reader.form()) {
        let detail = format!("peer={} form={message_version}", reader.peer());
        record(&state.config, EventCode::PeerEarlier, address, detail);
    }
    Ok(update)
}

fn pass_documents(documents: &DocumentFollower, address: SocketAddr, update: &mut DirectoryUpdate) {
    if let Some(offer) = update.offer.take() {
        documents.record_offer(address, offer);
    }
    if let Some(part) = update.part.take() {
        documents.receive_part(address, part);
    }
}

#[cfg(test)]
mod tests;
