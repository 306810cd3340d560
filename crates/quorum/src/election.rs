//! Elections: when a voter stands, and when a leader gives up.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use linnet_clock::BootInstant;
use linnet_telemetry::EventCode;
use linnet_wire::{PeerGreeting, connect_peer};
use tokio::time::{sleep, timeout};

use crate::message::AddressedRequest;
use crate::replica::ReplicaShared;
use crate::{LogPosition, Member, PeerReply, PeerRequest, Role, VoteRequest, replicate};

/// How often the task looks at the clock.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Stands for election when no leader is heard, and steps down when no majority is.
pub(crate) async fn run_elections(shared: Arc<ReplicaShared>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        step_down_without_majority(&shared);
        if should_start_election(&shared) {
            run_election(&shared).await;
            shared.lock().reset_election_timer(&shared.timing);
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
    shared.notify_change();
}

fn should_start_election(shared: &ReplicaShared) -> bool {
    let state = shared.lock();
    let quiet = state.last_leader_contact.elapsed() >= shared.timing.min_election_timeout;
    let due = Instant::now() >= state.next_election_at;
    let may_be_leaderless = quiet || state.is_leaderless();
    state.role != Role::Leader && state.members.is_voter(state.own_id) && may_be_leaderless && due
}

async fn run_election(shared: &Arc<ReplicaShared>) {
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
    let answers = request_votes(shared, PeerRequest::PreVote(ahead)).await;
    if !answers.has_majority() {
        if !answers.is_leaderless() || !shared.lock().is_leaderless() {
            return;
        }
        ahead.leaderless = true;
        let answers = request_votes(shared, PeerRequest::PreVote(ahead)).await;
        if !answers.has_majority() {
            return;
        }
    }
    let Some(request) = vote_for_self(shared, ahead).await else {
        return;
    };
    let detail = format!("term={} leaderless={}", request.term, request.leaderless);
    shared
        .recorder
        .record(EventCode::ElectionStarted, "", detail);
    let answers = request_votes(shared, PeerRequest::Vote(request)).await;
    if answers.has_majority() {
        become_leader(shared, request.term).await;
    }
}

/// Votes for itself in a new term, durably, unless something changed since the pre-vote.
async fn vote_for_self(shared: &ReplicaShared, ahead: VoteRequest) -> Option<VoteRequest> {
    let (ticket, request) = {
        let mut state = shared.lock();
        let quiet = ahead.leaderless && state.is_leaderless();
        let heard =
            !quiet && state.last_leader_contact.elapsed() < shared.timing.min_election_timeout;
        if state.term + 1 != ahead.term || heard {
            return None;
        }
        let own_id = state.own_id;
        state.set_ballot(ahead.term, Some(own_id));
        state.role = Role::Candidate;
        let request = VoteRequest {
            last: state.log.last(),
            ..ahead
        };
        (state.flush(&shared.writer), request)
    };
    shared
        .wait_until_synced(ticket, LogPosition::default())
        .await
        .ok()?;
    Some(request)
}

async fn become_leader(shared: &Arc<ReplicaShared>, term: u64) {
    let (ticket, position) = {
        let mut state = shared.lock();
        if state.term != term || state.role != Role::Candidate {
            return;
        }
        state.start_leadership();
        (state.flush(&shared.writer), state.log.last())
    };
    shared
        .recorder
        .record(EventCode::LeaderElected, "", format!("term={term}"));
    replicate::start_peer_tasks(shared, term);
    shared.notify_change();
    let _ = shared.wait_until_synced(ticket, position).await;
}

/// What the voters answered in one round.
#[derive(Debug, Default)]
struct VoteRound {
    voters: usize,
    granted: usize,
    leaderless: usize,
}

impl VoteRound {
    fn has_majority(&self) -> bool {
        self.granted * 2 > self.voters
    }

    /// Says whether no voter can lead. A leader is a voter, and one whose lease lasts was heard by a
    /// majority, so none is left out here: a voter that did not answer may lead.
    fn is_leaderless(&self) -> bool {
        self.leaderless == self.voters
    }

    fn count(&mut self, answer: VoterReply) {
        self.voters += 1;
        self.granted += usize::from(answer.granted);
        self.leaderless += usize::from(answer.leaderless);
    }
}

/// What one voter answered; a voter that did not answer grants nothing.
#[derive(Debug, Clone, Copy, Default)]
struct VoterReply {
    granted: bool,
    leaderless: bool,
}

/// Asks every voter at once; this replica among them agrees with itself.
async fn request_votes(shared: &ReplicaShared, request: PeerRequest) -> VoteRound {
    let (own_id, voters, leaderless) = {
        let state = shared.lock();
        let voters = state.members.voters.clone();
        (state.own_id, voters, state.is_leaderless())
    };
    let others: Vec<_> = voters.iter().filter(|voter| voter.id != own_id).collect();
    let asked = others
        .iter()
        .map(|voter| request_vote(shared, voter, &request));
    let mut answers = VoteRound::default();
    for answer in join_all(asked).await {
        answers.count(answer);
    }
    if voters.iter().any(|voter| voter.id == own_id) {
        answers.count(VoterReply {
            granted: true,
            leaderless,
        });
    }
    answers
}

async fn request_vote(shared: &ReplicaShared, voter: &Member, request: &PeerRequest) -> VoterReply {
    let work = async {
        let (mut reader, mut writer) = connect_peer(&shared.identity, voter.peer).await.ok()?;
        let message = to_addressed_request(shared, voter, request.clone())?;
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
            observe_term(shared, term);
            VoterReply {
                granted,
                leaderless,
            }
        }
        // One whose disk was wiped is gone, and with it any lease that it held.
        Ok(Some(PeerReply::WrongReplica)) => VoterReply {
            granted: false,
            leaderless: true,
        },
        _ => VoterReply::default(),
    }
}

/// Enters a higher term that a peer told of.
pub(crate) fn observe_term(shared: &ReplicaShared, term: u64) {
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
    shared.notify_change();
}

/// Puts the address of a peer on a request; nothing before the replica has a cluster.
pub(crate) fn to_addressed_request(
    shared: &ReplicaShared,
    to: &Member,
    request: PeerRequest,
) -> Option<AddressedRequest> {
    let state = shared.lock();
    Some(AddressedRequest {
        cluster: state.cluster?,
        from: state.own_id,
        to: to.id,
        request,
    })
}

#[cfg(test)]
mod tests;
