//! Acknowledged changes survive faults of the leader and of the other voters.
//!
//! Each case runs real processes: it writes before, during and after a fault, then compares all
//! voters. Meanwhile a monitor checks for two lease holders in one term and for decreasing versions.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use support::cluster::{Cluster, ClusterPlan};
use support::invariant_monitor::InvariantMonitor;
use support::wait_until;

/// Fault of the voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VoterFault {
    KillLeader,
    KillFollower,
    KillAll,
    SuspendLeader,
    CutLeader,
    CutFromLeader,
    CutToLeader,
}

fn inject_fault(cluster: &mut Cluster, fault: VoterFault, leader: usize) {
    let name = format!("control-{leader}");
    let follower = (leader + 1) % cluster.controls.len();
    match fault {
        VoterFault::KillLeader => cluster.controls[leader].kill(),
        VoterFault::KillFollower => cluster.controls[follower].kill(),
        VoterFault::KillAll => {
            cluster.restart_controls();
        }
        VoterFault::SuspendLeader => cluster.controls[leader].suspend(),
        VoterFault::CutLeader => {
            cluster.rules.cut(&name, "*");
            cluster.rules.cut("*", &name);
        }
        VoterFault::CutFromLeader => cluster.rules.cut(&name, "*"),
        VoterFault::CutToLeader => cluster.rules.cut("*", &name),
    }
}

fn end_fault(cluster: &mut Cluster, fault: VoterFault, leader: usize) {
    let follower = (leader + 1) % cluster.controls.len();
    match fault {
        VoterFault::KillLeader => cluster.controls[leader].start(),
        VoterFault::KillFollower => cluster.controls[follower].start(),
        VoterFault::KillAll => {}
        VoterFault::SuspendLeader => cluster.controls[leader].resume(),
        VoterFault::CutLeader | VoterFault::CutFromLeader | VoterFault::CutToLeader => {
            cluster.rules.heal();
        }
    }
}

fn run_case(voters: usize, fault: VoterFault) {
    let mut cluster = Cluster::start(ClusterPlan {
        controls: voters,
        entries: 1,
        halls: 1,
        replicas: 1,
        ..ClusterPlan::default()
    });
    let monitor = InvariantMonitor::start(&cluster.all_control_ops(), &cluster.all_entry_ops());
    let mut acknowledged = cluster.add_accounts("before", 0..4);
    let leader = cluster.wait_leader();
    inject_fault(&mut cluster, fault, leader);
    acknowledged.extend(cluster.add_accounts("during", 0..4));
    if matches!(fault, VoterFault::SuspendLeader | VoterFault::CutLeader) {
        assert_ne!(cluster.wait_for_new_leader(leader), leader);
        // The former leader lacks an acknowledged change, so it must not serve authoritative reads.
        let host = cluster.control_ops(leader);
        assert_eq!(cluster.operator.authoritative_version(host), None);
    }
    end_fault(&mut cluster, fault, leader);
    acknowledged.extend(cluster.add_accounts("after", 0..4));
    cluster.check_accounts(&acknowledged);
    cluster.wait_entry_version(0, 1 + acknowledged.len() as u64);
    monitor.finish();
}

macro_rules! voter_cases {
    ($($name:ident: $voters:literal, $fault:ident;)*) => {
        $(#[test]
        fn $name() {
            run_case($voters, VoterFault::$fault);
        })*
    };
}

voter_cases! {
    three_voters_leader_killed: 3, KillLeader;
    three_voters_follower_killed: 3, KillFollower;
    three_voters_all_killed_at_once: 3, KillAll;
    three_voters_leader_frozen_past_its_lease: 3, SuspendLeader;
    three_voters_leader_cut_both_ways: 3, CutLeader;
    three_voters_leader_cut_outwards: 3, CutFromLeader;
    three_voters_leader_cut_inwards: 3, CutToLeader;
    five_voters_leader_killed: 5, KillLeader;
    five_voters_all_killed_at_once: 5, KillAll;
    five_voters_leader_frozen_past_its_lease: 5, SuspendLeader;
    five_voters_leader_cut_both_ways: 5, CutLeader;
}

#[test]
fn a_leader_without_a_majority_refuses_changes() {
    let mut cluster = Cluster::start(ClusterPlan {
        entries: 0,
        ..ClusterPlan::default()
    });
    let leader = cluster.wait_leader();
    for number in (0..3).filter(|number| *number != leader) {
        cluster.controls[number].kill();
    }
    let host = cluster.control_ops(leader);
    wait_until("the lease lapses", || {
        let status = cluster.operator.control_status(host).unwrap();
        !status.replica.lease_lasts
    });
    let change = support::operator::add_account("lonely", 1);
    let reply = cluster.operator.change(host, &change);
    assert!(
        matches!(
            reply,
            Some(linnetdale::control::ChangeResponse::NotLeader { .. })
        ),
        "{reply:?}"
    );
}
