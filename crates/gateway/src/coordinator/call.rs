//! Sends calls to stage targets and handles their ends.

use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_telemetry::EventCode;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, timeout_at};

use super::due_call::DueCall;
use super::queue::Coordinator;
use crate::pool_key::PoolKey;
use crate::stage_call::{CallOutcome, CallPart, StageCall};
use crate::target_state::PROBE_TIMEOUT;
use crate::upstream::ProbeOutcome;

/// Time after which a call is given up: a factor of the expected duration plus a fixed slack.
const TIMEOUT_FACTOR: f64 = 5.0;
const TIMEOUT_SLACK: Duration = Duration::from_millis(150);

/// Maximum age of the data in a target's report, and so the time until a report reflects a call.
const MAX_REPORT_AGE: Duration = Duration::from_millis(200);

pub(super) async fn run_call(coordinator: Rc<Coordinator>, call: DueCall) {
    let started = Instant::now();
    let stage_call = to_stage_call(&call, started);
    let delegated = coordinator.delegate_call(&stage_call, &call.hall);
    let sender = delegated.as_ref().map(|delegated| delegated.sender);
    let (end, late) = {
        let mut sent = pin!(coordinator.send_call(&stage_call, delegated));
        match timeout(call.late_after, &mut sent).await {
            Ok(end) => (end, false),
            Err(_) => (
                await_late_call(&coordinator, &call, sent, started).await,
                true,
            ),
        }
    };
    let end = check_for_crash(&coordinator, &call, end).await;
    record_call_outcome(&coordinator, &call, &end, sender, started.elapsed());
    coordinator.notify_call_outcome(&call, &end, started.elapsed());
    let pool = call.pool.clone();
    if let Some(cooldown) = coordinator.finish_call(call, end, late, sender) {
        sleep(cooldown).await;
        coordinator.dispatch(&pool);
    }
}

/// Probes a target that broke a connection. If it has crashed, notifies the observer, which learns
/// which requests had pieces there.
async fn check_for_crash(
    coordinator: &Rc<Coordinator>,
    call: &DueCall,
    end: CallOutcome,
) -> CallOutcome {
    let CallOutcome::ConnectionBroken(cause) = end else {
        return end;
    };
    let (coordinator, call) = (coordinator.clone(), call.clone());
    let has_crashed = async move {
        let refused =
            coordinator.caller.upstream.probe(call.address).await == ProbeOutcome::Refused;
        // A target that was removed from the list closes its connections by itself.
        let has_crashed = refused && coordinator.is_listed(&call);
        if has_crashed {
            coordinator.notify_target_crash(&call);
        }
        has_crashed
    };
    outcome_after_check(cause, has_crashed).await
}

/// Returns the outcome of a call whose connection broke with `cause`. The check whether its target
/// has crashed always runs to its end; if it takes longer than [`PROBE_TIMEOUT`], the pieces of the
/// call do not wait for it.
async fn outcome_after_check(
    cause: String,
    has_crashed: impl Future<Output = bool> + 'static,
) -> CallOutcome {
    let (done, result) = oneshot::channel();
    ntex::rt::spawn(async move {
        // Sending fails only if the result came too late for the call.
        let _ = done.send(has_crashed.await);
    });
    match timeout(PROBE_TIMEOUT, result).await {
        Ok(Ok(true)) => CallOutcome::TargetCrashed(cause),
        Ok(_) => CallOutcome::Failed(cause),
        Err(_) => CallOutcome::ConnectionBroken(cause),
    }
}

/// Dispatches the queued pieces of a pool once the next call may be sent to one of its targets.
pub(super) async fn dispatch_after(coordinator: Rc<Coordinator>, pool: PoolKey, after: Duration) {
    sleep(after).await;
    coordinator.dispatch(&pool);
}

/// Continues to wait for a late call while its pieces are sent to other targets as well: a slow
/// target works on the call to its end, whether or not anyone waits for it.
async fn await_late_call(
    coordinator: &Rc<Coordinator>,
    call: &DueCall,
    sent: Pin<&mut impl Future<Output = CallOutcome>>,
    started: Instant,
) -> CallOutcome {
    let max_wait = call_timeout(call);
    let until = started + max_wait;
    let detail = format!(
        "service={} pieces={} patience_ms={} expected_ms={}",
        call.pool.service,
        call.pieces.len(),
        call.late_after.as_millis(),
        call.expected.as_millis()
    );
    let recorder = &coordinator.recorder;
    recorder.record(EventCode::StageCallLate, &call.target, detail);
    coordinator.requeue_late_call(call, until);
    match timeout_at(until.into(), sent).await {
        Ok(end) => end,
        Err(_) => CallOutcome::Failed(format!("no response within {} ms", max_wait.as_millis())),
    }
}

fn record_call_outcome(
    coordinator: &Coordinator,
    call: &DueCall,
    end: &CallOutcome,
    sender: Option<SocketAddr>,
    took: Duration,
) {
    let (code, outcome) = match end {
        CallOutcome::Responded(results, load) => {
            let made = results.iter().filter(|result| result.is_ok()).count();
            let load = load.map_or("-".to_owned(), |load| {
                format!("{}+{}", load.running, load.waiting)
            });
            (
                EventCode::StageCallFinished,
                format!("made={made} load={load} trial={}", call.trial),
            )
        }
        CallOutcome::Busy => (EventCode::StageCallFailed, "cause=busy".to_owned()),
        CallOutcome::OtherTarget => (
            EventCode::StageCallFailed,
            "cause=another target has the address".to_owned(),
        ),
        CallOutcome::Failed(cause) | CallOutcome::ConnectionBroken(cause) => {
            (EventCode::StageCallFailed, format!("cause={cause}"))
        }
        CallOutcome::TargetCrashed(cause) => (
            EventCode::StageCallFailed,
            format!("cause=the target crashed: {cause}"),
        ),
        CallOutcome::SenderLost => (
            EventCode::StageCallFailed,
            "cause=connection to the sender lost".to_owned(),
        ),
    };
    let mut requests: Vec<&str> = call
        .pieces
        .iter()
        .map(|piece| piece.work.request.as_str())
        .collect();
    // Pieces of one request are adjacent.
    requests.dedup();
    let detail = format!(
        "service={} pieces={} overdue={} took_ms={} expected_ms={} sender={} {outcome} requests={}",
        call.pool.service,
        call.pieces.len(),
        call.overdue_pieces(),
        took.as_millis(),
        call.expected.as_millis(),
        sender.map_or("-".to_owned(), |sender| sender.to_string()),
        requests.join(",")
    );
    coordinator.recorder.record(code, &call.target, detail);
}

/// Converts a call to its wire form. Adjacent pieces of one batch share a part.
fn to_stage_call(call: &DueCall, now: Instant) -> StageCall {
    let left = |deadline: Instant| deadline.saturating_duration_since(now).as_millis() as u64;
    let batches = call.pieces.chunk_by(|a, b| Rc::ptr_eq(&a.work, &b.work));
    let parts = batches.map(|pieces| CallPart {
        work: (*pieces[0].work).clone(),
        numbers: pieces.iter().map(|one| one.key.index as u32).collect(),
        remaining_ms: left(pieces[0].deadline),
    });
    StageCall {
        target: call.target.clone(),
        address: call.address,
        parts: parts.collect(),
        timeout_ms: call_timeout(call).as_millis() as u64,
    }
}

/// Returns the total time to wait for the response to a call.
fn call_timeout(call: &DueCall) -> Duration {
    let total = call.expected.mul_f64(TIMEOUT_FACTOR) + TIMEOUT_SLACK;
    total.max(call.late_after)
}

/// Queries the free result memory of a target once its report reflects the call that found no room.
/// Until then the target is treated as full.
pub(super) async fn query_free_bytes(
    coordinator: Rc<Coordinator>,
    pool: PoolKey,
    target: String,
    address: SocketAddr,
) {
    sleep(MAX_REPORT_AGE).await;
    let query = coordinator.caller.query_free_bytes(&target, address);
    if let Some(free) = query.await {
        coordinator.apply_free_bytes(&pool, address, free);
    }
}

#[cfg(test)]
mod tests;
