//! Non-repeatable requests that are sent again at any time and through any host.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time::Duration;

use linnetdale::fakes::FaultKind;
use support::cluster::{Cluster, ClusterPlan};
use support::http::CallerRequest;
use support::ledger::{RequestRecord, differences, marked_request};
use support::wait_until;

fn plan() -> ClusterPlan {
    ClusterPlan {
        halls: 1,
        ..ClusterPlan::default()
    }
}

fn once(marker: &str) -> CallerRequest {
    marked_request(marker).once(&format!("key of {marker}"))
}

fn check_responses(
    cluster: &Cluster,
    marker: &str,
    responses: Vec<Option<support::http::CallerResponse>>,
) {
    for response in responses {
        let record = RequestRecord {
            marker: marker.to_owned(),
            once: true,
            response,
        };
        assert_eq!(differences(&cluster.testbed, &record), Vec::<String>::new());
    }
}

#[test]
fn a_repeated_request_gets_the_recorded_response_from_any_host() {
    let cluster = Cluster::start(plan());
    let first = once("again").send(cluster.callers(0)).unwrap();
    assert!(first.tokens().is_some(), "{first:?}");
    for entry in 0..3 {
        let again = once("again").send(cluster.callers(entry)).unwrap();
        assert_eq!(again.body, first.body);
    }
    assert_eq!(cluster.testbed.runs("generate-", "again"), 1);
    let other = marked_request("other")
        .once("key of again")
        .send(cluster.callers(1))
        .unwrap();
    assert_eq!(
        (other.code().as_str(), other.ran().as_str()),
        ("key_reused", "no")
    );
    assert_eq!(cluster.testbed.runs("", "other"), 0);
}

#[test]
fn concurrent_repeats_of_a_request_run_it_once() {
    let cluster = Cluster::start(plan());
    let responses: Vec<_> = std::thread::scope(|scope| {
        let senders: Vec<_> = (0..12)
            .map(|number| {
                let host = cluster.callers(number % 3);
                scope.spawn(move || once("crowd").send(host))
            })
            .collect();
        senders
            .into_iter()
            .map(|sender| sender.join().unwrap())
            .collect()
    });
    for (_, stage, _) in support::testbed::STAGES.iter().take(4) {
        assert_eq!(cluster.testbed.runs(&format!("{stage}-"), "crowd"), 1);
    }
    let codes: Vec<_> = responses
        .iter()
        .flatten()
        .map(|response| response.code())
        .collect();
    assert!(
        codes
            .iter()
            .all(|code| code.is_empty() || code == "still_running"),
        "{codes:?}"
    );
    assert!(codes.iter().any(String::is_empty), "{codes:?}");
    check_responses(&cluster, "crowd", responses);
}

#[test]
fn request_keys_are_separate_per_account() {
    let cluster = Cluster::start(plan());
    let change = support::operator::add_account("second", 1);
    let version = cluster.apply(&change);
    cluster.wait_entry_version(0, version);
    let first = once("shared").send(cluster.callers(0)).unwrap();
    let second = once("shared")
        .with("authorization", "Bearer second-key")
        .send(cluster.callers(0))
        .unwrap();
    assert!(
        first.tokens().is_some() && second.tokens().is_some(),
        "{second:?}"
    );
    assert_ne!(first.request, second.request);
    assert_eq!(cluster.testbed.runs("generate-", "shared"), 2);
}

#[test]
fn a_request_never_runs_twice_if_its_host_is_killed() {
    let mut cluster = Cluster::start(plan());
    let moments = ["encode-", "rerank-", "generate-"];
    for (number, stage) in moments.into_iter().enumerate() {
        let marker = format!("lost-{number}");
        cluster.testbed.inject_faults(stage, FaultKind::Freeze, 1);
        let request = once(&marker).with("x-deadline-ms", "1500");
        let host = cluster.callers(0);
        let sending = std::thread::spawn({
            let request = request.clone();
            move || request.send(host)
        });
        wait_until("the stage runs", || {
            cluster.testbed.runs(stage, &marker) == 1
        });
        cluster.entries[0].kill();
        assert!(sending.join().unwrap().is_none());
        cluster.testbed.clear_faults();
        let again = request.send(cluster.callers(1)).unwrap();
        assert_eq!(
            (again.code().as_str(), again.ran().as_str()),
            ("still_running", "unknown")
        );
        assert!(again.retry_after.is_some());
        let mut last = again;
        wait_until("the claim of the lost host has expired", || {
            last = request.send(cluster.callers(2)).unwrap();
            last.code() == "may_have_run"
        });
        check_responses(&cluster, &marker, vec![Some(last)]);
        cluster.entries[0].start();
        cluster.wait_ready(0);
    }
}

#[test]
fn a_failed_run_is_recorded_and_an_unstarted_one_releases_its_claim() {
    let cluster = Cluster::start(plan());
    cluster
        .testbed
        .inject_faults("rerank-", FaultKind::CloseAfterRun, 1);
    let first = once("failed").send(cluster.callers(0)).unwrap();
    assert_eq!(
        (first.code().as_str(), first.ran().as_str()),
        ("target_failed", "yes")
    );
    cluster.testbed.clear_faults();
    let again = once("failed").send(cluster.callers(1)).unwrap();
    assert_eq!(again.body, first.body);
    check_responses(&cluster, "failed", vec![Some(first), Some(again)]);

    cluster
        .testbed
        .inject_faults("encode-", FaultKind::Busy, 1_000);
    let first = once("free").send(cluster.callers(0)).unwrap();
    assert_eq!(first.ran(), "no", "{first:?}");
    cluster.testbed.clear_faults();
    let mut again = None;
    wait_until("the claim is free again", || {
        again = once("free").send(cluster.callers(1));
        again
            .as_ref()
            .is_some_and(|response| response.ran() == "complete")
    });
    check_responses(&cluster, "free", vec![again]);
}

#[test]
fn a_non_repeatable_request_is_refused_at_once_without_a_quorum() {
    let mut cluster = Cluster::start(plan());
    let leader = cluster.wait_leader();
    for number in (0..3).filter(|number| *number != leader) {
        cluster.controls[number].kill();
    }
    let started = std::time::Instant::now();
    let response = once("no-quorum").send(cluster.callers(0)).unwrap();
    // The deadline is 4 s; the bound distinguishes an immediate response from one at the deadline.
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!(
        (response.code().as_str(), response.ran().as_str()),
        ("no_quorum", "no")
    );
    assert!(response.retry_after.is_some());
    assert_eq!(cluster.testbed.runs("", "no-quorum"), 0);
    // Repeatable requests are still served.
    let response = marked_request("goes-on").send(cluster.callers(0)).unwrap();
    assert!(response.tokens().is_some(), "{response:?}");
    // The refused request runs once when the quorum is restored.
    cluster
        .controls
        .iter_mut()
        .filter(|control| !control.is_running())
        .for_each(support::daemon::Daemon::start);
    wait_until("the request runs", || {
        once("no-quorum").send(cluster.callers(1)).unwrap().ran() == "complete"
    });
    assert_eq!(cluster.testbed.runs("generate-", "no-quorum"), 1);
}

#[test]
fn claims_survive_the_leader_and_a_restart_of_all_voters() {
    let mut cluster = Cluster::start(plan());
    let first = once("kept").send(cluster.callers(0)).unwrap();
    let leader = cluster.wait_leader();
    cluster.controls[leader].kill();
    cluster.wait_for_new_leader(leader);
    let again = once("kept").send(cluster.callers(1)).unwrap();
    assert_eq!(again.body, first.body);
    cluster.restart_controls();
    cluster.wait_leader();
    wait_until("the recorded answer is back", || {
        once("kept").send(cluster.callers(2)).unwrap().body == first.body
    });
    assert_eq!(cluster.testbed.runs("generate-", "kept"), 1);
}

#[test]
fn a_non_repeatable_service_call_is_claimed() {
    let cluster = Cluster::start(plan());
    let call = CallerRequest::to_path("POST", "/v1/services/orders/reserve?bundle=7", b"cedar");
    let call = call.with("x-request-key", "bundle-7");
    let first = call.send(cluster.callers(0)).unwrap();
    assert!(
        first.body.starts_with("POST /reserve?bundle=7 orders-"),
        "{first:?}"
    );
    let again = call.send(cluster.callers(1)).unwrap();
    assert_eq!(again.body, first.body);
    assert_eq!(cluster.testbed.runs("orders-", "/reserve?bundle=7"), 1);
}
