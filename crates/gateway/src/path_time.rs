//! How long the stages of a request take, by the queues on its way as they are known now.

use linnet_routing::{RouteTable, StagePool};

use crate::Gateway;
use crate::ask::Ask;
use crate::wait_model::PathPlan;

/// Time that a request takes for its stages, as far as is known.
pub(crate) struct PathTime {
    /// When each stage will have ended, in milliseconds from now.
    pub(crate) ends: Vec<f64>,
    /// How long each stage takes from the submission of its pieces, in milliseconds.
    pub(crate) spans: Vec<f64>,
    /// What admission compares with the time that is left.
    pub(crate) plan: PathPlan,
}

/// Returns how long the stages of a request would take if it began now.
pub(crate) fn path_time(gateway: &Gateway, ask: &Ask) -> PathTime {
    let table = gateway.table();
    let stages = &ask.route.stages;
    // End and waits of each stage. What waits at a later pool now is served meanwhile.
    let mut ends: Vec<(f64, f64)> = Vec::with_capacity(stages.len());
    let mut spans: Vec<f64> = Vec::with_capacity(stages.len());
    for (number, stage) in stages.iter().enumerate() {
        let before = stage.depends_on.iter().map(|before| ends[*before]);
        let (start, waits) = before.fold((0.0, 0.0), longer);
        let count = ask.piece_counts[number];
        let load = gateway.stages.load_of(&stage.service);
        let pool = pool_of(table.as_deref(), &stage.service);
        let own_ms = own_ms(pool, count);
        let wait = match (pool, load) {
            (Some(pool), Some(load)) if count > 0 => {
                (load.wait_ms(pool, ask.rank, count) - start).max(0.0)
            }
            _ => 0.0,
        };
        ends.push((start + wait + own_ms, waits + wait));
        spans.push(wait + own_ms);
    }
    let (end, waits) = ends.iter().copied().fold((0.0, 0.0), longer);
    PathTime {
        ends: ends.into_iter().map(|(end, _)| end).collect(),
        spans,
        plan: PathPlan {
            stages_ms: end - waits,
            waits_ms: waits,
            reading_ms: reading_ms(gateway, ask),
        },
    }
}

/// Returns the time from the end of each stage to the first event, where nothing waits, in
/// milliseconds.
pub(crate) fn time_after(gateway: &Gateway, ask: &Ask) -> Vec<f64> {
    let table = gateway.table();
    let stages = &ask.route.stages;
    let mut after = vec![reading_ms(gateway, ask); stages.len()];
    for (number, stage) in stages.iter().enumerate().rev() {
        let pool = pool_of(table.as_deref(), &stage.service);
        let whole = own_ms(pool, ask.piece_counts[number]) + after[number];
        for before in &stage.depends_on {
            after[*before] = after[*before].max(whole);
        }
    }
    after
}

/// Returns the settings of a stage pool, where the configuration has it.
pub(crate) fn pool_of<'a>(table: Option<&'a RouteTable>, service: &str) -> Option<&'a StagePool> {
    table?.find_service(service)?.stage_pool.as_ref()
}

/// Returns the time of a call with so many pieces of one request, in milliseconds.
fn own_ms(pool: Option<&StagePool>, count: u32) -> f64 {
    let pool = pool.filter(|_| count > 0);
    pool.map_or(0.0, |pool| {
        pool.call_time_ms(count.min(pool.batch) as usize)
    })
}

fn longer(a: (f64, f64), b: (f64, f64)) -> (f64, f64) {
    if b.0 > a.0 { b } else { a }
}

fn reading_ms(gateway: &Gateway, ask: &Ask) -> f64 {
    ask.prompt.as_ref().map_or(0.0, |prompt| {
        let unshared = prompt.own_tokens();
        let engines = gateway.engines.borrow();
        engines.reading_time(unshared).as_secs_f64() * 1_000.0
    })
}

/// Returns the stages that no stage with pieces comes after.
pub(crate) fn last_stages(ask: &Ask) -> Vec<usize> {
    let stages = &ask.route.stages;
    let taken_by_later = |number: usize| {
        let later = stages.iter().zip(&ask.piece_counts);
        later
            .into_iter()
            .any(|(stage, count)| *count > 0 && stage.depends_on.contains(&number))
    };
    (0..stages.len())
        .filter(|number| ask.piece_counts[*number] > 0 && !taken_by_later(*number))
        .collect()
}
