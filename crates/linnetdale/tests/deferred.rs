//! Deferred requests over real processes: accepted durably, run once, kept until acknowledged.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use linnetdale::fakes::{FaultKind, expected_tokens};
use support::cluster::{Cluster, ClusterPlan};
use support::http::{CallerAnswer, CallerRequest};
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

fn accept(cluster: &Cluster, request: &CallerRequest, entry: usize) -> String {
    let answer = request.send(cluster.callers(entry)).unwrap();
    assert_eq!(answer.status, 202, "{answer:?}");
    answer.json()["handle"].as_str().unwrap().to_owned()
}

fn ask(cluster: &Cluster, entry: usize, method: &str, handle: &str) -> Option<CallerAnswer> {
    let request = CallerRequest::to_path(method, &format!("/v1/deferred/{handle}"), b"");
    request.send(cluster.callers(entry))
}

/// Waits until a deferred request has an end.
fn wait_done(cluster: &Cluster, entry: usize, handle: &str) -> CallerAnswer {
    wait_for("a deferred request ends", || {
        let answer = ask(cluster, entry, "GET", handle)?;
        (answer.status != 202 && answer.code() != "no_quorum").then_some(answer)
    })
}

fn check_whole(marker: &str, answer: &CallerAnswer) {
    let wanted = expected_tokens(&["encode", "retrieve", "rerank"], &marked_input(marker));
    assert_eq!(answer.tokens(), Some(wanted), "{answer:?}");
}

#[test]
fn an_answer_is_kept_until_it_is_acknowledged_and_gone_after() {
    let cluster = Cluster::start(plan());
    let handle = accept(&cluster, &deferred("kept"), 0);
    let first = wait_done(&cluster, 1, &handle);
    check_whole("kept", &first);
    assert_eq!(ask(&cluster, 2, "GET", &handle).unwrap().body, first.body);
    assert_eq!(ask(&cluster, 1, "DELETE", &handle).unwrap().status, 204);
    for method in ["GET", "DELETE"] {
        let answer = ask(&cluster, 0, method, &handle).unwrap();
        assert_eq!(
            (answer.status, answer.code().as_str()),
            (404, "no_such_job")
        );
    }
    assert_eq!(cluster.world.runs("generate-", "kept"), 1);
}

#[test]
fn a_request_key_gives_one_job_and_no_other_account_sees_it() {
    let cluster = Cluster::start(plan());
    let request = deferred("keyed").with("x-request-key", "report-7");
    let handle = accept(&cluster, &request, 0);
    for entry in 0..3 {
        assert_eq!(accept(&cluster, &request, entry), handle);
    }
    check_whole("keyed", &wait_done(&cluster, 0, &handle));
    assert_eq!(cluster.world.runs("generate-", "keyed"), 1);
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
fn the_loss_of_the_host_that_runs_it_delays_a_job_that_may_run_twice_and_ends_any_other() {
    let mut cluster = Cluster::start(plan());
    cluster.world.order_fault("rerank-", FaultKind::Freeze, 1);
    let twice = accept(&cluster, &deferred("twice"), 0);
    let once = accept(&cluster, &deferred("once").with("x-repeatable", "no"), 0);
    wait_until("both run", || {
        cluster.world.runs("rerank-", "twice") == 1 && cluster.world.runs("rerank-", "once") == 1
    });
    cluster.entries[0].kill();
    cluster.world.end_faults();
    check_whole("twice", &wait_done(&cluster, 1, &twice));
    let lost = wait_done(&cluster, 2, &once);
    assert_eq!(
        (lost.code().as_str(), lost.ran().as_str()),
        ("may_have_run", "unknown")
    );
    assert_eq!(cluster.world.runs("rerank-", "once"), 1);
    // The host that was lost comes back and does not run it again.
    cluster.entries[0].start();
    cluster.wait_ready(0);
    assert_eq!(wait_done(&cluster, 0, &once).body, lost.body);
}

#[test]
fn jobs_and_answers_survive_the_leader_and_a_restart_of_all_voters() {
    let mut cluster = Cluster::start(plan());
    let done = accept(&cluster, &deferred("done"), 0);
    let first = wait_done(&cluster, 0, &done);
    // No engine is listed, so this one waits.
    cluster.unlist("generate", 1);
    let waiting = accept(&cluster, &deferred("waiting"), 1);
    cluster.restart_controls();
    cluster.wait_leader();
    assert_eq!(wait_done(&cluster, 2, &done).body, first.body);
    assert_eq!(cluster.world.runs("", "waiting"), 0);
    cluster.world.publish(true);
    check_whole("waiting", &wait_done(&cluster, 2, &waiting));
}

#[test]
fn a_planned_stop_gives_back_what_has_not_begun() {
    let mut cluster = Cluster::start(plan());
    cluster.unlist("generate", 0);
    let handle = accept(
        &cluster,
        &deferred("given-back").with("x-repeatable", "no"),
        0,
    );
    cluster.entries[0].ask_to_stop();
    assert!(cluster.entries[0].wait_end().success());
    cluster.world.publish(true);
    check_whole("given-back", &wait_done(&cluster, 1, &handle));
    assert_eq!(cluster.world.runs("generate-", "given-back"), 1);
}

#[test]
fn without_a_quorum_nothing_is_accepted() {
    let mut cluster = Cluster::start(plan());
    let leader = cluster.wait_leader();
    for number in (0..3).filter(|number| *number != leader) {
        cluster.controls[number].kill();
    }
    wait_until("the lease lapses", || cluster.leader().is_none());
    let answer = deferred("refused").send(cluster.callers(0)).unwrap();
    assert_eq!(
        (answer.status, answer.code().as_str(), answer.ran().as_str()),
        (503, "no_quorum", "no")
    );
    assert!(answer.retry_after.is_some());
    let answer = marked_request("mode")
        .with("x-mode", "later")
        .send(cluster.callers(0))
        .unwrap();
    assert_eq!(answer.code(), "bad_header");
}
