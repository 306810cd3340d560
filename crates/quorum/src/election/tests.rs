use super::*;
use crate::state::{PeerProgress, ReplicaState};
use crate::{NodeId, QuorumTiming, grant_vote};
use linnet_clock::BootInstant;

fn round(given: &[(bool, bool)]) -> VoteRound {
    let mut round = VoteRound::default();
    for (granted, leaderless) in given {
        round.add(VoterReply {
            granted: *granted,
            leaderless: *leaderless,
        });
    }
    round
}

#[test]
fn a_round_is_leaderless_only_if_every_voter_reports_no_leader() {
    let (yes, no) = (true, false);
    let cases = [
        // granted, leaderless of each voter; majority, leaderless
        (vec![(yes, yes), (no, yes), (no, yes)], no, yes),
        (vec![(yes, yes), (yes, yes), (no, no)], yes, no),
        (vec![(yes, yes), (yes, yes), (yes, yes)], yes, yes),
        (vec![(yes, yes), (no, no)], no, no),
        (vec![(yes, yes)], yes, yes),
    ];
    for (given, majority, leaderless) in cases {
        let round = round(&given);
        assert_eq!(round.has_majority(), majority, "{given:?}");
        assert_eq!(round.is_leaderless(), leaderless, "{given:?}");
    }
}

#[test]
fn a_recently_started_replica_votes_only_if_all_voters_are_leaderless() {
    let timing = QuorumTiming::new();
    let mut state = ReplicaState::new(NodeId(1), Some(7), &timing);
    let votes = |state: &ReplicaState, leaderless: bool| {
        let voter = state.voter_state(&timing, leaderless);
        grant_vote(&voter, 1, NodeId(2), LogPosition::default())
    };
    assert!(!votes(&state, false));
    assert!(votes(&state, true));
    // It has been in contact with a leader, whose lease may be valid whatever the other voters
    // replied.
    state.leader_seen_since_start = true;
    assert!(!votes(&state, true));
    state.leader_seen_since_start = false;
    state.role = Role::Leader;
    assert!(!state.is_leaderless());
}

#[test]
fn a_replica_without_leader_contact_since_its_start_uses_the_first_election_timeout() {
    let timing = QuorumTiming::new();
    let before = Instant::now();
    let mut state = ReplicaState::new(NodeId(1), Some(7), &timing);
    let started = Instant::now();
    assert!(
        state.next_election_at
            <= started + timing.max_first_election_timeout + timing.heartbeat_interval
    );
    state.leader_seen_since_start = true;
    state.reset_election_timer(&timing);
    assert!(state.next_election_at >= before + timing.min_election_timeout);
}

fn member(id: u64) -> Member {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        id: NodeId(id),
        name: format!("control-{id}"),
        hall: "hall".to_owned(),
        peer: address,
        ops: address,
        replaces: None,
    }
}

/// Guards against a new leader that steps down before the first replies to its heartbeats can
/// arrive.
#[test]
fn a_new_leader_keeps_its_role_for_the_minimum_election_timeout() {
    let timing = QuorumTiming::new();
    let mut state = ReplicaState::new(NodeId(1), Some(7), &timing);
    state.members.voters = (1..=3).map(member).collect();
    state.start_leadership();
    let started = state.leading_since;
    assert!(!state.has_lost_majority(&timing, started));
    let just_before = started + (timing.min_election_timeout - Duration::from_millis(1));
    assert!(!state.has_lost_majority(&timing, just_before));
    assert!(state.has_lost_majority(&timing, started + timing.min_election_timeout));
    // It holds no lease until a majority has replied.
    assert!(!state.has_valid_lease(&timing));
}

/// Guards against stale reads after a suspend: the monotonic clock stops while a machine is
/// suspended, so a leader that was replaced meanwhile considered its lease valid and answered from
/// old state.
#[test]
fn a_lease_expires_while_the_machine_is_suspended() {
    let timing = QuorumTiming::new();
    let mut state = ReplicaState::new(NodeId(1), Some(7), &timing);
    state.role = Role::Leader;
    state.members.voters = (1..=3).map(member).collect();
    let sent = BootInstant::now();
    for peer in [2, 3] {
        let progress = PeerProgress {
            next_index: 1,
            match_index: 0,
            sent_commit: 0,
            last_ack_sent_at: Some(sent),
            started_at: sent,
        };
        state.progress.insert(NodeId(peer), progress);
    }
    assert!(state.has_valid_lease_at(&timing, sent + timing.lease_duration / 2));
    // The machine wakes up; no time has passed by the monotonic clock.
    let after_resume = sent + timing.min_election_timeout + timing.lease_duration;
    assert!(!state.has_valid_lease_at(&timing, after_resume));
    state.leading_since = sent;
    assert!(state.has_lost_majority(&timing, after_resume));
}

/// Leases use the clock that includes suspended time.
#[test]
fn leases_use_the_boot_time_clock() {
    use rustix::time::{ClockId, clock_gettime};
    let read = || {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    };
    let (before, instant, after) = (read(), BootInstant::now(), read());
    let at = |span: Duration| BootInstant::default() + span;
    assert!(at(before) <= instant && instant <= at(after));
}
