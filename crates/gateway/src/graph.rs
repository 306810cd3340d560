//! Runs the stages of a request in the order of their results.

use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::ask::Ask;
use crate::piece::{PieceBatch, PieceFault, PieceInput, PieceSpec};
use crate::stage_client::Home;
use crate::{Gateway, Refusal, RefusalReason};

/// When a caller should come back after a stage's queue was too long.
const QUEUE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The results of one stage, which are released when this is dropped.
struct StageResults {
    gateway: Rc<Gateway>,
    service: String,
    home: Home,
    handles: Vec<String>,
}

impl Drop for StageResults {
    fn drop(&mut self) {
        let handles = std::mem::take(&mut self.handles);
        if !handles.is_empty() {
            self.gateway.stages.free(self.home, &self.service, handles);
        }
    }
}

/// The results that a request takes; released when this is dropped.
pub(crate) struct RequestResults {
    stages: Vec<Option<StageResults>>,
    taken: Vec<usize>,
}

impl RequestResults {
    /// Returns the handles of the stages that no other comes after.
    pub(crate) fn handles(&self) -> Vec<String> {
        let stages = self
            .taken
            .iter()
            .filter_map(|stage| self.stages[*stage].as_ref());
        stages
            .flat_map(|stage| stage.handles.iter().cloned())
            .collect()
    }
}

/// Runs all stages of a request whose generation will run in `hall`.
pub(crate) async fn run_stages(
    gateway: &Rc<Gateway>,
    ask: &Ask,
    hall: &str,
) -> Result<RequestResults, Refusal> {
    let stages = &ask.route.stages;
    let mut results: Vec<Option<StageResults>> = stages.iter().map(|_| None).collect();
    let mut done: Vec<bool> = ask.piece_counts.iter().map(|count| *count == 0).collect();
    let mut started = done.clone();
    let mut running = FuturesUnordered::new();
    loop {
        for number in 0..stages.len() {
            let due = stages[number].after.iter().all(|after| done[*after]);
            if !started[number] && due {
                started[number] = true;
                let inputs = inputs_of(ask, &results, number);
                running.push(run_stage(gateway, ask, number, inputs, hall));
            }
        }
        match running.next().await {
            None => break,
            Some((number, outcome)) => {
                results[number] = Some(outcome?);
                done[number] = true;
                release_taken(ask, &mut results, &done);
            }
        }
    }
    Ok(RequestResults {
        stages: results,
        taken: last_stages(ask),
    })
}

/// Releases the results that every stage which takes them has taken, since room for results is
/// scarce at their targets.
fn release_taken(ask: &Ask, results: &mut [Option<StageResults>], done: &[bool]) {
    let stages = &ask.route.stages;
    let last = last_stages(ask);
    for (number, held) in results.iter_mut().enumerate() {
        let mut takers = (0..stages.len()).filter(|later| stages[*later].after.contains(&number));
        if !last.contains(&number) && takers.all(|later| done[later]) {
            *held = None;
        }
    }
}

fn inputs_of(ask: &Ask, results: &[Option<StageResults>], number: usize) -> Vec<String> {
    let before = ask.route.stages[number].after.iter();
    let stages = before.filter_map(|after| results[*after].as_ref());
    stages
        .flat_map(|stage| stage.handles.iter().cloned())
        .collect()
}

/// Returns the stages that no stage with pieces comes after.
fn last_stages(ask: &Ask) -> Vec<usize> {
    let stages = &ask.route.stages;
    let taken_by_later = |number: usize| {
        let later = stages.iter().zip(&ask.piece_counts);
        later
            .into_iter()
            .any(|(stage, count)| *count > 0 && stage.after.contains(&number))
    };
    (0..stages.len())
        .filter(|number| ask.piece_counts[*number] > 0 && !taken_by_later(*number))
        .collect()
}

async fn run_stage(
    gateway: &Rc<Gateway>,
    ask: &Ask,
    number: usize,
    inputs: Vec<String>,
    hall: &str,
) -> (usize, Result<StageResults, Refusal>) {
    let stage = &ask.route.stages[number];
    let input = if stage.after.is_empty() {
        PieceInput::Key(ask.piece_key.clone())
    } else {
        PieceInput::Results(inputs)
    };
    let pieces = (0..ask.piece_counts[number]).map(|piece| PieceSpec {
        request: ask.id.clone(),
        stage: number,
        number: piece,
        input: input.clone(),
    });
    let wanted = ask
        .objective_left()
        .saturating_sub(time_after(gateway, ask, number));
    let batch = PieceBatch {
        number: 0,
        service: stage.service.clone(),
        rank: ask.rank,
        wanted_ms: wanted.as_millis() as u64,
        remaining_ms: ask.time_left().as_millis() as u64,
        hall: Some(hall.to_owned()),
        result_bytes: stage.result_bytes,
        pieces: pieces.collect(),
    };
    let (results, home) = gateway.stages.run(batch).await;
    let fault = results
        .iter()
        .find_map(|result| result.as_ref().err().copied());
    // Made results are released even where another piece failed.
    let made = StageResults {
        gateway: gateway.clone(),
        service: stage.service.clone(),
        home,
        handles: results.into_iter().flatten().collect(),
    };
    let outcome = match fault {
        None => Ok(made),
        Some(fault) => Err(refusal_of(fault, number, &stage.service)),
    };
    (number, outcome)
}

fn refusal_of(fault: PieceFault, number: usize, service: &str) -> Refusal {
    // No stage counts as a run of the request, so it may be told as not run.
    let detail = format!("stage={number} service={service} cause={fault}");
    Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(QUEUE_RETRY_AFTER)
}

/// Returns about how long a request takes after a stage, where nothing waits.
fn time_after(gateway: &Gateway, ask: &Ask, number: usize) -> Duration {
    let table = gateway.table.borrow();
    let stages = &ask.route.stages;
    let mut after = vec![0.0_f64; stages.len()];
    for (later, stage) in stages.iter().enumerate().rev() {
        let pool = table
            .as_ref()
            .and_then(|table| table.find_service(&stage.service))
            .and_then(|service| service.stage_pool.as_ref());
        let count = ask.piece_counts[later];
        let own = match pool {
            Some(pool) if count > 0 => pool.call_time_ms(count.min(pool.batch) as usize),
            _ => 0.0,
        };
        for before in &stage.after {
            after[*before] = after[*before].max(own + after[later]);
        }
    }
    let reading = ask.prompt.as_ref().map_or(Duration::ZERO, |prompt| {
        let unshared = prompt.tokens_in.saturating_sub(prompt.shared_tokens);
        gateway.engines.borrow().reading_time(unshared)
    });
    Duration::from_secs_f64(after[number] / 1_000.0) + reading
}
