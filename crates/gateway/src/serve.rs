//! The callers' port and the port for pieces of other entry hosts.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use linnet_telemetry::EventCode;
use linnet_wire::{PeerReader, PeerWriter, WireError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::answer::refusal_answer;
use crate::ask::{Ask, read_ask};
use crate::coordinator::{BatchKey, ExpectKey};
use crate::engine::PlacementKey;
use crate::forward::forward;
use crate::gateway::OpenRequest;
use crate::piece::{PieceReply, PieceRequest};
use crate::pool_key::PoolKey;
use crate::stage_call::{CallEnd, StageCall, send_call, send_release};
use crate::stage_client::{ALIVE_PERIOD, SILENCE_LIMIT};
use crate::{AnswerBody, Gateway, Refusal, RefusalReason};

/// The least buffer that the HTTP library takes for a head, in bytes.
const LEAST_HEAD_BUFFER: usize = 8 * 1024;

/// How long a request waits for the first configuration. A host that was started anew has it within
/// moments; an answer at once would send all its callers away together.
const READY_PATIENCE: Duration = Duration::from_millis(200);

/// When a caller should come back to a host that has no configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves callers until `stop` says that connections should end, and then until they have ended.
pub async fn serve_callers(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    while !*stop.borrow_and_update() {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let _ = socket.set_nodelay(true);
                    ntex::rt::spawn(serve_connection(gateway.clone(), socket, stop.clone()));
                }
                // Out of descriptors: waiting lets others end.
                Err(_) => sleep(Duration::from_millis(20)).await,
            },
            _ = stop.changed() => {}
        }
    }
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    socket: TcpStream,
    mut stop: watch::Receiver<bool>,
) {
    let table = gateway.table();
    let limits = table.map_or_else(Default::default, |table| table.config().limits.clone());
    let serving = gateway.clone();
    let service = service_fn(move |request| {
        let gateway = serving.clone();
        async move { Ok::<_, Infallible>(handle(gateway, request).await) }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(LEAST_HEAD_BUFFER))
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        tokio::select! {
            // A caller that left or broke a rule of the protocol ends its connection only.
            _ = connection.as_mut() => return,
            changed = stop.changed() => {
                if changed.is_err() || *stop.borrow() {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.as_mut().await;
                    return;
                }
            }
        }
    }
}

async fn handle(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let open = OpenRequest::new(&gateway);
    match take_request(&gateway, request).await {
        Ok(mut ask) => {
            ask.open = Some(open);
            forward(gateway, ask).await
        }
        Err((id, refusal)) => {
            let code = EventCode::RequestRefused;
            gateway.metrics.count(&refusal.reason.to_string(), 0);
            gateway.note_request(code, &id, "", format!("outcome={refusal}"));
            refusal_answer(&gateway.config.dialect, &id, &refusal)
        }
    }
}

async fn take_request(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> Result<Ask, (String, Refusal)> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let names = &gateway.config.dialect.headers;
    let id = head.headers.get(&names.request_id);
    let id = id
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let Some(table) = gateway.table_within(READY_PATIENCE).await else {
        let refusal = Refusal::new(RefusalReason::NotReady, "no configuration yet")
            .with_retry_after(NOT_READY_RETRY_AFTER);
        return Err((id, refusal));
    };
    let mut ask =
        read_ask(&table, names, head, arrived).map_err(|refusal| (id.clone(), refusal))?;
    ask.body = read_body(body, table.config().limits.max_body_bytes, &ask)
        .await
        .map_err(|refusal| (id, refusal))?;
    Ok(ask)
}

async fn read_body(body: Incoming, most: usize, ask: &Ask) -> Result<Bytes, Refusal> {
    match timeout(ask.time_left(), Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("body over {most} bytes");
            Err(Refusal::new(RefusalReason::BodyTooLarge, detail))
        }
        Ok(Err(error)) => Err(Refusal::new(RefusalReason::BadRequest, error.to_string())),
        Err(_) => Err(Refusal::new(
            RefusalReason::Overloaded,
            "the body did not come in time",
        )),
    }
}

/// Serves the pieces of another entry host until it is lost; what it still waits for is withdrawn.
///
/// # Errors
///
/// [`WireError`] of the connection.
pub async fn serve_pieces(
    gateway: &Rc<Gateway>,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let (replies, queue) = mpsc::unbounded_channel();
    let open: Rc<RefCell<HashMap<u64, BatchKey>>> = Rc::default();
    let peer = reader.peer().to_owned();
    let reader = reader.with_silence_limit(SILENCE_LIMIT);
    let outcome = tokio::select! {
        () = tell_uses(gateway, &peer, replies.clone()) => Ok(()),
        ended = take_pieces(gateway, reader, replies, open.clone()) => ended,
        ended = send_replies(gateway, queue, writer) => ended,
    };
    let left: Vec<BatchKey> = open.borrow_mut().drain().map(|(_, key)| key).collect();
    for key in left {
        gateway.coordinator.cancel(key);
    }
    outcome
}

/// What another host placed here; ended when that host is lost.
struct RemotePlacements<'a> {
    gateway: &'a Gateway,
    keys: HashMap<u64, PlacementKey>,
}

impl<'a> RemotePlacements<'a> {
    fn new(gateway: &'a Gateway) -> Self {
        Self {
            gateway,
            keys: HashMap::new(),
        }
    }

    fn insert(&mut self, number: u64, key: PlacementKey) {
        self.keys.insert(number, key);
    }

    fn get(&self, number: &u64) -> Option<&PlacementKey> {
        self.keys.get(number)
    }

    fn remove(&mut self, number: &u64) -> Option<PlacementKey> {
        self.keys.remove(number)
    }
}

impl Drop for RemotePlacements<'_> {
    fn drop(&mut self) {
        let mut engines = self.gateway.engines.borrow_mut();
        for key in self.keys.values() {
            engines.end(*key);
        }
    }
}

/// Pieces that another host said will come; forgotten when that host is lost.
struct RemoteExpectations<'a> {
    gateway: &'a Gateway,
    keys: HashMap<u64, ExpectKey>,
}

impl<'a> RemoteExpectations<'a> {
    fn new(gateway: &'a Gateway) -> Self {
        Self {
            gateway,
            keys: HashMap::new(),
        }
    }

    fn insert(&mut self, number: u64, key: ExpectKey) {
        self.keys.insert(number, key);
    }

    fn end(&mut self, number: u64) {
        if let Some(key) = self.keys.remove(&number) {
            self.gateway.coordinator.arrived(key);
        }
    }
}

impl Drop for RemoteExpectations<'_> {
    fn drop(&mut self) {
        for key in self.keys.values() {
            self.gateway.coordinator.arrived(*key);
        }
    }
}

async fn take_pieces(
    gateway: &Rc<Gateway>,
    mut reader: PeerReader,
    replies: mpsc::UnboundedSender<PieceReply>,
    open: Rc<RefCell<HashMap<u64, BatchKey>>>,
) -> Result<(), WireError> {
    let mut placements = RemotePlacements::new(gateway);
    let mut expectations = RemoteExpectations::new(gateway);
    loop {
        match reader.receive::<PieceRequest>().await? {
            PieceRequest::Run(batch) => {
                let (number, pool) = (batch.number, batch.pool.clone());
                let (replies, finished, telling) = (replies.clone(), open.clone(), gateway.clone());
                let key = gateway.coordinator.submit(batch, move |results| {
                    finished.borrow_mut().remove(&number);
                    let _ = replies.send(PieceReply::Done { number, results });
                    let load = telling.coordinator.load_of(&pool);
                    let loads = load.map(|load| (pool, load)).into_iter().collect();
                    let _ = replies.send(PieceReply::Alive { loads });
                });
                if let Some(key) = key {
                    open.borrow_mut().insert(number, key);
                }
            }
            PieceRequest::Cancel(number) => {
                let key = open.borrow_mut().remove(&number);
                if let Some(key) = key {
                    gateway.coordinator.cancel(key);
                }
            }
            PieceRequest::Free {
                service,
                handles,
                bytes,
            } => gateway.coordinator.free(&service, handles, bytes),
            PieceRequest::Expect { number, expected } => {
                let key = gateway.coordinator.expect(expected);
                expectations.insert(number, key);
            }
            PieceRequest::Arrived(number) => expectations.end(number),
            PieceRequest::Plan { number, ask } => {
                let book = gateway.targets.borrow();
                let planned = gateway.engines.borrow().plan(&book, &ask, Instant::now());
                let engine = planned.map(|(chosen, facts)| (chosen.id, facts));
                let _ = replies.send(PieceReply::Placed { number, engine });
            }
            PieceRequest::Place { number, ask } => {
                let now = Instant::now();
                let placed = {
                    let book = gateway.targets.borrow();
                    gateway.engines.borrow_mut().place(&book, &ask, now)
                };
                let engine = placed.map(|(key, chosen, facts)| {
                    placements.insert(number, key);
                    (chosen.id, facts)
                });
                let _ = replies.send(PieceReply::Placed { number, engine });
            }
            PieceRequest::Read(number) => {
                if let Some(key) = placements.get(&number) {
                    gateway.engines.borrow_mut().note_read(*key, Instant::now());
                }
            }
            PieceRequest::End(number) => {
                if let Some(key) = placements.remove(&number) {
                    gateway.engines.borrow_mut().end(key);
                }
            }
            PieceRequest::Call { number, call } => {
                let sending = send_for_peer(gateway.clone(), number, call, replies.clone());
                ntex::rt::spawn(sending);
            }
            PieceRequest::Release(release) => {
                let gateway = gateway.clone();
                ntex::rt::spawn(async move {
                    send_release(&gateway.config.dialect, &gateway.pool, &release).await;
                });
            }
            PieceRequest::Unreachable { service, engine } => {
                let mut targets = gateway.targets.borrow_mut();
                targets.take_unreachable(&service, &engine, Instant::now());
            }
            PieceRequest::Alive => {}
        }
    }
}

/// Sends a call for another host, for as long as that host waits for its end.
async fn send_for_peer(
    gateway: Rc<Gateway>,
    number: u64,
    call: StageCall,
    replies: mpsc::UnboundedSender<PieceReply>,
) {
    let bound = Duration::from_millis(call.bound_ms);
    let sending = send_call(&gateway.config.dialect, &gateway.pool, &call);
    let end = tokio::select! {
        end = timeout(bound, sending) => end,
        () = replies.closed() => return,
    };
    let too_late = |_| CallEnd::Failed(format!("no answer within {} ms", bound.as_millis()));
    let end = end.unwrap_or_else(too_late);
    // A host that is gone needs no answer.
    let _ = replies.send(PieceReply::Called { number, end });
}

/// Tells another host what this one uses of the targets of the pools that the other would gather
/// for next.
async fn tell_uses(gateway: &Gateway, peer: &str, replies: mpsc::UnboundedSender<PieceReply>) {
    let mut told: Vec<PoolKey> = Vec::new();
    loop {
        sleep(ALIVE_PERIOD).await;
        let would_gather = |pool: &PoolKey| {
            let successors = gateway.stages.successors(pool);
            successors.iter().any(|name| name == peer)
        };
        let mut uses = gateway.coordinator.uses(would_gather);
        let now: Vec<PoolKey> = uses.iter().map(|(pool, _)| pool.clone()).collect();
        // What was told before and is used no more is told once more, as nothing.
        let ended = told.into_iter().filter(|pool| !now.contains(pool));
        uses.extend(ended.map(|pool| (pool, Vec::new())));
        told = now;
        for (pool, uses) in uses {
            let _ = replies.send(PieceReply::Uses { pool, uses });
        }
    }
}

async fn send_replies(
    gateway: &Gateway,
    mut queue: mpsc::UnboundedReceiver<PieceReply>,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    loop {
        let reply = match timeout(ALIVE_PERIOD, queue.recv()).await {
            Ok(Some(reply)) => reply,
            Ok(None) => return Ok(()),
            Err(_) => PieceReply::Alive {
                loads: gateway.coordinator.loads(),
            },
        };
        writer.send(&reply).await?;
    }
}
