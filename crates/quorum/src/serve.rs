//! Serves the requests of peers, one connection at a time.

use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_journal::CommitReceiver;
use linnet_telemetry::EventCode;
use linnet_wire::{PeerReader, PeerWriter, WireError};

use crate::message::AddressedRequest;
use crate::replica::ReplicaShared;
use crate::state::ReplicaState;
use crate::storage::{StoredSnapshot, encode};
use crate::{
    LogEntry, LogPosition, Members, NodeId, PeerReply, PeerRequest, Replica, Role, VoteRequest,
    grant_vote,
};

/// A connection without traffic for this time is closed; the leader has stopped or is partitioned.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a received snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 512 * 1024 * 1024;

/// The chunks of a snapshot received on one connection.
#[derive(Default)]
struct SnapshotBuffer {
    last: LogPosition,
    bytes: Vec<u8>,
}

/// Serves the consensus protocol on an accepted connection until it ends.
///
/// # Errors
///
/// [`WireError`] of the connection.
pub async fn serve_peer(
    replica: &Replica,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let mut reader = reader.with_silence_timeout(CONNECTION_IDLE_TIMEOUT);
    let mut writer = writer.with_silence_timeout(CONNECTION_IDLE_TIMEOUT);
    let shared = &replica.shared;
    let mut buffer = SnapshotBuffer::default();
    loop {
        let message: AddressedRequest = reader.receive().await?;
        let reply = handle_request(shared, message, &mut buffer).await;
        writer.send(&reply).await?;
    }
}

async fn handle_request(
    shared: &ReplicaShared,
    message: AddressedRequest,
    buffer: &mut SnapshotBuffer,
) -> PeerReply {
    if message.to != shared.lock().own_id {
        return PeerReply::WrongReplica;
    }
    if !accepts_cluster(shared, &message) {
        return PeerReply::Refused;
    }
    let from = message.from;
    match message.request {
        PeerRequest::PreVote(request) => handle_pre_vote(shared, from, &request),
        PeerRequest::Vote(request) => handle_vote(shared, from, &request).await,
        PeerRequest::Heartbeat { term, commit } => handle_heartbeat(shared, from, term, commit),
        PeerRequest::AppendEntries {
            term,
            previous,
            entries,
            commit,
        } => handle_append_entries(shared, from, term, previous, entries, commit).await,
        PeerRequest::InstallSnapshot {
            term,
            last,
            members,
            offset,
            chunk,
            done,
        } => {
            if !append_chunk(buffer, last, offset, chunk) {
                return PeerReply::Refused;
            }
            if !record_leader_contact(shared, from, term) {
                return current_term_reply(shared);
            }
            if !done {
                return PeerReply::Acknowledged { term };
            }
            let bytes = std::mem::take(&mut buffer.bytes);
            install_snapshot(shared, term, last, members, bytes).await
        }
    }
}

// A blank replica joins the cluster of the first leader that addresses it by its identity: a leader
// addresses only members, which were added under their identity by an operator or on their own
// request.
fn accepts_cluster(shared: &ReplicaShared, message: &AddressedRequest) -> bool {
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

fn handle_pre_vote(shared: &ReplicaShared, from: NodeId, request: &VoteRequest) -> PeerReply {
    let state = shared.lock();
    let mut voter = state.voter_state(&shared.timing, request.leaderless);
    // A pre-vote is for a term that the voter has not entered, so it has not voted in it.
    voter.voted_for = None;
    let granted = request.term > state.term && grant_vote(&voter, request.term, from, request.last);
    PeerReply::Vote {
        term: state.term,
        granted,
        leaderless: state.is_leaderless(),
    }
}

async fn handle_vote(shared: &ReplicaShared, from: NodeId, request: &VoteRequest) -> PeerReply {
    let (ticket, term, granted, leaderless) = {
        let mut state = shared.lock();
        let voter = state.voter_state(&shared.timing, request.leaderless);
        let granted = grant_vote(&voter, request.term, from, request.last);
        if request.term > state.term && !voter.lease_may_last {
            state.step_down(request.term, &shared.timing);
        }
        if granted {
            state.set_ballot(request.term, Some(from));
            state.reset_election_timer(&shared.timing);
        }
        let ticket = state.flush(&shared.writer);
        (ticket, state.term, granted, state.is_leaderless())
    };
    match shared
        .wait_until_synced(ticket, LogPosition::default())
        .await
    {
        Ok(()) => PeerReply::Vote {
            term,
            granted,
            leaderless,
        },
        Err(_) => PeerReply::Refused,
    }
}

/// Records contact with a leader; returns false if its term is over.
fn record_leader_contact(shared: &ReplicaShared, leader: NodeId, term: u64) -> bool {
    let mut state = shared.lock();
    if term < state.term {
        return false;
    }
    if term > state.term || state.role != Role::Follower {
        state.step_down(term, &shared.timing);
    }
    state.leader = Some(leader);
    state.last_leader_contact = BootInstant::now();
    state.leader_seen_since_start = true;
    state.reset_election_timer(&shared.timing);
    true
}

fn current_term_reply(shared: &ReplicaShared) -> PeerReply {
    PeerReply::Acknowledged {
        term: shared.lock().term,
    }
}

fn handle_heartbeat(shared: &ReplicaShared, from: NodeId, term: u64, commit: u64) -> PeerReply {
    if record_leader_contact(shared, from, term) && shared.lock().follow_leader_commit(commit) {
        shared.notify_change();
    }
    current_term_reply(shared)
}

async fn handle_append_entries(
    shared: &ReplicaShared,
    from: NodeId,
    term: u64,
    previous: LogPosition,
    entries: Vec<LogEntry>,
    commit: u64,
) -> PeerReply {
    if !record_leader_contact(shared, from, term) {
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
        if let Some(next) = next_index_after_mismatch(&state, previous) {
            return PeerReply::Mismatch { term, next };
        }
        let Some(matched) = append_after(&mut state, previous, entries) else {
            return PeerReply::Refused;
        };
        (state.flush(&shared.writer), matched)
    };
    if shared.wait_until_synced(ticket, matched).await.is_err() {
        return PeerReply::Refused;
    }
    let mut state = shared.lock();
    if state.term != term {
        return PeerReply::Refused;
    }
    // An earlier connection may still be waiting for the sync of preceding entries.
    if state.synced < matched.index {
        return PeerReply::Refused;
    }
    state.verified_index = state.verified_index.max(matched.index);
    let commit_advanced = state.follow_leader_commit(commit);
    drop(state);
    if commit_advanced {
        shared.notify_change();
    }
    PeerReply::Matched {
        term,
        index: matched.index,
    }
}

/// Returns the index to retry from if the log does not contain a position.
fn next_index_after_mismatch(state: &ReplicaState, previous: LogPosition) -> Option<u64> {
    let base = state.log.base().index;
    if previous.index < base {
        return Some(base + 1);
    }
    match state.log.term_at(previous.index) {
        Some(term) if term == previous.term => None,
        Some(term) => Some(first_index_of_term(state, term, previous.index).max(base + 1)),
        None => Some(state.log.last().index + 1),
    }
}

// Skipping back one complete term at a time finds the matching position in few steps.
fn first_index_of_term(state: &ReplicaState, term: u64, index: u64) -> u64 {
    let mut first = index;
    while first > 1 && state.log.term_at(first - 1) == Some(term) {
        first -= 1;
    }
    first
}

/// Appends entries after a matching position; returns the last position that now matches.
///
/// Invariant: a committed entry is never removed. A leader that would require it is refused.
fn append_after(
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

fn append_chunk(
    buffer: &mut SnapshotBuffer,
    last: LogPosition,
    offset: u64,
    chunk: Vec<u8>,
) -> bool {
    if offset == 0 {
        buffer.last = last;
        buffer.bytes.clear();
    }
    let in_order = buffer.last == last && buffer.bytes.len() as u64 == offset;
    if !in_order || buffer.bytes.len() + chunk.len() > MAX_SNAPSHOT_BYTES {
        return false;
    }
    buffer.bytes.extend(chunk);
    true
}

async fn install_snapshot(
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
        state.reset_to_snapshot(last, members);
        let ballot = state.ballot_record();
        shared.writer.compact(encode(&snapshot), vec![ballot])
    };
    if !matches!(ticket.await, Ok(Ok(()))) {
        // Memory is now ahead of the disk. After a restart the old state is read, and the leader
        // sends the snapshot again; continuing would write entries after a gap.
        shared.record_disk_refusal("a received snapshot could not be written; exiting");
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
    shared.notify_change();
    PeerReply::Matched {
        term,
        index: last.index,
    }
}
