//! Runs batches at the coordinators of their pools.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};

use linnet_succession::{BatchRoute, MAX_ROUTE_ATTEMPTS};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::batch_end::BatchEnd;
use super::guard::{LocalBatchGuard, RemoteBatchGuard};
use super::returned_batch::{return_rule, run_request};
use super::{FinishedBatch, HostLocation, PieceResults, StageClient};
use crate::coordinator::ReturnRule;
use crate::piece::{PieceBatch, PieceFault};
use crate::piece_message::PieceRequest;

/// Maximum number of attempts to have a batch run without succession order.
const MAX_BATCH_ATTEMPTS: u32 = 3;

/// Maximum number of times that a batch moves to another partition. Each piece has failed in three
/// calls by the time a batch moves, so further partitions seldom help before the deadline.
const MAX_PARTITION_MOVES: u32 = 2;

/// Returns whether every piece failed since its targets or coordinator could not be reached.
fn all_unreachable(results: &PieceResults) -> bool {
    let unreachable = |result: &Result<String, PieceFault>| {
        matches!(
            result,
            Err(PieceFault::Failed | PieceFault::CoordinatorLost)
        )
    };
    !results.is_empty() && results.iter().all(unreachable)
}

/// Returns whether a host has no settings for the pool of a batch, as it has just started.
fn is_pool_unknown(results: &PieceResults) -> bool {
    let mut results = results.iter();
    results.len() > 0 && results.all(|result| *result == Err(PieceFault::CoordinatorLost))
}

/// Returns the results of a batch of which every piece has failed.
fn all_failed(batch: &PieceBatch, fault: PieceFault) -> PieceResults {
    vec![Err(fault); batch.piece_count as usize]
}

/// Returns a batch with the time that it has left after `elapsed`; `None` after its deadline.
fn with_time_left(batch: &PieceBatch, elapsed: Duration) -> Option<PieceBatch> {
    let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    let remaining_ms = batch.remaining_ms.checked_sub(elapsed_ms)?;
    Some(PieceBatch {
        remaining_ms,
        objective_ms: batch.objective_ms.saturating_sub(elapsed_ms),
        ..batch.clone()
    })
}

impl StageClient {
    /// Runs a batch at the coordinator of its pool. If no piece could be run there, tries another
    /// partition; if the coordinator was lost, tries its successor.
    pub(crate) async fn run_batch(&self, batch: PieceBatch) -> FinishedBatch {
        let (finished, attempts) = if self.follows_succession() {
            self.run_in_succession(batch).await
        } else {
            self.run_without_succession(batch).await
        };
        self.metrics.batch_attempts.observe(f64::from(attempts));
        finished
    }

    /// Runs a batch without succession order. Returns the number of attempts too.
    async fn run_without_succession(&self, mut batch: PieceBatch) -> (FinishedBatch, u32) {
        let submitted_at = Instant::now();
        let mut was_returned = false;
        let mut last = all_failed(&batch, PieceFault::CoordinatorLost);
        let mut attempt = 0;
        while attempt < MAX_BATCH_ATTEMPTS {
            attempt += 1;
            // The last attempt is made at this host, so that it depends on no other coordinator.
            let is_last = attempt == MAX_BATCH_ATTEMPTS;
            let coordinator = if is_last {
                HostLocation::Local
            } else {
                self.coordinator_of(&batch.pool)
            };
            let rule = return_rule(was_returned, is_last);
            let end = match coordinator {
                HostLocation::Local => self.run_locally(batch.clone(), rule).await,
                HostLocation::Remote(address) => {
                    self.run_remotely(address, batch.clone(), rule).await
                }
            };
            // A returned batch has not run, so the first return is no attempt.
            if end == BatchEnd::Returned && !was_returned {
                was_returned = true;
                attempt -= 1;
                let Some(current) = with_time_left(&batch, submitted_at.elapsed()) else {
                    last = all_failed(&batch, PieceFault::DeadlineExceeded);
                    break;
                };
                batch = current;
            }
            // There are no results: the connection was lost, and the coordinator cancels the batch.
            let BatchEnd::Done(results) = end else {
                continue;
            };
            if is_last || !all_unreachable(&results) || !self.move_to_other_partition(&mut batch) {
                let finished = FinishedBatch {
                    results,
                    coordinator,
                    pool: batch.pool,
                };
                return (finished, attempt);
            }
            last = results;
        }
        let finished = FinishedBatch {
            results: last,
            coordinator: HostLocation::Local,
            pool: batch.pool,
        };
        (finished, attempt)
    }

    /// Runs a batch at the first host in succession order that is up. Returns the number of
    /// attempts too.
    async fn run_in_succession(&self, mut batch: PieceBatch) -> (FinishedBatch, u32) {
        let submitted_at = Instant::now();
        let mut route = BatchRoute::new();
        let mut partition_moves = 0;
        let mut was_returned = false;
        let mut last = all_failed(&batch, PieceFault::CoordinatorLost);
        let mut coordinator = HostLocation::Local;
        while route.ended_attempts() < MAX_ROUTE_ATTEMPTS {
            let Some(current) = with_time_left(&batch, submitted_at.elapsed()) else {
                last = all_failed(&batch, PieceFault::DeadlineExceeded);
                break;
            };
            coordinator = self.next_host(&mut route, &batch.pool);
            let is_last = route.ended_attempts() + 1 == MAX_ROUTE_ATTEMPTS;
            let rule = return_rule(was_returned, is_last);
            match (self.run_at(coordinator, current, rule).await, coordinator) {
                // A returned batch has not run, so the first return is no attempt.
                (BatchEnd::Returned, _) if !was_returned => was_returned = true,
                (BatchEnd::Returned, _) => route.record_failed(),
                (BatchEnd::Lost, HostLocation::Remote(address)) => {
                    // The batch was admitted where it was lost.
                    batch.first_stage = false;
                    route.record_lost(address);
                }
                (BatchEnd::Done(results), HostLocation::Remote(address))
                    if is_pool_unknown(&results) =>
                {
                    last = results;
                    route.record_unable(address);
                }
                (BatchEnd::Unopened, HostLocation::Remote(address)) => {
                    route.record_unopened(address);
                }
                (BatchEnd::Lost | BatchEnd::Unopened, HostLocation::Local) => route.record_failed(),
                (BatchEnd::Done(results), _) => {
                    route.record_failed();
                    let may_move = route.ended_attempts() < MAX_ROUTE_ATTEMPTS
                        && partition_moves < MAX_PARTITION_MOVES
                        && all_unreachable(&results);
                    last = results;
                    if !may_move || !self.move_to_other_partition(&mut batch) {
                        break;
                    }
                    partition_moves += 1;
                }
            }
        }
        let finished = FinishedBatch {
            results: last,
            coordinator,
            pool: batch.pool,
        };
        (finished, route.ended_attempts())
    }

    async fn run_at(
        &self,
        coordinator: HostLocation,
        batch: PieceBatch,
        rule: ReturnRule,
    ) -> BatchEnd {
        match coordinator {
            HostLocation::Local => {
                self.record_coordination(&batch.pool);
                self.run_locally(batch, rule).await
            }
            HostLocation::Remote(address) => self.run_if_opened(address, batch, rule).await,
        }
    }

    async fn run_locally(&self, batch: PieceBatch, rule: ReturnRule) -> BatchEnd {
        let (done, end) = oneshot::channel();
        let key = self.coordinator.submit(batch, rule, move |outcome| {
            let _ = done.send(BatchEnd::from(outcome));
        });
        let _guard = key.map(|key| LocalBatchGuard {
            coordinator: self.coordinator.clone(),
            key,
        });
        end.await.unwrap_or(BatchEnd::Lost)
    }

    /// Runs a batch at another host, unless the connection does not open in time.
    async fn run_if_opened(
        &self,
        address: SocketAddr,
        batch: PieceBatch,
        rule: ReturnRule,
    ) -> BatchEnd {
        let _awaited = self.await_pool(&batch.pool);
        let opening_until = self.opening_until(address);
        let mut running = pin!(self.run_remotely(address, batch, rule));
        let Some(until) = opening_until else {
            return running.await;
        };
        let end = match timeout_at(until.into(), &mut running).await {
            Ok(end) => end,
            Err(_) if self.was_up(address) => running.await,
            Err(_) => BatchEnd::Unopened,
        };
        match end {
            BatchEnd::Lost if !self.was_up(address) => BatchEnd::Unopened,
            end => end,
        }
    }

    fn was_up(&self, address: SocketAddr) -> bool {
        let state = self.state.borrow();
        state.links.get(&address).is_some_and(|link| link.was_up)
    }

    async fn run_remotely(
        &self,
        address: SocketAddr,
        mut batch: PieceBatch,
        rule: ReturnRule,
    ) -> BatchEnd {
        let (done, end) = oneshot::channel();
        let number = self.next_number();
        batch.number = number;
        {
            let mut state = self.state.borrow_mut();
            let link = state
                .links
                .entry(address)
                .or_insert_with(|| self.start_link(address));
            link.send(run_request(batch, rule), |link| {
                link.pending_batches.insert(number, done);
            });
        }
        let _guard = RemoteBatchGuard {
            client: self.clone(),
            address,
            number,
        };
        end.await.unwrap_or(BatchEnd::Lost)
    }

    /// Passes the outcome of a batch to the task that awaits it; returns whether there is one.
    pub(super) fn complete_batch(&self, address: SocketAddr, number: u64, end: BatchEnd) -> bool {
        let mut state = self.state.borrow_mut();
        let link = state.links.get_mut(&address);
        let waiter = link.and_then(|link| link.pending_batches.remove(&number));
        waiter.is_some_and(|waiter| waiter.send(end).is_ok())
    }

    /// Returns whether a queued request is a batch that has left the connection before it was
    /// sent. Such a batch is not sent, as calls for it would occupy targets for nothing.
    pub(super) fn is_withdrawn(&self, address: SocketAddr, request: &PieceRequest) -> bool {
        let (PieceRequest::RunBatch(batch) | PieceRequest::RunReturnedBatch(batch)) = request
        else {
            return false;
        };
        let state = self.state.borrow();
        let link = state.links.get(&address);
        let is_pending = link.is_some_and(|link| link.pending_batches.contains_key(&batch.number));
        self.follows_succession() && !is_pending
    }
}
