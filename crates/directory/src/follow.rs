//! Following the directory of every control host that is known.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use linnet_rollout::PhaseCounts;
use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::{PeerGreeting, PeerIdentity, PeerReader, PeerWriter, WireError, connect_peer};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::document_follower::{DocumentFollower, DocumentSink};
use crate::fetch::FetchProgress;
use crate::first_form::FirstUpdate;
use crate::message::{ReportTail, UpdateTail};
use crate::serve::{SILENCE_LIMIT, SUSPECTS_AT_ONCE, UPDATE_PERIOD};
use crate::suspect_reports::{SuspectReports, SuspectSource};
use crate::{
    ContentHash, DirectoryUpdate, GatewayRecord, SubscriberHello, SubscriberReport, TargetRecord,
    TargetState,
};

/// How long opening a connection may take. A first packet that is lost is sent again by the system
/// only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits before a control host that was lost is tried again: short at first, since a process that
/// was started anew is there within moments, and doubled with each try that fails.
const FIRST_RETRY_WAIT: Duration = Duration::from_millis(40);
const LAST_RETRY_WAIT: Duration = Duration::from_millis(320);

/// Control hosts that tell one process of targets and entry hosts. All tell it of the configuration and of
/// evacuations. They tell each other at once, so three know what all know, and what an entry host is told,
/// and works its list of targets out from, does not grow with their number. With parts of
/// `TARGETS_AT_ONCE` targets it took the memory of a control host of 300 machines and 3,000 targets from
/// 135 MB to 26, and the time until that fleet served after all were killed from 30 s to 8.5.
const TELLERS: usize = 3;

/// Between two reports while a roll-out is under way: how long a bad version goes on to get its share.
const COUNT_PERIOD: Duration = Duration::from_millis(100);

/// How often the set of control hosts is looked at.
const MEMBERS_TICK: Duration = Duration::from_millis(200);

/// How long a control host that no other one names is followed on.
const UNNAMED_ROUNDS: u32 = 50;

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
}

struct Following {
    config: FollowConfig,
    documents: Option<DocumentFollower>,
    /// The members that each connected control host named.
    named: RefCell<BTreeMap<SocketAddr, Vec<SocketAddr>>>,
    /// Control hosts that are followed, with the rounds for which nobody named them.
    followed: RefCell<BTreeMap<SocketAddr, u32>>,
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
            connected: RefCell::default(),
            tellers: watch::Sender::default(),
            start: fastrand::u64(..),
        }
    }

    fn note_connection(&self, address: SocketAddr, is_up: bool) {
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

/// Chooses the control hosts that tell a process of targets and entry hosts, the same ones while they are
/// connected and others than for the next process.
fn choose_tellers(me: SocketAddr, connected: &BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
    let score = |address: &SocketAddr| ContentHash::new(format!("{me} {address}").as_bytes());
    let mut ranked: Vec<SocketAddr> = connected.iter().copied().collect();
    ranked.sort_by_key(score);
    ranked.into_iter().take(TELLERS).collect()
}

/// Follows every control host that the seeds or the followed ones name, until the process ends.
pub async fn follow_directory(config: FollowConfig) {
    let following = Rc::new(Following::new(config));
    loop {
        for address in fresh_addresses(&following) {
            ntex::rt::spawn(follow_one(following.clone(), address));
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
    let mut followed = following.followed.borrow_mut();
    for (address, rounds) in followed.iter_mut() {
        *rounds = if wanted.contains(address) {
            0
        } else {
            *rounds + 1
        };
    }
    followed.retain(|_, rounds| *rounds <= UNNAMED_ROUNDS);
    let fresh: Vec<SocketAddr> = wanted
        .into_iter()
        .filter(|address| !followed.contains_key(address))
        .collect();
    followed.extend(fresh.iter().map(|address| (*address, 0)));
    fresh
}

async fn follow_one(following: Rc<Following>, address: SocketAddr) {
    let config = &following.config;
    let mut told_lost = false;
    let mut wait = FIRST_RETRY_WAIT;
    while following.followed.borrow().contains_key(&address) {
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
            let ended = exchange(&following, address, reader, writer).await;
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
        reader.with_silence_limit(SILENCE_LIMIT),
        writer.with_silence_limit(SILENCE_LIMIT),
    ))
}

async fn exchange(
    following: &Following,
    address: SocketAddr,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let (taken, acknowledged) = watch::channel(0);
    tokio::select! {
        ended = take_updates(following, address, reader, taken) => ended,
        ended = send_reports(following, address, writer, acknowledged) => ended,
    }
}

async fn take_updates(
    following: &Following,
    address: SocketAddr,
    mut reader: PeerReader,
    taken: watch::Sender<u64>,
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
        let number = update.number;
        (following.config.on_update)(address, update);
        taken.send_if_modified(|last| std::mem::replace(last, number) != number);
    }
}

/// Receives an update. The first one of a control host that announced no form tells it.
async fn receive_update(
    following: &Following,
    address: SocketAddr,
    reader: &mut PeerReader,
) -> Result<DirectoryUpdate, WireError> {
    let known = reader.form();
    let (update, tail) = reader
        .receive_tailed::<DirectoryUpdate, FirstUpdate, UpdateTail>()
        .await?;
    let update = update.with_tail(tail);
    if let (None, Some(form)) = (known, reader.form()) {
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

async fn send_reports(
    following: &Following,
    address: SocketAddr,
    mut writer: PeerWriter,
    mut acknowledged: watch::Receiver<u64>,
) -> Result<(), WireError> {
    let mut gateway = following.config.gateway.clone();
    let documents = following.documents.as_ref();
    let mut wanted = documents.map(DocumentFollower::changes);
    let mut tellers = following.tellers.subscribe();
    let mut suspects = SuspectReports::new(following.config.suspects.as_ref());
    loop {
        // Read before the report is made: what changes while it is sent is told by the next one.
        let told = wanted.as_ref().and_then(|wanted| *wanted.borrow());
        let counts = following.config.counts.as_ref();
        let report = SubscriberReport {
            start: following.start,
            counted: counts.map_or_else(Vec::new, |counts| counts()),
            document_version: following.held_version(),
            want: documents.and_then(|documents| documents.want_of(address)),
            gateway: gateway.borrow_and_update().clone(),
            acknowledged: *acknowledged.borrow_and_update(),
            lists: tellers.borrow_and_update().contains(&address),
            suspects: suspects.next(),
        };
        send_report(&mut writer, &report).await?;
        if report.suspects.len() == SUSPECTS_AT_ONCE {
            continue;
        }
        tokio::select! {
            changed = acknowledged.changed() => if changed.is_err() { return Ok(()) },
            () = record_changed(&mut gateway) => {}
            () = want_changed(&mut wanted, told, address) => {}
            () = teller_changed(&mut tellers, report.lists, address) => {}
            () = suspects.changed() => {}
            () = sleep(report_period(&report)) => {}
        }
    }
}

/// Sends a report, and behind it what was counted for roll-outs.
async fn send_report(writer: &mut PeerWriter, report: &SubscriberReport) -> Result<(), WireError> {
    if report.counted.is_empty() {
        return writer.send(report).await;
    }
    let tail = ReportTail {
        start: report.start,
        counted: report.counted.clone(),
    };
    writer.send(&(report, tail)).await
}

fn report_period(last: &SubscriberReport) -> Duration {
    match last.counted.is_empty() {
        true => UPDATE_PERIOD,
        false => COUNT_PERIOD,
    }
}

// Only what concerns this control host is told to it.
async fn want_changed(
    wanted: &mut Option<watch::Receiver<Option<FetchProgress>>>,
    told: Option<FetchProgress>,
    address: SocketAddr,
) {
    let Some(wanted) = wanted else {
        return std::future::pending().await;
    };
    let is_of_this = |progress: &FetchProgress| progress.source == address;
    let concerns = |now: &Option<FetchProgress>| {
        *now != told
            && (told.as_ref().is_some_and(is_of_this) || now.as_ref().is_some_and(is_of_this))
    };
    if wanted.wait_for(concerns).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn teller_changed(
    tellers: &mut watch::Receiver<BTreeSet<SocketAddr>>,
    told: bool,
    address: SocketAddr,
) {
    let differs = |now: &BTreeSet<SocketAddr>| now.contains(&address) != told;
    if tellers.wait_for(differs).await.is_err() {
        std::future::pending::<()>().await;
    }
}

// Where nobody can change the record any more there is nothing to wait for.
async fn record_changed(gateway: &mut watch::Receiver<Option<GatewayRecord>>) {
    if gateway.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

#[cfg(test)]
mod tests;
