use std::time::Duration;

use prometheus_client::encoding::text::encode;

use super::*;
use crate::incomplete_answer::IncompleteCause;
use crate::stream_trace::{ResumptionOutcome, StreamEnd};

fn page(metrics: &GatewayMetrics) -> String {
    let mut text = String::new();
    encode(&mut text, &metrics.registry.lock().unwrap()).unwrap();
    text
}

pub(crate) fn assert_lines(metrics: &GatewayMetrics, lines: &[&str]) {
    let page = page(metrics);
    for line in lines {
        assert!(
            page.lines().any(|found| found == *line),
            "{line} in:\n{page}"
        );
    }
}

/// Guards against names that differ from docs/design/OVERLOAD.md and against counts under another
/// label.
#[test]
fn overload_metrics_have_the_documented_names_and_labels() {
    let metrics = GatewayMetrics::new();
    metrics.count_refusal(RefusalCause::Queue, Duration::from_millis(500));
    metrics.count_refusal(RefusalCause::Queue, Duration::from_millis(500));
    metrics.count_refusal(RefusalCause::Share, Duration::from_millis(500));
    metrics.count_returned(ReturnOutcome::AdmittedInTime);
    metrics.count_returned(ReturnOutcome::AdmittedLate);
    metrics.count_returned(ReturnOutcome::Refused);
    metrics.accounts_limited.set(3);
    assert_lines(
        &metrics,
        &[
            "linnet_gateway_refusals_total{cause=\"queue\"} 2",
            "linnet_gateway_refusals_total{cause=\"share\"} 1",
            "linnet_gateway_retry_after_seconds_sum 1.5",
            "linnet_gateway_retry_after_seconds_count 3",
            "linnet_gateway_returned_total{outcome=\"in_time\"} 1",
            "linnet_gateway_returned_total{outcome=\"late\"} 1",
            "linnet_gateway_returned_total{outcome=\"refused\"} 1",
            "linnet_gateway_accounts_limited 3",
        ],
    );
}

/// Guards against a name that differs from docs/design/SUCCESSION.md and against buckets that do not
/// tell the numbers of attempts apart.
#[test]
fn batch_attempts_have_a_bucket_for_each_number() {
    let metrics = GatewayMetrics::new();
    for attempts in [1.0, 1.0, 8.0] {
        metrics.batch_attempts.observe(attempts);
    }
    assert_lines(
        &metrics,
        &[
            "linnet_gateway_batch_attempts_bucket{le=\"1.0\"} 2",
            "linnet_gateway_batch_attempts_bucket{le=\"7.0\"} 2",
            "linnet_gateway_batch_attempts_bucket{le=\"8.0\"} 3",
            "linnet_gateway_batch_attempts_sum 10.0",
        ],
    );
}

/// Guards against names that differ from docs/design/SUCCESSION.md.
#[test]
fn metrics_of_returned_batches_have_the_documented_names() {
    let metrics = GatewayMetrics::new();
    metrics.batches_returned.inc_by(2);
    metrics.unknown_returns.inc();
    assert_lines(
        &metrics,
        &[
            "linnet_gateway_batches_returned_total 2",
            "linnet_gateway_unknown_returns_total 1",
        ],
    );
}

/// Guards against signed errors: those of a forecast that is too long would lower the sum of the
/// histogram and cancel those of one that is too short.
#[test]
fn forecast_errors_in_both_directions_add_up() {
    let metrics = GatewayMetrics::new();
    metrics.observe_forecast_error(1_500.0, Duration::from_secs(1));
    metrics.observe_forecast_error(500.0, Duration::from_secs(1));
    assert_lines(
        &metrics,
        &[
            "linnet_gateway_forecast_error_seconds_sum 1.0",
            "linnet_gateway_forecast_error_seconds_count 2",
        ],
    );
}

/// Guards against names that differ from docs/OPERATIONS.md and against outcomes under one label.
#[test]
fn resumptions_and_ends_of_streams_are_told_apart() {
    let metrics = GatewayMetrics::new();
    let outcomes = [
        ResumptionOutcome::Resumed,
        ResumptionOutcome::NoFurtherEvent,
        ResumptionOutcome::NoTarget,
        ResumptionOutcome::Budget,
        ResumptionOutcome::AttemptsUsed,
        ResumptionOutcome::NotRepeatable,
        ResumptionOutcome::UnknownVersion,
        ResumptionOutcome::UnknownPosition,
        ResumptionOutcome::MayCrash,
        ResumptionOutcome::RunPermit,
        ResumptionOutcome::Failed,
    ];
    for outcome in outcomes {
        metrics.count_resumption(outcome);
    }
    let ends = [
        StreamEnd::Complete,
        StreamEnd::NoFurtherEvent,
        StreamEnd::Connection,
        StreamEnd::InsideEvent,
        StreamEnd::UnconfirmedClose,
        StreamEnd::SilentTarget,
        StreamEnd::TooLong,
        StreamEnd::OutOfOrder,
        StreamEnd::TimedOut,
        StreamEnd::Stopped,
        StreamEnd::CallerLeft,
    ];
    for end in ends {
        metrics.count_stream_end(end);
    }
    assert_lines(
        &metrics,
        &[
            "linnet_gateway_stream_resumptions_total{outcome=\"resumed\"} 1",
            "linnet_gateway_stream_resumptions_total{outcome=\"no_further_event\"} 1",
            "linnet_gateway_stream_resumptions_total{outcome=\"no_target\"} 1",
            "linnet_gateway_stream_resumptions_total{outcome=\"budget\"} 1",
            "linnet_gateway_stream_resumptions_total{outcome=\"attempts_used\"} 1",
            "linnet_gateway_stream_resumptions_total{outcome=\"not_repeatable\"} 1",
            "linnet_gateway_stream_resumptions_total{outcome=\"unknown_version\"} 1",
            "linnet_gateway_stream_resumptions_total{outcome=\"unknown_position\"} 1",
            "linnet_gateway_stream_resumptions_total{outcome=\"may_crash\"} 1",
            "linnet_gateway_stream_resumptions_total{outcome=\"run_permit\"} 1",
            "linnet_gateway_stream_resumptions_total{outcome=\"failed\"} 1",
            "linnet_gateway_stream_ends_total{cause=\"complete\"} 1",
            "linnet_gateway_stream_ends_total{cause=\"no_further_event\"} 1",
            "linnet_gateway_stream_ends_total{cause=\"connection\"} 1",
            "linnet_gateway_stream_ends_total{cause=\"inside_event\"} 1",
            "linnet_gateway_stream_ends_total{cause=\"unconfirmed_close\"} 1",
            "linnet_gateway_stream_ends_total{cause=\"silent_target\"} 1",
            "linnet_gateway_stream_ends_total{cause=\"too_long\"} 1",
            "linnet_gateway_stream_ends_total{cause=\"out_of_order\"} 1",
            "linnet_gateway_stream_ends_total{cause=\"timed_out\"} 1",
            "linnet_gateway_stream_ends_total{cause=\"stopped\"} 1",
            "linnet_gateway_stream_ends_total{cause=\"caller_left\"} 1",
        ],
    );
}

/// Guards against names that differ from docs/OPERATIONS.md.
#[test]
fn requests_without_a_complete_answer_are_told_apart_by_cause() {
    let metrics = GatewayMetrics::new();
    let causes = [
        (IncompleteCause::Stop, "stop"),
        (IncompleteCause::Deadline, "deadline"),
        (IncompleteCause::Silence, "silence"),
        (IncompleteCause::Flood, "flood"),
        (IncompleteCause::Connection, "connection"),
        (IncompleteCause::TargetEnded, "target_ended"),
        (IncompleteCause::Unusable, "unusable"),
    ];
    for (cause, _) in causes {
        metrics.count_incomplete(cause);
    }
    let lines = causes
        .map(|(_, name)| format!("linnet_gateway_incomplete_answers_total{{cause=\"{name}\"}} 1"));
    assert_lines(&metrics, &lines.each_ref().map(String::as_str));
}
