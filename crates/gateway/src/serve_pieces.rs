//! The server side of connections between entry hosts: pieces, prompts, permits and delegated
//! calls.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_forecast::PoolTimes;
use linnet_quarantine::RequestKey;
use linnet_shares::UseReport;
use linnet_telemetry::EventCode;
use linnet_wire::{MessageVersion, PeerReader, PeerWriter, WireError};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::Gateway;
use crate::coordinator::{BatchKey, BatchOutcome, ExpectationKey, ReturnRule};
use crate::engine::{PlacementKey, PlacementRequest};
use crate::message_v1::{PieceRequestV1, queue_reply};
use crate::peer_queue::write_queued;
use crate::piece::PieceBatch;
use crate::piece_message::{PieceReply, PieceRequest};
use crate::pool_key::PoolKey;
use crate::rank::Rank;
use crate::run_permit::RunPermitReply;
use crate::stage_call::CallOutcome;
use crate::stage_call::StageCall;
use crate::stage_call::StageRelease;
use crate::stage_client::HEARTBEAT_INTERVAL;
use crate::stage_client::IDLE_HEARTBEAT_INTERVAL;
use crate::stage_client::IDLE_SILENCE_TIMEOUT;
use crate::stage_client::SILENCE_TIMEOUT;

/// Minimum time between two reports of the measured times of pools to one host.
const TIMES_INTERVAL: Duration = Duration::from_millis(100);

/// Serves the requests of another entry host until its connection is lost, and then cancels what it
/// has pending.
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
    let (version_sender, version) = watch::channel(reader.message_version());
    let session = PieceSession::new(gateway, peer.clone(), replies.clone());
    let work = session.work.clone();
    tokio::select! {
        () = report_usage(gateway, &peer, replies) => Ok(()),
        ended = receive_requests(session, version_sender, reader) => ended,
        ended = send_replies(gateway, &work, version, queue, writer) => ended,
    }
}

async fn receive_requests(
    mut session: PieceSession,
    version_sender: watch::Sender<Option<MessageVersion>>,
    reader: PeerReader,
) -> Result<(), WireError> {
    let mut reader = reader;
    loop {
        reader = reader.with_silence_timeout(session.work.silence_timeout());
        let known_version = reader.message_version();
        let request = reader.receive_versioned::<_, PieceRequestV1>().await?;
        session.peer_version = reader.message_version();
        if let (None, Some(version)) = (known_version, reader.message_version()) {
            session.record_peer_version(reader.peer(), version);
            version_sender.send_replace(Some(version));
        }
        session.handle_request(request);
    }
}

/// The work for which another entry host awaits a reply.
#[derive(Default)]
struct SessionWork {
    /// Batches of the other host, by the numbers that it assigned.
    batches: RefCell<HashMap<u64, BatchKey>>,
    /// Number of calls that the other host delegated to this one.
    delegated_calls: Cell<usize>,
    /// When the measured times of pools were last sent to the other host.
    times_sent_at: Cell<Option<Instant>>,
}

impl SessionWork {
    fn is_empty(&self) -> bool {
        self.batches.borrow().is_empty() && self.delegated_calls.get() == 0
    }

    /// Returns the measured times of pools if they are due to be sent to the other host; they are at
    /// most every [`TIMES_INTERVAL`], since they follow averages over a second.
    fn due_times(&self, gateway: &Gateway) -> Option<Vec<(PoolKey, PoolTimes<Rank>)>> {
        let now = Instant::now();
        let sent_at = self.times_sent_at.get();
        let is_recent = sent_at.is_some_and(|at| now.duration_since(at) < TIMES_INTERVAL);
        if is_recent || !gateway.overload.policy().measured_waits {
            return None;
        }
        let times = gateway.coordinator.times();
        self.times_sent_at.set(Some(now));
        (!times.is_empty()).then_some(times)
    }

    /// Returns the interval of heartbeats to the other host.
    fn heartbeat_interval(&self) -> Duration {
        if self.is_empty() {
            IDLE_HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        }
    }

    /// Returns how long the other host may be silent. The timeout is short while it has work here,
    /// since the work of a lost host takes capacity from others.
    fn silence_timeout(&self) -> Duration {
        if self.is_empty() {
            IDLE_SILENCE_TIMEOUT
        } else {
            SILENCE_TIMEOUT
        }
    }
}

/// Everything that another entry host has begun here, by the numbers that it assigned. All of it is
/// ended when the session is dropped, that is when the connection is lost.
struct PieceSession {
    gateway: Rc<Gateway>,
    /// Name of the other host.
    peer: String,
    /// Message version of the other host; `None` until it is known.
    peer_version: Option<MessageVersion>,
    replies: mpsc::UnboundedSender<PieceReply>,
    work: Rc<SessionWork>,
    placements: HashMap<u64, PlacementKey>,
    /// Announcements of pieces by the other host.
    expectations: HashMap<u64, ExpectationKey>,
    /// Requests for which the other host has run permits.
    run_permits: HashMap<u64, RequestKey>,
}

impl PieceSession {
    fn new(
        gateway: &Rc<Gateway>,
        peer: String,
        replies: mpsc::UnboundedSender<PieceReply>,
    ) -> Self {
        Self {
            gateway: gateway.clone(),
            peer,
            peer_version: None,
            replies,
            work: Rc::default(),
            placements: HashMap::new(),
            expectations: HashMap::new(),
            run_permits: HashMap::new(),
        }
    }

    /// Records the message version of a host that did not announce one.
    fn record_peer_version(&self, peer: &str, version: MessageVersion) {
        let detail = format!("peer={peer} form={version}");
        self.gateway.record_event(EventCode::PeerEarlier, &detail);
    }

    fn handle_request(&mut self, request: PieceRequest) {
        match request {
            PieceRequest::RunBatch(batch) => self.run_batch(batch, self.return_rule()),
            PieceRequest::RunReturnedBatch(batch) => {
                self.run_batch(batch, ReturnRule::ReturnedBefore)
            }
            PieceRequest::CancelBatch(number) => self.cancel_batch(number),
            PieceRequest::ReleaseResults {
                service,
                handles,
                bytes,
            } => self
                .gateway
                .coordinator
                .release_results(&service, handles, bytes),
            PieceRequest::ExpectPieces { number, expected } => {
                let key = self.gateway.coordinator.expect_pieces(expected);
                self.expectations.insert(number, key);
            }
            PieceRequest::EndExpectation(number) => self.end_expectation(number),
            PieceRequest::PlanPlacement { number, request } => {
                self.plan_placement(number, &request)
            }
            PieceRequest::PlacePrompt { number, request } => self.place_prompt(number, &request),
            PieceRequest::PrefillDone(number) => self.record_prefill_done(number),
            PieceRequest::EndPlacement(number) => self.end_placement(number),
            PieceRequest::DelegateCall { number, call } => self.send_delegated_call(number, call),
            PieceRequest::DelegateRelease(release) => self.send_delegated_release(release),
            PieceRequest::EngineUnreachable { service, engine } => {
                let mut targets = self.gateway.targets.borrow_mut();
                targets.apply_peer_unreachable(&service, &engine, Instant::now());
            }
            PieceRequest::Suspects(records) => self.gateway.merge_suspects(&records),
            PieceRequest::AcquireRunPermit { number, key, id } => {
                self.issue_run_permit(number, key, &id)
            }
            PieceRequest::ReleaseRunPermit(number) => self.release_run_permit(number),
            PieceRequest::Heartbeat => {}
            PieceRequest::ReportUse { pool, report } => self.apply_use(pool, &report),
            PieceRequest::BindStream {
                stream,
                origin,
                lifetime_ms,
            } => {
                let lifetime = Duration::from_millis(lifetime_ms);
                self.gateway.stream_origins.bind(stream, &origin, lifetime);
            }
            PieceRequest::FindStream { number, stream } => {
                let origin = self.gateway.stream_origins.find(stream);
                let _ = self
                    .replies
                    .send(PieceReply::StreamFound { number, origin });
            }
            PieceRequest::AcquireSendPermit { number, request } => {
                let reply = self.gateway.handle_send_permit_request(&request);
                let _ = self.replies.send(PieceReply::SendPermit { number, reply });
            }
        }
    }

    /// Returns whether a new batch of the other host may be returned to it.
    fn return_rule(&self) -> ReturnRule {
        match self.peer_version {
            Some(version) if version >= MessageVersion::V6 => ReturnRule::Allowed,
            _ => ReturnRule::Excluded,
        }
    }

    fn run_batch(&self, batch: PieceBatch, rule: ReturnRule) {
        let (number, pool) = (batch.number, batch.pool.clone());
        let (replies, work) = (self.replies.clone(), self.work.clone());
        let gateway = self.gateway.clone();
        gateway.stage_client.record_coordination(&pool);
        let key = self
            .gateway
            .coordinator
            .submit(batch, rule, move |outcome| {
                work.batches.borrow_mut().remove(&number);
                let BatchOutcome::Completed(results) = outcome else {
                    let _ = replies.send(PieceReply::BatchReturned { number });
                    return;
                };
                let _ = replies.send(PieceReply::BatchDone { number, results });
                let loads = gateway.coordinator.loads();
                let load = loads.iter().filter(|(key, _)| *key == pool);
                let loads = load.cloned().collect();
                let _ = replies.send(PieceReply::Heartbeat { loads });
                if let Some(times) = work.due_times(&gateway) {
                    let _ = replies.send(PieceReply::PoolTimes { times });
                }
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
            self.gateway.coordinator.end_expected(key);
        }
    }

    fn plan_placement(&self, number: u64, request: &PlacementRequest) {
        let store = self.gateway.targets.borrow();
        let placer = self.gateway.engine_placer.borrow();
        let planned = placer.plan(&store, request, Instant::now());
        let engine = planned.map(|(chosen, estimate)| (chosen.id, estimate));
        let _ = self.replies.send(PieceReply::Placed { number, engine });
    }

    fn place_prompt(&mut self, number: u64, request: &PlacementRequest) {
        let placed = {
            let store = self.gateway.targets.borrow();
            let mut placer = self.gateway.engine_placer.borrow_mut();
            placer.place(&store, request, Instant::now())
        };
        let engine = placed.map(|(key, chosen, estimate)| {
            self.placements.insert(number, key);
            (chosen.id, estimate)
        });
        let _ = self.replies.send(PieceReply::Placed { number, engine });
    }

    fn record_prefill_done(&self, number: u64) {
        if let Some(key) = self.placements.get(&number) {
            let mut placer = self.gateway.engine_placer.borrow_mut();
            placer.record_prefill(*key, Instant::now());
        }
    }

    fn end_placement(&mut self, number: u64) {
        if let Some(key) = self.placements.remove(&number) {
            self.gateway.engine_placer.borrow_mut().end_placement(key);
        }
    }

    fn issue_run_permit(&mut self, number: u64, key: RequestKey, id: &str) {
        let reply = self.gateway.issue_run_permit(key, id);
        if reply == RunPermitReply::Granted {
            self.run_permits.insert(number, key);
        }
        let _ = self.replies.send(PieceReply::RunPermit { number, reply });
    }

    fn release_run_permit(&mut self, number: u64) {
        if let Some(key) = self.run_permits.remove(&number) {
            self.gateway.suspects.end_run(key);
        }
    }

    /// Applies what client accounts asked of a pool at the other host. Limits expire by themselves, so
    /// none are sent if no account is limited.
    fn apply_use(&self, pool: PoolKey, report: &UseReport<Rank>) {
        let limits = self
            .gateway
            .coordinator
            .apply_use(&self.peer, &pool, report);
        if !limits.is_empty() {
            let _ = self
                .replies
                .send(PieceReply::AccountLimits { pool, limits });
        }
    }

    fn send_delegated_call(&self, number: u64, call: StageCall) {
        let (gateway, replies) = (self.gateway.clone(), self.replies.clone());
        let work = self.work.clone();
        work.delegated_calls.set(work.delegated_calls.get() + 1);
        ntex::rt::spawn(async move {
            send_for_peer(gateway, number, call, replies).await;
            work.delegated_calls.set(work.delegated_calls.get() - 1);
        });
    }

    fn send_delegated_release(&self, release: StageRelease) {
        let gateway = self.gateway.clone();
        ntex::rt::spawn(async move {
            gateway.stage_caller().send_release(&release).await;
        });
    }
}

impl Drop for PieceSession {
    fn drop(&mut self) {
        let mut placer = self.gateway.engine_placer.borrow_mut();
        self.placements
            .values()
            .for_each(|key| placer.end_placement(*key));
        drop(placer);
        let run_permits = self.run_permits.values();
        run_permits.for_each(|key| self.gateway.suspects.end_run(*key));
        let coordinator = &self.gateway.coordinator;
        let expected = self.expectations.values();
        expected.for_each(|key| coordinator.end_expected(*key));
        // The map is drained before any batch is cancelled, since cancelling runs code that borrows
        // it.
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

/// Sends a delegated call, and the outcome to the coordinator. Stops if the coordinator's
/// connection is lost.
async fn send_for_peer(
    gateway: Rc<Gateway>,
    number: u64,
    call: StageCall,
    replies: mpsc::UnboundedSender<PieceReply>,
) {
    let max_wait = Duration::from_millis(call.timeout_ms);
    let sending = gateway.stage_caller().send_call(&call);
    let outcome = tokio::select! {
        outcome = timeout(max_wait, sending) => outcome,
        () = replies.closed() => return,
    };
    let timed_out =
        |_| CallOutcome::Failed(format!("no response within {} ms", max_wait.as_millis()));
    let outcome = outcome.unwrap_or_else(timed_out);
    // Sending fails only if the connection was lost; then nobody waits for the reply.
    let _ = replies.send(PieceReply::DelegatedCallEnded { number, outcome });
}

/// Reports to another host this host's use of the targets of the pools for which the other is a
/// successor as coordinator.
async fn report_usage(gateway: &Gateway, peer: &str, replies: mpsc::UnboundedSender<PieceReply>) {
    let mut reported: Vec<PoolKey> = Vec::new();
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        let is_successor = |pool: &PoolKey| {
            let successors = gateway.stage_client.successors(pool);
            successors.iter().any(|name| name == peer)
        };
        let mut reports = gateway.coordinator.usage(is_successor);
        let in_use: Vec<PoolKey> = reports.iter().map(|(pool, _)| pool.clone()).collect();
        // A pool that is no longer in use is reported once more, as empty.
        let ended = reported.into_iter().filter(|pool| !in_use.contains(pool));
        reports.extend(ended.map(|pool| (pool, Vec::new())));
        reported = in_use;
        for (pool, usage) in reports {
            let _ = replies.send(PieceReply::TargetUsage { pool, usage });
        }
    }
}

async fn send_replies(
    gateway: &Gateway,
    work: &SessionWork,
    mut version: watch::Receiver<Option<MessageVersion>>,
    mut queue: mpsc::UnboundedReceiver<PieceReply>,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    // The sender of the version is dropped when the connection ends before the first request.
    let Ok(Some(version)) = version
        .wait_for(Option::is_some)
        .await
        .map(|version| *version)
    else {
        return Ok(());
    };
    let put = |writer: &mut PeerWriter, reply: &PieceReply| queue_reply(writer, version, reply);
    loop {
        let reply = match timeout(work.heartbeat_interval(), queue.recv()).await {
            Ok(Some(reply)) => reply,
            Ok(None) => return Ok(()),
            Err(_) => PieceReply::Heartbeat {
                loads: gateway.coordinator.loads().to_vec(),
            },
        };
        write_queued(&reply, &mut queue, &mut writer, put).await?;
        if let (PieceReply::Heartbeat { .. }, Some(times)) = (reply, work.due_times(gateway)) {
            write_queued(
                &PieceReply::PoolTimes { times },
                &mut queue,
                &mut writer,
                put,
            )
            .await?;
        }
    }
}

#[cfg(test)]
mod tests;
