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
    MessageVersion, PeerGreeting, PeerIdentity, PeerReader, PeerWriter, WireError, connect_peer,
};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::change_reports::{RateSource, SuspectSource};
use crate::document_follower::{DocumentFollower, DocumentSink};
use crate::first_form::FirstUpdate;
use crate::message::UpdateTail;
use crate::serve::SILENCE_LIMIT;
use crate::{DirectoryUpdate, GatewayRecord, SubscriberHello, TargetRecord, TargetState};

pub use acknowledge::SpreadWait;

use acknowledge::{TakenUpdate, acknowledge};
use followed::{FollowedHost, choose_followed, choose_tellers, rank_controls};
use report::send_reports;

/// How long opening a connection may take. A first packet that is lost is sent again by the system
/// only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits before a control host that was lost is tried again: short at first, since a process that
/// was started anew is there within moments, and doubled with each try that fails.
const FIRST_RETRY_WAIT: Duration = Duration::from_millis(40);
const LAST_RETRY_WAIT: Duration = Duration::from_millis(320);

/// How often the set of control hosts is looked at.
const MEMBERS_TICK: Duration = Duration::from_millis(200);

/// How long a control host that is not wanted any more is followed on.
const UNWANTED_ROUNDS: u32 = 50;

/// Returns what a process counts for the roll-outs that are under way; nothing where none is.
pub type CountSource = Box<dyn Fn() -> Vec<PhaseCounts>>;

/// What a follower needs.
pub struct FollowConfig {
    /// Name, keys and clock towards peers.
    pub identity: PeerIdentity,
    /// Where events go.
    pub recorder: Arc<EventRecorder>,
    /// This process, where it takes callers' requests; told to every control host.
    pub gateway: watch::Receiver<Option<GatewayRecord>>,
    /// Where configurations are kept; nothing for a control host, which gets them by agreement.
    pub documents: Option<DocumentSink>,
    /// What this process holds against requests, where it sends them to targets; told to every control host.
    pub suspects: Option<SuspectSource>,
    /// The rates that targets named to this process, where it sends requests to them; told to every control host.
    pub rates: Option<RateSource>,
    /// What this process counts for roll-outs, where it sends requests to targets; told to every control host.
    pub counts: Option<CountSource>,
    /// Whether this process is a control host.
    pub control: bool,
    /// The address of this process, which is not followed.
    pub me: SocketAddr,
    /// Where to start; read again whenever it changes.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Takes an update of a control host.
    pub on_update: Box<dyn Fn(SocketAddr, DirectoryUpdate)>,
    /// Hears that a control host was lost.
    pub on_lost: Box<dyn Fn(SocketAddr)>,
    /// Waits until those that follow this process know of a withdrawal that it took; nothing where nobody follows it.
    pub spread: Option<SpreadWait>,
}

struct Following {
    config: FollowConfig,
    documents: Option<DocumentFollower>,
    /// The members that each connected control host named.
    named: RefCell<BTreeMap<SocketAddr, Vec<SocketAddr>>>,
    followed: RefCell<BTreeMap<SocketAddr, FollowedHost>>,
    /// Control hosts for which a task runs that follows them: also those that it is about to leave.
    running: RefCell<BTreeSet<SocketAddr>>,
    /// Wakes those that follow a control host when one is not followed any more.
    dropped: watch::Sender<()>,
    /// Control hosts that this process is connected with.
    connected: RefCell<BTreeSet<SocketAddr>>,
    /// Those of them that tell it of targets and entry hosts.
    tellers: watch::Sender<BTreeSet<SocketAddr>>,
    /// Tells this start of the process apart from others.
    start: u64,
}

impl Following {
    fn new(mut config: FollowConfig) -> Self {
        let (me, recorder) = (config.me, config.recorder.clone());
        let sink = config.documents.take();
        Self {
            documents: sink.map(|sink| DocumentFollower::new(me, sink, recorder)),
            config,
            named: RefCell::default(),
            followed: RefCell::default(),
            running: RefCell::default(),
            dropped: watch::Sender::default(),
            connected: RefCell::default(),
            tellers: watch::Sender::default(),
            start: fastrand::u64(..),
        }
    }

    fn is_followed(&self, address: SocketAddr) -> bool {
        self.followed.borrow().contains_key(&address)
    }

    /// Resolves when a control host is not followed any more.
    async fn until_dropped(&self, address: SocketAddr) {
        let mut dropped = self.dropped.subscribe();
        while self.is_followed(address) {
            if dropped.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Notes the form that a control host has announced.
    fn note_build(&self, address: SocketAddr, form: Option<MessageVersion>) {
        if let Some(host) = self.followed.borrow_mut().get_mut(&address) {
            host.earlier = form < Some(MessageVersion::V3);
        }
    }

    /// Notes whether a control host hears a leader.
    fn note_leader(&self, address: SocketAddr, unled: bool) {
        if let Some(host) = self.followed.borrow_mut().get_mut(&address) {
            host.unled = match (unled, host.unled) {
                (false, _) => None,
                (true, since) => Some(since.unwrap_or_else(Instant::now)),
            };
        }
    }

    fn note_connection(&self, address: SocketAddr, is_up: bool) {
        if let Some(host) = self.followed.borrow_mut().get_mut(&address) {
            host.connected = is_up;
            host.since = Instant::now();
            host.unled = None;
        }
        let mut connected = self.connected.borrow_mut();
        match is_up {
            true => connected.insert(address),
            false => connected.remove(&address),
        };
        let tellers = match self.config.control {
            true => connected.clone(),
            false => choose_tellers(self.config.me, &connected),
        };
        let former = self.tellers.send_replace(tellers.clone());
        // What those told that tell no more would be out of date from now on.
        for dropped in former
            .difference(&tellers)
            .filter(|one| connected.contains(one))
        {
            (self.config.on_lost)(*dropped);
        }
    }

    fn is_teller(&self, address: SocketAddr) -> bool {
        self.tellers.borrow().contains(&address)
    }

    fn held_version(&self) -> u64 {
        let documents = self.documents.as_ref();
        documents.map_or(0, DocumentFollower::held_version)
    }
}

/// Follows control hosts that the seeds or the followed ones name, until the process ends: an entry host a few of
/// them, a control host all.
pub async fn follow_directory(config: FollowConfig) {
    let following = Rc::new(Following::new(config));
    loop {
        for address in fresh_addresses(&following) {
            if following.running.borrow_mut().insert(address) {
                ntex::rt::spawn(follow_one(following.clone(), address));
            }
        }
        if let Some(documents) = &following.documents {
            documents.check();
        }
        sleep(MEMBERS_TICK).await;
    }
}

// Seeds may be out of date, so the members that connected control hosts name count beside them. A
// host that neither names any more is given up after some rounds.
fn fresh_addresses(following: &Following) -> Vec<SocketAddr> {
    let mut wanted: BTreeSet<SocketAddr> =
        following.config.seeds.borrow().iter().copied().collect();
    wanted.extend(following.named.borrow().values().flatten().copied());
    wanted.remove(&following.config.me);
    let now = Instant::now();
    let chosen = chosen_of(following, wanted, now);
    let mut followed = following.followed.borrow_mut();
    for (address, host) in followed.iter_mut() {
        host.unwanted = match chosen.contains(address) {
            true => 0,
            false => host.unwanted + 1,
        };
    }
    let before = followed.len();
    followed.retain(|_, host| host.unwanted <= UNWANTED_ROUNDS);
    if followed.len() < before {
        following.dropped.send_replace(());
    }
    let fresh = chosen.into_iter();
    let fresh: Vec<SocketAddr> = fresh.filter(|one| !followed.contains_key(one)).collect();
    followed.extend(fresh.iter().map(|one| (*one, FollowedHost::new(now))));
    fresh
}

/// Returns the control hosts that are to be followed, of those that are known.
fn chosen_of(
    following: &Following,
    known: BTreeSet<SocketAddr>,
    now: Instant,
) -> BTreeSet<SocketAddr> {
    let followed = following.followed.borrow();
    // One of an earlier build tells the others nothing of whom it hears, so each has to hear this process itself.
    if following.config.control || followed.values().any(|host| host.earlier) {
        return known;
    }
    let ranked = rank_controls(following.config.me, &known);
    choose_followed(&ranked, |address| {
        followed.get(&address).is_none_or(|host| host.counts(now))
    })
}

async fn follow_one(following: Rc<Following>, address: SocketAddr) {
    let config = &following.config;
    let mut told_lost = false;
    let mut wait = FIRST_RETRY_WAIT;
    while following.is_followed(address) {
        let connected = match timeout(CONNECT_TIMEOUT, connect(config, address)).await {
            Ok(connected) => connected.map_err(|error| error.to_string()),
            Err(_) => Err("no answer in time".to_owned()),
        };
        if let Ok((reader, writer)) = connected {
            told_lost = false;
            wait = FIRST_RETRY_WAIT;
            let detail = format!("have_version={}", following.held_version());
            record(config, EventCode::ControlFollowed, address, detail);
            following.note_connection(address, true);
            following.note_build(address, reader.message_version());
            let ended = tokio::select! {
                ended = exchange(&following, address, reader, writer) => ended,
                () = following.until_dropped(address) => Ok(()),
            };
            following.note_connection(address, false);
            following.named.borrow_mut().remove(&address);
            if let Some(documents) = &following.documents {
                documents.lose_source(address);
            }
            (config.on_lost)(address);
            let cause = ended.err().map_or(String::new(), |error| error.to_string());
            record(
                config,
                EventCode::ControlLost,
                address,
                format!("cause={cause}"),
            );
        } else if !told_lost {
            told_lost = true;
            let cause = connected.err().unwrap_or_default();
            record(config, EventCode::ControlLost, address, cause);
        }
        sleep(wait).await;
        wait = (wait * 2).min(LAST_RETRY_WAIT);
    }
    following.running.borrow_mut().remove(&address);
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
        control: config.control,
    };
    writer.send(&hello).await?;
    Ok((
        reader.with_silence_timeout(SILENCE_LIMIT),
        writer.with_silence_timeout(SILENCE_LIMIT),
    ))
}

async fn exchange(
    following: &Following,
    address: SocketAddr,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let (taken, acknowledged) = watch::channel(0);
    let (took, taking) = mpsc::unbounded_channel();
    tokio::select! {
        ended = take_updates(following, address, reader, took) => ended,
        ended = send_reports(following, address, writer, acknowledged) => ended,
        () = acknowledge(following.config.spread.as_ref(), taking, taken) => Ok(()),
    }
}

async fn take_updates(
    following: &Following,
    address: SocketAddr,
    mut reader: PeerReader,
    took: mpsc::UnboundedSender<TakenUpdate>,
) -> Result<(), WireError> {
    loop {
        let mut update = receive_update(following, address, &mut reader).await?;
        if let Some(controls) = &update.controls {
            let mut named = following.named.borrow_mut();
            named.insert(address, controls.clone());
        }
        if let Some(documents) = &following.documents {
            take_documents(documents, address, &mut update);
        }
        if !following.is_teller(address) {
            // Its lists would not stay up to date; that a target withdrew stays true.
            let withdrew = |record: &TargetRecord| record.state > TargetState::Ready;
            update.targets.retain(withdrew);
            update.gateways = None;
            update.lists_whole = false;
        }
        following.note_leader(address, update.unled);
        let withdraws = update
            .targets
            .iter()
            .any(|one| one.state > TargetState::Ready);
        let number = update.number;
        (following.config.on_update)(address, update);
        // Nobody takes it where the exchange is about to end.
        let _ = took.send(TakenUpdate { number, withdraws });
    }
}

/// Receives an update. The first one of a control host that announced no form tells it.
async fn receive_update(
    following: &Following,
    address: SocketAddr,
    reader: &mut PeerReader,
) -> Result<DirectoryUpdate, WireError> {
    let known = reader.message_version();
    let (update, tail, rates) = reader
        .receive_with_tails::<DirectoryUpdate, FirstUpdate, UpdateTail, Vec<RateWord>>()
        .await?;
    let update = update.with_tails(tail, rates);
    if let (None, Some(form)) = (known, reader.message_version()) {
        let detail = format!("peer={} form={form}", reader.peer());
        record(&following.config, EventCode::PeerEarlier, address, detail);
    }
    Ok(update)
}

fn take_documents(documents: &DocumentFollower, address: SocketAddr, update: &mut DirectoryUpdate) {
    if let Some(offer) = update.offer.take() {
        documents.take_offer(address, offer);
    }
    if let Some(part) = update.part.take() {
        documents.take_part(address, part);
    }
}

#[cfg(test)]
mod tests;
