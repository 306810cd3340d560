//! Table changes by operators: races, retries, rebasing, catching up, and the command line.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time::Duration;

use linnetdale::control::ChangeResponse;
use linnetdale::table::{ChangeRefusal, RowKey};
use support::cluster::{Cluster, ClusterPlan, table_csv};
use support::invariant_monitor::InvariantMonitor;
use support::operator::{Operator, account_row, add_account};
use support::wait_until;

fn small() -> ClusterPlan {
    ClusterPlan {
        entries: 1,
        halls: 1,
        replicas: 1,
        ..ClusterPlan::default()
    }
}

#[test]
fn one_of_four_racing_changes_wins_and_the_others_get_conflicts() {
    let cluster = Cluster::start(small());
    let host = cluster.control_ops(cluster.wait_leader());
    for round in 0..10_u64 {
        let base = 1 + round;
        let replies: Vec<ChangeResponse> = std::thread::scope(|scope| {
            let racers: Vec<_> = (0..4_u32)
                .map(|index| {
                    let mut change = add_account("contended", base);
                    change.change_key = format!("round {round} by {index}");
                    change.rebase = false;
                    change.upserts = vec![account_row("contended", index + 1)];
                    scope.spawn(move || Operator::new().change(host, &change).unwrap())
                })
                .collect();
            racers
                .into_iter()
                .map(|racer| racer.join().unwrap())
                .collect()
        });
        let won = replies
            .iter()
            .filter(|reply| matches!(reply, ChangeResponse::Accepted { .. }));
        assert_eq!(won.count(), 1, "{replies:?}");
        for reply in replies {
            if let ChangeResponse::Refused { refusal } = reply {
                let ChangeRefusal::Conflict(conflict) = refusal else {
                    panic!("{refusal}");
                };
                assert_eq!(conflict.current, base + 1);
                assert_eq!(conflict.clashing, [RowKey::Account("contended".to_owned())]);
            }
        }
    }
}

#[test]
fn a_repeated_change_gets_the_first_reply_from_any_leader() {
    let mut cluster = Cluster::start(small());
    let change = add_account("once", 1);
    let version = cluster.apply(&change);
    assert_eq!(cluster.apply(&change), version);
    // The response and the leader are lost; the change is sent again to another voter.
    let leader = cluster.wait_leader();
    cluster.controls[leader].kill();
    assert_eq!(cluster.apply(&change), version);
    let mut other = change.clone();
    other.upserts = vec![account_row("another", 1)];
    let host = cluster.control_ops(cluster.wait_for_new_leader(leader));
    let reply = cluster.operator.change(host, &other).unwrap();
    assert!(
        matches!(&reply, ChangeResponse::Refused { refusal: ChangeRefusal::KeyReused(taken) } if *taken == version),
        "{reply:?}"
    );
    cluster.check_accounts(&["once".to_owned()]);
}

#[test]
fn a_change_with_an_unknown_outcome_can_be_sent_again() {
    let cluster = Cluster::start(small());
    let leader = cluster.wait_leader();
    let name = format!("control-{leader}");
    // Messages of the leader still arrive, so the change may be committed, but no reply reaches it.
    cluster.rules.cut("*", &name);
    let change = add_account("open", 1);
    let host = cluster.control_ops(leader);
    let reply = Operator::with_timeout(Duration::from_secs(8)).change(host, &change);
    assert!(
        matches!(
            reply,
            Some(ChangeResponse::Unknown | ChangeResponse::NotLeader { .. })
        ),
        "{reply:?}"
    );
    cluster.rules.heal();
    cluster.apply(&change);
    cluster.check_accounts(&["open".to_owned()]);
}

#[test]
fn a_voter_and_an_entry_host_catch_up_after_500_changes() {
    let mut cluster = Cluster::start(small());
    let follower = (cluster.wait_leader() + 1) % 3;
    cluster.controls[follower].kill();
    cluster.entries[0].kill();
    let acknowledged = cluster.add_accounts("many", 0..500);
    let monitor = InvariantMonitor::start(&cluster.all_control_ops(), &cluster.all_entry_ops());
    cluster.controls[follower].start();
    cluster.entries[0].start();
    cluster.wait_entry_version(0, 501);
    cluster.check_accounts(&acknowledged);
    monitor.finish();
}

#[test]
fn a_lagging_voter_installs_a_snapshot_and_all_voters_restart_from_snapshots() {
    let mut cluster = Cluster::start(small());
    let follower = (cluster.wait_leader() + 1) % 3;
    cluster.controls[follower].kill();
    // More entries than a leader retains after its snapshot.
    let acknowledged = cluster.add_accounts("far", 0..2_100);
    cluster.controls[follower].start();
    wait_until("a snapshot is installed", || {
        let events = cluster.operator.timeline(cluster.control_ops(follower));
        let code = linnetdale::telemetry::EventCode::SnapshotInstalled;
        events.iter().any(|event| event.code == code)
    });
    cluster.check_accounts(&acknowledged);
    cluster.restart_controls();
    cluster.check_accounts(&acknowledged);
}

#[test]
fn the_command_line_gets_checks_diffs_applies_waits_and_rebases() {
    let cluster = Cluster::start(small());
    let path = cluster.folder.path().join("table.csv");
    let file = path.to_str().unwrap();
    let run = |args: &[&str]| {
        let output = cluster.ctl(args);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (
            output.status.code().unwrap(),
            text(&output.stdout),
            text(&output.stderr),
        )
    };

    let (status, table, version) = run(&["table", "get"]);
    assert_eq!((status, version.as_str()), (0, "version 1\n"));
    std::fs::write(&path, &table).unwrap();
    assert_eq!(
        run(&["table", "check", file]),
        (0, "7 rows, no fault\n".to_owned(), String::new())
    );
    let (status, text, _) = run(&["table", "apply", file]);
    assert_eq!((status, text.as_str()), (0, "no change; version 1\n"));

    std::fs::write(&path, table_csv().replace("brazos,,,,,10", "brazos,,,,,0")).unwrap();
    let (status, _, faults) = run(&["table", "apply", file]);
    assert_eq!(status, 1);
    assert!(faults.starts_with("line 8, column weight:"), "{faults}");

    let heavier = table_csv().replace("brazos,,,,,10", "brazos,,,,,11");
    std::fs::write(&path, &heavier).unwrap();
    let (status, text, _) = run(&["table", "diff", file]);
    assert_eq!(status, 0);
    assert_eq!(
        text,
        "against version 1: 1 rows put, 0 rows deleted\nput account brazos\n"
    );
    let (status, text, _) = run(&["table", "apply", file, "--base", "1", "--wait"]);
    assert_eq!(
        (status, text.starts_with("version 2\n")),
        (0, true),
        "{text}"
    );
    assert!(
        text.contains("in force on every host that can be reached"),
        "{text}"
    );

    // Another operator's edit of version 1 conflicts if it concerns the same row; otherwise it is merged.
    let base = cluster.folder.path().join("base.csv");
    std::fs::write(&base, table_csv()).unwrap();
    let base = base.to_str().unwrap();
    let rebase = ["--base", "1", "--base-file", base, "--rebase"];
    std::fs::write(&path, table_csv().replace("brazos,,,,,10", "brazos,,,,,12")).unwrap();
    let (status, _, faults) = run(&[&["table", "apply", file][..], &rebase].concat());
    assert_eq!(status, 1);
    assert!(
        faults.contains("changed on both sides: account brazos"),
        "{faults}"
    );
    std::fs::write(
        &path,
        table_csv().replace("orders,,,,,5000", "orders,,,,,4000"),
    )
    .unwrap();
    let (status, text, faults) = run(&[&["table", "apply", file][..], &rebase].concat());
    assert_eq!((status, text.as_str()), (0, "version 3\n"), "{faults}");
    let (_, table, _) = run(&["table", "get"]);
    assert!(
        table.contains("account,brazos,,,,,11") && table.contains("4000"),
        "{table}"
    );

    let (status, _, error) = run(&["--operator-key", "wrong", "table", "get"]);
    assert_eq!(status, 1);
    assert!(error.contains("operator's key"), "{error}");
}

#[test]
fn an_unknown_outcome_is_reported_with_the_key_for_a_retry() {
    let mut cluster = Cluster::start(small());
    let path = cluster.folder.path().join("table.csv");
    std::fs::write(&path, table_csv().replace("brazos,,,,,10", "brazos,,,,,13")).unwrap();
    let base = cluster.folder.path().join("base.csv");
    std::fs::write(&base, table_csv()).unwrap();
    let args = [
        "--timeout-ms",
        "1500",
        "table",
        "apply",
        path.to_str().unwrap(),
        "--base",
        "1",
        "--base-file",
        base.to_str().unwrap(),
        "--key",
        "asked-twice",
    ];
    cluster
        .controls
        .iter()
        .for_each(support::daemon::Daemon::suspend);
    let output = cluster.ctl(&args);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(3), "{error}");
    assert!(error.contains("--key asked-twice"), "{error}");
    cluster
        .controls
        .iter_mut()
        .for_each(|control| control.resume());
    wait_until("the change is accepted", || {
        let output = cluster.ctl(&args);
        String::from_utf8_lossy(&output.stdout).contains("version 2")
    });
}
