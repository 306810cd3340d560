use super::*;
use crate::state::ReplicaState;
use crate::{NodeId, QuorumTiming, grant_vote};

fn answers(given: &[(bool, bool)]) -> RoundAnswers {
    let mut answers = RoundAnswers::default();
    for (granted, leaderless) in given {
        answers.count(VoterAnswer {
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
    state.heard_since_start = true;
    assert!(!votes(&state, true));
    state.heard_since_start = false;
    state.role = Role::Leader;
    assert!(!state.is_leaderless());
}

#[test]
fn a_replica_that_has_heard_no_leader_since_its_start_stands_early() {
    let timing = QuorumTiming::new();
    let mut state = ReplicaState::new(NodeId(1), Some(7), &timing);
    let started = state.leader_heard;
    assert!(state.election_due <= started + timing.first_election_max + timing.heartbeat);
    state.heard_since_start = true;
    state.put_off_election(&timing);
    assert!(state.election_due >= started + timing.election_min);
}

/// Leaders stepped down before the first answer to their heartbeats could be there.
#[test]
fn a_leader_that_has_just_begun_is_given_the_time_that_others_wait() {
    let timing = QuorumTiming::new();
    let mut state = ReplicaState::new(NodeId(1), Some(7), &timing);
    for id in 1..=3 {
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        state.members.voters.push(Member {
            id: NodeId(id),
            name: format!("control-{id}"),
            hall: "hall".to_owned(),
            peer: address,
            ops: address,
            replaces: None,
        });
    }
    state.begin_leading();
    let began = state.leading_since;
    assert!(!state.has_lost_majority(&timing, began));
    let nearly = began + timing.election_min - Duration::from_millis(1);
    assert!(!state.has_lost_majority(&timing, nearly));
    assert!(state.has_lost_majority(&timing, began + timing.election_min));
    // It still holds no lease until a majority has answered.
    assert!(!state.lease_lasts(&timing));
}
