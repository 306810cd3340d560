//! Runs the stages of a request in dependency order.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::caller_request::CallerRequest;
use crate::coordinator::LARGE_RESULT_BYTES;
use crate::hall_bytes::HallBytes;
use crate::overload::MIN_RETRY_AFTER;
use crate::path_time::{final_stages, stage_pool_of, time_to_first_event_ms};
use crate::piece::{
    ExpectedPieces, PieceBatch, PieceFault, PieceInput, StageWork, target_address_of,
};
use crate::pool_key::PoolKey;
use crate::schedule::StageSchedule;
use crate::stage_client::{Expectation, FinishedBatch, HostLocation, PartitionRequirements};
use crate::target::TargetStore;
use crate::{Gateway, Refusal, RefusalReason};

/// Handles of the results of one stage; the results are released on drop.
struct StageResults {
    gateway: Rc<Gateway>,
    service: String,
    home: HostLocation,
    pool: PoolKey,
    handles: Vec<String>,
    /// Approximate size of one result, in bytes.
    bytes: u64,
}

impl Drop for StageResults {
    fn drop(&mut self) {
        let handles = std::mem::take(&mut self.handles);
        if !handles.is_empty() {
            let home = self.home;
            self.gateway
                .stage_client
                .release_results(home, &self.pool, handles, self.bytes);
        }
    }
}

/// The stage results that a request takes as input; released on drop.
pub(crate) struct RequestResults {
    stages: Vec<Option<StageResults>>,
    final_stages: Vec<usize>,
}

impl RequestResults {
    /// Returns how many bytes of the final stages' results lie in each hall.
    pub(crate) fn bytes_by_hall(&self, request: &CallerRequest, store: &TargetStore) -> HallBytes {
        bytes_by_hall(request, &self.stages, &self.final_stages, store)
    }

    /// Returns the result handles of the final stages, on which no other stage depends.
    pub(crate) fn handles(&self) -> Vec<String> {
        let stages = self
            .final_stages
            .iter()
            .filter_map(|stage| self.stages[*stage].as_ref());
        stages
            .flat_map(|stage| stage.handles.iter().cloned())
            .collect()
    }
}

/// A stage that has a piece without a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StageFailure {
    /// Index of the stage in the route, from 0.
    number: usize,
    service: String,
    fault: PieceFault,
}

impl StageFailure {
    /// Returns whether another run of the stages may succeed: the results were lost with a target
    /// or a host, and other targets can compute them again.
    pub(crate) fn is_retryable(&self) -> bool {
        matches!(
            self.fault,
            PieceFault::InputGone | PieceFault::Failed | PieceFault::CoordinatorLost
        )
    }

    /// Returns the refusal of the request.
    pub(crate) fn refusal(&self) -> Refusal {
        // A stage run does not count as a run of the request, so the refusal may promise that it
        // did not run.
        let Self {
            number,
            service,
            fault,
        } = self;
        let detail = format!("stage={number} service={service} cause={fault}");
        Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(MIN_RETRY_AFTER)
    }
}

/// Runs all stages of a request whose target is expected to be in `hall`.
pub(crate) async fn run_stages(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    hall: &str,
) -> Result<RequestResults, StageFailure> {
    let stages = &request.route.stages;
    let mut results: Vec<Option<StageResults>> = stages.iter().map(|_| None).collect();
    let mut done: Vec<bool> = request
        .piece_counts
        .iter()
        .map(|count| *count == 0)
        .collect();
    let mut started = done.clone();
    let mut running = FuturesUnordered::new();
    let mut schedule = StageSchedule::new(gateway, request);
    let mut announced = announce_later_stages(gateway, request, &schedule);
    loop {
        let now = Instant::now();
        let mut next_start: Option<Instant> = None;
        for number in 0..stages.len() {
            let is_ready = stages[number].depends_on.iter().all(|after| done[*after]);
            if started[number] || !is_ready {
                continue;
            }
            if let Some(start) = schedule.start_time(number).filter(|start| *start > now) {
                next_start = Some(next_start.map_or(start, |next| next.min(start)));
                continue;
            }
            started[number] = true;
            let inputs = input_handles(request, &results, number);
            let stage_hall = preferred_hall(gateway, request, number, &results, hall);
            // The submitted pieces replace the announced ones.
            announced[number] = None;
            running.push(run_stage(gateway, request, number, inputs, stage_hall));
        }
        let ended = tokio::select! {
            ended = running.next(), if !running.is_empty() => ended,
            () = sleep_until(next_start), if next_start.is_some() => continue,
            else => break,
        };
        if let Some((number, outcome)) = ended {
            results[number] = Some(outcome?);
            done[number] = true;
            schedule.record_stage_end(number, Instant::now());
            release_consumed(request, &mut results, &done);
        }
    }
    Ok(RequestResults {
        stages: results,
        final_stages: final_stages(request),
    })
}

async fn sleep_until(at: Option<Instant>) {
    if let Some(at) = at {
        tokio::time::sleep_until(at.into()).await;
    }
}

/// Announces the pieces of all stages that start later to the coordinators of their pools.
fn announce_later_stages(
    gateway: &Gateway,
    request: &CallerRequest,
    schedule: &StageSchedule,
) -> Vec<Option<Expectation>> {
    let stages = request
        .route
        .stages
        .iter()
        .zip(&request.piece_counts)
        .enumerate();
    let later = stages.map(|(number, (stage, count))| {
        let starts_later =
            *count > 0 && (!stage.depends_on.is_empty() || schedule.is_delayed(number));
        starts_later.then(|| {
            gateway.stage_client.expect_pieces(ExpectedPieces {
                pool: select_partition(gateway, request, number, None),
                rank: request.rank,
                pieces: *count,
            })
        })
    });
    later.collect()
}

/// Releases results that all dependent stages have consumed, since memory for results is scarce at
/// the stage targets.
fn release_consumed(request: &CallerRequest, results: &mut [Option<StageResults>], done: &[bool]) {
    let stages = &request.route.stages;
    let last = final_stages(request);
    for (number, stage_results) in results.iter_mut().enumerate() {
        let mut consumers =
            (0..stages.len()).filter(|later| stages[*later].depends_on.contains(&number));
        if !last.contains(&number) && consumers.all(|later| done[later]) {
            *stage_results = None;
        }
    }
}

fn input_handles(
    request: &CallerRequest,
    results: &[Option<StageResults>],
    number: usize,
) -> Vec<String> {
    let before = request.route.stages[number].depends_on.iter();
    let stages = before.filter_map(|after| results[*after].as_ref());
    stages
        .flat_map(|stage| stage.handles.iter().cloned())
        .collect()
}

/// Returns how many bytes of the results of some stages lie in each hall.
fn bytes_by_hall(
    request: &CallerRequest,
    results: &[Option<StageResults>],
    numbers: &[usize],
    store: &TargetStore,
) -> HallBytes {
    let mut bytes_by_hall = HallBytes::default();
    for number in numbers {
        let Some(stage) = &results[*number] else {
            continue;
        };
        let bytes = request.route.stages[*number].result_bytes;
        for handle in &stage.handles {
            if let Some(hall) = store.hall_at(&stage.service, target_address_of(handle)) {
                bytes_by_hall.add(&hall, bytes);
            }
        }
    }
    bytes_by_hall
}

/// Returns the preferred hall for the pieces of a stage, if it matters: each piece fetches all
/// results of the preceding stages, and the request's target fetches those of the final stages.
fn preferred_hall(
    gateway: &Gateway,
    request: &CallerRequest,
    number: usize,
    results: &[Option<StageResults>],
    target_hall: &str,
) -> Option<String> {
    let stage = &request.route.stages[number];
    let inputs = bytes_by_hall(
        request,
        results,
        &stage.depends_on,
        &gateway.targets.borrow(),
    );
    if let Some((hall, bytes)) = inputs.heaviest()
        && bytes >= LARGE_RESULT_BYTES
    {
        return Some(hall.to_owned());
    }
    let is_fetched =
        stage.result_bytes >= LARGE_RESULT_BYTES && final_stages(request).contains(&number);
    is_fetched.then(|| target_hall.to_owned())
}

async fn run_stage(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    number: usize,
    inputs: Vec<String>,
    hall: Option<String>,
) -> (usize, Result<StageResults, StageFailure>) {
    let stage = &request.route.stages[number];
    let input = if stage.depends_on.is_empty() {
        PieceInput::Key(request.piece_key.clone())
    } else {
        PieceInput::Results(inputs)
    };
    let after = time_to_first_event_ms(gateway, request)[number];
    let objective = request
        .objective_left()
        .saturating_sub(Duration::from_secs_f64(after / 1_000.0));
    let batch = PieceBatch {
        number: 0,
        pool: select_partition(gateway, request, number, hall.as_deref()),
        rank: request.rank,
        // Admission judged a late request by its deadline; the coordinator would refuse it by its
        // objective.
        first_stage: stage.depends_on.is_empty() && !request.is_late.get(),
        objective_ms: objective.as_millis() as u64,
        remaining_ms: request.time_left().as_millis() as u64,
        preferred_hall: hall,
        allowed_halls: request.allowed_halls.to_names(),
        result_bytes: stage.result_bytes,
        request_key: request.subject().key,
        isolated: request.isolated.get(),
        work: StageWork {
            request: request.id.clone(),
            stage: number,
            input,
        },
        piece_count: request.piece_counts[number],
    };
    if let Some(takeup) = request.takeup.get() {
        let coordinator = gateway.stage_client.coordinator_of(&batch.pool);
        takeup.set_stage(number, &batch.pool, coordinator);
    }
    let FinishedBatch {
        results,
        coordinator: home,
        pool,
    } = gateway.stage_client.run_batch(batch).await;
    let fault = results
        .iter()
        .find_map(|result| result.as_ref().err().copied());
    // Results that were produced are released even if another piece failed.
    let produced = StageResults {
        gateway: gateway.clone(),
        service: stage.service.clone(),
        home,
        pool,
        handles: results.into_iter().flatten().collect(),
        bytes: stage.result_bytes,
    };
    let outcome = match fault {
        None => Ok(produced),
        Some(fault) => Err(StageFailure {
            number,
            service: stage.service.clone(),
            fault,
        }),
    };
    (number, outcome)
}

/// Selects the partition of a stage's pool that takes its pieces.
pub(crate) fn select_partition(
    gateway: &Gateway,
    request: &CallerRequest,
    number: usize,
    hall: Option<&str>,
) -> PoolKey {
    let table = gateway.route_table();
    let service = &request.route.stages[number].service;
    let requirements = PartitionRequirements {
        spec: stage_pool_of(table.as_deref(), service),
        preferred_hall: hall,
        rank: request.rank,
        pieces: request.piece_counts[number],
        allowed_halls: &request.allowed_halls,
    };
    gateway
        .stage_client
        .choose_partition(service, &requirements)
}
