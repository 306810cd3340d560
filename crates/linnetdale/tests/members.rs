//! Members are added, removed and repaired without losing acknowledged changes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use linnetdale::quorum::{Member, MemberChange};
use support::cluster::{Cluster, ClusterPlan};
use support::invariant_monitor::InvariantMonitor;
use support::operator::{Operator, member_of};
use support::{wait_for, wait_until};

fn controls_only() -> ClusterPlan {
    ClusterPlan {
        entries: 0,
        replicas: 1,
        ..ClusterPlan::default()
    }
}

/// Sends a membership change to the leader until it is accepted.
fn change_member(cluster: &Cluster, change: &MemberChange) {
    let operator = Operator::new();
    wait_until("a membership change is accepted", || {
        let leader = cluster.leader();
        leader.is_some_and(|leader| {
            let status = operator.change_member(cluster.control_ops(leader), change);
            matches!(status, Some(200 | 409))
        })
    });
}

fn wait_voters(cluster: &Cluster, count: usize) {
    wait_until("the members have settled", || {
        let leader = cluster.leader();
        let status =
            leader.and_then(|leader| cluster.operator.control_status(cluster.control_ops(leader)));
        status.is_some_and(|status| {
            let members = status.replica.members;
            members.voters.len() == count && members.learners.is_empty()
        })
    });
}

fn as_member(cluster: &Cluster, number: usize) -> Member {
    let host = cluster.control_ops(number);
    let status = wait_for("a control host answers", || {
        cluster.operator.control_status(host)
    });
    member_of(&status)
}

/// Kills a control host, deletes its data and starts it again.
fn wipe_disk(cluster: &mut Cluster, number: usize) {
    cluster.controls[number].kill();
    std::fs::remove_dir_all(cluster.data_folder(number)).unwrap();
    cluster.controls[number].start();
}

#[test]
fn a_repaired_voter_replaces_a_second_lost_one_in_the_majority() {
    let mut cluster = Cluster::start(controls_only());
    let monitor = InvariantMonitor::start(&cluster.all_control_ops(), &[]);
    let mut acknowledged = cluster.add_accounts("before", 0..20);
    let leader = cluster.wait_leader();
    let wiped = (leader + 1) % 3;
    let former = as_member(&cluster, wiped).id;
    wipe_disk(&mut cluster, wiped);
    assert_ne!(as_member(&cluster, wiped).id, former);
    acknowledged.extend(cluster.add_accounts("wiped", 0..5));
    // The leader keeps calling the former identity at the same address, ten times per second; the
    // new replica must not reply in its place.
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    let status = cluster
        .operator
        .control_status(cluster.control_ops(wiped))
        .unwrap();
    assert_eq!(
        (status.replica.cluster, status.replica.last.index),
        (None, 0)
    );
    let output = cluster.ctl(&["member", "repair", &cluster.control_ops(wiped).to_string()]);
    assert!(output.status.success(), "{output:?}");
    wait_voters(&cluster, 3);
    // A host with all changes is lost, so the repaired one must be part of the majority.
    let leader = cluster.wait_leader();
    let lost = if leader == wiped {
        (wiped + 1) % 3
    } else {
        leader
    };
    cluster.controls[lost].kill();
    std::fs::remove_dir_all(cluster.data_folder(lost)).unwrap();
    acknowledged.extend(cluster.add_accounts("after", 0..5));
    cluster.check_accounts(&acknowledged);
    monitor.finish();
}

#[test]
fn a_wiped_voter_does_not_vote_as_its_former_self() {
    let mut cluster = Cluster::start(controls_only());
    let acknowledged = cluster.add_accounts("before", 0..5);
    let leader = cluster.wait_leader();
    let (wiped, other) = ((leader + 1) % 3, (leader + 2) % 3);
    // The leader is down: with the vote of the wiped host, a host that lacks changes, or an empty
    // one, could be elected.
    cluster.controls[leader].kill();
    wipe_disk(&mut cluster, wiped);
    as_member(&cluster, wiped);
    std::thread::sleep(std::time::Duration::from_secs(4));
    assert_eq!(cluster.leader(), None);
    let status = cluster
        .operator
        .control_status(cluster.control_ops(wiped))
        .unwrap();
    assert_eq!(status.replica.cluster, None);
    assert_eq!(status.replica.term, 0);
    cluster.controls[leader].start();
    cluster.wait_leader();
    let running = [leader, other];
    for number in running {
        let (version, _) = cluster.operator.table(cluster.control_ops(number)).unwrap();
        assert_eq!(version, 1 + acknowledged.len() as u64);
    }
}

#[test]
fn a_second_init_affects_neither_a_cluster_nor_a_wiped_host() {
    let mut cluster = Cluster::start(controls_only());
    let acknowledged = cluster.add_accounts("before", 0..3);
    assert!(cluster.ctl(&["init"]).status.success());
    let wiped = (cluster.wait_leader() + 1) % 3;
    wipe_disk(&mut cluster, wiped);
    as_member(&cluster, wiped);
    let output = cluster.ctl(&["init"]);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(error.contains("member repair"), "{error}");
    let leader = cluster.wait_leader();
    let (version, _) = cluster.operator.table(cluster.control_ops(leader)).unwrap();
    assert_eq!(version, 1 + acknowledged.len() as u64);
}

#[test]
fn voters_grow_to_five_and_shrink_to_three_while_one_is_cut_off() {
    let mut cluster = Cluster::start(controls_only());
    let monitor = InvariantMonitor::start(&cluster.all_control_ops(), &[]);
    let mut acknowledged = cluster.add_accounts("three", 0..5);
    for number in 3..5 {
        cluster.add_control(number, "hall-0");
        let member = as_member(&cluster, number);
        change_member(&cluster, &MemberChange::Add(member));
        wait_voters(&cluster, number + 1);
    }
    acknowledged.extend(cluster.add_accounts("five", 0..5));
    let leader = cluster.wait_leader();
    let cut = (leader + 1) % 5;
    let name = format!("control-{cut}");
    cluster.rules.cut(&name, "*");
    cluster.rules.cut("*", &name);
    let leaving = (leader + 2) % 5;
    let member = as_member(&cluster, leaving);
    change_member(&cluster, &MemberChange::Remove(member.id));
    wait_voters(&cluster, 4);
    acknowledged.extend(cluster.add_accounts("four", 0..5));
    cluster.rules.heal();
    // A leader that is removed commits its removal and then steps down.
    let leader = cluster.wait_leader();
    let member = as_member(&cluster, leader);
    change_member(&cluster, &MemberChange::Remove(member.id));
    let next = cluster.wait_for_new_leader(leader);
    wait_voters(&cluster, 3);
    assert_ne!(next, leader);
    acknowledged.extend(cluster.add_accounts("three-again", 0..5));
    for gone in [leaving, leader] {
        cluster.controls[gone].kill();
    }
    cluster.check_accounts(&acknowledged);
    monitor.finish();
}

#[test]
fn a_control_host_exits_on_a_corrupt_journal() {
    let mut cluster = Cluster::start(controls_only());
    let acknowledged = cluster.add_accounts("before", 0..5);
    let broken = (cluster.wait_leader() + 1) % 3;
    cluster.controls[broken].kill();
    let journal = cluster.data_folder(broken).join("journal-0000000000000000");
    let mut bytes = std::fs::read(&journal).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&journal, &bytes).unwrap();
    cluster.controls[broken].start();
    let status = cluster.controls[broken].wait_for_exit();
    assert!(!status.success());
    let log = cluster.controls[broken].log_text();
    assert!(
        log.contains("journal-0000000000000000 is corrupt at byte"),
        "{log}"
    );
    cluster.check_accounts(&acknowledged);
}
