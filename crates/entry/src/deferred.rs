//! Deferred requests on an entry host: acceptance, execution with spare capacity, takeover.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use linnet_claim::{
    ControlCall, ControlReply, DeferredCommand, DeferredCommandReply, DeferredJob, DeferredOutcome,
    DeferredQuery, DeferredQueryReply, JobLease, MAX_INPUT_BYTES, MAX_RESULT_BYTES,
};
use linnet_table::RouteKind;
use tokio::time::sleep;

use crate::caller::CheckedHead;
use crate::context::WorkerContext;
use crate::control_link::CallFailure;
use crate::hall::HallView;
use crate::run::{RequestPlan, RequestWork, RunResponse, run_request};
use crate::{CallerError, ErrorCode, RanState};

/// The `step` of errors of deferred requests.
const STEP: &str = "deferred";

/// The number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// The interval at which a queued job checks for spare capacity.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which a host linked to control looks for jobs with an expired lease.
const TAKEOVER_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum number of runs of a repeatable job. The error of the last run is its outcome.
const MAX_RUNS: u32 = 5;

/// The minimum delay between two runs.
const RUN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The timeout of a call to control on which no caller waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The retry delay announced to a caller if there is no quorum.
const NO_QUORUM_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// A job and the lease under which this host runs it.
pub(crate) struct LeasedJob {
    job: DeferredJob,
    lease: JobLease,
}

/// Accepts a request for deferred execution. The job is durable before the caller gets its handle.
pub(crate) async fn accept_job(
    worker: &WorkerContext,
    head: &CheckedHead,
    request: &str,
    body: &[u8],
) -> Result<(String, Option<LeasedJob>), CallerError> {
    if body.len() > MAX_INPUT_BYTES {
        let message = format!("a deferred request has at most {MAX_INPUT_BYTES} bytes");
        return Err(CallerError::new(ErrorCode::BodyTooLarge, STEP, message));
    }
    let leased = LeasedJob {
        job: build_job(worker, head, body),
        lease: new_lease(worker),
    };
    let command = DeferredCommand::Accept {
        job: leased.job.clone(),
        lease: leased.lease.clone(),
        now_ms: unix_millis(),
    };
    let handle = leased.job.handle.clone();
    let has_key = head.request_key.is_some();
    let entry = &worker.entry;
    let call = ControlCall::Deferred(command);
    match entry
        .control
        .submit(request, call, entry.claim_timeout)
        .await
    {
        Ok(ControlReply::Deferred(DeferredCommandReply::Accepted)) => Ok((handle, Some(leased))),
        Ok(ControlReply::Deferred(DeferredCommandReply::Known)) => Ok((handle, None)),
        Ok(ControlReply::Deferred(DeferredCommandReply::OtherContent)) => {
            let message = "the request key was used for another request";
            Err(CallerError::new(ErrorCode::KeyReused, STEP, message))
        }
        Ok(other) => Err(no_quorum(format!("{other:?}"))),
        // The job may still be accepted later. It then runs; the caller finds it by its request
        // key. Without a key no caller knows its handle, so its response is not delivered in
        // addition to that of a repeated request.
        Err(failure) => Err(no_quorum(failure.to_string())
            .with_ran(ran_state_after(failure))
            .with_earlier_unknown(has_key)),
    }
}

fn ran_state_after(failure: CallFailure) -> RanState {
    match failure {
        CallFailure::NotApplied => RanState::No,
        CallFailure::Unknown => RanState::Unknown,
    }
}

fn no_quorum(message: String) -> CallerError {
    CallerError::new(ErrorCode::NoQuorum, STEP, message).with_retry_after(NO_QUORUM_RETRY_AFTER)
}

fn build_job(worker: &WorkerContext, head: &CheckedHead, body: &[u8]) -> DeferredJob {
    let table = worker.entry.feed.read();
    let account = table.account(head.account).name.clone();
    let handle = match &head.request_key {
        Some(key) => DeferredJob::handle_from_key(&account, key),
        None => DeferredJob::handle_from_number(fastrand::u128(..)),
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

fn new_lease(worker: &WorkerContext) -> JobLease {
    JobLease {
        runner: worker.entry.name.clone(),
        number: fastrand::u64(..),
        until_ms: lease_end(worker),
    }
}

fn lease_end(worker: &WorkerContext) -> u64 {
    unix_millis() + worker.entry.deferred_lease.as_millis() as u64
}

/// Runs a job once there is spare capacity, and records its outcome. Stops if the lease is lost.
pub(crate) async fn run_leased_job(worker: WorkerContext, leased: LeasedJob) {
    let lost = renew_until_lost(&worker, &leased);
    tokio::select! {
        outcome = run_until_outcome(&worker, &leased.job) => match outcome {
            Some(outcome) => record_outcome(&worker, &leased, outcome).await,
            None => release_job(&worker, &leased),
        },
        () = lost => {}
    }
}

/// Renews the lease periodically. Returns when the lease is lost.
async fn renew_until_lost(worker: &WorkerContext, leased: &LeasedJob) {
    loop {
        sleep(worker.entry.deferred_lease / RENEWALS_PER_LEASE).await;
        let lease = JobLease {
            until_ms: lease_end(worker),
            ..leased.lease.clone()
        };
        let command = DeferredCommand::Renew {
            handle: leased.job.handle.clone(),
            lease,
        };
        let call = ControlCall::Deferred(command);
        let reply = worker
            .entry
            .control
            .submit(&leased.job.handle, call, CALL_TIMEOUT)
            .await;
        if let Ok(ControlReply::Deferred(DeferredCommandReply::NoSuchJob)) = reply {
            return;
        }
    }
}

/// Runs a job until it has an outcome. Returns `None` if this host stops while the job waits for
/// capacity.
async fn run_until_outcome(worker: &WorkerContext, job: &DeferredJob) -> Option<DeferredOutcome> {
    let mut runs = 0;
    loop {
        wait_for_capacity(worker, job).await?;
        let flight = worker.entry.track_in_flight();
        let result = match build_plan(worker, job) {
            Ok(plan) => run_request(worker, plan, None).await,
            Err(error) => Err(error),
        };
        drop(flight);
        runs += 1;
        match result {
            Ok(response) => return Some(outcome_of_response(&response)),
            Err(error) => {
                let permanent = matches!(error.code, ErrorCode::UnknownRoute | ErrorCode::BadBody);
                let again = error.ran == RanState::No || (job.repeatable && runs < MAX_RUNS);
                if permanent || !again {
                    return Some(outcome_of_error(&job.handle, &error));
                }
                sleep(
                    error
                        .retry_after
                        .unwrap_or(RUN_RETRY_DELAY)
                        .max(RUN_RETRY_DELAY),
                )
                .await;
            }
        }
    }
}

/// Waits until every pool of the job has spare capacity. Returns `None` if this host stops.
async fn wait_for_capacity(worker: &WorkerContext, job: &DeferredJob) -> Option<()> {
    loop {
        if worker.entry.flow.is_closed() {
            return None;
        }
        let pools = pools_of(worker, &job.route);
        if worker
            .entry
            .dispatcher
            .has_spare_capacity(pools.iter().map(String::as_str))
        {
            return Some(());
        }
        sleep(CAPACITY_POLL_INTERVAL).await;
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
    let removed = |what: &str| {
        let message = format!("{what} was removed from the table");
        CallerError::new(ErrorCode::UnknownRoute, STEP, message)
    };
    let input = serde_json::from_slice(&job.input)
        .map_err(|error| CallerError::new(ErrorCode::BadBody, STEP, error.to_string()))?;
    let id = worker.entry.next_request_id();
    let table = worker.entry.feed.read();
    let account = table
        .account_id(&job.account)
        .ok_or_else(|| removed("the account"))?;
    let route = table
        .route_id(&job.route)
        .ok_or_else(|| removed("the pipeline"))?;
    let RouteKind::Pipeline(stages) = &table.route(route).kind else {
        return Err(removed("the pipeline"));
    };
    let work = RequestWork::Pipeline {
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
    Ok(RequestPlan::new(&table, id, head, work, &job.input, now))
}

fn outcome_of_response(response: &RunResponse) -> DeferredOutcome {
    if response.body.len() > MAX_RESULT_BYTES {
        let message = "the response was too large to be stored";
        let error = CallerError::new(ErrorCode::ResultNotKept, STEP, message);
        return outcome_of_error("", &error.with_ran(RanState::Yes));
    }
    DeferredOutcome {
        status: response.status,
        body: response.body.to_vec(),
    }
}

fn outcome_of_error(handle: &str, error: &CallerError) -> DeferredOutcome {
    DeferredOutcome {
        status: error.code.status(),
        body: error.body(handle).to_string().into_bytes(),
    }
}

/// Records the outcome, retrying until there is a reply. If the lease was lost, the reply is that
/// there is no such job.
async fn record_outcome(worker: &WorkerContext, leased: &LeasedJob, outcome: DeferredOutcome) {
    let command = DeferredCommand::Finish {
        handle: leased.job.handle.clone(),
        number: leased.lease.number,
        outcome,
    };
    let call = ControlCall::Deferred(command);
    while worker
        .entry
        .control
        .submit(&leased.job.handle, call.clone(), CALL_TIMEOUT)
        .await
        .is_err()
    {
        sleep(RUN_RETRY_DELAY).await;
    }
}

fn release_job(worker: &WorkerContext, leased: &LeasedJob) {
    let command = DeferredCommand::Release {
        handle: leased.job.handle.clone(),
        number: leased.lease.number,
    };
    let call = ControlCall::Deferred(command);
    worker
        .entry
        .control
        .submit_in_background(&leased.job.handle, call);
}

/// Takes over jobs with an expired lease. Only the host of a hall that is linked to control does
/// so, which keeps the load of the control hosts proportional to halls, not hosts.
pub(crate) async fn take_over_expired_jobs(worker: WorkerContext, view: Arc<HallView>) {
    loop {
        sleep(TAKEOVER_INTERVAL).await;
        if !view.is_linked() || !worker.entry.is_ready() {
            continue;
        }
        let query = ControlCall::Query(DeferredQuery::Expired {
            now_ms: unix_millis(),
        });
        let reply = worker.entry.control.submit("", query, CALL_TIMEOUT).await;
        if let Ok(ControlReply::Query(DeferredQueryReply::Expired(handles))) = reply {
            for handle in handles {
                take_over_job(&worker, handle).await;
            }
        }
    }
}

async fn take_over_job(worker: &WorkerContext, handle: String) {
    let lease = new_lease(worker);
    let command = DeferredCommand::TakeOver {
        handle: handle.clone(),
        lease: lease.clone(),
        now_ms: unix_millis(),
    };
    let call = ControlCall::Deferred(command);
    let reply = worker
        .entry
        .control
        .submit(&handle, call, CALL_TIMEOUT)
        .await;
    if let Ok(ControlReply::Deferred(DeferredCommandReply::Taken(job))) = reply {
        ntex::rt::spawn(run_leased_job(worker.clone(), LeasedJob { job, lease }));
    }
}

/// Fetches the state of a job.
pub(crate) async fn fetch_job(
    worker: &WorkerContext,
    account: String,
    handle: String,
) -> Result<DeferredQueryReply, CallerError> {
    let entry = &worker.entry;
    let call = ControlCall::Query(DeferredQuery::Fetch { account, handle });
    match entry.control.submit("", call, entry.claim_timeout).await {
        Ok(ControlReply::Query(reply)) => Ok(reply),
        Ok(other) => Err(no_quorum(format!("{other:?}"))),
        Err(failure) => Err(no_quorum(failure.to_string())),
    }
}

/// Acknowledges the response of a job, which removes the job. Returns false if there is no such
/// job.
pub(crate) async fn acknowledge_job(
    worker: &WorkerContext,
    account: String,
    handle: String,
) -> Result<bool, CallerError> {
    let entry = &worker.entry;
    let command = DeferredCommand::Acknowledge { account, handle };
    let call = ControlCall::Deferred(command);
    match entry.control.submit("", call, entry.claim_timeout).await {
        Ok(ControlReply::Deferred(reply)) => Ok(reply == DeferredCommandReply::Recorded),
        Ok(other) => Err(no_quorum(format!("{other:?}"))),
        Err(failure) => Err(no_quorum(failure.to_string())),
    }
}

fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
