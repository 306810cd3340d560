//! Elections: when a voter stands, and when a leader gives up.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use linnet_clock::BootInstant;
use linnet_telemetry::EventCode;
use linnet_wire::{PeerGreeting, connect_peer};
use tokio::time::{sleep, timeout};

use crate::message::Addressed;
use crate::replica::ReplicaShared;
use crate::{LogPosition, Member, PeerReply, PeerRequest, Role, VoteRequest, replicate};

/// How often the task looks at the clock.
const TICK: Duration = Duration::from_millis(20);

/// Stands for election when no leader is heard, and steps down when no majority is.
pub(crate) async fn run_elections(shared: Arc<ReplicaShared>) {
    loop {
        sleep(TICK).await;
        step_down_without_majority(&shared);
        if should_stand(&shared) {
            stand(&shared).await;
            shared.lock().put_off_election(&shared.timing);
        }
    }
}

fn step_down_without_majority(shared: &ReplicaShared) {
    let mut state = shared.lock();
    if !state.has_lost_majority(&shared.timing, BootInstant::now()) {
        return;
    }
    let term = state.term;
    state.step_down(term, &shared.timing);
    drop(state);
    let detail = format!("term={term} cause=no majority within the lease");
    shared
        .recorder
        .record(EventCode::LeaderSteppedDown, "", detail);
    shared.bump();
}

fn should_stand(shared: &ReplicaShared) -> bool {
    let state = shared.lock();
    let quiet = state.leader_heard.elapsed() >= shared.timing.election_min;
    let due = Instant::now() >= state.election_due;
    let may_be_leaderless = quiet || state.is_leaderless();
    state.role != Role::Leader && state.members.is_voter(state.me) && may_be_leaderless && due
}

async fn stand(shared: &Arc<ReplicaShared>) {
    // A pre-vote changes nothing anywhere: a voter that is cut off cannot drive the term up and
    // unseat a leader when it returns.
    let mut ahead = {
        let state = shared.lock();
        VoteRequest {
            term: state.term + 1,
            last: state.log.last(),
            leaderless: false,
        }
    };
    let answers = ask_all(shared, PeerRequest::PreVote(ahead)).await;
    if !answers.has_majority() {
        if !answers.is_leaderless() || !shared.lock().is_leaderless() {
            return;
        }
        ahead.leaderless = true;
        let answers = ask_all(shared, PeerRequest::PreVote(ahead)).await;
        if !answers.has_majority() {
            return;
        }
    }
    let Some(request) = enter_term(shared, ahead).await else {
        return;
    };
    let detail = format!("term={} leaderless={}", request.term, request.leaderless);
    shared
        .recorder
        .record(EventCode::ElectionStarted, "", detail);
    let answers = ask_all(shared, PeerRequest::Vote(request)).await;
    if answers.has_majority() {
        lead(shared, request.term).await;
    }
}

/// Votes for itself in a new term, durably, unless something changed since the pre-vote.
async fn enter_term(shared: &ReplicaShared, ahead: VoteRequest) -> Option<VoteRequest> {
    let (ticket, request) = {
        let mut state = shared.lock();
        let quiet = ahead.leaderless && state.is_leaderless();
        let heard = !quiet && state.leader_heard.elapsed() < shared.timing.election_min;
        if state.term + 1 != ahead.term || heard {
            return None;
        }
        let me = state.me;
        state.set_ballot(ahead.term, Some(me));
        state.role = Role::Candidate;
        let request = VoteRequest {
            last: state.log.last(),
            ..ahead
        };
        (state.flush(&shared.writer), request)
    };
    shared
        .await_synced(ticket, LogPosition::default())
        .await
        .ok()?;
    Some(request)
}

async fn lead(shared: &Arc<ReplicaShared>, term: u64) {
    let (ticket, position) = {
        let mut state = shared.lock();
        if state.term != term || state.role != Role::Candidate {
            return;
        }
        state.begin_leading();
        (state.flush(&shared.writer), state.log.last())
    };
    shared
        .recorder
        .record(EventCode::LeaderElected, "", format!("term={term}"));
    replicate::start_peers(shared, term);
    shared.bump();
    let _ = shared.await_synced(ticket, position).await;
}

/// What the voters answered in one round.
#[derive(Debug, Default)]
struct RoundAnswers {
    voters: usize,
    granted: usize,
    leaderless: usize,
}

impl RoundAnswers {
    fn has_majority(&self) -> bool {
        self.granted * 2 > self.voters
    }

    /// Says whether no voter can lead. A leader is a voter, and one whose lease lasts was heard by a
    /// majority, so none is left out here: a voter that did not answer may lead.
    fn is_leaderless(&self) -> bool {
        self.leaderless == self.voters
    }

    fn count(&mut self, answer: VoterAnswer) {
        self.voters += 1;
        self.granted += usize::from(answer.granted);
        self.leaderless += usize::from(answer.leaderless);
    }
}

/// What one voter answered; a voter that did not answer grants nothing.
#[derive(Debug, Clone, Copy, Default)]
struct VoterAnswer {
    granted: bool,
    leaderless: bool,
}

/// Asks every voter at once; this replica among them agrees with itself.
async fn ask_all(shared: &ReplicaShared, request: PeerRequest) -> RoundAnswers {
    let (me, voters, leaderless) = {
        let state = shared.lock();
        let voters = state.members.voters.clone();
        (state.me, voters, state.is_leaderless())
    };
    let others: Vec<_> = voters.iter().filter(|voter| voter.id != me).collect();
    let asked = others.iter().map(|voter| ask_vote(shared, voter, &request));
    let mut answers = RoundAnswers::default();
    for answer in join_all(asked).await {
        answers.count(answer);
    }
    if voters.iter().any(|voter| voter.id == me) {
        answers.count(VoterAnswer {
            granted: true,
            leaderless,
        });
    }
    answers
}

async fn ask_vote(shared: &ReplicaShared, voter: &Member, request: &PeerRequest) -> VoterAnswer {
    let work = async {
        let (mut reader, mut writer) = connect_peer(&shared.identity, voter.peer).await.ok()?;
        let message = address_request(shared, voter, request.clone())?;
        writer.send(&PeerGreeting::Quorum).await.ok()?;
        writer.send(&message).await.ok()?;
        reader.receive::<PeerReply>().await.ok()
    };
    match timeout(shared.timing.vote_timeout, work).await {
        Ok(Some(PeerReply::Vote {
            term,
            granted,
            leaderless,
        })) => {
            note_term(shared, term);
            VoterAnswer {
                granted,
                leaderless,
            }
        }
        // One whose disk was wiped is gone, and with it any lease that it held.
        Ok(Some(PeerReply::OtherReplica)) => VoterAnswer {
            granted: false,
            leaderless: true,
        },
        _ => VoterAnswer::default(),
    }
}

/// Enters a higher term that a peer told of.
pub(crate) fn note_term(shared: &ReplicaShared, term: u64) {
    let mut state = shared.lock();
    if term <= state.term {
        return;
    }
    let led = state.role == Role::Leader;
    state.step_down(term, &shared.timing);
    // The new term reaches the journal with the next records, before any answer that rests on it.
    drop(state);
    if led {
        let detail = format!("term={term} cause=a higher term");
        shared
            .recorder
            .record(EventCode::LeaderSteppedDown, "", detail);
    }
    shared.bump();
}

/// Puts the address of a peer on a request; nothing before the replica has a cluster.
pub(crate) fn address_request(
    shared: &ReplicaShared,
    to: &Member,
    request: PeerRequest,
) -> Option<Addressed> {
    let state = shared.lock();
    Some(Addressed {
        cluster: state.cluster?,
        from: state.me,
        to: to.id,
        request,
    })
}

#[cfg(test)]
mod tests;
