//! A data hall without connection to the control hosts keeps serving with its current table.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use linnetdale::telemetry::EventCode;
use serde_json::json;
use support::cluster::{Cluster, ClusterPlan};
use support::http::CallerRequest;
use support::invariant_monitor::InvariantMonitor;
use support::wait_until;

/// Returns a plan of two halls with three entry hosts each: 0, 2, 4 and 1, 3, 5.
fn two_halls() -> ClusterPlan {
    ClusterPlan {
        entries: 6,
        halls: 2,
        ..ClusterPlan::default()
    }
}

/// Cuts the links between the entry hosts of hall 1 and all control hosts.
fn isolate_hall(cluster: &Cluster) {
    for entry in [1, 3, 5] {
        let name = format!("entry-{entry}");
        cluster.rules.cut(&name, "*");
        cluster.rules.cut("*", &name);
    }
}

#[test]
fn one_host_of_a_hall_follows_control_and_the_others_follow_it() {
    let cluster = Cluster::start(two_halls());
    wait_until("one host of each hall is linked", || {
        let statuses: Vec<_> = (0..6)
            .filter_map(|entry| cluster.operator.entry_status(cluster.entry_ops(entry)))
            .collect();
        let linked: Vec<_> = statuses.iter().filter(|status| status.linked).collect();
        let peers = statuses.iter().all(|status| status.hall_peers.len() == 2);
        peers && linked.len() == 2 && linked[0].hall != linked[1].hall
    });
    cluster.add_accounts("relayed", 0..3);
    for entry in 0..6 {
        cluster.wait_entry_version(entry, 4);
    }
}

#[test]
fn the_loss_of_the_relaying_host_does_not_stop_changes() {
    let mut cluster = Cluster::start(two_halls());
    cluster.entries[0].kill();
    cluster.entries[1].suspend();
    cluster.add_accounts("later", 0..3);
    for entry in [2, 3, 4, 5] {
        cluster.wait_entry_version(entry, 4);
    }
    cluster.entries[1].resume();
    cluster.wait_entry_version(1, 4);
}

#[test]
fn a_host_restarted_in_an_unreachable_hall_gets_the_newest_table_of_its_hall() {
    let mut cluster = Cluster::start(two_halls());
    cluster.add_accounts("before", 0..3);
    for entry in 0..6 {
        cluster.wait_entry_version(entry, 4);
    }
    let monitor = InvariantMonitor::start(&cluster.all_control_ops(), &cluster.all_entry_ops());
    isolate_hall(&cluster);
    cluster.add_accounts("during", 0..3);
    for entry in [0, 2, 4] {
        cluster.wait_entry_version(entry, 7);
    }
    cluster.entries[3].kill();
    cluster.entries[3].start();
    cluster.wait_ready(3);
    let status = cluster.operator.entry_status(cluster.entry_ops(3)).unwrap();
    assert_eq!(status.table_version, 4);
    // The unreachable hall serves requests; those that need a quorum are refused as not run.
    for entry in [1, 3, 5] {
        let request = CallerRequest::to_pipeline("yard-desk", &json!({ "marker": "cut-off" }));
        let response = request.send(cluster.callers(entry)).unwrap();
        assert!(response.tokens().is_some(), "{response:?}");
        let response = request
            .once("cut-off")
            .send(cluster.callers(entry))
            .unwrap();
        assert_eq!(
            (response.code().as_str(), response.ran().as_str()),
            ("no_quorum", "no")
        );
        assert!(response.retry_after.is_some());
    }
    cluster.rules.heal();
    for entry in 0..6 {
        cluster.wait_entry_version(entry, 7);
    }
    monitor.finish();
}

#[test]
fn a_host_that_never_saw_a_table_is_not_ready_and_runs_nothing() {
    let cluster = Cluster::start_blank(ClusterPlan {
        entries: 1,
        halls: 1,
        ..ClusterPlan::default()
    });
    wait_until("the entry host answers", || {
        cluster
            .operator
            .entry_status(cluster.entry_ops(0))
            .is_some()
    });
    let request = CallerRequest::to_pipeline("yard-desk", &json!({ "marker": "early" }));
    let response = request.send(cluster.callers(0)).unwrap();
    assert_eq!(
        (
            response.status,
            response.code().as_str(),
            response.ran().as_str()
        ),
        (503, "not_ready", "no")
    );
    assert!(response.retry_after.is_some());
    assert_eq!(cluster.testbed.runs("", "early"), 0);
    let ready = CallerRequest::to_path("GET", "/ready", b"")
        .send(cluster.callers(0))
        .unwrap();
    assert_eq!(ready.status, 503);
}

#[test]
fn peer_keys_can_be_rotated_without_downtime() {
    let cluster = Cluster::start(ClusterPlan {
        entries: 2,
        halls: 1,
        ..ClusterPlan::default()
    });
    let file = cluster.folder.path().join("keys");
    let (old, new) = ("5a".repeat(32), "c3".repeat(32));
    let rounds = [
        format!("k1 {old}\nk2 {new}\n"),
        format!("k2 {new}\nk1 {old}\n"),
        "this is no key file\n".to_owned(),
        format!("k2 {new}\n"),
    ];
    for (number, text) in rounds.iter().enumerate() {
        std::fs::write(&file, text).unwrap();
        // Longer than the interval at which processes read the file.
        std::thread::sleep(std::time::Duration::from_millis(2_200));
        cluster.add_accounts(&format!("round-{number}"), 0..1);
        for entry in 0..2 {
            cluster.wait_entry_version(entry, 2 + number as u64);
        }
    }
    for host in cluster.all_control_ops() {
        let events = cluster.operator.timeline(host);
        let refused = events
            .iter()
            .filter(|event| event.code == EventCode::PeerRefused);
        assert_eq!(
            refused.count(),
            0,
            "no peer was refused while the key rolled"
        );
    }
}
