//! Runs a request from admission to its end.

use std::time::{Duration, Instant};

use linnet_dispatch::{AdmissionAsk, AdmittedRequest, QuotaHold};
use linnet_table::StageRow;
use linnet_telemetry::EventCode;
use ntex::util::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::attempt::StageTrial;
use super::claim::{ClaimStart, open_claim};
use super::service::try_call;
use super::stage::try_stage;
use super::stream::{TokenSink, try_stream};
use super::{RequestPlan, RunAnswer, RunTarget};
use crate::context::WorkerContext;
use crate::{CallerError, RanState};

/// Runs a request. With `lines`, the tokens of its last stage are sent there as they come.
pub(crate) async fn run_request(
    worker: &WorkerContext,
    plan: RequestPlan,
    lines: Option<mpsc::Sender<Bytes>>,
) -> Result<RunAnswer, CallerError> {
    let result = run_admitted(worker, &plan, lines.as_ref()).await;
    let entry = &worker.entry;
    let (code, outcome) = match &result {
        Ok(_) if Instant::now() > plan.deadline => (EventCode::RequestFinished, "late"),
        Ok(_) => (EventCode::RequestFinished, "whole"),
        Err(error) if error.ran == RanState::No => (EventCode::RequestRefused, error.code.text()),
        Err(error) => (EventCode::RequestFailed, error.code.text()),
    };
    entry.stats.count_request(&plan.route_name, outcome);
    entry.recorder.record_request(code, &plan.id, "", outcome);
    result
}

async fn run_admitted(
    worker: &WorkerContext,
    plan: &RequestPlan,
    lines: Option<&mpsc::Sender<Bytes>>,
) -> Result<RunAnswer, CallerError> {
    let has_key = plan.claim.is_some();
    let mut admitted = admit(worker, plan).map_err(|error| error.with_earlier_unknown(has_key))?;
    let detail = format!("route={} account={}", plan.route_name, plan.account_name);
    worker
        .entry
        .recorder
        .record_request(EventCode::RequestAccepted, &plan.id, "", detail);
    let Some(planned) = &plan.claim else {
        return run_target(worker, plan, lines, &mut admitted).await;
    };
    match open_claim(worker, plan, planned).await? {
        ClaimStart::Recorded(answer) => Ok(answer),
        ClaimStart::Run(held) => {
            let result = run_target(worker, plan, lines, &mut admitted).await;
            held.settle(worker, &plan.id, &result).await;
            result
        }
    }
}

/// What an admitted request holds until its end.
struct AdmittedPlan {
    places: AdmittedRequest,
    quota: QuotaHold,
}

/// Refuses, before the first stage, what limits or time do not allow.
fn admit(worker: &WorkerContext, plan: &RequestPlan) -> Result<AdmittedPlan, CallerError> {
    let entry = &worker.entry;
    let refused = |refusal| CallerError::refused(refusal, "admission", RanState::No);
    let pools = plan.pools();
    let ask = AdmissionAsk {
        account: plan.account,
        weight: plan.weight,
        route: plan.route,
        time_left: plan.time_left(),
    };
    let places = entry
        .dispatcher
        .admit(pools.iter().copied(), &ask)
        .map_err(refused)?;
    let quota = entry.quotas.take(
        plan.account,
        plan.account_limits,
        plan.route,
        plan.route_limits,
        Instant::now(),
    );
    Ok(AdmittedPlan {
        places,
        quota: quota.map_err(refused)?,
    })
}

async fn run_target(
    worker: &WorkerContext,
    plan: &RequestPlan,
    lines: Option<&mpsc::Sender<Bytes>>,
    admitted: &mut AdmittedPlan,
) -> Result<RunAnswer, CallerError> {
    let mut ran = RanState::No;
    match &plan.target {
        RunTarget::Pipeline { stages, input } => {
            run_stages(
                worker,
                plan,
                stages,
                input.clone(),
                lines,
                admitted,
                &mut ran,
            )
            .await
        }
        RunTarget::Service { pool, call } => {
            admitted.places.reach_next();
            let mut trial = StageTrial::new(worker, plan, "call", 0, pool, Duration::ZERO);
            try_call(&mut trial, call, &mut ran).await
        }
    }
}

async fn run_stages(
    worker: &WorkerContext,
    plan: &RequestPlan,
    stages: &[StageRow],
    mut value: Value,
    lines: Option<&mpsc::Sender<Bytes>>,
    admitted: &mut AdmittedPlan,
    ran: &mut RanState,
) -> Result<RunAnswer, CallerError> {
    for (place, stage) in stages.iter().enumerate() {
        admitted.places.reach_next();
        let after = stages[place + 1..].iter().map(|stage| stage.pool.as_str());
        let work_after = worker.entry.dispatcher.usual_through(after, plan.route);
        let mut trial = StageTrial::new(worker, plan, &stage.stage, place, &stage.pool, work_after);
        if stage.streams {
            let mut sink = TokenSink {
                tokens: Vec::new(),
                lines,
                hold: &admitted.quota,
            };
            try_stream(&mut trial, &value, ran, &mut sink).await?;
            return Ok(json_answer(
                &json!({ "request": plan.id, "tokens": sink.tokens }),
            ));
        }
        value = try_stage(&mut trial, &value, ran).await?;
    }
    Ok(json_answer(&json!({ "request": plan.id, "output": value })))
}

fn json_answer(body: &Value) -> RunAnswer {
    RunAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: Bytes::from(body.to_string()),
    }
}
