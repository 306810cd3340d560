//! Wraps a request that may run at most once in a claim on its key.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use linnet_claim::{
    CallAnswer, ClaimAnswer, ClaimCommand, ClaimOutcome, ControlCall, MAX_OUTCOME_BYTES,
};
use ntex::util::Bytes;

use super::plan::PlannedClaim;
use super::{RequestPlan, RunAnswer};
use crate::context::WorkerContext;
use crate::control_link::CallFailure;
use crate::{CallerError, ErrorCode, RanState};

/// The step that errors of claims name.
const STEP: &str = "claim";

/// How long after the deadline a run that lost its host is taken as over.
const RUN_GRACE_MS: u64 = 2_000;

/// When a caller without a quorum is told to come back: about the time of an election.
const NO_QUORUM_WAIT: Duration = Duration::from_millis(1_500);

/// A claim that this host holds.
pub(crate) struct HeldClaim {
    planned: PlannedClaim,
    claim: u64,
}

/// How a claim was answered.
pub(crate) enum ClaimStart {
    /// This host runs the request.
    Run(HeldClaim),
    /// The request has run; this is what was recorded.
    Recorded(RunAnswer),
}

/// Commits a claim before the first byte of the request goes out.
///
/// # Errors
///
/// A refusal; the request did not run by this sending.
pub(crate) async fn open_claim(
    worker: &WorkerContext,
    plan: &RequestPlan,
    planned: &PlannedClaim,
) -> Result<ClaimStart, CallerError> {
    let entry = &worker.entry;
    let now_ms = wall_millis();
    let held = HeldClaim {
        planned: planned.clone(),
        claim: fastrand::u64(..),
    };
    let command = ClaimCommand::Open {
        key: planned.key.clone(),
        runner: entry.name.clone(),
        claim: held.claim,
        content: planned.content,
        now_ms,
        until_ms: now_ms + plan.time_left().as_millis() as u64 + RUN_GRACE_MS,
    };
    match entry
        .control
        .submit(&plan.id, ControlCall::Claim(command), entry.claim_time)
        .await
    {
        Ok(CallAnswer::Claim(answer)) => start_of(answer, held, now_ms),
        Ok(other) => Err(no_quorum(format!("{other:?}"))),
        Err(failure) => {
            // The claim may be committed later all the same. It is given back, since nothing ran.
            if failure == CallFailure::Unknown {
                held.release(worker, &plan.id);
            }
            Err(no_quorum(failure.to_string()))
        }
    }
}

fn start_of(answer: ClaimAnswer, held: HeldClaim, now_ms: u64) -> Result<ClaimStart, CallerError> {
    match answer {
        ClaimAnswer::Granted => Ok(ClaimStart::Run(held)),
        ClaimAnswer::Finished(outcome) => recorded_answer(outcome).map(ClaimStart::Recorded),
        ClaimAnswer::Held { runner, until_ms } => Err(held_error(&runner, until_ms, now_ms)),
        ClaimAnswer::OtherContent => {
            let message = "the request key was used for another request";
            Err(CallerError::new(ErrorCode::KeyReused, STEP, message))
        }
        other => Err(no_quorum(format!("{other:?}"))),
    }
}

fn no_quorum(message: String) -> CallerError {
    CallerError::new(ErrorCode::NoQuorum, STEP, message)
        .with_earlier_unknown(true)
        .with_retry_after(NO_QUORUM_WAIT)
}

// While the run may go on a resend is told to wait; after that its end cannot be known.
fn held_error(runner: &str, until_ms: u64, now_ms: u64) -> CallerError {
    if now_ms < until_ms {
        let wait = Duration::from_millis(until_ms - now_ms);
        CallerError::new(ErrorCode::StillRunning, STEP, "another sending runs now")
            .with_peer(runner)
            .with_ran(RanState::Unknown)
            .with_retry_after(wait)
    } else {
        CallerError::new(ErrorCode::MayHaveRun, STEP, "the host that ran it was lost")
            .with_peer(runner)
            .with_ran(RanState::Unknown)
    }
}

fn recorded_answer(outcome: ClaimOutcome) -> Result<RunAnswer, CallerError> {
    match outcome.body {
        Some(body) => Ok(RunAnswer {
            status: outcome.status,
            content_type: "application/json".to_owned(),
            body: Bytes::from(body),
        }),
        None => Err(CallerError::new(
            ErrorCode::ResultNotKept,
            STEP,
            "the answer was too large to be kept",
        )
        .with_ran(RanState::Yes)),
    }
}

impl HeldClaim {
    /// Records the end of the run, before the caller is told of it.
    pub(crate) async fn settle(
        self,
        worker: &WorkerContext,
        request: &str,
        result: &Result<RunAnswer, CallerError>,
    ) {
        let outcome = match result {
            Ok(answer) => ClaimOutcome {
                status: answer.status,
                body: kept_body(&answer.body),
            },
            Err(error) if error.ran == RanState::No => return self.release(worker, request),
            Err(error) => ClaimOutcome {
                status: error.code.status(),
                body: kept_body(error.body(request).to_string().as_bytes()),
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
            .submit(request, call.clone(), entry.claim_time)
            .await
            .is_err()
        {
            // The answer is not held back for it; until it is recorded a resend is told that the
            // request may have run.
            entry.control.submit_later(request, call);
        }
    }

    /// Gives the claim back: no target took any of the request.
    fn release(self, worker: &WorkerContext, request: &str) {
        let command = ClaimCommand::Release {
            key: self.planned.key,
            claim: self.claim,
        };
        worker
            .entry
            .control
            .submit_later(request, ControlCall::Claim(command));
    }
}

fn kept_body(body: &[u8]) -> Option<Vec<u8>> {
    (body.len() <= MAX_OUTCOME_BYTES).then(|| body.to_vec())
}

fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
