//! Metrics of the entry daemon. Labels are bounded: routes, stages, codes, never accounts.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use linnet_telemetry::EventRecorder;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) route: String,
    pub(crate) outcome: String,
}

/// Labels of a stage.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StageLabels {
    pub(crate) route: String,
    pub(crate) stage: String,
    /// `useful` if the response was received in time, otherwise `wasted`.
    pub(crate) use_of: String,
}

/// Labels of a dropped response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct DropLabels {
    pub(crate) cause: String,
}

fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}

type TimeFamily = Family<StageLabels, Histogram, fn() -> Histogram>;

/// The metrics of the entry daemon.
pub(crate) struct EntryStats {
    requests: Family<RequestLabels, Counter>,
    stage_time: TimeFamily,
    cost_ms: Family<StageLabels, Counter>,
    dropped: Family<DropLabels, Counter>,
    retries: Counter,
    pub(crate) in_flight: Gauge,
    pub(crate) table_version: Gauge,
}

impl EntryStats {
    /// Creates the metrics and registers them.
    pub(crate) fn new(registry: &Mutex<Registry>) -> Self {
        let stats = Self {
            requests: Family::default(),
            stage_time: Family::new_with_constructor(time_histogram),
            cost_ms: Family::default(),
            dropped: Family::default(),
            retries: Counter::default(),
            in_flight: Gauge::default(),
            table_version: Gauge::default(),
        };
        let mut registry = registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register(
            "requests",
            "Requests by route and outcome",
            stats.requests.clone(),
        );
        registry.register(
            "stage_seconds",
            "Duration of attempts in seconds",
            stats.stage_time.clone(),
        );
        registry.register(
            "cost_target_ms",
            "Time that attempts occupied targets, in milliseconds",
            stats.cost_ms.clone(),
        );
        registry.register(
            "answers_dropped",
            "Responses that were dropped as invalid, by cause",
            stats.dropped.clone(),
        );
        registry.register("retries", "Attempts after the first", stats.retries.clone());
        registry.register("in_flight", "Requests in flight", stats.in_flight.clone());
        registry.register(
            "table_version",
            "Version of the active table",
            stats.table_version.clone(),
        );
        drop(registry);
        stats
    }

    /// Counts a finished request.
    pub(crate) fn count_request(&self, route: &str, outcome: &str) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts the time that an attempt occupied a target.
    pub(crate) fn count_attempt(&self, route: &str, stage: &str, held: Duration, useful: bool) {
        let labels = StageLabels {
            route: route.to_owned(),
            stage: stage.to_owned(),
            use_of: if useful { "useful" } else { "wasted" }.to_owned(),
        };
        self.stage_time
            .get_or_create(&labels)
            .observe(held.as_secs_f64());
        let millis = held.as_millis() as u64;
        self.cost_ms.get_or_create(&labels).inc_by(millis);
    }

    /// Counts a dropped response.
    pub(crate) fn count_dropped_response(&self, cause: &str) {
        let labels = DropLabels {
            cause: cause.to_owned(),
        };
        self.dropped.get_or_create(&labels).inc();
    }

    /// Counts a retry of a stage.
    pub(crate) fn count_retry(&self) {
        self.retries.inc();
    }
}

/// Records a dropped response in the time line and in the metrics.
pub(crate) fn record_dropped_response(
    stats: &EntryStats,
    recorder: &EventRecorder,
    request: &str,
    peer: &str,
    cause: &str,
) {
    stats.count_dropped_response(cause);
    let code = linnet_telemetry::EventCode::AnswerDropped;
    recorder.record_request(code, request, peer, cause);
}
