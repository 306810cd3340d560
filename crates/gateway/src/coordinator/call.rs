//! Calls to stage targets.

use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use linnet_telemetry::EventCode;
use tokio::time::{sleep, timeout, timeout_at};

use super::pool::DueCall;
use super::queue::Coordinator;
use super::state::CallEnd;
use crate::dialect::StageItem;
use crate::load::ReportedLoad;
use crate::pool_key::PoolKey;

/// How much longer than expected a call is waited for in all, as a factor and a span.
const BOUND_FACTOR: f64 = 5.0;
const BOUND_SLACK: Duration = Duration::from_millis(150);

/// How old what a target reports may be.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// How long a release of results may take.
const FREE_TIMEOUT: Duration = Duration::from_millis(1_000);

pub(super) async fn run_call(coordinator: Rc<Coordinator>, call: DueCall) {
    let started = Instant::now();
    let (end, late) = {
        let mut sent = pin!(send_call(&coordinator, &call));
        match timeout(call.patience, &mut sent).await {
            Ok(end) => (end, false),
            Err(_) => (wait_on(&coordinator, &call, sent, started).await, true),
        }
    };
    note_end(&coordinator, &call, &end, started.elapsed());
    let pool = call.pool.clone();
    if let Some(rest) = coordinator.finish_call(call, end, late) {
        sleep(rest).await;
        coordinator.dispatch(&pool);
    }
}

/// Waits on for a call that is late, while its pieces go to other targets as well: a target that is
/// slow works on it until its end, whoever waits for it.
async fn wait_on(
    coordinator: &Rc<Coordinator>,
    call: &DueCall,
    sent: Pin<&mut impl Future<Output = CallEnd>>,
    started: Instant,
) -> CallEnd {
    let bound = call.expected.mul_f64(BOUND_FACTOR) + BOUND_SLACK;
    let until = started + bound.max(call.patience);
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

fn note_end(coordinator: &Coordinator, call: &DueCall, end: &CallEnd, took: Duration) {
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
        CallEnd::Failed(cause) => (EventCode::StageCallFailed, format!("cause={cause}")),
    };
    let requests: Vec<&str> = call
        .pieces
        .iter()
        .map(|waiting| waiting.work.request.as_str())
        .collect();
    let detail = format!(
        "service={} pieces={} took_ms={} expected_ms={} {outcome} requests={}",
        call.pool.service,
        call.pieces.len(),
        took.as_millis(),
        call.expected.as_millis(),
        requests.join(",")
    );
    coordinator.recorder.record(code, &call.target, detail);
}

async fn send_call(coordinator: &Coordinator, call: &DueCall) -> CallEnd {
    let targets = &coordinator.dialect.targets;
    let names = &coordinator.dialect.headers;
    let now = Instant::now();
    let left = |deadline: Instant| deadline.saturating_duration_since(now).as_millis() as u64;
    let items: Vec<StageItem<'_>> = call
        .pieces
        .iter()
        .map(|waiting| StageItem {
            work: &waiting.work,
            number: waiting.piece.place as u32,
            remaining_ms: left(waiting.deadline),
        })
        .collect();
    let longest = items
        .iter()
        .map(|item| item.remaining_ms)
        .max()
        .unwrap_or(0);
    let body = (targets.encode_stage_run)(&items);
    let request = Request::post(targets.stage_run_path)
        .header(header::HOST, call.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(&names.deadline_ms, longest)
        .header(&names.expect_target, &call.target)
        .body(Full::new(Bytes::from(body)));
    let request = match request {
        Ok(request) => request,
        Err(error) => return CallEnd::Failed(error.to_string()),
    };
    let (answer, lease) = match coordinator.pool.send(call.address, request).await {
        Ok(answered) => answered,
        Err(error) => return CallEnd::Failed(error.to_string()),
    };
    let (head, body) = answer.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return CallEnd::Failed(error.to_string()),
    };
    lease.finish(&head.headers);
    if head.status == targets.other_target {
        return CallEnd::OtherTarget;
    }
    if head.headers.contains_key(&names.not_run) {
        return CallEnd::Busy;
    }
    if !head.status.is_success() {
        return CallEnd::Failed(format!("status {}", head.status.as_u16()));
    }
    match (targets.decode_stage_run)(&body) {
        Some(results) if results.len() == call.pieces.len() => {
            let load = ReportedLoad::read(&head.headers, &names.load);
            CallEnd::Answered(results, load)
        }
        Some(results) => CallEnd::Failed(format!("{} results", results.len())),
        None => CallEnd::Failed("no answer in the dialect".to_owned()),
    }
}

/// Tells a target that results are not needed any more. A lost word costs only the time until the
/// results expire by themselves.
pub(super) async fn free_results(
    coordinator: Rc<Coordinator>,
    address: SocketAddr,
    handles: Vec<String>,
) {
    let targets = &coordinator.dialect.targets;
    let body = (targets.encode_stage_free)(&handles);
    let request = Request::post(targets.stage_free_path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else {
        return;
    };
    let work = async {
        let (answer, lease) = coordinator.pool.send(address, request).await.ok()?;
        let (head, body) = answer.into_parts();
        body.collect().await.ok()?;
        lease.finish(&head.headers);
        Some(())
    };
    let _ = timeout(FREE_TIMEOUT, work).await;
}

/// Asks a target how much memory it has free for results, when its report has caught up with the call
/// that found no room. Until then the target is taken as full.
pub(super) async fn ask_free_bytes(
    coordinator: Rc<Coordinator>,
    pool: PoolKey,
    address: SocketAddr,
) {
    sleep(REPORT_LAG).await;
    let targets = &coordinator.dialect.targets;
    let request = Request::get(targets.report_path)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else {
        return;
    };
    let work = async {
        let (answer, lease) = coordinator.pool.send(address, request).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        lease.finish(&head.headers);
        (targets.decode_free_bytes)(&body)
    };
    if let Ok(Some(free)) = timeout(FREE_TIMEOUT, work).await {
        coordinator.take_free_bytes(&pool, address, free);
    }
}
