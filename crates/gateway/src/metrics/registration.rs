//! Names and descriptions of the metrics of an entry host.

use prometheus_client::registry::{Registry, Unit};

use super::GatewayMetrics;

/// Registers all metrics under their names.
pub(super) fn register_all(registry: &mut Registry, metrics: &GatewayMetrics) {
    registry.register(
        "target_connections",
        "Connections to targets that this host opened, by purpose",
        metrics.target_connections.clone(),
    );
    registry.register(
        "pools_coordinated",
        "Stage pools of which this host ran batches in the last second",
        metrics.pools_coordinated.clone(),
    );
    registry.register(
        "placer_replies",
        "Requests to the placers of prompts at other hosts, by what became of them",
        metrics.placer_replies.clone(),
    );
    registry.register(
        "roles_yielded",
        "Whether this host leaves the roles of pools to others because it is delayed",
        metrics.roles_yielded.clone(),
    );
    registry.register(
        "targets_ended",
        "Targets that crashed while requests of this host ran on them",
        metrics.targets_ended.clone(),
    );
    registry.register(
        "requests_interrupted",
        "Requests of this host that were in flight at targets when these crashed",
        metrics.requests_interrupted.clone(),
    );
    registry.register(
        "targets_backed_off",
        "Targets that are backed off for this host",
        metrics.targets_backed_off.clone(),
    );
    registry.register(
        "targets_leaving",
        "Targets that said in an answer that they leave",
        metrics.targets_leaving.clone(),
    );
    registry.register(
        "sendings_withheld",
        "Sendings since the start that were held back since their target wants none",
        metrics.sendings_withheld.clone(),
    );
    registry.register(
        "rates_named",
        "Targets that name the requests a second that they take from all hosts",
        metrics.rates_named.clone(),
    );
    registry.register(
        "rated_sent",
        "Requests sent by this host since its start to targets with a rate limit",
        metrics.rated_sent.clone(),
    );
    registry.register(
        "rated_withheld",
        "Sendings since the start to such targets that were held back",
        metrics.rated_withheld.clone(),
    );
    registry.register(
        "rates_unreadable",
        "Rate limits in responses since the start that could not be parsed",
        metrics.rates_unreadable.clone(),
    );
    registry.register(
        "requests_suspected",
        "Requests that are suspected of having crashed a target",
        metrics.requests_suspected.clone(),
    );
    registry.register(
        "requests_held",
        "Requests that are refused since targets ended under them",
        metrics.requests_held.clone(),
    );
    registry.register(
        "parts_held",
        "Parts of prompts that are refused since targets crashed under requests with them",
        metrics.parts_held.clone(),
    );
    registry.register(
        "parts_suspected",
        "Parts of prompts of requests that were in flight at a crash",
        metrics.parts_suspected.clone(),
    );
    registry.register(
        "rollouts_open",
        "Services with a roll-out in progress, as reported to this host",
        metrics.rollouts_open.clone(),
    );
    registry.register("requests", "Requests by outcome", metrics.requests.clone());
    registry.register(
        "own_responses",
        "Responses that this host made itself, by reason and status",
        metrics.own_responses.clone(),
    );
    registry.register_with_unit(
        "first_answer",
        "Time to the response, or to the first event of a stream",
        Unit::Seconds,
        metrics.first_response.clone(),
    );
    registry.register_with_unit(
        "stages",
        "Time that all stages of a request took",
        Unit::Seconds,
        metrics.stage_time.clone(),
    );
    registry.register(
        "attempts_failed",
        "Attempts at a target without a usable response",
        metrics.attempts_failed.clone(),
    );
    registry.register(
        "requests_sent",
        "Requests sent to targets, first or as a retry of a cause; unsent: without reaching one",
        metrics.requests_sent.clone(),
    );
    registry.register(
        "retries_denied",
        "Retries that the budgets of their services denied, by cause",
        metrics.retries_denied.clone(),
    );
    registry.register(
        "retry_slack_granted",
        "Whether this host has its part of the retries beyond the share of the requests",
        metrics.retry_slack_granted.clone(),
    );
    registry.register(
        "streams_known",
        "Streams of which this host knows the software version that began them",
        metrics.streams_known.clone(),
    );
    registry.register(
        "streams_taken_up",
        "Streams that callers took up, by how the version that began them was found",
        metrics.streams_taken_up.clone(),
    );
    registry.register(
        "stream_starts",
        "Requests for streams that may be taken up, new or taken up, by whether an answer began",
        metrics.stream_starts.clone(),
    );
    registry.register(
        "stream_resumptions",
        "Runs of streams that broke off, by what became of the stream",
        metrics.stream_resumptions.clone(),
    );
    registry.register(
        "stream_ends",
        "Streams that ended towards their callers, by cause",
        metrics.stream_ends.clone(),
    );
    registry.register(
        "incomplete_answers",
        "Requests that targets may have run and that ended without a complete answer, by cause",
        metrics.incomplete_answers.clone(),
    );
    registry.register(
        "target_incarnations",
        "Checks of the incarnation that a connection leads to, by outcome",
        metrics.target_incarnations.clone(),
    );
    registry.register(
        "target_bodies",
        "Bodies of responses of targets, by framing and end",
        metrics.target_bodies.clone(),
    );
    registry.register(
        "unframed_ends",
        "Bodies without a length or chunks that ended with their connections, by verdict",
        metrics.unframed_ends.clone(),
    );
    registry.register(
        "foreign_responses",
        "Responses of targets that belong to other requests, by cause",
        metrics.foreign_responses.clone(),
    );
    registry.register(
        "connections_opened",
        "Connections to targets opened since the start",
        metrics.connections_opened.clone(),
    );
    registry.register(
        "stage_targets_examined",
        "Stage targets examined for queued pieces since the start, as a coordinator",
        metrics.stage_targets_examined.clone(),
    );
    registry.register(
        "processing_delay_ms",
        "Time for which work that is due waits for the processor of this host",
        metrics.processing_delay_ms.clone(),
    );
    registry.register(
        "connect_delay_ms",
        "Time to open a connection to a target beyond the shortest known one",
        metrics.connect_delay_ms.clone(),
    );
    registry.register(
        "admission_limit_per_s",
        "Requests per second that this host admits while it is overloaded; 0 without a limit",
        metrics.admission_limit_per_s.clone(),
    );
    registry.register(
        "returned_per_s",
        "Requests per second whose callers were refused before",
        metrics.returned_per_s.clone(),
    );
    registry.register(
        "requests_open",
        "Requests in flight",
        metrics.requests_open.clone(),
    );
    registry.register(
        "config_version",
        "Version of the routing configuration in force",
        metrics.config_version.clone(),
    );
    registry.register(
        "hosts_known",
        "Known entry hosts, including this one",
        metrics.hosts_known.clone(),
    );
    registry.register(
        "targets_known",
        "Targets that take work",
        metrics.targets_known.clone(),
    );
    registry.register(
        "target_lists",
        "Recomputations of the target list after updates of control hosts",
        metrics.target_lists.clone(),
    );
    registry.register(
        "halls_evacuated",
        "Data halls whose targets get no new work",
        metrics.halls_evacuated.clone(),
    );
    registry.register(
        "evacuation_revision",
        "Changes of evacuations that are in force; rises with each",
        metrics.evacuation_revision.clone(),
    );
    registry.register_with_unit(
        "forecast_error",
        "Absolute difference between the forecast and the actual time of the stages of a request",
        Unit::Seconds,
        metrics.forecast_error.clone(),
    );
    registry.register(
        "refusals",
        "Requests refused at admission, by cause",
        metrics.refusals.clone(),
    );
    registry.register_with_unit(
        "retry_after",
        "Retry-after time of requests refused at admission",
        Unit::Seconds,
        metrics.retry_after.clone(),
    );
    registry.register(
        "returned",
        "Requests that their callers had sent before, by the decision of admission",
        metrics.returned.clone(),
    );
    registry.register(
        "accounts_limited",
        "Client accounts that are limited at this host in any pool",
        metrics.accounts_limited.clone(),
    );
    registry.register(
        "batches_returned",
        "Queued batches that this host returned to their submitters as a coordinator",
        metrics.batches_returned.clone(),
    );
    registry.register(
        "unknown_returns",
        "Returns of batches that this host did not await: repeated, or after the request ended",
        metrics.unknown_returns.clone(),
    );
    registry.register(
        "batch_attempts",
        "Attempts that batches of this host took, at coordinators and at this host",
        metrics.batch_attempts.clone(),
    );
    registry.register(
        "paths_lost",
        "Targets that this host reaches only through other entry hosts",
        metrics.paths_lost.clone(),
    );
    registry.register(
        "tunnels_opened",
        "Connections to targets that other entry hosts opened for this one",
        metrics.tunnels_opened.clone(),
    );
    registry.register(
        "tunnels_served",
        "Connections to targets that this host has open for other entry hosts",
        metrics.tunnels_served.clone(),
    );
    registry.register(
        "tunnels_refused",
        "Connections to targets that this host did not open for another entry host",
        metrics.tunnels_refused.clone(),
    );
}
