//! Runs a request from admission to its response.

use std::time::{Duration, Instant};

use linnet_dispatch::{AdmissionRequest, AdmittedRequest, QuotaGuard};
use linnet_table::StageRow;
use linnet_telemetry::EventCode;
use ntex::util::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::attempt::StageExecution;
use super::claim::{ClaimDecision, open_claim};
use super::service::try_call;
use super::stage::try_stage;
use super::stream::{TokenSink, try_stream};
use super::{RequestPlan, RequestWork, RunResponse};
use crate::context::WorkerContext;
use crate::{CallerError, RanState};

/// Runs a request. Tokens of its last stage are sent to `lines`, if given, as they are received.
pub(crate) async fn run_request(
    worker: &WorkerContext,
    plan: RequestPlan,
    lines: Option<mpsc::Sender<Bytes>>,
) -> Result<RunResponse, CallerError> {
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
) -> Result<RunResponse, CallerError> {
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
        ClaimDecision::Recorded(response) => Ok(response),
        ClaimDecision::Run(claim) => {
            let result = run_target(worker, plan, lines, &mut admitted).await;
            claim.record_result(worker, &plan.id, &result).await;
            result
        }
    }
}

/// The guards that an admitted request holds until it ends.
struct AdmissionGuards {
    reservations: AdmittedRequest,
    quota: QuotaGuard,
}

/// Admits a request, or refuses it before its first stage because of its deadline or an account
/// limit.
fn admit(worker: &WorkerContext, plan: &RequestPlan) -> Result<AdmissionGuards, CallerError> {
    let entry = &worker.entry;
    let refused = |refusal| CallerError::refused(refusal, "admission", RanState::No);
    let pools = plan.pools();
    let request = AdmissionRequest {
        account: plan.account,
        weight: plan.weight,
        route: plan.route,
        time_left: plan.time_left(),
    };
    let reservations = entry
        .dispatcher
        .admit(pools.iter().copied(), &request)
        .map_err(refused)?;
    let quota = entry.quotas.acquire(
        plan.account,
        plan.account_limits,
        plan.route,
        plan.route_limits,
        Instant::now(),
    );
    Ok(AdmissionGuards {
        reservations,
        quota: quota.map_err(refused)?,
    })
}

async fn run_target(
    worker: &WorkerContext,
    plan: &RequestPlan,
    lines: Option<&mpsc::Sender<Bytes>>,
    admitted: &mut AdmissionGuards,
) -> Result<RunResponse, CallerError> {
    let mut ran = RanState::No;
    match &plan.work {
        RequestWork::Pipeline { stages, input } => {
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
        RequestWork::Service { pool, call } => {
            admitted.reservations.enter_next_pool();
            let mut execution = StageExecution::new(worker, plan, "call", 0, pool, Duration::ZERO);
            try_call(&mut execution, call, &mut ran).await
        }
    }
}

async fn run_stages(
    worker: &WorkerContext,
    plan: &RequestPlan,
    stages: &[StageRow],
    mut value: Value,
    lines: Option<&mpsc::Sender<Bytes>>,
    admitted: &mut AdmissionGuards,
    ran: &mut RanState,
) -> Result<RunResponse, CallerError> {
    for (index, stage) in stages.iter().enumerate() {
        admitted.reservations.enter_next_pool();
        let after = stages[index + 1..].iter().map(|stage| stage.pool.as_str());
        let work_after = worker.entry.dispatcher.typical_total(after, plan.route);
        let mut execution =
            StageExecution::new(worker, plan, &stage.stage, index, &stage.pool, work_after);
        if stage.streams {
            let mut sink = TokenSink {
                tokens: Vec::new(),
                lines,
                quota: &admitted.quota,
            };
            try_stream(&mut execution, &value, ran, &mut sink).await?;
            return Ok(json_response(
                &json!({ "request": plan.id, "tokens": sink.tokens }),
            ));
        }
        value = try_stage(&mut execution, &value, ran).await?;
    }
    Ok(json_response(
        &json!({ "request": plan.id, "output": value }),
    ))
}

fn json_response(body: &Value) -> RunResponse {
    RunResponse {
        status: 200,
        content_type: "application/json".to_owned(),
        body: Bytes::from(body.to_string()),
    }
}
