//! Elections: when a voter becomes a candidate, and when a leader steps down.

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

/// Interval between checks of the election timer.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Starts an election if there was no contact with a leader, and steps down if the majority is
/// lost.
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
    let detail = format!(
        "term={term} cause=no reply from a majority within {} ms",
        shared.timing.min_election_timeout.as_millis()
    );
    shared
        .recorder
        .record(EventCode::LeaderSteppedDown, "", detail);
    shared.notify_change();
}

fn should_start_election(shared: &ReplicaShared) -> bool {
    let state = shared.lock();
    let no_leader = state.last_leader_contact.elapsed() >= shared.timing.min_election_timeout;
    let is_timer_due = Instant::now() >= state.next_election_at;
    let may_be_leaderless = no_leader || state.is_leaderless();
    state.role != Role::Leader
        && state.members.is_voter(state.own_id)
        && may_be_leaderless
        && is_timer_due
}

async fn run_election(shared: &Arc<ReplicaShared>) {
    // A pre-vote changes no state, so a partitioned voter cannot raise the term and depose the
    // leader when it reconnects.
    let mut proposed = {
        let state = shared.lock();
        VoteRequest {
            term: state.term + 1,
            last: state.log.last(),
            leaderless: false,
        }
    };
    let round = request_votes(shared, PeerRequest::PreVote(proposed)).await;
    if !round.has_majority() {
        if !round.is_leaderless() || !shared.lock().is_leaderless() {
            return;
        }
        proposed.leaderless = true;
        let round = request_votes(shared, PeerRequest::PreVote(proposed)).await;
        if !round.has_majority() {
            return;
        }
    }
    let Some(request) = vote_for_self(shared, proposed).await else {
        return;
    };
    let detail = format!("term={} leaderless={}", request.term, request.leaderless);
    shared
        .recorder
        .record(EventCode::ElectionStarted, "", detail);
    let round = request_votes(shared, PeerRequest::Vote(request)).await;
    if round.has_majority() {
        become_leader(shared, request.term).await;
    }
}

/// Durably votes for itself in a new term, unless something changed since the pre-vote.
async fn vote_for_self(shared: &ReplicaShared, proposed: VoteRequest) -> Option<VoteRequest> {
    let (ticket, request) = {
        let mut state = shared.lock();
        let no_leader = proposed.leaderless && state.is_leaderless();
        let has_contact =
            !no_leader && state.last_leader_contact.elapsed() < shared.timing.min_election_timeout;
        if state.term + 1 != proposed.term || has_contact {
            return None;
        }
        let own_id = state.own_id;
        state.set_ballot(proposed.term, Some(own_id));
        state.role = Role::Candidate;
        let request = VoteRequest {
            last: state.log.last(),
            ..proposed
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

/// The replies of the voters in one round.
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

    /// Returns whether no voter can be the leader. A leader is itself a voter, and one with a valid
    /// lease was in contact with a majority, so every voter must reply: one that did not may be the
    /// leader.
    fn is_leaderless(&self) -> bool {
        self.leaderless == self.voters
    }

    fn add(&mut self, reply: VoterReply) {
        self.voters += 1;
        self.granted += usize::from(reply.granted);
        self.leaderless += usize::from(reply.leaderless);
    }
}

/// The reply of one voter; a missing reply grants nothing.
#[derive(Debug, Clone, Copy, Default)]
struct VoterReply {
    granted: bool,
    leaderless: bool,
}

/// Requests votes from all voters concurrently; this replica votes for itself if it is a voter.
async fn request_votes(shared: &ReplicaShared, request: PeerRequest) -> VoteRound {
    let (own_id, voters, leaderless) = {
        let state = shared.lock();
        let voters = state.members.voters.clone();
        (state.own_id, voters, state.is_leaderless())
    };
    let others: Vec<_> = voters.iter().filter(|voter| voter.id != own_id).collect();
    let requests = others
        .iter()
        .map(|voter| request_vote(shared, voter, &request));
    let mut round = VoteRound::default();
    for reply in join_all(requests).await {
        round.add(reply);
    }
    if voters.iter().any(|voter| voter.id == own_id) {
        round.add(VoterReply {
            granted: true,
            leaderless,
        });
    }
    round
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
        // A replica whose disk was wiped no longer exists, and neither does any lease that it held.
        Ok(Some(PeerReply::WrongReplica)) => VoterReply {
            granted: false,
            leaderless: true,
        },
        _ => VoterReply::default(),
    }
}

/// Enters a higher term that a peer reported.
pub(crate) fn observe_term(shared: &ReplicaShared, term: u64) {
    let mut state = shared.lock();
    if term <= state.term {
        return;
    }
    let led = state.role == Role::Leader;
    state.step_down(term, &shared.timing);
    // The new term is written to the journal with the next records, before any reply that depends
    // on it.
    drop(state);
    if led {
        let detail = format!("term={term} cause=higher term received");
        shared
            .recorder
            .record(EventCode::LeaderSteppedDown, "", detail);
    }
    shared.notify_change();
}

/// Addresses a request to a peer; `None` before the replica has joined a cluster.
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
