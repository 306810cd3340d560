//! Calls to stage targets.

use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_telemetry::EventCode;
use tokio::time::{sleep, timeout, timeout_at};

use super::due_call::DueCall;
use super::queue::Coordinator;
use crate::pool_key::PoolKey;
use crate::stage_call::{CallEnd, CallPart, StageCall};
use crate::target_crash::PROBE_TIMEOUT;
use crate::upstream::ProbeOutcome;

/// How much longer than expected a call is waited for in all, as a factor and a span.
const BOUND_FACTOR: f64 = 5.0;
const BOUND_SLACK: Duration = Duration::from_millis(150);

/// How old what a target reports may be.
const REPORT_LAG: Duration = Duration::from_millis(200);

pub(super) async fn run_call(coordinator: Rc<Coordinator>, call: DueCall) {
    let started = Instant::now();
    let stage_call = stage_call(&call, started);
    let shared = coordinator.share(&stage_call, &call.hall);
    let sender = shared.as_ref().map(|shared| shared.sender);
    let (end, late) = {
        let mut sent = pin!(coordinator.carry(&stage_call, shared));
        match timeout(call.patience, &mut sent).await {
            Ok(end) => (end, false),
            Err(_) => (wait_on(&coordinator, &call, sent, started).await, true),
        }
    };
    let end = look_for_end(&coordinator, &call, end).await;
    note_end(&coordinator, &call, &end, sender, started.elapsed());
    coordinator.tell_end(&call, &end, started.elapsed());
    let pool = call.pool.clone();
    if let Some(rest) = coordinator.finish_call(call, end, late, sender) {
        sleep(rest).await;
        coordinator.dispatch(&pool);
    }
}

/// Finds out whether a target that broke a connection has ended, and tells which requests had pieces there.
async fn look_for_end(coordinator: &Coordinator, call: &DueCall, end: CallEnd) -> CallEnd {
    let CallEnd::Broke(cause) = end else {
        return end;
    };
    let probe = timeout(
        PROBE_TIMEOUT,
        coordinator.caller.upstream.probe(call.address),
    );
    // A target that was withdrawn ends its connections itself.
    if probe.await != Ok(ProbeOutcome::Refused) || !coordinator.is_listed(call) {
        return CallEnd::Failed(cause);
    }
    coordinator.note_target_end(call);
    CallEnd::Ended(cause)
}

/// Serves what waits in a pool once the next call to one of its targets may be sent.
pub(super) async fn dispatch_after(coordinator: Rc<Coordinator>, pool: PoolKey, after: Duration) {
    sleep(after).await;
    coordinator.dispatch(&pool);
}

/// Waits on for a call that is late, while its pieces go to other targets as well: a target that is
/// slow works on it until its end, whoever waits for it.
async fn wait_on(
    coordinator: &Rc<Coordinator>,
    call: &DueCall,
    sent: Pin<&mut impl Future<Output = CallEnd>>,
    started: Instant,
) -> CallEnd {
    let bound = bound_of(call);
    let until = started + bound;
    let detail = format!(
        "service={} pieces={} patience_ms={} expected_ms={}",
        call.pool.service,
        call.pieces.len(),
        call.patience.as_millis(),
        call.expected.as_millis()
    );
    let recorder = &coordinator.recorder;
    recorder.record(EventCode::StageCallLate, &call.target, detail);
    coordinator.note_late(call, until);
    match timeout_at(until.into(), sent).await {
        Ok(end) => end,
        Err(_) => CallEnd::Failed(format!("no answer within {} ms", bound.as_millis())),
    }
}

fn note_end(
    coordinator: &Coordinator,
    call: &DueCall,
    end: &CallEnd,
    sender: Option<SocketAddr>,
    took: Duration,
) {
    let (code, outcome) = match end {
        CallEnd::Answered(results, load) => {
            let made = results.iter().filter(|result| result.is_ok()).count();
            let load = load.map_or("-".to_owned(), |load| {
                format!("{}+{}", load.running, load.waiting)
            });
            (
                EventCode::StageCallFinished,
                format!("made={made} load={load} trial={}", call.trial),
            )
        }
        CallEnd::Busy => (EventCode::StageCallFailed, "cause=busy".to_owned()),
        CallEnd::OtherTarget => (EventCode::StageCallFailed, "cause=other target".to_owned()),
        CallEnd::Failed(cause) | CallEnd::Broke(cause) => {
            (EventCode::StageCallFailed, format!("cause={cause}"))
        }
        CallEnd::Ended(cause) => (
            EventCode::StageCallFailed,
            format!("cause=the target has ended: {cause}"),
        ),
        CallEnd::SenderLost => (EventCode::StageCallFailed, "cause=sender lost".to_owned()),
    };
    let mut requests: Vec<&str> = call
        .pieces
        .iter()
        .map(|waiting| waiting.work.request.as_str())
        .collect();
    // Pieces of one request follow each other.
    requests.dedup();
    let detail = format!(
        "service={} pieces={} took_ms={} expected_ms={} sender={} {outcome} requests={}",
        call.pool.service,
        call.pieces.len(),
        took.as_millis(),
        call.expected.as_millis(),
        sender.map_or("-".to_owned(), |sender| sender.to_string()),
        requests.join(",")
    );
    coordinator.recorder.record(code, &call.target, detail);
}

/// Puts a call in the form in which it travels; pieces of one batch that follow each other share a
/// part.
fn stage_call(call: &DueCall, now: Instant) -> StageCall {
    let left = |deadline: Instant| deadline.saturating_duration_since(now).as_millis() as u64;
    let batches = call.pieces.chunk_by(|a, b| Rc::ptr_eq(&a.work, &b.work));
    let parts = batches.map(|pieces| CallPart {
        work: (*pieces[0].work).clone(),
        numbers: pieces.iter().map(|one| one.piece.place as u32).collect(),
        remaining_ms: left(pieces[0].deadline),
    });
    StageCall {
        target: call.target.clone(),
        address: call.address,
        parts: parts.collect(),
        bound_ms: bound_of(call).as_millis() as u64,
    }
}

/// Returns how long the answer to a call is waited for in all.
fn bound_of(call: &DueCall) -> Duration {
    let bound = call.expected.mul_f64(BOUND_FACTOR) + BOUND_SLACK;
    bound.max(call.patience)
}

/// Asks a target how much memory it has free for results, when its report has caught up with the call
/// that found no room. Until then the target is taken as full.
pub(super) async fn learn_free_bytes(
    coordinator: Rc<Coordinator>,
    pool: PoolKey,
    target: String,
    address: SocketAddr,
) {
    sleep(REPORT_LAG).await;
    let asked = coordinator.caller.ask_free_bytes(&target, address);
    if let Some(free) = asked.await {
        coordinator.take_free_bytes(&pool, address, free);
    }
}
