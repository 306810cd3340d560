//! Counters, gauges and histograms of an entry host.

mod counting;
mod labels;
mod registration;

use std::sync::{Arc, Mutex, PoisonError};

use linnet_succession::MAX_ROUTE_ATTEMPTS;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets, linear_buckets};
use prometheus_client::registry::Registry;

use registration::register_all;

pub(crate) use labels::{
    BodyEnd, BodyLabels, ConnectionLabels, ForeignLabels, IncarnationLabels, IncompleteLabels,
    OriginLabels, OutcomeLabels, OwnResponseLabels, PlacerLabels, PlacerReply, RefusalCause,
    RefusalLabels, ResumptionLabels, RetryLabels, ReturnLabels, ReturnOutcome, SendLabels,
    StartLabels, StreamEndLabels, UnframedLabels,
};

/// Metrics of an entry host.
#[derive(Clone)]
pub struct GatewayMetrics {
    /// The registry of all metrics, for the metrics page.
    pub registry: Arc<Mutex<Registry>>,
    pub(crate) requests: Family<OutcomeLabels, Counter>,
    pub(crate) own_responses: Family<OwnResponseLabels, Counter>,
    pub(crate) first_response: Histogram,
    pub(crate) stage_time: Histogram,
    pub(crate) attempts_failed: Counter,
    pub(crate) requests_sent: Family<SendLabels, Counter>,
    pub(crate) retries_denied: Family<RetryLabels, Counter>,
    pub(crate) retry_slack_granted: Gauge,
    pub(crate) streams_known: Gauge,
    pub(crate) streams_taken_up: Family<OriginLabels, Counter>,
    pub(crate) stream_starts: Family<StartLabels, Counter>,
    pub(crate) stream_resumptions: Family<ResumptionLabels, Counter>,
    pub(crate) stream_ends: Family<StreamEndLabels, Counter>,
    pub(crate) incomplete_answers: Family<IncompleteLabels, Counter>,
    pub(crate) target_incarnations: Family<IncarnationLabels, Counter>,
    pub(crate) target_bodies: Family<BodyLabels, Counter>,
    pub(crate) unframed_ends: Family<UnframedLabels, Counter>,
    pub(crate) foreign_responses: Family<ForeignLabels, Counter>,
    pub(crate) connections_opened: Gauge,
    pub(crate) target_connections: Family<ConnectionLabels, Counter>,
    pub(crate) pools_coordinated: Gauge,
    pub(crate) placer_replies: Family<PlacerLabels, Counter>,
    pub(crate) roles_yielded: Gauge,
    pub(crate) stage_targets_examined: Gauge,
    pub(crate) requests_open: Gauge,
    pub(crate) processing_delay_ms: Gauge,
    pub(crate) connect_delay_ms: Gauge,
    pub(crate) admission_limit_per_s: Gauge,
    pub(crate) returned_per_s: Gauge,
    pub(crate) config_version: Gauge,
    pub(crate) hosts_known: Gauge,
    pub(crate) targets_known: Gauge,
    pub(crate) target_lists: Counter,
    pub(crate) halls_evacuated: Gauge,
    pub(crate) evacuation_revision: Gauge,
    pub(crate) rollouts_open: Gauge,
    pub(crate) targets_ended: Counter,
    pub(crate) requests_interrupted: Counter,
    pub(crate) targets_backed_off: Gauge,
    pub(crate) targets_leaving: Gauge,
    pub(crate) sendings_withheld: Gauge,
    pub(crate) rates_named: Gauge,
    pub(crate) rated_sent: Gauge,
    pub(crate) rated_withheld: Gauge,
    pub(crate) rates_unreadable: Gauge,
    pub(crate) requests_suspected: Gauge,
    pub(crate) requests_held: Gauge,
    pub(crate) parts_held: Gauge,
    pub(crate) parts_suspected: Gauge,
    pub(crate) forecast_error: Histogram,
    pub(crate) refusals: Family<RefusalLabels, Counter>,
    pub(crate) retry_after: Histogram,
    pub(crate) returned: Family<ReturnLabels, Counter>,
    pub(crate) accounts_limited: Gauge,
    pub(crate) batches_returned: Counter,
    pub(crate) unknown_returns: Counter,
    pub(crate) batch_attempts: Histogram,
    pub(crate) paths_lost: Gauge,
    pub(crate) tunnels_opened: Counter,
    pub(crate) tunnels_served: Gauge,
    pub(crate) tunnels_refused: Counter,
}

impl GatewayMetrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("linnet_gateway");
        let times = || Histogram::new(exponential_buckets(0.005, 2.0, 12));
        let metrics = Self {
            registry: Arc::default(),
            requests: Family::default(),
            own_responses: Family::default(),
            first_response: times(),
            stage_time: times(),
            attempts_failed: Counter::default(),
            requests_sent: Family::default(),
            retries_denied: Family::default(),
            retry_slack_granted: Gauge::default(),
            streams_known: Gauge::default(),
            streams_taken_up: Family::default(),
            stream_starts: Family::default(),
            stream_resumptions: Family::default(),
            stream_ends: Family::default(),
            incomplete_answers: Family::default(),
            target_incarnations: Family::default(),
            target_bodies: Family::default(),
            unframed_ends: Family::default(),
            foreign_responses: Family::default(),
            connections_opened: Gauge::default(),
            target_connections: Family::default(),
            pools_coordinated: Gauge::default(),
            placer_replies: Family::default(),
            roles_yielded: Gauge::default(),
            stage_targets_examined: Gauge::default(),
            requests_open: Gauge::default(),
            processing_delay_ms: Gauge::default(),
            connect_delay_ms: Gauge::default(),
            admission_limit_per_s: Gauge::default(),
            returned_per_s: Gauge::default(),
            config_version: Gauge::default(),
            hosts_known: Gauge::default(),
            targets_known: Gauge::default(),
            target_lists: Counter::default(),
            halls_evacuated: Gauge::default(),
            evacuation_revision: Gauge::default(),
            rollouts_open: Gauge::default(),
            targets_ended: Counter::default(),
            requests_interrupted: Counter::default(),
            targets_backed_off: Gauge::default(),
            targets_leaving: Gauge::default(),
            sendings_withheld: Gauge::default(),
            rates_named: Gauge::default(),
            rated_sent: Gauge::default(),
            rated_withheld: Gauge::default(),
            rates_unreadable: Gauge::default(),
            requests_suspected: Gauge::default(),
            requests_held: Gauge::default(),
            parts_held: Gauge::default(),
            parts_suspected: Gauge::default(),
            forecast_error: times(),
            refusals: Family::default(),
            retry_after: times(),
            returned: Family::default(),
            accounts_limited: Gauge::default(),
            batches_returned: Counter::default(),
            unknown_returns: Counter::default(),
            batch_attempts: Histogram::new(linear_buckets(1.0, 1.0, MAX_ROUTE_ATTEMPTS as u16)),
            paths_lost: Gauge::default(),
            tunnels_opened: Counter::default(),
            tunnels_served: Gauge::default(),
            tunnels_refused: Counter::default(),
        };
        register_all(&mut registry, &metrics);
        *metrics
            .registry
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = registry;
        metrics
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
pub(crate) mod tests;
