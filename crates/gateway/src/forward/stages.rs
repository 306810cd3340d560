//! The stages of one request: where they run, and whether they are run again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_telemetry::EventCode;

use super::RunLog;
use crate::admission::admit;
use crate::ask::Ask;
use crate::choose::{PassedTargets, no_target, place_ask};
use crate::coordinator::LARGE_RESULT_BYTES;
use crate::graph::{RequestResults, run_stages};
use crate::path_time::final_stages;
use crate::service_availability::{check_availability, check_rate_limits};
use crate::{Gateway, Refusal};

/// How often the stages of a request are run.
const MAX_STAGE_RUNS: u32 = 2;

/// Part of the time that is left in which the stages have to be expected to end when they are run
/// again. Something is amiss then, so there is room for twice the plan.
const AGAIN_TIME_PART: f64 = 0.5;

/// Runs the stages of a request, in the hall where its prompt will go if nothing changes. Where they
/// fail since a target or host was lost they are run once more: the caller would have to come back
/// for the same.
pub(super) async fn prepare(
    gateway: &Rc<Gateway>,
    service: &str,
    ask: &Ask,
    log: &mut RunLog,
) -> Result<RequestResults, Refusal> {
    if log.stage_runs == 0 {
        log.plan = admit(gateway, ask)?;
        let planned = Duration::from_secs_f64((log.plan.stages_ms + log.plan.waits_ms) / 1_000.0);
        check_availability(gateway, service, ask, planned)?;
        check_rate_limits(gateway, service, ask).await?;
    }
    loop {
        log.stage_runs += 1;
        let hall = plan_hall(gateway, service, ask).await?;
        let started = Instant::now();
        let failure = match run_stages(gateway, ask, &hall).await {
            Ok(results) => {
                note_stages(gateway, ask, log, started.elapsed());
                return Ok(results);
            }
            Err(failure) => failure,
        };
        let refusal = failure.refusal();
        if !failure.is_worth_again() || !may_run_stages_again(ask, log) {
            return Err(refusal);
        }
        note_stages_again(gateway, ask, log, &refusal.detail);
    }
}

/// Returns the hall of the engine where a prompt would be placed now; this host's own for a request
/// without one, and where no stage has large results for it. The host that places prompts is asked once
/// less for each of those, which is two of six messages for a prompt.
async fn plan_hall(gateway: &Gateway, service: &str, ask: &Ask) -> Result<String, Refusal> {
    if !takes_large_results(ask) {
        let targets = gateway.targets.borrow();
        let mut engines = targets.of_service(service);
        let known = engines.any(|engine| ask.homes.allows(&engine.hall));
        let own = || gateway.config.hall.clone();
        return known.then(own).ok_or_else(no_target);
    }
    let Some(place) = place_ask(gateway, service, ask, PassedTargets::default(), None) else {
        return Ok(gateway.config.hall.clone());
    };
    let planned = gateway.stages.plan_placement(&gateway.targets, place).await;
    Ok(planned.ok_or_else(no_target)?.hall)
}

/// Says whether the target of a request fetches results that should not cross halls.
fn takes_large_results(ask: &Ask) -> bool {
    let taken = final_stages(ask).into_iter();
    let mut sizes = taken.map(|stage| ask.route.stages[stage].result_bytes);
    sizes.any(|bytes| bytes >= LARGE_RESULT_BYTES)
}

fn note_stages(gateway: &Gateway, ask: &Ask, log: &RunLog, took: Duration) {
    let mut waits = gateway.waits.borrow_mut();
    waits.record_wait(ask.rank, &log.plan, took);
    gateway.metrics.stage_time.observe(took.as_secs_f64());
}

/// Says whether there is time to run the stages of a request once more.
pub(super) fn may_run_stages_again(ask: &Ask, log: &RunLog) -> bool {
    let planned_ms = log.plan.stages_ms + log.plan.waits_ms + log.plan.prefill_ms;
    let left_ms = ask.time_left().as_secs_f64() * 1_000.0;
    log.stage_runs < MAX_STAGE_RUNS && planned_ms <= left_ms * AGAIN_TIME_PART
}

pub(super) fn note_stages_again(gateway: &Gateway, ask: &Ask, log: &RunLog, cause: &str) {
    let detail = format!("runs={} cause={cause}", log.stage_runs);
    gateway.note_request(EventCode::StagesRunAgain, &ask.id, "", detail);
}
