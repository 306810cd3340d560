//! Estimates how long the stages of a request take, by the present queues of the pools on its path.

use linnet_forecast::{StageForecast, StageInputs, forecast_stage};
use linnet_routing::{RouteTable, StagePool};

use crate::Gateway;
use crate::caller_request::CallerRequest;
use crate::stage_client::KnownLoad;
use crate::wait_model::PathEstimate;

/// The estimated times of the stages of a request.
pub(crate) struct PathTime {
    /// The end of each stage, in milliseconds from now.
    pub(crate) stage_ends_ms: Vec<f64>,
    /// The time of each stage from the submission of its pieces to its end, in milliseconds.
    pub(crate) stage_times_ms: Vec<f64>,
    /// The totals that admission compares with the time left.
    pub(crate) plan: PathEstimate,
    /// The stage with the longest wait; `None` if no stage has to wait.
    pub(crate) longest_wait: Option<StageWait>,
}

/// How long a stage of a request waits, and the load that this follows from.
#[derive(Debug, Clone)]
pub(crate) struct StageWait {
    /// Index of the stage in the route, from 0.
    pub(crate) number: usize,
    /// Wait in milliseconds, without the time of the stages before.
    pub(crate) wait_ms: f64,
    pub(crate) known: KnownLoad,
}

/// Estimates how long the stages of a request would take if it started now.
pub(crate) fn estimate_path_time(gateway: &Gateway, request: &CallerRequest) -> PathTime {
    let table = gateway.route_table();
    let stages = &request.route.stages;
    // For each stage its end, and the sum of the waits on the longest path to it. The present queue
    // of a later pool shrinks while the earlier stages run, so their time is deducted from the
    // wait.
    let mut ends: Vec<(f64, f64)> = Vec::with_capacity(stages.len());
    let mut times: Vec<f64> = Vec::with_capacity(stages.len());
    let mut longest_wait: Option<StageWait> = None;
    for (number, stage) in stages.iter().enumerate() {
        let before = stage.depends_on.iter().map(|before| ends[*before]);
        let (start, waits) = before.fold((0.0, 0.0), later_end);
        let count = request.piece_counts[number];
        let known = gateway.stage_client.load_of(&stage.service);
        let pool = stage_pool_of(table.as_deref(), &stage.service);
        let StageForecast {
            wait_ms: wait,
            service_ms: call_ms,
        } = match (pool, &known) {
            (Some(pool), Some(known)) if count > 0 => {
                stage_time(gateway, request, pool, known, count, start)
            }
            _ => StageForecast {
                wait_ms: 0.0,
                service_ms: call_time_ms(pool, count),
            },
        };
        let longest_ms = longest_wait.as_ref().map_or(0.0, |longest| longest.wait_ms);
        if let Some(known) = known.filter(|_| wait > longest_ms) {
            longest_wait = Some(StageWait {
                number,
                wait_ms: wait,
                known,
            });
        }
        ends.push((start + wait + call_ms, waits + wait));
        times.push(wait + call_ms);
    }
    let (end, waits) = ends.iter().copied().fold((0.0, 0.0), later_end);
    PathTime {
        stage_ends_ms: ends.into_iter().map(|(end, _)| end).collect(),
        stage_times_ms: times,
        plan: PathEstimate {
            stages_ms: end - waits,
            waits_ms: waits,
            prefill_ms: prefill_ms(gateway, request),
        },
        longest_wait,
    }
}

/// Estimates the wait and the duration of a stage with `count` pieces that starts `start_ms` from
/// now.
fn stage_time(
    gateway: &Gateway,
    request: &CallerRequest,
    pool: &StagePool,
    known: &KnownLoad,
    count: u32,
    start_ms: f64,
) -> StageForecast {
    if !gateway.overload.policy().measured_waits {
        let wait_ms = known.load.expected_wait_ms(pool, request.rank, count) - start_ms;
        return StageForecast {
            wait_ms: wait_ms.max(0.0),
            service_ms: call_time_ms(Some(pool), count),
        };
    }
    forecast_stage(&StageInputs {
        start_ms,
        times: known.times.as_ref(),
        ..known.load.stage_inputs(pool, request.rank, count)
    })
}

/// Returns the time from the end of each stage to the first event of the response if nothing has to
/// wait, in milliseconds.
pub(crate) fn time_to_first_event_ms(gateway: &Gateway, request: &CallerRequest) -> Vec<f64> {
    let table = gateway.route_table();
    let stages = &request.route.stages;
    let mut after = vec![prefill_ms(gateway, request); stages.len()];
    for (number, stage) in stages.iter().enumerate().rev() {
        let pool = stage_pool_of(table.as_deref(), &stage.service);
        let total = call_time_ms(pool, request.piece_counts[number]) + after[number];
        for before in &stage.depends_on {
            after[*before] = after[*before].max(total);
        }
    }
    after
}

/// Returns the settings of the stage pool of a service; `None` if the configuration has none.
pub(crate) fn stage_pool_of<'a>(
    table: Option<&'a RouteTable>,
    service: &str,
) -> Option<&'a StagePool> {
    table?.find_service(service)?.stage_pool.as_ref()
}

/// Returns the time of a call with the given number of pieces, at most a full batch, in
/// milliseconds.
fn call_time_ms(pool: Option<&StagePool>, count: u32) -> f64 {
    let pool = pool.filter(|_| count > 0);
    pool.map_or(0.0, |pool| {
        pool.call_time_ms(count.min(pool.batch) as usize)
    })
}

/// Returns the pair with the later end.
fn later_end(a: (f64, f64), b: (f64, f64)) -> (f64, f64) {
    if b.0 > a.0 { b } else { a }
}

/// Returns the expected prefill time of a request's prompt, in milliseconds; 0 without a prompt.
fn prefill_ms(gateway: &Gateway, request: &CallerRequest) -> f64 {
    request.prompt.as_ref().map_or(0.0, |prompt| {
        let unshared = prompt.unshared_tokens();
        let engines = gateway.engine_placer.borrow();
        engines.prefill_time(unshared).as_secs_f64() * 1_000.0
    })
}

/// Returns the stages with pieces whose results no later stage with pieces uses.
pub(crate) fn final_stages(request: &CallerRequest) -> Vec<usize> {
    let stages = &request.route.stages;
    let is_used_later = |number: usize| {
        let later = stages.iter().zip(&request.piece_counts);
        later
            .into_iter()
            .any(|(stage, count)| *count > 0 && stage.depends_on.contains(&number))
    };
    (0..stages.len())
        .filter(|number| request.piece_counts[*number] > 0 && !is_used_later(*number))
        .collect()
}
