//! Tests of the rules of voting, commit and lease over many inputs and many orders of steps.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use linnet_quorum::{LogPosition, NodeId, VoterState, grant_vote, quorum_index, quorum_instant};
use proptest::prelude::*;

/// Covers every combination of a voter's state and a request, with small numbers.
#[test]
fn a_vote_requires_an_up_to_date_log_an_unused_vote_and_no_lease() {
    let mut granted = 0;
    for case in 0..4_u64.pow(7) * 2 {
        let digit = |place: u32| case / 2 / 4_u64.pow(place) % 4;
        let candidate = NodeId(digit(6));
        let state = VoterState {
            term: digit(0),
            voted_for: (digit(1) > 0).then(|| NodeId(digit(1))),
            last: LogPosition {
                term: digit(2),
                index: digit(3),
            },
            lease_may_last: case % 2 == 1,
        };
        let (term, last) = (
            digit(4),
            LogPosition {
                term: digit(5),
                index: digit(3) / 2,
            },
        );
        if !grant_vote(&state, term, candidate, last) {
            continue;
        }
        granted += 1;
        assert!(!state.lease_may_last);
        assert!(term >= state.term);
        assert!((last.term, last.index) >= (state.last.term, state.last.index));
        if term == state.term {
            assert!(state.voted_for.is_none_or(|vote| vote == candidate));
        }
    }
    assert!(granted > 1_000, "{granted}");
}

proptest! {
    #[test]
    fn the_quorum_index_is_the_greatest_index_synced_by_a_majority(synced in prop::collection::vec(0..20_u64, 1..8)) {
        let index = quorum_index(synced.clone());
        let holders = |at: u64| synced.iter().filter(|own| **own >= at).count();
        prop_assert!(holders(index) * 2 > synced.len());
        prop_assert!(holders(index + 1) * 2 <= synced.len());
    }

    #[test]
    fn a_lease_starts_at_the_sending_time_acknowledged_by_a_majority(ages in prop::collection::vec(prop::option::of(0..50_u64), 1..8)) {
        let now = Instant::now() + Duration::from_secs(1);
        let acknowledged: Vec<_> = ages.iter().map(|age| age.map(|age| now - Duration::from_millis(age))).collect();
        let instant = quorum_instant(acknowledged.clone());
        let within = acknowledged.iter().filter(|own| instant.is_some() && **own >= instant).count();
        match instant {
            Some(_) => prop_assert!(within * 2 > ages.len()),
            None => prop_assert!(ages.iter().flatten().count() * 2 <= ages.len()),
        }
    }
}

/// A voter of the model; holds only synced state.
#[derive(Debug, Clone, Default)]
struct ModelVoter {
    term: u64,
    vote: Option<NodeId>,
    /// The term of each entry; an entry is identified by its index and term.
    log: Vec<u64>,
    leading_term: Option<u64>,
    match_index: Vec<u64>,
}

impl ModelVoter {
    fn last(&self) -> LogPosition {
        LogPosition {
            term: self.log.last().copied().unwrap_or(0),
            index: self.log.len() as u64,
        }
    }
}

#[derive(Debug, Clone)]
enum ModelStep {
    /// A voter starts an election; the bits identify the voters that its requests reach.
    StartElection(usize, u8),
    /// A leader appends an entry.
    Append(usize),
    /// A leader replicates its log to a voter.
    Replicate(usize, usize),
}

fn model_steps() -> impl Strategy<Value = Vec<ModelStep>> {
    let voter = 0..5_usize;
    let step = prop_oneof![
        1 => (voter.clone(), any::<u8>()).prop_map(|(who, reach)| ModelStep::StartElection(who, reach)),
        2 => voter.clone().prop_map(ModelStep::Append),
        4 => (voter.clone(), voter).prop_map(|(from, to)| ModelStep::Replicate(from, to)),
    ];
    prop::collection::vec(step, 1..120)
}

fn run_election(voters: &mut [ModelVoter], who: usize, reach: u8) {
    let term = voters[who].term + 1;
    let last = voters[who].last();
    let own_id = NodeId(who as u64);
    let mut votes = 0;
    for (number, voter) in voters.iter_mut().enumerate() {
        let reached = number == who || reach & (1 << number) != 0;
        if !reached {
            continue;
        }
        let state = VoterState {
            term: voter.term,
            voted_for: voter.vote,
            last: voter.last(),
            lease_may_last: false,
        };
        let granted = grant_vote(&state, term, own_id, last);
        if term > voter.term {
            voter.term = term;
            voter.vote = None;
            voter.leading_term = None;
        }
        if granted {
            voter.vote = Some(own_id);
            votes += 1;
        }
    }
    if votes * 2 > voters.len() {
        voters[who].leading_term = Some(term);
        voters[who].log.push(term);
        voters[who].match_index = vec![0; voters.len()];
    }
}

fn replicate(voters: &mut [ModelVoter], from: usize, to: usize) {
    let Some(term) = voters[from].leading_term else {
        return;
    };
    if from == to || voters[to].term > term {
        return;
    }
    let log = voters[from].log.clone();
    voters[from].match_index[to] = log.len() as u64;
    let peer = &mut voters[to];
    if term > peer.term {
        peer.term = term;
        peer.vote = None;
    }
    peer.leading_term = None;
    peer.log = log;
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// In any order of elections, appends and replication, no term has two leaders, and a committed
    /// entry is in the log of every later leader.
    #[test]
    fn committed_entries_survive_every_election(count in 3..=5_usize, steps in model_steps()) {
        let mut voters = vec![ModelVoter::default(); count];
        let mut committed: Vec<u64> = Vec::new();
        let mut committed_term = 0;
        let mut leaders = std::collections::HashMap::new();
        for step in steps {
            match step {
                ModelStep::StartElection(who, reach) => run_election(&mut voters, who % count, reach),
                ModelStep::Append(who) => {
                    let voter = &mut voters[who % count];
                    if let Some(term) = voter.leading_term {
                        voter.log.push(term);
                    }
                }
                ModelStep::Replicate(from, to) => replicate(&mut voters, from % count, to % count),
            }
            for (number, voter) in voters.iter().enumerate() {
                let Some(term) = voter.leading_term else { continue };
                prop_assert_eq!(*leaders.entry(term).or_insert(number), number);
                let mut synced = voter.match_index.clone();
                synced[number] = voter.log.len() as u64;
                let index = quorum_index(synced) as usize;
                let own_term = index > 0 && voter.log[index - 1] == term;
                // A leader of an earlier term may not yet know that it was replaced; every leader
                // of the term of the last commit or a later one has all committed entries.
                if term >= committed_term {
                    prop_assert!(voter.log.len() >= committed.len());
                    prop_assert_eq!(&voter.log[..committed.len()], &committed[..]);
                }
                if own_term && index > committed.len() {
                    prop_assert!(term >= committed_term);
                    committed_term = term;
                    committed = voter.log[..index].to_vec();
                } else if own_term {
                    prop_assert_eq!(&voter.log[..index], &committed[..index]);
                }
            }
        }
    }
}
