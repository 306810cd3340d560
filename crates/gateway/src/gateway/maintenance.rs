//! The periodic tasks of an entry host.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::Gateway;
use crate::upstream::UpstreamPool;

/// Interval between two runs of the periodic maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Number of maintenance runs between two records of the listed versions.
const VERSIONS_RUNS: u32 = 4;

/// Interval at which due direct attempts to lost targets are looked for.
const PATH_PROBE_INTERVAL: Duration = Duration::from_millis(100);

pub(super) async fn run_maintenance(gateway: Rc<Gateway>) {
    let mut runs: u32 = 0;
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        runs = runs.wrapping_add(1);
        if runs.is_multiple_of(VERSIONS_RUNS) {
            let targets = gateway.targets.borrow();
            gateway.stream_origins.record_versions(&targets);
        }
        gateway.expire_state();
        gateway.coordinator.dispatch_all();
        gateway.stage_client.probe_unreachable_halls();
        // Entry hosts that no control host lists any more stay known as long as this host reaches
        // them.
        if gateway.stage_client.keeps_unlisted_hosts() {
            gateway.refresh_entry_hosts();
        }
        gateway.update_gauges();
    }
}

pub(super) async fn run_path_probes(pool: UpstreamPool) {
    loop {
        sleep(PATH_PROBE_INTERVAL).await;
        pool.probe_lost_targets().await;
    }
}

impl Gateway {
    /// Removes state whose time is over.
    fn expire_state(self: &Rc<Self>) {
        let now = Instant::now();
        self.stream_origins.expire();
        // Before closed connections are removed.
        self.check_answered_targets();
        self.upstream.close_expired();
        self.expire_suspects();
        self.expire_parts();
        self.crash_tracker.expire(now);
        self.expire_notices();
        self.directory.borrow_mut().prune(now);
    }

    fn update_gauges(&self) {
        self.upstream.links().update_metrics();
        let is_granted = self.retry_budget.is_slack_granted();
        let gauges = [
            (
                &self.metrics.connections_opened,
                self.upstream.opened_count() as i64,
            ),
            (
                &self.metrics.stage_targets_examined,
                self.coordinator.examined_targets() as i64,
            ),
            (&self.metrics.requests_open, self.open_requests.get() as i64),
            (&self.metrics.config_version, self.config_version() as i64),
            (&self.metrics.retry_slack_granted, i64::from(is_granted)),
            (
                &self.metrics.streams_known,
                self.stream_origins.len() as i64,
            ),
            (
                &self.metrics.pools_coordinated,
                self.stage_client.coordinated_pool_count() as i64,
            ),
            (&self.metrics.hosts_known, self.entry_host_count() as i64),
        ];
        for (gauge, value) in gauges {
            gauge.set(value);
        }
    }
}
