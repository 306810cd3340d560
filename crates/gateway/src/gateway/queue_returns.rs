//! Returns the queues of pools when a better coordinator is reachable.

use std::collections::HashMap;
use std::rc::Weak;
use std::time::{Duration, Instant};

use linnet_succession::{PoolTenure, TenureDecision};
use linnet_telemetry::EventCode;
use tokio::time::sleep;

use super::Gateway;
use crate::coordinator::ReturnCounts;
use crate::pool_key::PoolKey;

/// Time between two decisions. A queue has to be returned 600 ms after a better host is reached, of
/// which that host has to be up for 300 ms; the interval of the maintenance, 250 ms, would take up to
/// 750 ms. A lost connection stays down for at least 400 ms, so that none is missed.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// How long a pool may have no work before its time as coordinator ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The time of this host as the coordinator of a pool.
#[derive(Debug, Clone, Copy)]
struct ActivePool {
    tenure: PoolTenure,
    since: Instant,
    /// When the pool last had work.
    active_at: Instant,
    last_decision: TenureDecision,
}

impl ActivePool {
    fn new(now: Instant) -> Self {
        Self {
            tenure: PoolTenure::new(),
            since: now,
            active_at: now,
            last_decision: TenureDecision::Keep,
        }
    }
}

/// The pools that this host coordinates.
#[derive(Default)]
struct ActivePools {
    pools: HashMap<PoolKey, ActivePool>,
}

impl ActivePools {
    /// Records the pools with work and ends those that have had none for some time.
    fn record_active(&mut self, active: Vec<PoolKey>, now: Instant) {
        for key in active {
            let pool = self
                .pools
                .entry(key)
                .or_insert_with(|| ActivePool::new(now));
            pool.active_at = now;
        }
        self.pools
            .retain(|_, pool| now.saturating_duration_since(pool.active_at) < IDLE_TIMEOUT);
    }
}

impl Gateway {
    /// Decides for each pool that this host coordinates whether its queue is returned.
    fn return_queues(&self, active: &mut ActivePools, now: Instant) {
        if !self.overload.policy().queue_returns {
            active.pools.clear();
            return;
        }
        active.record_active(self.coordinator.active_pools(), now);
        for (key, pool) in &mut active.pools {
            let better = self.stage_client.reachable_better_host(key);
            let decision = pool.tenure.update(better.is_some(), now);
            let is_first = pool.last_decision == TenureDecision::Keep;
            pool.last_decision = decision;
            let (TenureDecision::Return, Some(better)) = (decision, better) else {
                continue;
            };
            let counts = self.coordinator.return_queue(key);
            self.metrics.batches_returned.inc_by(counts.returned as u64);
            // Batches of hosts that do not reach the better one may still arrive and are returned too;
            // they are only counted.
            let has_batches = counts.returned + counts.kept > 0;
            if is_first && has_batches {
                let time = now.saturating_duration_since(pool.since);
                self.record_return(key, &better.name, counts, time);
            }
        }
    }

    fn record_return(&self, pool: &PoolKey, better: &str, counts: ReturnCounts, time: Duration) {
        let ReturnCounts { returned, kept } = counts;
        let detail = format!(
            "pool={} better={better} returned={returned} kept={kept} coordinator_ms={}",
            pool.label(),
            time.as_millis()
        );
        self.record_event(EventCode::QueueReturned, &detail);
    }
}

/// Returns queues until the gateway is dropped.
pub(super) async fn run_queue_returns(gateway: Weak<Gateway>) {
    let mut active = ActivePools::default();
    loop {
        sleep(DECISION_INTERVAL).await;
        let Some(gateway) = gateway.upgrade() else {
            return;
        };
        gateway.return_queues(&mut active, Instant::now());
    }
}

#[cfg(test)]
mod tests;
