//! Guards a request that may run at most once by a claim on its request key.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use linnet_claim::{
    ClaimCommand, ClaimOutcome, ClaimReply, ControlCall, ControlReply, MAX_OUTCOME_BYTES,
};
use ntex::util::Bytes;

use super::plan::PlannedClaim;
use super::{RequestPlan, RunResponse};
use crate::context::WorkerContext;
use crate::control_link::CallFailure;
use crate::{CallerError, ErrorCode, RanState};

/// The `step` of errors of claims.
const STEP: &str = "claim";

/// How long after its deadline a run on a lost host is considered to have ended.
const RUN_GRACE_MS: u64 = 2_000;

/// The retry delay announced to a caller if there is no quorum; about the duration of an election.
const NO_QUORUM_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// An open claim of this host.
pub(crate) struct ActiveClaim {
    planned: PlannedClaim,
    claim: u64,
}

/// The result of opening a claim.
pub(crate) enum ClaimDecision {
    /// The claim is granted; this host runs the request.
    Run(ActiveClaim),
    /// The request has already run; this is its recorded response.
    Recorded(RunResponse),
}

/// Commits a claim before the first byte of the request is sent to a target.
///
/// # Errors
///
/// Returns an error if the claim is not granted; this request did not run.
pub(crate) async fn open_claim(
    worker: &WorkerContext,
    plan: &RequestPlan,
    planned: &PlannedClaim,
) -> Result<ClaimDecision, CallerError> {
    let entry = &worker.entry;
    let now_ms = unix_millis();
    let active = ActiveClaim {
        planned: planned.clone(),
        claim: fastrand::u64(..),
    };
    let command = ClaimCommand::Open {
        key: planned.key.clone(),
        runner: entry.name.clone(),
        claim: active.claim,
        content: planned.content,
        now_ms,
        until_ms: now_ms + plan.time_left().as_millis() as u64 + RUN_GRACE_MS,
    };
    match entry
        .control
        .submit(&plan.id, ControlCall::Claim(command), entry.claim_timeout)
        .await
    {
        Ok(ControlReply::Claim(reply)) => decide_claim(reply, active, now_ms),
        Ok(other) => Err(no_quorum(format!("{other:?}"))),
        Err(failure) => {
            // The claim may still be committed later. Releases it, as the request did not run.
            if failure == CallFailure::Unknown {
                active.release(worker, &plan.id);
            }
            Err(no_quorum(failure.to_string()))
        }
    }
}

fn decide_claim(
    reply: ClaimReply,
    active: ActiveClaim,
    now_ms: u64,
) -> Result<ClaimDecision, CallerError> {
    match reply {
        ClaimReply::Granted => Ok(ClaimDecision::Run(active)),
        ClaimReply::Finished(outcome) => recorded_response(outcome).map(ClaimDecision::Recorded),
        ClaimReply::Held { runner, until_ms } => Err(active_claim_error(&runner, until_ms, now_ms)),
        ClaimReply::OtherContent => {
            let message = "the request key was used for another request";
            Err(CallerError::new(ErrorCode::KeyReused, STEP, message))
        }
        other => Err(no_quorum(format!("{other:?}"))),
    }
}

fn no_quorum(message: String) -> CallerError {
    CallerError::new(ErrorCode::NoQuorum, STEP, message)
        .with_earlier_unknown(true)
        .with_retry_after(NO_QUORUM_RETRY_AFTER)
}

// While the other run may continue, a resend has to wait. After that its outcome cannot be known.
fn active_claim_error(runner: &str, until_ms: u64, now_ms: u64) -> CallerError {
    if now_ms < until_ms {
        let wait = Duration::from_millis(until_ms - now_ms);
        CallerError::new(
            ErrorCode::StillRunning,
            STEP,
            "another request with this request key is running",
        )
        .with_peer(runner)
        .with_ran(RanState::Unknown)
        .with_retry_after(wait)
    } else {
        CallerError::new(ErrorCode::MayHaveRun, STEP, "the host that ran it was lost")
            .with_peer(runner)
            .with_ran(RanState::Unknown)
    }
}

fn recorded_response(outcome: ClaimOutcome) -> Result<RunResponse, CallerError> {
    match outcome.body {
        Some(body) => Ok(RunResponse {
            status: outcome.status,
            content_type: "application/json".to_owned(),
            body: Bytes::from(body),
        }),
        None => Err(CallerError::new(
            ErrorCode::ResultNotKept,
            STEP,
            "the response was too large to be stored",
        )
        .with_ran(RanState::Yes)),
    }
}

impl ActiveClaim {
    /// Records the outcome of the run before the caller gets the response.
    pub(crate) async fn record_result(
        self,
        worker: &WorkerContext,
        request: &str,
        result: &Result<RunResponse, CallerError>,
    ) {
        let outcome = match result {
            Ok(response) => ClaimOutcome {
                status: response.status,
                body: storable_body(&response.body),
            },
            Err(error) if error.ran == RanState::No => return self.release(worker, request),
            Err(error) => ClaimOutcome {
                status: error.code.status(),
                body: storable_body(error.body(request).to_string().as_bytes()),
            },
        };
        let call = ControlCall::Claim(ClaimCommand::Finish {
            key: self.planned.key,
            claim: self.claim,
            outcome,
        });
        let entry = &worker.entry;
        if entry
            .control
            .submit(request, call.clone(), entry.claim_timeout)
            .await
            .is_err()
        {
            // Does not delay the response further. Until the outcome is recorded, a resend gets the
            // error that the request may have run.
            entry.control.submit_in_background(request, call);
        }
    }

    /// Releases the claim. Only valid if no target received any part of the request.
    fn release(self, worker: &WorkerContext, request: &str) {
        let command = ClaimCommand::Release {
            key: self.planned.key,
            claim: self.claim,
        };
        worker
            .entry
            .control
            .submit_in_background(request, ControlCall::Claim(command));
    }
}

fn storable_body(body: &[u8]) -> Option<Vec<u8>> {
    (body.len() <= MAX_OUTCOME_BYTES).then(|| body.to_vec())
}

fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
