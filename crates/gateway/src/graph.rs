//! Runs the stages of a request in the order of their results.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::admission::RETRY_LEAST;
use crate::ask::Ask;
use crate::coordinator::HALL_BYTES;
use crate::hall_bytes::HallBytes;
use crate::path_time::{last_stages, pool_of, time_after};
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PieceInput, StageWork, maker_of};
use crate::pool_key::PoolKey;
use crate::schedule::StageSchedule;
use crate::stage_client::{Expectation, GatheredBatch, Home, PartWant};
use crate::target::TargetBook;
use crate::{Gateway, Refusal, RefusalReason};

/// The results of one stage, which are released when this is dropped.
struct StageResults {
    gateway: Rc<Gateway>,
    service: String,
    home: Home,
    pool: PoolKey,
    handles: Vec<String>,
    /// About how large one of them is, in bytes.
    bytes: u64,
}

impl Drop for StageResults {
    fn drop(&mut self) {
        let handles = std::mem::take(&mut self.handles);
        if !handles.is_empty() {
            let home = self.home;
            self.gateway
                .stages
                .free(home, &self.pool, handles, self.bytes);
        }
    }
}

/// The results that a request takes; released when this is dropped.
pub(crate) struct RequestResults {
    stages: Vec<Option<StageResults>>,
    taken: Vec<usize>,
}

impl RequestResults {
    /// Returns where the results lie that the request's target takes.
    pub(crate) fn places(&self, ask: &Ask, book: &TargetBook) -> HallBytes {
        bytes_by_hall(ask, &self.stages, &self.taken, book)
    }

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

/// A stage of which a piece has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StageFailure {
    /// The stage of the route, from 0.
    number: usize,
    service: String,
    fault: PieceFault,
}

impl StageFailure {
    /// Says whether the stages may well succeed when they are run anew: what they lost was lost with a
    /// target or a host, and others make it again.
    pub(crate) fn is_worth_again(&self) -> bool {
        matches!(
            self.fault,
            PieceFault::InputGone | PieceFault::Failed | PieceFault::Lost
        )
    }

    /// Returns the refusal of its request.
    pub(crate) fn refusal(&self) -> Refusal {
        // No stage counts as a run of the request, so it may be told as not run.
        let Self {
            number,
            service,
            fault,
        } = self;
        let detail = format!("stage={number} service={service} cause={fault}");
        Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(RETRY_LEAST)
    }
}

/// Runs all stages of a request whose generation will run in `hall`.
pub(crate) async fn run_stages(
    gateway: &Rc<Gateway>,
    ask: &Ask,
    hall: &str,
) -> Result<RequestResults, StageFailure> {
    let stages = &ask.route.stages;
    let mut results: Vec<Option<StageResults>> = stages.iter().map(|_| None).collect();
    let mut done: Vec<bool> = ask.piece_counts.iter().map(|count| *count == 0).collect();
    let mut started = done.clone();
    let mut running = FuturesUnordered::new();
    let mut schedule = StageSchedule::new(gateway, ask);
    let mut expected = expect_later(gateway, ask, &schedule);
    loop {
        let now = Instant::now();
        let mut next_start: Option<Instant> = None;
        for number in 0..stages.len() {
            let due = stages[number].depends_on.iter().all(|after| done[*after]);
            if started[number] || !due {
                continue;
            }
            if let Some(start) = schedule.start_of(number).filter(|start| *start > now) {
                next_start = Some(next_start.map_or(start, |next| next.min(start)));
                continue;
            }
            started[number] = true;
            let inputs = inputs_of(ask, &results, number);
            let stage_hall = hall_of_stage(gateway, ask, number, &results, hall);
            // From here on the pieces wait themselves.
            expected[number] = None;
            running.push(run_stage(gateway, ask, number, inputs, stage_hall));
        }
        let ended = tokio::select! {
            ended = running.next(), if !running.is_empty() => ended,
            () = sleep_until(next_start), if next_start.is_some() => continue,
            else => break,
        };
        if let Some((number, outcome)) = ended {
            results[number] = Some(outcome?);
            done[number] = true;
            schedule.note_end(number, Instant::now());
            release_taken(ask, &mut results, &done);
        }
    }
    Ok(RequestResults {
        stages: results,
        taken: last_stages(ask),
    })
}

async fn sleep_until(at: Option<Instant>) {
    if let Some(at) = at {
        tokio::time::sleep_until(at.into()).await;
    }
}

/// Tells the coordinators of all stages that start later of the pieces that will come.
fn expect_later(
    gateway: &Gateway,
    ask: &Ask,
    schedule: &StageSchedule,
) -> Vec<Option<Expectation>> {
    let stages = ask.route.stages.iter().zip(&ask.piece_counts).enumerate();
    let later = stages.map(|(number, (stage, count))| {
        let comes = *count > 0 && (!stage.depends_on.is_empty() || schedule.is_deferred(number));
        comes.then(|| {
            gateway.stages.expect(ExpectedPieces {
                pool: choose_part(gateway, ask, number, None),
                rank: ask.rank,
                pieces: *count,
            })
        })
    });
    later.collect()
}

/// Releases the results that every stage which takes them has taken, since room for results is
/// scarce at their targets.
fn release_taken(ask: &Ask, results: &mut [Option<StageResults>], done: &[bool]) {
    let stages = &ask.route.stages;
    let last = last_stages(ask);
    for (number, held) in results.iter_mut().enumerate() {
        let mut takers =
            (0..stages.len()).filter(|later| stages[*later].depends_on.contains(&number));
        if !last.contains(&number) && takers.all(|later| done[later]) {
            *held = None;
        }
    }
}

fn inputs_of(ask: &Ask, results: &[Option<StageResults>], number: usize) -> Vec<String> {
    let before = ask.route.stages[number].depends_on.iter();
    let stages = before.filter_map(|after| results[*after].as_ref());
    stages
        .flat_map(|stage| stage.handles.iter().cloned())
        .collect()
}

/// Returns where the results of some stages lie.
fn bytes_by_hall(
    ask: &Ask,
    results: &[Option<StageResults>],
    numbers: &[usize],
    book: &TargetBook,
) -> HallBytes {
    let mut places = HallBytes::default();
    for number in numbers {
        let Some(stage) = &results[*number] else {
            continue;
        };
        let bytes = ask.route.stages[*number].result_bytes;
        for handle in &stage.handles {
            if let Some(hall) = book.hall_at(&stage.service, maker_of(handle)) {
                places.add(&hall, bytes);
            }
        }
    }
    places
}

/// Returns the hall where the pieces of a stage should run, where that matters: each piece fetches
/// all results of the stages before it, and the request's target fetches those of the last ones.
fn hall_of_stage(
    gateway: &Gateway,
    ask: &Ask,
    number: usize,
    results: &[Option<StageResults>],
    target_hall: &str,
) -> Option<String> {
    let stage = &ask.route.stages[number];
    let inputs = bytes_by_hall(ask, results, &stage.depends_on, &gateway.targets.borrow());
    if let Some((hall, bytes)) = inputs.heaviest()
        && bytes >= HALL_BYTES
    {
        return Some(hall.to_owned());
    }
    let taken = stage.result_bytes >= HALL_BYTES && last_stages(ask).contains(&number);
    taken.then(|| target_hall.to_owned())
}

async fn run_stage(
    gateway: &Rc<Gateway>,
    ask: &Ask,
    number: usize,
    inputs: Vec<String>,
    hall: Option<String>,
) -> (usize, Result<StageResults, StageFailure>) {
    let stage = &ask.route.stages[number];
    let input = if stage.depends_on.is_empty() {
        PieceInput::Key(ask.piece_key.clone())
    } else {
        PieceInput::Results(inputs)
    };
    let after = time_after(gateway, ask)[number];
    let wanted = ask
        .objective_left()
        .saturating_sub(Duration::from_secs_f64(after / 1_000.0));
    let batch = PieceBatch {
        number: 0,
        pool: choose_part(gateway, ask, number, hall.as_deref()),
        rank: ask.rank,
        first: stage.depends_on.is_empty(),
        wanted_ms: wanted.as_millis() as u64,
        remaining_ms: ask.time_left().as_millis() as u64,
        hall,
        homes: ask.homes.to_told(),
        result_bytes: stage.result_bytes,
        key: ask.subject().key,
        apart: ask.apart.get(),
        work: StageWork {
            request: ask.id.clone(),
            stage: number,
            input,
        },
        count: ask.piece_counts[number],
    };
    let GatheredBatch {
        results,
        home,
        pool,
    } = gateway.stages.run(batch).await;
    let fault = results
        .iter()
        .find_map(|result| result.as_ref().err().copied());
    // Made results are released even where another piece failed.
    let made = StageResults {
        gateway: gateway.clone(),
        service: stage.service.clone(),
        home,
        pool,
        handles: results.into_iter().flatten().collect(),
        bytes: stage.result_bytes,
    };
    let outcome = match fault {
        None => Ok(made),
        Some(fault) => Err(StageFailure {
            number,
            service: stage.service.clone(),
            fault,
        }),
    };
    (number, outcome)
}

/// Chooses the part of a stage's pool that takes its pieces.
fn choose_part(gateway: &Gateway, ask: &Ask, number: usize, hall: Option<&str>) -> PoolKey {
    let table = gateway.table();
    let service = &ask.route.stages[number].service;
    let want = PartWant {
        spec: pool_of(table.as_deref(), service),
        hall,
        rank: ask.rank,
        pieces: ask.piece_counts[number],
        homes: &ask.homes,
    };
    gateway.stages.choose_part(service, &want)
}
