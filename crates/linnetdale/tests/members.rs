//! Members come, go and are repaired without losing what was acknowledged.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use linnetdale::quorum::{Member, MemberChange};
use support::cluster::{Cluster, ClusterPlan};
use support::operator::{Operator, member_of};
use support::watch::Watch;
use support::{wait_for, wait_until};

fn controls_only() -> ClusterPlan {
    ClusterPlan {
        entries: 0,
        replicas: 1,
        ..ClusterPlan::default()
    }
}

/// Sends a change of members to whoever leads until it is taken.
fn change_member(cluster: &Cluster, change: &MemberChange) {
    let operator = Operator::new();
    wait_until("a change of members is taken", || {
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

/// Wipes the disk of a stopped control host and starts it again.
fn wipe(cluster: &mut Cluster, number: usize) {
    cluster.controls[number].kill();
    std::fs::remove_dir_all(cluster.data_folder(number)).unwrap();
    cluster.controls[number].start();
}

#[test]
fn a_wiped_voter_is_repaired_and_a_second_one_lost_right_after() {
    let mut cluster = Cluster::start(controls_only());
    let watch = Watch::start(&cluster.all_control_ops(), &[]);
    let mut acknowledged = cluster.add_accounts("before", 0..20);
    let leader = cluster.wait_leader();
    let wiped = (leader + 1) % 3;
    let former = as_member(&cluster, wiped).id;
    wipe(&mut cluster, wiped);
    assert_ne!(as_member(&cluster, wiped).id, former);
    acknowledged.extend(cluster.add_accounts("wiped", 0..5));
    // The leader goes on calling the former identity at the same address, ten times a second; the
    // new one must not answer in its name, however often it is called.
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
    // The host that held everything is lost; the repaired one must carry the majority.
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
    watch.finish();
}

#[test]
fn a_wiped_voter_does_not_vote_as_its_former_self() {
    let mut cluster = Cluster::start(controls_only());
    let acknowledged = cluster.add_accounts("before", 0..5);
    let leader = cluster.wait_leader();
    let (wiped, other) = ((leader + 1) % 3, (leader + 2) % 3);
    // The only other holder of everything is away: with the wiped host's vote a host that lacks
    // changes, or a blank one, could be elected.
    cluster.controls[leader].kill();
    wipe(&mut cluster, wiped);
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
fn a_second_forming_does_not_touch_a_cluster_or_a_wiped_host() {
    let mut cluster = Cluster::start(controls_only());
    let acknowledged = cluster.add_accounts("before", 0..3);
    assert!(cluster.ctl(&["init"]).status.success());
    let wiped = (cluster.wait_leader() + 1) % 3;
    wipe(&mut cluster, wiped);
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
    let watch = Watch::start(&cluster.all_control_ops(), &[]);
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
    // A leader that is taken out commits that first and then steps down.
    let leader = cluster.wait_leader();
    let member = as_member(&cluster, leader);
    change_member(&cluster, &MemberChange::Remove(member.id));
    let next = cluster.wait_other_leader(leader);
    wait_voters(&cluster, 3);
    assert_ne!(next, leader);
    acknowledged.extend(cluster.add_accounts("three-again", 0..5));
    for gone in [leaving, leader] {
        cluster.controls[gone].kill();
    }
    cluster.check_accounts(&acknowledged);
    watch.finish();
}

#[test]
fn a_data_folder_serves_one_process_and_a_corrupt_one_none() {
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
    let status = cluster.controls[broken].wait_end();
    assert!(!status.success());
    let log = cluster.controls[broken].log_text();
    assert!(
        log.contains("journal-0000000000000000 is corrupt at byte"),
        "{log}"
    );
    cluster.check_accounts(&acknowledged);
}
