//! Targets that are listed, leave and disappear, and planned stops that interrupt no request.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time::{Duration, Instant};

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

fn state_of(cluster: &Cluster, entry: usize, target: &str) -> String {
    let status = cluster
        .operator
        .entry_status(cluster.entry_ops(entry))
        .unwrap();
    let target = status
        .targets
        .into_iter()
        .find(|other| other.name == target);
    target.map(|target| target.state).unwrap_or_default()
}

/// Sends requests to all entry hosts and checks each response.
fn send_round(cluster: &Cluster, round: &str) {
    for number in 0..12 {
        let marker = format!("{round}-{number}");
        let response = marked_request(&marker).send(cluster.callers(number % 3));
        assert_eq!(
            response.as_ref().map(|response| response.ran()).as_deref(),
            Some("complete"),
            "{response:?}"
        );
        let record = RequestRecord {
            marker,
            once: false,
            response,
        };
        assert_eq!(differences(&cluster.testbed, &record), Vec::<String>::new());
    }
}

#[test]
fn a_target_listed_as_leaving_gets_no_new_requests_from_any_host() {
    let mut cluster = Cluster::start(plan());
    send_round(&cluster, "before");
    let listed = Instant::now();
    cluster.testbed.list_leaving("encode-0");
    for entry in 0..3 {
        wait_until("the target is leaving", || {
            state_of(&cluster, entry, "encode-0") == "leaving"
        });
    }
    // Hosts read the list twice per second and guarantee to apply a change within 3 s.
    assert!(listed.elapsed() < Duration::from_secs(3));
    let before = cluster.testbed.target("encode-0").fake.ledger().len();
    send_round(&cluster, "leaving");
    assert_eq!(
        cluster.testbed.target("encode-0").fake.ledger().len(),
        before
    );
}

#[test]
fn a_target_that_marks_itself_as_leaving_is_avoided_by_all_hosts_of_the_hall() {
    let cluster = Cluster::start(plan());
    cluster
        .testbed
        .inject_faults("retrieve-0", FaultKind::Leaving, 1_000);
    wait_until("one host knows that the target is leaving", || {
        marked_request("told").send(cluster.callers(0)).unwrap();
        state_of(&cluster, 0, "retrieve-0") == "leaving"
    });
    for entry in 0..3 {
        wait_until("all hosts of the hall know it", || {
            state_of(&cluster, entry, "retrieve-0") == "leaving"
        });
    }
    send_round(&cluster, "after");
    assert_eq!(cluster.testbed.target("retrieve-0").fake.ledger().len(), 0);
}

#[test]
fn only_a_complete_list_removes_targets() {
    let cluster = Cluster::start(plan());
    let names: Vec<_> = cluster
        .testbed
        .targets
        .iter()
        .map(|target| target.name.clone())
        .collect();
    let kept: Vec<_> = names
        .iter()
        .map(String::as_str)
        .filter(|name| *name != "encode-0")
        .collect();
    cluster.testbed.publish_only(&kept, false);
    wait_until("the partial list is recorded", || {
        let events = cluster.operator.timeline(cluster.entry_ops(0));
        let failed = linnetdale::telemetry::EventCode::HostListFailed;
        events
            .iter()
            .any(|event| event.code == failed && event.detail.contains("partial"))
    });
    assert_eq!(state_of(&cluster, 0, "encode-0"), "live");
    send_round(&cluster, "partial");
    cluster.testbed.publish_only(&kept, true);
    wait_until("the complete list removes the target", || {
        state_of(&cluster, 0, "encode-0") == "gone"
    });
    send_round(&cluster, "complete");
    cluster.testbed.publish(true);
    wait_until("it comes back", || {
        state_of(&cluster, 0, "encode-0") == "live"
    });
}

#[test]
fn a_failing_target_is_ejected_but_never_more_than_half_of_a_pool() {
    let cluster = Cluster::start(ClusterPlan {
        entries: 1,
        halls: 1,
        replicas: 3,
        ..ClusterPlan::default()
    });
    cluster
        .testbed
        .inject_faults("rerank-0", FaultKind::Error, 1_000);
    let mut number = 0;
    wait_until("the failing target is ejected", || {
        number += 1;
        marked_request(&format!("eject-{number}"))
            .send(cluster.callers(0))
            .unwrap();
        state_of(&cluster, 0, "rerank-0") == "ejected"
    });
    cluster
        .testbed
        .inject_faults("rerank-", FaultKind::Error, 1_000);
    for round in 0..20 {
        marked_request(&format!("all-{round}"))
            .send(cluster.callers(0))
            .unwrap();
        let states = (0..3).map(|target| state_of(&cluster, 0, &format!("rerank-{target}")));
        assert!(states.filter(|state| state == "ejected").count() <= 1);
    }
}

#[test]
fn a_planned_stop_of_an_entry_host_interrupts_no_open_stream() {
    let mut cluster = Cluster::start(plan());
    let host = cluster.callers(0);
    let input = serde_json::json!({ "marker": "long", "tokens": 600 });
    let request = CallerRequest::to_pipeline("yard-desk", &input);
    let streams: Vec<_> = (0..8)
        .map(|_| {
            let request = request.clone();
            std::thread::spawn(move || request.send(host))
        })
        .collect();
    wait_until("the streams are open", || {
        let status = cluster.operator.entry_status(cluster.entry_ops(0)).unwrap();
        status.in_flight == 8
    });
    cluster.entries[0].request_stop();
    wait_until("the readiness check fails", || {
        let ready = CallerRequest::to_path("GET", "/ready", b"").send(host);
        ready.is_none_or(|response| response.status == 503)
    });
    for stream in streams {
        let response = stream.join().unwrap().unwrap();
        assert_eq!(
            response.tokens().map(|tokens| tokens.len()),
            Some(600),
            "{}",
            response.code()
        );
    }
    assert!(cluster.entries[0].wait_for_exit().success());
    send_elsewhere(&cluster);
}

fn send_elsewhere(cluster: &Cluster) {
    for entry in 1..3 {
        let response = marked_request(&format!("elsewhere-{entry}"))
            .send(cluster.callers(entry))
            .unwrap();
        assert!(response.tokens().is_some(), "{response:?}");
    }
}

#[test]
fn a_planned_stop_of_the_leader_loses_no_change_and_repeats_no_run() {
    let mut cluster = Cluster::start(plan());
    let leader = cluster.wait_leader();
    let mut acknowledged = cluster.add_accounts("before", 0..3);
    let host = cluster.callers(0);
    let senders: Vec<_> = (0..6)
        .map(|number| {
            let request = marked_request(&format!("stop-{number}")).once(&format!("stop-{number}"));
            std::thread::spawn(move || {
                support::wait_for("an answer", || {
                    let response = request.send(host)?;
                    (response.ran() != "no").then_some(response)
                })
            })
        })
        .collect();
    cluster.controls[leader].request_stop();
    assert!(cluster.controls[leader].wait_for_exit().success());
    for (number, sender) in senders.into_iter().enumerate() {
        let record = RequestRecord {
            marker: format!("stop-{number}"),
            once: true,
            response: Some(sender.join().unwrap()),
        };
        assert_eq!(differences(&cluster.testbed, &record), Vec::<String>::new());
    }
    acknowledged.extend(cluster.add_accounts("after", 0..3));
    cluster.check_accounts(&acknowledged);
}
