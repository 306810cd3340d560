//! Following the directory of every control host that is known.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use linnet_telemetry::{EventCode, EventRecorder};
use linnet_wire::{PeerGreeting, PeerIdentity, PeerReader, PeerWriter, WireError, connect_peer};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::serve::{SILENCE_LIMIT, UPDATE_PERIOD};
use crate::{DirectoryUpdate, GatewayRecord, SubscriberHello, SubscriberReport};

/// How long opening a connection may take. A first packet that is lost is sent again by the system
/// only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits before a control host that was lost is tried again: short at first, since a process that
/// was started anew is there within moments, and doubled with each try that fails.
const FIRST_RETRY_WAIT: Duration = Duration::from_millis(40);
const LAST_RETRY_WAIT: Duration = Duration::from_millis(320);

/// How often the set of control hosts is looked at.
const MEMBERS_TICK: Duration = Duration::from_millis(200);

/// How long a control host that no other one names is followed on.
const UNNAMED_ROUNDS: u32 = 50;

/// Control hosts that are asked to push a newer configuration at once. The others do so only where
/// this process stays behind.
const DOCUMENT_SOURCES: usize = 2;

/// What a follower needs.
pub struct FollowConfig {
    /// Name, keys and clock towards peers.
    pub identity: PeerIdentity,
    /// Where events go.
    pub recorder: Arc<EventRecorder>,
    /// This process, where it takes callers' requests; told to every control host.
    pub gateway: watch::Receiver<Option<GatewayRecord>>,
    /// The version of the configuration that is in force here.
    pub document_version: Box<dyn Fn() -> u64>,
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
    /// The members that each connected control host named.
    named: RefCell<BTreeMap<SocketAddr, Vec<SocketAddr>>>,
    /// Control hosts that are connected, in the order in which they are asked for configurations.
    connected: RefCell<BTreeSet<(u64, SocketAddr)>>,
    /// Control hosts that are followed, with the rounds for which nobody named them.
    followed: RefCell<BTreeMap<SocketAddr, u32>>,
}

impl Following {
    /// Returns a control host with its place in the order in which this process asks them; others ask
    /// in another order, so that the work is spread.
    fn ordered(&self, control: SocketAddr) -> (u64, SocketAddr) {
        let mut hasher = DefaultHasher::new();
        (self.config.me, control).hash(&mut hasher);
        (hasher.finish(), control)
    }

    /// Says whether a control host is among those that should push configurations at once.
    fn wants_documents_of(&self, control: SocketAddr) -> bool {
        let connected = self.connected.borrow();
        let mut asked = connected.iter().take(DOCUMENT_SOURCES);
        self.config.control || asked.any(|(_, address)| *address == control)
    }
}

/// Follows every control host that the seeds or the followed ones name, until the process ends.
pub async fn follow_directory(config: FollowConfig) {
    let following = Rc::new(Following {
        config,
        named: RefCell::default(),
        connected: RefCell::default(),
        followed: RefCell::default(),
    });
    loop {
        for address in fresh_addresses(&following) {
            ntex::rt::spawn(follow_one(following.clone(), address));
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
            let detail = format!("have_version={}", (config.document_version)());
            record(config, EventCode::ControlFollowed, address, detail);
            let place = following.ordered(address);
            following.connected.borrow_mut().insert(place);
            let ended = exchange(&following, address, reader, writer).await;
            following.connected.borrow_mut().remove(&place);
            following.named.borrow_mut().remove(&address);
            (config.on_lost)(address);
            record(config, EventCode::ControlLost, address, describe(&ended));
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

fn describe(ended: &Result<(), WireError>) -> String {
    match ended {
        Ok(()) => format!("cause=silent for {} ms", SILENCE_LIMIT.as_millis()),
        Err(error) => format!("cause={error}"),
    }
}

async fn connect(
    config: &FollowConfig,
    address: SocketAddr,
) -> Result<(PeerReader, PeerWriter), WireError> {
    let (reader, mut writer) = connect_peer(&config.identity, address).await?;
    writer.send(&PeerGreeting::Directory).await?;
    let hello = SubscriberHello {
        document_version: (config.document_version)(),
        control: config.control,
    };
    writer.send(&hello).await?;
    Ok((reader, writer))
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
    while let Ok(update) = timeout(SILENCE_LIMIT, reader.receive::<DirectoryUpdate>()).await {
        let update = update?;
        if let Some(controls) = &update.controls {
            let mut named = following.named.borrow_mut();
            named.insert(address, controls.clone());
        }
        let number = update.number;
        (following.config.on_update)(address, update);
        taken.send_if_modified(|last| std::mem::replace(last, number) != number);
    }
    Ok(())
}

async fn send_reports(
    following: &Following,
    address: SocketAddr,
    mut writer: PeerWriter,
    mut acknowledged: watch::Receiver<u64>,
) -> Result<(), WireError> {
    let config = &following.config;
    let mut gateway = config.gateway.clone();
    loop {
        let report = SubscriberReport {
            document_version: (config.document_version)(),
            wants_documents: following.wants_documents_of(address),
            gateway: gateway.borrow_and_update().clone(),
            acknowledged: *acknowledged.borrow_and_update(),
        };
        match timeout(SILENCE_LIMIT, writer.send(&report)).await {
            Ok(sent) => sent?,
            Err(_) => return Ok(()),
        }
        tokio::select! {
            changed = acknowledged.changed() => if changed.is_err() { return Ok(()) },
            () = record_changed(&mut gateway) => {}
            () = sleep(UPDATE_PERIOD) => {}
        }
    }
}

// Where nobody can change the record any more there is nothing to wait for.
async fn record_changed(gateway: &mut watch::Receiver<Option<GatewayRecord>>) {
    if gateway.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
