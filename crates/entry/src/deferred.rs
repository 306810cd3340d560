//! Deferred requests at an entry host: accepting, running when there is room, taking over.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use linnet_claim::{
    CallAnswer, ControlCall, DeferredAnswer, DeferredCommand, DeferredJob, DeferredOutcome,
    DeferredQuery, DeferredReply, JobLease, MAX_INPUT_BYTES, MAX_RESULT_BYTES,
};
use linnet_table::RouteKind;
use tokio::time::sleep;

use crate::caller::CheckedHead;
use crate::context::WorkerContext;
use crate::control_link::CallFailure;
use crate::hall::HallView;
use crate::run::{RequestPlan, RunAnswer, RunTarget, run_request};
use crate::{CallerError, ErrorCode, RanState};

/// The step that errors of deferred requests name.
const STEP: &str = "deferred";

/// A lease is renewed so many times before it would end.
const RENEWALS_A_LEASE: u32 = 4;

/// How often a job that waits looks whether there is room.
const ROOM_TICK: Duration = Duration::from_millis(100);

/// How often a linked host looks for jobs whose host was lost.
const SWEEP_PERIOD: Duration = Duration::from_secs(2);

/// Runs of a job that may run twice, before its last error is its end.
const MAX_RUNS: u32 = 5;

/// Wait between two runs.
const RUN_PAUSE: Duration = Duration::from_millis(500);

/// How long one call to control may take where nobody waits for it.
const CALL_TIME: Duration = Duration::from_secs(2);

/// When a caller without a quorum is told to come back.
const NO_QUORUM_WAIT: Duration = Duration::from_millis(1_500);

/// A job that this host may run.
pub(crate) struct HeldJob {
    job: DeferredJob,
    lease: JobLease,
}

/// Accepts a request for later. It is durable before the caller is told.
pub(crate) async fn accept_job(
    worker: &WorkerContext,
    head: &CheckedHead,
    request: &str,
    body: &[u8],
) -> Result<(String, Option<HeldJob>), CallerError> {
    if body.len() > MAX_INPUT_BYTES {
        let message = format!("a deferred request has at most {MAX_INPUT_BYTES} bytes");
        return Err(CallerError::new(ErrorCode::BodyTooLarge, STEP, message));
    }
    let held = HeldJob {
        job: build_job(worker, head, body),
        lease: fresh_lease(worker),
    };
    let command = DeferredCommand::Accept {
        job: held.job.clone(),
        lease: held.lease.clone(),
        now_ms: wall_millis(),
    };
    let handle = held.job.handle.clone();
    let has_key = head.request_key.is_some();
    let entry = &worker.entry;
    let call = ControlCall::Deferred(command);
    match entry.control.submit(request, call, entry.claim_time).await {
        Ok(CallAnswer::Deferred(DeferredAnswer::Accepted)) => Ok((handle, Some(held))),
        Ok(CallAnswer::Deferred(DeferredAnswer::Known)) => Ok((handle, None)),
        Ok(CallAnswer::Deferred(DeferredAnswer::OtherContent)) => {
            let message = "the request key was used for another request";
            Err(CallerError::new(ErrorCode::KeyReused, STEP, message))
        }
        Ok(other) => Err(no_quorum(format!("{other:?}"))),
        // It may be accepted later all the same. Then it runs, and under its key the caller finds
        // it; without a key nobody knows its handle, so nobody gets an answer twice.
        Err(failure) => Err(no_quorum(failure.to_string())
            .with_ran(ran_after(failure))
            .with_earlier_unknown(has_key)),
    }
}

fn ran_after(failure: CallFailure) -> RanState {
    match failure {
        CallFailure::NotTaken => RanState::No,
        CallFailure::Unknown => RanState::Unknown,
    }
}

fn no_quorum(message: String) -> CallerError {
    CallerError::new(ErrorCode::NoQuorum, STEP, message).with_retry_after(NO_QUORUM_WAIT)
}

fn build_job(worker: &WorkerContext, head: &CheckedHead, body: &[u8]) -> DeferredJob {
    let table = worker.entry.feed.read();
    let account = table.account(head.account).name.clone();
    let handle = match &head.request_key {
        Some(key) => DeferredJob::handle_of_key(&account, key),
        None => DeferredJob::handle_of_number(fastrand::u128(..)),
    };
    DeferredJob {
        handle,
        account,
        route: table.route(head.route).name.clone(),
        repeatable: head.repeatable,
        run_ms: head.deadline.as_millis() as u64,
        input: body.to_vec(),
    }
}

fn fresh_lease(worker: &WorkerContext) -> JobLease {
    JobLease {
        runner: worker.entry.name.clone(),
        number: fastrand::u64(..),
        until_ms: lease_end(worker),
    }
}

fn lease_end(worker: &WorkerContext) -> u64 {
    wall_millis() + worker.entry.deferred_lease.as_millis() as u64
}

/// Runs a job once there is room, and records its end. Ends early when the lease is lost.
pub(crate) async fn run_held(worker: WorkerContext, held: HeldJob) {
    let lost = keep_lease(&worker, &held);
    tokio::select! {
        outcome = run_to_end(&worker, &held.job) => match outcome {
            Some(outcome) => record_end(&worker, &held, outcome).await,
            None => give_back(&worker, &held),
        },
        () = lost => {}
    }
}

/// Renews the lease again and again; resolves when it is lost.
async fn keep_lease(worker: &WorkerContext, held: &HeldJob) {
    loop {
        sleep(worker.entry.deferred_lease / RENEWALS_A_LEASE).await;
        let lease = JobLease {
            until_ms: lease_end(worker),
            ..held.lease.clone()
        };
        let command = DeferredCommand::Renew {
            handle: held.job.handle.clone(),
            lease,
        };
        let call = ControlCall::Deferred(command);
        let answer = worker
            .entry
            .control
            .submit(&held.job.handle, call, CALL_TIME)
            .await;
        if let Ok(CallAnswer::Deferred(DeferredAnswer::NoSuchJob)) = answer {
            return;
        }
    }
}

/// Runs a job until it has an end; nothing when this host stops before a run began.
async fn run_to_end(worker: &WorkerContext, job: &DeferredJob) -> Option<DeferredOutcome> {
    let mut runs = 0;
    loop {
        wait_for_room(worker, job).await?;
        let flight = worker.entry.begin_flight();
        let result = match build_plan(worker, job) {
            Ok(plan) => run_request(worker, plan, None).await,
            Err(error) => Err(error),
        };
        drop(flight);
        runs += 1;
        match result {
            Ok(answer) => return Some(outcome_of(&answer)),
            Err(error) => {
                let gone = matches!(error.code, ErrorCode::UnknownRoute | ErrorCode::BadBody);
                let again = error.ran == RanState::No || (job.repeatable && runs < MAX_RUNS);
                if gone || !again {
                    return Some(outcome_of_error(&job.handle, &error));
                }
                sleep(error.retry_after.unwrap_or(RUN_PAUSE).max(RUN_PAUSE)).await;
            }
        }
    }
}

/// Waits until every pool of the job has room to spare; nothing when this host stops.
async fn wait_for_room(worker: &WorkerContext, job: &DeferredJob) -> Option<()> {
    loop {
        if worker.entry.flow.is_closed() {
            return None;
        }
        let pools = pools_of(worker, &job.route);
        if worker
            .entry
            .dispatcher
            .has_spare(pools.iter().map(String::as_str))
        {
            return Some(());
        }
        sleep(ROOM_TICK).await;
    }
}

fn pools_of(worker: &WorkerContext, route: &str) -> Vec<String> {
    let table = worker.entry.feed.read();
    let kind = table.route_id(route).map(|id| &table.route(id).kind);
    match kind {
        Some(RouteKind::Pipeline(stages)) => {
            stages.iter().map(|stage| stage.pool.clone()).collect()
        }
        _ => Vec::new(),
    }
}

fn build_plan(worker: &WorkerContext, job: &DeferredJob) -> Result<RequestPlan, CallerError> {
    let gone =
        |what: &str| CallerError::new(ErrorCode::UnknownRoute, STEP, format!("{what} is gone"));
    let input = serde_json::from_slice(&job.input)
        .map_err(|error| CallerError::new(ErrorCode::BadBody, STEP, error.to_string()))?;
    let id = worker.entry.name_request();
    let table = worker.entry.feed.read();
    let account = table
        .account_id(&job.account)
        .ok_or_else(|| gone("the account"))?;
    let route = table
        .route_id(&job.route)
        .ok_or_else(|| gone("the pipeline"))?;
    let RouteKind::Pipeline(stages) = &table.route(route).kind else {
        return Err(gone("the pipeline"));
    };
    let target = RunTarget::Pipeline {
        stages: stages.clone(),
        input,
    };
    let head = CheckedHead {
        account,
        route,
        deadline: Duration::from_millis(job.run_ms),
        repeatable: job.repeatable,
        request_key: None,
    };
    let now = std::time::Instant::now();
    Ok(RequestPlan::new(&table, id, head, target, &job.input, now))
}

fn outcome_of(answer: &RunAnswer) -> DeferredOutcome {
    if answer.body.len() > MAX_RESULT_BYTES {
        let message = "the answer was too large to be kept";
        let error = CallerError::new(ErrorCode::ResultNotKept, STEP, message);
        return outcome_of_error("", &error.with_ran(RanState::Yes));
    }
    DeferredOutcome {
        status: answer.status,
        body: answer.body.to_vec(),
    }
}

fn outcome_of_error(handle: &str, error: &CallerError) -> DeferredOutcome {
    DeferredOutcome {
        status: error.code.status(),
        body: error.body(handle).to_string().into_bytes(),
    }
}

/// Records the end, trying until a voter has it or the lease is found lost.
async fn record_end(worker: &WorkerContext, held: &HeldJob, outcome: DeferredOutcome) {
    let command = DeferredCommand::Finish {
        handle: held.job.handle.clone(),
        number: held.lease.number,
        outcome,
    };
    let call = ControlCall::Deferred(command);
    while worker
        .entry
        .control
        .submit(&held.job.handle, call.clone(), CALL_TIME)
        .await
        .is_err()
    {
        sleep(RUN_PAUSE).await;
    }
}

fn give_back(worker: &WorkerContext, held: &HeldJob) {
    let command = DeferredCommand::GiveBack {
        handle: held.job.handle.clone(),
        number: held.lease.number,
    };
    let call = ControlCall::Deferred(command);
    worker.entry.control.submit_later(&held.job.handle, call);
}

/// Takes over jobs whose host was lost. Only the host of a hall that is linked to control looks,
/// so that control answers halls, not hosts.
pub(crate) async fn sweep_lost(worker: WorkerContext, view: Arc<HallView>) {
    loop {
        sleep(SWEEP_PERIOD).await;
        if !view.is_linked() || !worker.entry.is_ready() {
            continue;
        }
        let query = ControlCall::Query(DeferredQuery::Expired {
            now_ms: wall_millis(),
        });
        let answer = worker.entry.control.submit("", query, CALL_TIME).await;
        if let Ok(CallAnswer::Query(DeferredReply::Expired(handles))) = answer {
            for handle in handles {
                take_over(&worker, handle).await;
            }
        }
    }
}

async fn take_over(worker: &WorkerContext, handle: String) {
    let lease = fresh_lease(worker);
    let command = DeferredCommand::Take {
        handle: handle.clone(),
        lease: lease.clone(),
        now_ms: wall_millis(),
    };
    let call = ControlCall::Deferred(command);
    let answer = worker.entry.control.submit(&handle, call, CALL_TIME).await;
    if let Ok(CallAnswer::Deferred(DeferredAnswer::Taken(job))) = answer {
        ntex::rt::spawn(run_held(worker.clone(), HeldJob { job, lease }));
    }
}

/// Asks what became of a job.
pub(crate) async fn fetch_job(
    worker: &WorkerContext,
    account: String,
    handle: String,
) -> Result<DeferredReply, CallerError> {
    let entry = &worker.entry;
    let call = ControlCall::Query(DeferredQuery::Fetch { account, handle });
    match entry.control.submit("", call, entry.claim_time).await {
        Ok(CallAnswer::Query(reply)) => Ok(reply),
        Ok(other) => Err(no_quorum(format!("{other:?}"))),
        Err(failure) => Err(no_quorum(failure.to_string())),
    }
}

/// Forgets a job whose answer the account has; false when there is none.
pub(crate) async fn acknowledge_job(
    worker: &WorkerContext,
    account: String,
    handle: String,
) -> Result<bool, CallerError> {
    let entry = &worker.entry;
    let command = DeferredCommand::Acknowledge { account, handle };
    let call = ControlCall::Deferred(command);
    match entry.control.submit("", call, entry.claim_time).await {
        Ok(CallAnswer::Deferred(answer)) => Ok(answer == DeferredAnswer::Recorded),
        Ok(other) => Err(no_quorum(format!("{other:?}"))),
        Err(failure) => Err(no_quorum(failure.to_string())),
    }
}

fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
