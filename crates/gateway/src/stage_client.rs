//! Hands batches of pieces to the entry host that gathers them for their service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::GatewayRecord;
use linnet_wire::{PeerGreeting, PeerIdentity, PeerReader, PeerWriter, WireError, connect_peer};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::coordinator::{BatchKey, Coordinator};
use crate::piece::{PieceBatch, PieceFault, PieceReply, PieceRequest, PoolLoad};
use crate::rendezvous;

/// Between two signs of life.
pub(crate) const ALIVE_PERIOD: Duration = Duration::from_millis(250);

/// A side that is silent for so long is taken as lost.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// How long a host that was lost is passed over.
const LOST_SPAN: Duration = Duration::from_millis(1_500);

/// How long the load of a pool counts.
const LOAD_KEPT: Duration = Duration::from_millis(600);

/// How often a batch is handed out before it counts as lost.
const MAX_HANDOUTS: u32 = 3;

type Results = Vec<Result<String, PieceFault>>;

/// Where a batch was gathered; its results are released there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Home {
    /// On this host.
    Here,
    /// On another entry host.
    Remote(SocketAddr),
}

struct Link {
    outgoing: mpsc::UnboundedSender<PieceRequest>,
    waiting: HashMap<u64, oneshot::Sender<Results>>,
}

#[derive(Default)]
struct ClientState {
    gateways: Vec<GatewayRecord>,
    lost: HashMap<SocketAddr, Instant>,
    links: HashMap<SocketAddr, Link>,
    next_batch: u64,
    /// What the coordinators told of their pools, and when.
    loads: HashMap<String, (PoolLoad, Instant)>,
}

/// The way to the hosts that gather pieces. Cheap to clone.
#[derive(Clone)]
pub(crate) struct StageClient {
    identity: PeerIdentity,
    name: String,
    coordinator: Rc<Coordinator>,
    state: Rc<RefCell<ClientState>>,
}

impl StageClient {
    pub(crate) fn new(identity: PeerIdentity, name: String, coordinator: Rc<Coordinator>) -> Self {
        Self {
            identity,
            name,
            coordinator,
            state: Rc::default(),
        }
    }

    /// Takes the entry hosts that are known.
    pub(crate) fn set_gateways(&self, gateways: Vec<GatewayRecord>) {
        self.state.borrow_mut().gateways = gateways;
    }

    /// Returns how many entry hosts are known, this one among them.
    pub(crate) fn gateway_count(&self) -> usize {
        let state = self.state.borrow();
        let others = state.gateways.iter().filter(|one| one.name != self.name);
        others.count() + 1
    }

    /// Runs a batch; `Home` says where its results are released.
    pub(crate) async fn run(&self, mut batch: PieceBatch) -> (Results, Home) {
        let count = batch.pieces.len();
        for _ in 0..MAX_HANDOUTS {
            let home = self.home_of(&batch.service);
            let results = match home {
                Home::Here => self.run_here(batch.clone()).await,
                Home::Remote(address) => {
                    batch.number = self.next_number();
                    self.run_at(address, batch.clone()).await
                }
            };
            match results {
                Some(results) => return (results, home),
                None => {
                    if let Home::Remote(address) = home {
                        self.note_lost(address);
                    }
                }
            }
        }
        (vec![Err(PieceFault::Lost); count], Home::Here)
    }

    /// Releases results where they were gathered.
    pub(crate) fn free(&self, home: Home, service: &str, handles: Vec<String>) {
        match home {
            Home::Here => self.coordinator.free(service, handles),
            Home::Remote(address) => {
                let state = self.state.borrow();
                if let Some(link) = state.links.get(&address) {
                    let service = service.to_owned();
                    let _ = link.outgoing.send(PieceRequest::Free { service, handles });
                }
            }
        }
    }

    // Every host ranks the others alike, so they meet at the same one while they hear the same.
    fn home_of(&self, service: &str) -> Home {
        let now = Instant::now();
        let state = self.state.borrow();
        let usable = state.gateways.iter().filter(|one| {
            let lost = state.lost.get(&one.peer).is_some_and(|until| *until > now);
            one.name != self.name && !one.stopping && !lost
        });
        let best = usable.max_by_key(|one| rendezvous::score(service, &one.name));
        match best {
            Some(best)
                if rendezvous::score(service, &best.name)
                    > rendezvous::score(service, &self.name) =>
            {
                Home::Remote(best.peer)
            }
            _ => Home::Here,
        }
    }

    fn next_number(&self) -> u64 {
        let mut state = self.state.borrow_mut();
        state.next_batch += 1;
        state.next_batch
    }

    fn note_lost(&self, address: SocketAddr) {
        let until = Instant::now() + LOST_SPAN;
        self.state.borrow_mut().lost.insert(address, until);
    }

    async fn run_here(&self, batch: PieceBatch) -> Option<Results> {
        let (done, results) = oneshot::channel();
        let key = self.coordinator.submit(batch, move |results| {
            let _ = done.send(results);
        });
        let _guard = key.map(|key| LocalBatch {
            coordinator: self.coordinator.clone(),
            key,
        });
        results.await.ok()
    }

    async fn run_at(&self, address: SocketAddr, batch: PieceBatch) -> Option<Results> {
        let (done, results) = oneshot::channel();
        let number = batch.number;
        {
            let mut state = self.state.borrow_mut();
            let link = state
                .links
                .entry(address)
                .or_insert_with(|| self.start_link(address));
            link.waiting.insert(number, done);
            let _ = link.outgoing.send(PieceRequest::Run(batch));
        }
        let _guard = RemoteBatch {
            client: self.clone(),
            address,
            number,
        };
        results.await.ok()
    }

    fn start_link(&self, address: SocketAddr) -> Link {
        let (outgoing, queue) = mpsc::unbounded_channel();
        ntex::rt::spawn(run_link(self.clone(), address, queue));
        Link {
            outgoing,
            waiting: HashMap::new(),
        }
    }

    fn take_loads(&self, loads: Vec<(String, PoolLoad)>) {
        let now = Instant::now();
        let loads = loads
            .into_iter()
            .map(|(service, load)| (service, (load, now)));
        self.state.borrow_mut().loads.extend(loads);
    }

    /// Returns the load of a pool as it was told lately; nothing where it is not known.
    pub(crate) fn load_of(&self, service: &str) -> Option<PoolLoad> {
        if self.home_of(service) == Home::Here {
            return self.coordinator.load_of(service);
        }
        let state = self.state.borrow();
        let (load, told) = state.loads.get(service)?;
        (told.elapsed() < LOAD_KEPT).then(|| load.clone())
    }

    fn take_done(&self, address: SocketAddr, number: u64, results: Results) {
        let mut state = self.state.borrow_mut();
        let waiter = state
            .links
            .get_mut(&address)
            .and_then(|link| link.waiting.remove(&number));
        if let Some(waiter) = waiter {
            let _ = waiter.send(results);
        }
    }
}

/// Withdraws a batch of this host when its request ends before it.
struct LocalBatch {
    coordinator: Rc<Coordinator>,
    key: BatchKey,
}

impl Drop for LocalBatch {
    fn drop(&mut self) {
        self.coordinator.cancel(self.key);
    }
}

/// Withdraws a batch at another host when its request ends before it.
struct RemoteBatch {
    client: StageClient,
    address: SocketAddr,
    number: u64,
}

impl Drop for RemoteBatch {
    fn drop(&mut self) {
        let mut state = self.client.state.borrow_mut();
        let Some(link) = state.links.get_mut(&self.address) else {
            return;
        };
        if link.waiting.remove(&self.number).is_some() {
            let _ = link.outgoing.send(PieceRequest::Cancel(self.number));
        }
    }
}

async fn run_link(
    client: StageClient,
    address: SocketAddr,
    queue: mpsc::UnboundedReceiver<PieceRequest>,
) {
    let _ = exchange(&client, address, queue).await;
    // Dropping the link drops its waiters, which then try another host.
    let link = client.state.borrow_mut().links.remove(&address);
    drop(link);
}

async fn exchange(
    client: &StageClient,
    address: SocketAddr,
    queue: mpsc::UnboundedReceiver<PieceRequest>,
) -> Result<(), WireError> {
    let Ok(connected) = timeout(SILENCE_LIMIT, connect_peer(&client.identity, address)).await
    else {
        return Ok(());
    };
    let (reader, mut writer) = connected?;
    writer.send(&PeerGreeting::Pieces).await?;
    tokio::select! {
        ended = take_replies(client, address, reader) => ended,
        ended = send_queued(queue, writer) => ended,
    }
}

async fn take_replies(
    client: &StageClient,
    address: SocketAddr,
    mut reader: PeerReader,
) -> Result<(), WireError> {
    while let Ok(reply) = timeout(SILENCE_LIMIT, reader.receive::<PieceReply>()).await {
        match reply? {
            PieceReply::Done { number, results } => client.take_done(address, number, results),
            PieceReply::Alive { loads } => client.take_loads(loads),
        }
    }
    Ok(())
}

async fn send_queued(
    mut queue: mpsc::UnboundedReceiver<PieceRequest>,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    loop {
        let request = match timeout(ALIVE_PERIOD, queue.recv()).await {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err(_) => PieceRequest::Alive,
        };
        writer.send(&request).await?;
    }
}
