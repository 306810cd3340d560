//! Changes that were acknowledged stay, whatever happens to the leader or to the others.
//!
//! Each case runs real processes: it writes, brings the fault, writes on, ends the fault, writes
//! again, and then compares all voters. Meanwhile a watch looks for two leases in one term and
//! for a version that falls.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use support::cluster::{Cluster, ClusterPlan};
use support::wait_until;
use support::watch::Watch;

/// What befalls the voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum VoterFault {
    KillLeader,
    KillFollower,
    KillAll,
    FreezeLeader,
    CutLeader,
    CutFromLeader,
    CutToLeader,
}

fn bring(cluster: &mut Cluster, fault: VoterFault, leader: usize) {
    let name = format!("control-{leader}");
    let follower = (leader + 1) % cluster.controls.len();
    match fault {
        VoterFault::KillLeader => cluster.controls[leader].kill(),
        VoterFault::KillFollower => cluster.controls[follower].kill(),
        VoterFault::KillAll => {
            cluster.restart_controls();
        }
        VoterFault::FreezeLeader => cluster.controls[leader].freeze(),
        VoterFault::CutLeader => {
            cluster.rules.cut(&name, "*");
            cluster.rules.cut("*", &name);
        }
        VoterFault::CutFromLeader => cluster.rules.cut(&name, "*"),
        VoterFault::CutToLeader => cluster.rules.cut("*", &name),
    }
}

fn end(cluster: &mut Cluster, fault: VoterFault, leader: usize) {
    let follower = (leader + 1) % cluster.controls.len();
    match fault {
        VoterFault::KillLeader => cluster.controls[leader].start(),
        VoterFault::KillFollower => cluster.controls[follower].start(),
        VoterFault::KillAll => {}
        VoterFault::FreezeLeader => cluster.controls[leader].thaw(),
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
    let watch = Watch::start(&cluster.all_control_ops(), &cluster.all_entry_ops());
    let mut acknowledged = cluster.add_accounts("before", 0..4);
    let leader = cluster.wait_leader();
    bring(&mut cluster, fault, leader);
    acknowledged.extend(cluster.add_accounts("during", 0..4));
    if matches!(fault, VoterFault::FreezeLeader | VoterFault::CutLeader) {
        assert_ne!(cluster.wait_other_leader(leader), leader);
        // A change that it does not know of is acknowledged, so it must not claim authority.
        let host = cluster.control_ops(leader);
        assert_eq!(cluster.operator.authoritative_version(host), None);
    }
    end(&mut cluster, fault, leader);
    acknowledged.extend(cluster.add_accounts("after", 0..4));
    cluster.check_accounts(&acknowledged);
    cluster.wait_entry_version(0, 1 + acknowledged.len() as u64);
    watch.finish();
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
    three_voters_leader_frozen_past_its_lease: 3, FreezeLeader;
    three_voters_leader_cut_both_ways: 3, CutLeader;
    three_voters_leader_cut_outwards: 3, CutFromLeader;
    three_voters_leader_cut_inwards: 3, CutToLeader;
    five_voters_leader_killed: 5, KillLeader;
    five_voters_all_killed_at_once: 5, KillAll;
    five_voters_leader_frozen_past_its_lease: 5, FreezeLeader;
    five_voters_leader_cut_both_ways: 5, CutLeader;
}

#[test]
fn a_minority_takes_no_change_and_says_so_at_once() {
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
