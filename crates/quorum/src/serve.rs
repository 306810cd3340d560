//! Answers the requests of peers, one connection at a time.

use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_journal::CommitReceiver;
use linnet_telemetry::EventCode;
use linnet_wire::{PeerReader, PeerWriter, WireError};

use crate::message::Addressed;
use crate::replica::ReplicaShared;
use crate::state::ReplicaState;
use crate::storage::{StoredSnapshot, encode};
use crate::{
    LogEntry, LogPosition, Members, NodeId, PeerReply, PeerRequest, Replica, Role, VoteRequest,
    grant_vote,
};

/// A connection on which no byte passes for so long is closed; its leader is gone or cut off.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest snapshot that a peer may send, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 512 * 1024 * 1024;

/// The parts of a snapshot that have come on one connection.
#[derive(Default)]
struct SnapshotParts {
    last: LogPosition,
    bytes: Vec<u8>,
}

/// Serves agreement on an accepted connection until it ends.
///
/// # Errors
///
/// [`WireError`] of the connection.
pub async fn serve_peer(
    replica: &Replica,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let mut reader = reader.with_silence_timeout(IDLE_TIMEOUT);
    let mut writer = writer.with_silence_timeout(IDLE_TIMEOUT);
    let shared = &replica.shared;
    let mut parts = SnapshotParts::default();
    loop {
        let message: Addressed = reader.receive().await?;
        let reply = answer(shared, message, &mut parts).await;
        writer.send(&reply).await?;
    }
}

async fn answer(
    shared: &ReplicaShared,
    message: Addressed,
    parts: &mut SnapshotParts,
) -> PeerReply {
    if message.to != shared.lock().me {
        return PeerReply::OtherReplica;
    }
    if !admits(shared, &message) {
        return PeerReply::Refused;
    }
    let from = message.from;
    match message.request {
        PeerRequest::PreVote(request) => answer_pre_vote(shared, from, &request),
        PeerRequest::Vote(request) => answer_vote(shared, from, &request).await,
        PeerRequest::Heartbeat { term, commit } => answer_heartbeat(shared, from, term, commit),
        PeerRequest::Append {
            term,
            previous,
            entries,
            commit,
        } => answer_append(shared, from, term, previous, entries, commit).await,
        PeerRequest::Install {
            term,
            last,
            members,
            offset,
            part,
            done,
        } => {
            if !take_part(parts, last, offset, part) {
                return PeerReply::Refused;
            }
            if !hear_leader(shared, from, term) {
                return stale_reply(shared);
            }
            if !done {
                return PeerReply::Alive { term };
            }
            let bytes = std::mem::take(&mut parts.bytes);
            install(shared, term, last, members, bytes).await
        }
    }
}

// A blank replica takes the cluster of the first leader that calls it by its identity: only an
// operator who read that identity can have made it a member.
fn admits(shared: &ReplicaShared, message: &Addressed) -> bool {
    let mut state = shared.lock();
    let from_leader = !matches!(
        message.request,
        PeerRequest::PreVote(_) | PeerRequest::Vote(_)
    );
    match state.cluster {
        Some(cluster) => cluster == message.cluster,
        None if from_leader => shared.join_cluster(&mut state, message.cluster).is_ok(),
        None => false,
    }
}

fn answer_pre_vote(shared: &ReplicaShared, from: NodeId, request: &VoteRequest) -> PeerReply {
    let state = shared.lock();
    let mut facts = state.vote_facts(&shared.timing, request.leaderless);
    // A pre-vote asks about a term that the voter has not entered, so its vote there is free.
    facts.vote = None;
    let granted = request.term > state.term && grant_vote(&facts, request.term, from, request.last);
    PeerReply::Vote {
        term: state.term,
        granted,
        leaderless: state.is_leaderless(),
    }
}

async fn answer_vote(shared: &ReplicaShared, from: NodeId, request: &VoteRequest) -> PeerReply {
    let (ticket, term, granted, leaderless) = {
        let mut state = shared.lock();
        let facts = state.vote_facts(&shared.timing, request.leaderless);
        let granted = grant_vote(&facts, request.term, from, request.last);
        if request.term > state.term && !facts.lease_may_last {
            state.step_down(request.term, &shared.timing);
        }
        if granted {
            state.set_ballot(request.term, Some(from));
            state.put_off_election(&shared.timing);
        }
        let ticket = state.flush(&shared.writer);
        (ticket, state.term, granted, state.is_leaderless())
    };
    match shared.await_synced(ticket, LogPosition::default()).await {
        Ok(()) => PeerReply::Vote {
            term,
            granted,
            leaderless,
        },
        Err(_) => PeerReply::Refused,
    }
}

/// Takes note of a leader; false when its term is over.
fn hear_leader(shared: &ReplicaShared, leader: NodeId, term: u64) -> bool {
    let mut state = shared.lock();
    if term < state.term {
        return false;
    }
    if term > state.term || state.role != Role::Follower {
        state.step_down(term, &shared.timing);
    }
    state.leader = Some(leader);
    state.leader_heard = BootInstant::now();
    state.heard_since_start = true;
    state.put_off_election(&shared.timing);
    true
}

fn stale_reply(shared: &ReplicaShared) -> PeerReply {
    PeerReply::Alive {
        term: shared.lock().term,
    }
}

fn answer_heartbeat(shared: &ReplicaShared, from: NodeId, term: u64, commit: u64) -> PeerReply {
    if hear_leader(shared, from, term) && shared.lock().follow_commit(commit) {
        shared.bump();
    }
    stale_reply(shared)
}

async fn answer_append(
    shared: &ReplicaShared,
    from: NodeId,
    term: u64,
    previous: LogPosition,
    entries: Vec<LogEntry>,
    commit: u64,
) -> PeerReply {
    if !hear_leader(shared, from, term) {
        let state = shared.lock();
        return PeerReply::Mismatch {
            term: state.term,
            next: state.log.last().index + 1,
        };
    }
    let (ticket, matched) = {
        let mut state = shared.lock();
        if state.term != term {
            return PeerReply::Refused;
        }
        if let Some(next) = mismatch(&state, previous) {
            return PeerReply::Mismatch { term, next };
        }
        let Some(matched) = take_entries(&mut state, previous, entries) else {
            return PeerReply::Refused;
        };
        (state.flush(&shared.writer), matched)
    };
    if shared.await_synced(ticket, matched).await.is_err() {
        return PeerReply::Refused;
    }
    let mut state = shared.lock();
    if state.term != term {
        return PeerReply::Refused;
    }
    // An earlier connection may still wait for the sync of entries before these.
    if state.synced < matched.index {
        return PeerReply::Refused;
    }
    state.verified = state.verified.max(matched.index);
    let moved = state.follow_commit(commit);
    drop(state);
    if moved {
        shared.bump();
    }
    PeerReply::Matched {
        term,
        index: matched.index,
    }
}

/// Returns the index to try from when the log does not hold a position.
fn mismatch(state: &ReplicaState, previous: LogPosition) -> Option<u64> {
    let base = state.log.base().index;
    if previous.index < base {
        return Some(base + 1);
    }
    match state.log.term_at(previous.index) {
        Some(term) if term == previous.term => None,
        Some(term) => Some(first_of_term(state, term, previous.index).max(base + 1)),
        None => Some(state.log.last().index + 1),
    }
}

// Going back a whole term at a time finds the place where the logs agree in few steps.
fn first_of_term(state: &ReplicaState, term: u64, index: u64) -> u64 {
    let mut first = index;
    while first > 1 && state.log.term_at(first - 1) == Some(term) {
        first -= 1;
    }
    first
}

/// Appends entries after an agreed position; returns the last position that now agrees.
///
/// Invariant: a committed entry is never dropped. A leader that would need it is refused.
fn take_entries(
    state: &mut ReplicaState,
    previous: LogPosition,
    entries: Vec<LogEntry>,
) -> Option<LogPosition> {
    let mut matched = previous;
    for entry in entries {
        let position = LogPosition {
            term: entry.term,
            index: entry.index,
        };
        if entry.index != matched.index + 1 {
            return None;
        }
        match state.log.term_at(entry.index) {
            Some(term) if term == entry.term => {}
            Some(_) if entry.index <= state.commit => return None,
            Some(_) => {
                state.truncate_from(entry.index);
                state.append_entry(entry);
            }
            None => state.append_entry(entry),
        }
        matched = position;
    }
    Some(matched)
}

fn take_part(parts: &mut SnapshotParts, last: LogPosition, offset: u64, part: Vec<u8>) -> bool {
    if offset == 0 {
        parts.last = last;
        parts.bytes.clear();
    }
    let in_order = parts.last == last && parts.bytes.len() as u64 == offset;
    if !in_order || parts.bytes.len() + part.len() > MAX_SNAPSHOT_BYTES {
        return false;
    }
    parts.bytes.extend(part);
    true
}

async fn install(
    shared: &ReplicaShared,
    term: u64,
    last: LogPosition,
    members: Members,
    bytes: Vec<u8>,
) -> PeerReply {
    let ticket: CommitReceiver = {
        let mut state = shared.lock();
        if state.term != term {
            return PeerReply::Refused;
        }
        if last.index <= state.commit {
            let next = state.commit + 1;
            return PeerReply::Mismatch { term, next };
        }
        let snapshot = StoredSnapshot {
            last,
            members: members.clone(),
            log_base: last,
            base_members: members.clone(),
            state: bytes.clone(),
        };
        state.reset_to(last, members);
        let ballot = state.ballot_record();
        shared.writer.compact(encode(&snapshot), vec![ballot])
    };
    if !matches!(ticket.await, Ok(Ok(()))) {
        // Memory is ahead of the disk now. The next start reads the old state, and the leader
        // sends the snapshot again; going on would put entries behind a gap.
        shared.note_refusal("a snapshot could not be written; the process ends");
        std::process::exit(1);
    }
    {
        let mut machine = shared.lock_machine();
        if machine.applied.index < last.index {
            (machine.hooks.restore)(&bytes);
            machine.applied = last;
        }
    }
    let detail = format!("last={}", last.index);
    shared
        .recorder
        .record(EventCode::SnapshotInstalled, "", detail);
    shared.bump();
    PeerReply::Matched {
        term,
        index: last.index,
    }
}
