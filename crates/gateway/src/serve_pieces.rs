//! The port for pieces of other entry hosts.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::RequestKey;
use linnet_telemetry::EventCode;
use linnet_wire::{MessageVersion, PeerReader, PeerWriter, WireError};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::Gateway;
use crate::coordinator::{BatchKey, ExpectKey};
use crate::engine::{PlaceAsk, PlacementKey};
use crate::first_form::{FirstRequest, queue_reply};
use crate::peer_queue::send_waiting;
use crate::piece::PieceBatch;
use crate::piece_message::{PieceReply, PieceRequest};
use crate::pool_key::PoolKey;
use crate::stage_call::{CallEnd, StageCall, StageRelease};
use crate::stage_client::{ALIVE_PERIOD, IDLE_PERIOD, IDLE_SILENCE_LIMIT, SILENCE_LIMIT};
use crate::turn::TurnAnswer;

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
    let peer = reader.peer().to_owned();
    let (told, form) = watch::channel(reader.message_version());
    let session = PieceSession::new(gateway, replies.clone());
    let work = session.work.clone();
    tokio::select! {
        () = tell_uses(gateway, &peer, replies) => Ok(()),
        ended = take_requests(session, told, reader) => ended,
        ended = send_replies(gateway, &work, form, queue, writer) => ended,
    }
}

async fn take_requests(
    mut session: PieceSession,
    told: watch::Sender<Option<MessageVersion>>,
    reader: PeerReader,
) -> Result<(), WireError> {
    let mut reader = reader;
    loop {
        reader = reader.with_silence_timeout(session.work.silence_limit());
        let known = reader.message_version();
        let request = reader.receive_versioned::<_, FirstRequest>().await?;
        if let (None, Some(form)) = (known, reader.message_version()) {
            session.note_form(reader.peer(), form);
            told.send_replace(Some(form));
        }
        session.take(request);
    }
}

/// What another entry host waits for here.
#[derive(Default)]
struct SessionWork {
    /// Its batches, by the numbers that it gave.
    batches: RefCell<HashMap<u64, BatchKey>>,
    /// Calls that are sent in its place.
    calls: Cell<usize>,
}

impl SessionWork {
    fn is_empty(&self) -> bool {
        self.batches.borrow().is_empty() && self.calls.get() == 0
    }

    /// Returns the time between two signs of life to the other host.
    fn alive_period(&self) -> Duration {
        if self.is_empty() {
            IDLE_PERIOD
        } else {
            ALIVE_PERIOD
        }
    }

    /// Returns for how long the other host may be silent. What a lost host has waiting here takes the
    /// place of others' work.
    fn silence_limit(&self) -> Duration {
        if self.is_empty() {
            IDLE_SILENCE_LIMIT
        } else {
            SILENCE_LIMIT
        }
    }
}

/// What another entry host has going on here, by the numbers that it gave; given back when that host
/// is lost.
struct PieceSession {
    gateway: Rc<Gateway>,
    replies: mpsc::UnboundedSender<PieceReply>,
    work: Rc<SessionWork>,
    placements: HashMap<u64, PlacementKey>,
    /// Pieces that it said will come.
    expectations: HashMap<u64, ExpectKey>,
    /// Requests that may end their targets and run there now.
    turns: HashMap<u64, RequestKey>,
}

impl PieceSession {
    fn new(gateway: &Rc<Gateway>, replies: mpsc::UnboundedSender<PieceReply>) -> Self {
        Self {
            gateway: gateway.clone(),
            replies,
            work: Rc::default(),
            placements: HashMap::new(),
            expectations: HashMap::new(),
            turns: HashMap::new(),
        }
    }

    /// Notes the form that the other host speaks, which it did not announce.
    fn note_form(&self, peer: &str, form: MessageVersion) {
        let detail = format!("peer={peer} form={form}");
        self.gateway.note(EventCode::PeerEarlier, &detail);
    }

    fn take(&mut self, request: PieceRequest) {
        match request {
            PieceRequest::Run(batch) => self.run_batch(batch),
            PieceRequest::Cancel(number) => self.cancel_batch(number),
            PieceRequest::Free {
                service,
                handles,
                bytes,
            } => self.gateway.coordinator.free(&service, handles, bytes),
            PieceRequest::Expect { number, expected } => {
                let key = self.gateway.coordinator.expect(expected);
                self.expectations.insert(number, key);
            }
            PieceRequest::Arrived(number) => self.end_expectation(number),
            PieceRequest::Plan { number, ask } => self.plan(number, &ask),
            PieceRequest::Place { number, ask } => self.place(number, &ask),
            PieceRequest::Read(number) => self.note_read(number),
            PieceRequest::End(number) => self.end_placement(number),
            PieceRequest::Call { number, call } => self.send_call(number, call),
            PieceRequest::Release(release) => self.send_release(release),
            PieceRequest::Unreachable { service, engine } => {
                let mut targets = self.gateway.targets.borrow_mut();
                targets.take_unreachable(&service, &engine, Instant::now());
            }
            PieceRequest::Suspects(records) => self.gateway.take_suspects(&records),
            PieceRequest::TakeTurn { number, key, id } => self.grant_turn(number, key, &id),
            PieceRequest::EndTurn(number) => self.end_turn(number),
            PieceRequest::Alive => {}
            PieceRequest::TakeRate { number, ask } => {
                let answer = self.gateway.answer_rate(&ask);
                let _ = self.replies.send(PieceReply::Rate { number, answer });
            }
        }
    }

    fn run_batch(&self, batch: PieceBatch) {
        let (number, pool) = (batch.number, batch.pool.clone());
        let (replies, work) = (self.replies.clone(), self.work.clone());
        let telling = self.gateway.clone();
        let key = self.gateway.coordinator.submit(batch, move |results| {
            work.batches.borrow_mut().remove(&number);
            let _ = replies.send(PieceReply::Done { number, results });
            let loads = telling.coordinator.loads();
            let load = loads.iter().filter(|(told, _)| *told == pool);
            let loads = load.cloned().collect();
            let _ = replies.send(PieceReply::Alive { loads });
        });
        if let Some(key) = key {
            self.work.batches.borrow_mut().insert(number, key);
        }
    }

    fn cancel_batch(&self, number: u64) {
        let key = self.work.batches.borrow_mut().remove(&number);
        if let Some(key) = key {
            self.gateway.coordinator.cancel(key);
        }
    }

    fn end_expectation(&mut self, number: u64) {
        if let Some(key) = self.expectations.remove(&number) {
            self.gateway.coordinator.arrived(key);
        }
    }

    fn plan(&self, number: u64, ask: &PlaceAsk) {
        let book = self.gateway.targets.borrow();
        let engines = self.gateway.engines.borrow();
        let planned = engines.plan(&book, ask, Instant::now());
        let engine = planned.map(|(chosen, facts)| (chosen.id, facts));
        let _ = self.replies.send(PieceReply::Placed { number, engine });
    }

    fn place(&mut self, number: u64, ask: &PlaceAsk) {
        let placed = {
            let book = self.gateway.targets.borrow();
            let mut engines = self.gateway.engines.borrow_mut();
            engines.place(&book, ask, Instant::now())
        };
        let engine = placed.map(|(key, chosen, facts)| {
            self.placements.insert(number, key);
            (chosen.id, facts)
        });
        let _ = self.replies.send(PieceReply::Placed { number, engine });
    }

    fn note_read(&self, number: u64) {
        if let Some(key) = self.placements.get(&number) {
            let mut engines = self.gateway.engines.borrow_mut();
            engines.note_read(*key, Instant::now());
        }
    }

    fn end_placement(&mut self, number: u64) {
        if let Some(key) = self.placements.remove(&number) {
            self.gateway.engines.borrow_mut().end(key);
        }
    }

    fn grant_turn(&mut self, number: u64, key: RequestKey, id: &str) {
        let answer = self.gateway.grant_turn(key, id);
        if answer == TurnAnswer::Granted {
            self.turns.insert(number, key);
        }
        let _ = self.replies.send(PieceReply::Turn { number, answer });
    }

    fn end_turn(&mut self, number: u64) {
        if let Some(key) = self.turns.remove(&number) {
            self.gateway.suspects.end_turn(key);
        }
    }

    fn send_call(&self, number: u64, call: StageCall) {
        let (gateway, replies) = (self.gateway.clone(), self.replies.clone());
        let work = self.work.clone();
        work.calls.set(work.calls.get() + 1);
        ntex::rt::spawn(async move {
            send_for_peer(gateway, number, call, replies).await;
            work.calls.set(work.calls.get() - 1);
        });
    }

    fn send_release(&self, release: StageRelease) {
        let gateway = self.gateway.clone();
        ntex::rt::spawn(async move {
            gateway.stage_caller().send_release(&release).await;
        });
    }
}

impl Drop for PieceSession {
    fn drop(&mut self) {
        let mut engines = self.gateway.engines.borrow_mut();
        self.placements.values().for_each(|key| engines.end(*key));
        drop(engines);
        let turns = self.turns.values();
        turns.for_each(|key| self.gateway.suspects.end_turn(*key));
        let coordinator = &self.gateway.coordinator;
        let expected = self.expectations.values();
        expected.for_each(|key| coordinator.arrived(*key));
        // Taken out first: what a cancelled batch wakes looks at the others.
        let batches: Vec<BatchKey> = self
            .work
            .batches
            .borrow_mut()
            .drain()
            .map(|(_, key)| key)
            .collect();
        batches.into_iter().for_each(|key| coordinator.cancel(key));
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
    let sending = gateway.stage_caller().send_call(&call);
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
    work: &SessionWork,
    mut form: watch::Receiver<Option<MessageVersion>>,
    mut queue: mpsc::UnboundedReceiver<PieceReply>,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    // Whoever takes the requests is gone, and with it the other host, where none came.
    let Ok(Some(form)) = form.wait_for(Option::is_some).await.map(|form| *form) else {
        return Ok(());
    };
    let put = |writer: &mut PeerWriter, reply: &PieceReply| queue_reply(writer, form, reply);
    loop {
        let reply = match timeout(work.alive_period(), queue.recv()).await {
            Ok(Some(reply)) => reply,
            Ok(None) => return Ok(()),
            Err(_) => PieceReply::Alive {
                loads: gateway.coordinator.loads().to_vec(),
            },
        };
        send_waiting(&reply, &mut queue, &mut writer, put).await?;
    }
}

#[cfg(test)]
mod tests;
