use super::*;
use crate::state::{PeerProgress, ReplicaState};
use crate::{NodeId, QuorumTiming, grant_vote};
use linnet_clock::BootInstant;

fn answers(given: &[(bool, bool)]) -> VoteRound {
    let mut answers = VoteRound::default();
    for (granted, leaderless) in given {
        answers.count(VoterReply {
            granted: *granted,
            leaderless: *leaderless,
        });
    }
    answers
}

#[test]
fn a_round_is_leaderless_only_where_every_voter_says_so() {
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
        let answers = answers(&given);
        assert_eq!(answers.has_majority(), majority, "{given:?}");
        assert_eq!(answers.is_leaderless(), leaderless, "{given:?}");
    }
}

#[test]
fn a_replica_that_started_a_moment_ago_votes_only_where_all_are_leaderless() {
    let timing = QuorumTiming::new();
    let mut state = ReplicaState::new(NodeId(1), Some(7), &timing);
    let votes = |state: &ReplicaState, leaderless: bool| {
        let facts = state.vote_facts(&timing, leaderless);
        grant_vote(&facts, 1, NodeId(2), LogPosition::default())
    };
    assert!(!votes(&state, false));
    assert!(votes(&state, true));
    // It has heard a leader, whose lease may last whatever the others said a moment ago.
    state.leader_seen_since_start = true;
    assert!(!votes(&state, true));
    state.leader_seen_since_start = false;
    state.role = Role::Leader;
    assert!(!state.is_leaderless());
}

#[test]
fn a_replica_that_has_heard_no_leader_since_its_start_stands_early() {
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

/// Leaders stepped down before the first answer to their heartbeats could be there.
#[test]
fn a_leader_that_has_just_begun_is_given_the_time_that_others_wait() {
    let timing = QuorumTiming::new();
    let mut state = ReplicaState::new(NodeId(1), Some(7), &timing);
    state.members.voters = (1..=3).map(member).collect();
    state.start_leadership();
    let began = state.leading_since;
    assert!(!state.has_lost_majority(&timing, began));
    let nearly = began + (timing.min_election_timeout - Duration::from_millis(1));
    assert!(!state.has_lost_majority(&timing, nearly));
    assert!(state.has_lost_majority(&timing, began + timing.min_election_timeout));
    // It still holds no lease until a majority has answered.
    assert!(!state.has_valid_lease(&timing));
}

/// A leader whose machine was suspended while another one was elected believed its lease to last, since the
/// steady clock stands still meanwhile, and answered with what it held before.
#[test]
fn a_lease_ends_while_the_machine_is_suspended() {
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
    // It wakes up; for the steady clock no time has passed.
    let awake = sent + timing.min_election_timeout + timing.lease_duration;
    assert!(!state.has_valid_lease_at(&timing, awake));
    state.leading_since = sent;
    assert!(state.has_lost_majority(&timing, awake));
}

/// The clock of leases is the one that counts suspended time.
#[test]
fn leases_are_measured_by_the_time_since_the_machine_started() {
    use rustix::time::{ClockId, clock_gettime};
    let read = || {
        let time = clock_gettime(ClockId::Boottime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    };
    let (before, instant, after) = (read(), BootInstant::now(), read());
    let at = |span: Duration| BootInstant::default() + span;
    assert!(at(before) <= instant && instant <= at(after));
}
