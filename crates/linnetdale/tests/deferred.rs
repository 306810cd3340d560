//! Deferred requests over real processes: accepted durably, run once, stored until acknowledged.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use linnetdale::fakes::{FaultKind, expected_tokens};
use support::cluster::{Cluster, ClusterPlan};
use support::http::{CallerRequest, CallerResponse};
use support::ledger::{marked_input, marked_request};
use support::{wait_for, wait_until};

fn plan() -> ClusterPlan {
    ClusterPlan {
        halls: 1,
        ..ClusterPlan::default()
    }
}

fn deferred(marker: &str) -> CallerRequest {
    marked_request(marker).with("x-mode", "deferred")
}

fn submit(cluster: &Cluster, request: &CallerRequest, entry: usize) -> String {
    let response = request.send(cluster.callers(entry)).unwrap();
    assert_eq!(response.status, 202, "{response:?}");
    response.json()["handle"].as_str().unwrap().to_owned()
}

fn send_handle_request(
    cluster: &Cluster,
    entry: usize,
    method: &str,
    handle: &str,
) -> Option<CallerResponse> {
    let request = CallerRequest::to_path(method, &format!("/v1/deferred/{handle}"), b"");
    request.send(cluster.callers(entry))
}

/// Waits for the outcome of a deferred request.
fn wait_done(cluster: &Cluster, entry: usize, handle: &str) -> CallerResponse {
    wait_for("a deferred request ends", || {
        let response = send_handle_request(cluster, entry, "GET", handle)?;
        (response.status != 202 && response.code() != "no_quorum").then_some(response)
    })
}

fn check_complete(marker: &str, response: &CallerResponse) {
    let expected = expected_tokens(&["encode", "retrieve", "rerank"], &marked_input(marker));
    assert_eq!(response.tokens(), Some(expected), "{response:?}");
}

#[test]
fn a_deferred_response_is_stored_until_it_is_acknowledged() {
    let cluster = Cluster::start(plan());
    let handle = submit(&cluster, &deferred("kept"), 0);
    let first = wait_done(&cluster, 1, &handle);
    check_complete("kept", &first);
    assert_eq!(
        send_handle_request(&cluster, 2, "GET", &handle)
            .unwrap()
            .body,
        first.body
    );
    assert_eq!(
        send_handle_request(&cluster, 1, "DELETE", &handle)
            .unwrap()
            .status,
        204
    );
    for method in ["GET", "DELETE"] {
        let response = send_handle_request(&cluster, 0, method, &handle).unwrap();
        assert_eq!(
            (response.status, response.code().as_str()),
            (404, "no_such_job")
        );
    }
    assert_eq!(cluster.testbed.runs("generate-", "kept"), 1);
}

#[test]
fn a_request_key_identifies_one_job_that_other_accounts_cannot_see() {
    let cluster = Cluster::start(plan());
    let request = deferred("keyed").with("x-request-key", "report-7");
    let handle = submit(&cluster, &request, 0);
    for entry in 0..3 {
        assert_eq!(submit(&cluster, &request, entry), handle);
    }
    check_complete("keyed", &wait_done(&cluster, 0, &handle));
    assert_eq!(cluster.testbed.runs("generate-", "keyed"), 1);
    let other = deferred("other")
        .with("x-request-key", "report-7")
        .send(cluster.callers(1))
        .unwrap();
    assert_eq!((other.status, other.code().as_str()), (422, "key_reused"));
    let version = cluster.apply(&support::operator::add_account("second", 1));
    cluster.wait_entry_version(0, version);
    let stranger = CallerRequest::to_path("GET", &format!("/v1/deferred/{handle}"), b"")
        .with("authorization", "Bearer second-key")
        .send(cluster.callers(0))
        .unwrap();
    assert_eq!(stranger.status, 404);
}

#[test]
fn a_lost_host_delays_repeatable_jobs_and_ends_other_jobs() {
    let mut cluster = Cluster::start(plan());
    cluster
        .testbed
        .inject_faults("rerank-", FaultKind::Freeze, 1);
    let twice = submit(&cluster, &deferred("twice"), 0);
    let once = submit(&cluster, &deferred("once").with("x-repeatable", "no"), 0);
    wait_until("both run", || {
        cluster.testbed.runs("rerank-", "twice") == 1
            && cluster.testbed.runs("rerank-", "once") == 1
    });
    cluster.entries[0].kill();
    cluster.testbed.clear_faults();
    check_complete("twice", &wait_done(&cluster, 1, &twice));
    let lost = wait_done(&cluster, 2, &once);
    assert_eq!(
        (lost.code().as_str(), lost.ran().as_str()),
        ("may_have_run", "unknown")
    );
    assert_eq!(cluster.testbed.runs("rerank-", "once"), 1);
    // The restarted host does not run the request again.
    cluster.entries[0].start();
    cluster.wait_ready(0);
    assert_eq!(wait_done(&cluster, 0, &once).body, lost.body);
}

#[test]
fn jobs_and_responses_survive_a_restart_of_all_voters() {
    let mut cluster = Cluster::start(plan());
    let done = submit(&cluster, &deferred("done"), 0);
    let first = wait_done(&cluster, 0, &done);
    // No engine is listed, so this request waits.
    cluster.unlist("generate", 1);
    let waiting = submit(&cluster, &deferred("waiting"), 1);
    cluster.restart_controls();
    cluster.wait_leader();
    assert_eq!(wait_done(&cluster, 2, &done).body, first.body);
    assert_eq!(cluster.testbed.runs("", "waiting"), 0);
    cluster.testbed.publish(true);
    check_complete("waiting", &wait_done(&cluster, 2, &waiting));
}

#[test]
fn a_planned_stop_releases_jobs_that_have_not_started() {
    let mut cluster = Cluster::start(plan());
    cluster.unlist("generate", 0);
    let handle = submit(
        &cluster,
        &deferred("given-back").with("x-repeatable", "no"),
        0,
    );
    cluster.entries[0].request_stop();
    assert!(cluster.entries[0].wait_for_exit().success());
    cluster.testbed.publish(true);
    check_complete("given-back", &wait_done(&cluster, 1, &handle));
    assert_eq!(cluster.testbed.runs("generate-", "given-back"), 1);
}

#[test]
fn no_deferred_request_is_accepted_without_a_quorum() {
    let mut cluster = Cluster::start(plan());
    let leader = cluster.wait_leader();
    for number in (0..3).filter(|number| *number != leader) {
        cluster.controls[number].kill();
    }
    wait_until("the lease lapses", || cluster.leader().is_none());
    let response = deferred("refused").send(cluster.callers(0)).unwrap();
    assert_eq!(
        (
            response.status,
            response.code().as_str(),
            response.ran().as_str()
        ),
        (503, "no_quorum", "no")
    );
    assert!(response.retry_after.is_some());
    let response = marked_request("mode")
        .with("x-mode", "later")
        .send(cluster.callers(0))
        .unwrap();
    assert_eq!(response.code(), "bad_header");
}
