//! The leader's tasks for each peer: heartbeats, entries, snapshots, promotion.
//!
//! Heartbeats have their own connection, so that a peer whose disk syncs entries slowly still
//! answers them and the lease stays valid.

use std::sync::Arc;
use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_telemetry::EventCode;
use linnet_wire::{PeerGreeting, PeerReader, PeerWriter, connect_peer};
use tokio::time::{sleep, timeout};

use crate::election::{observe_term, to_addressed_request};
use crate::replica::{ReplicaShared, members_at};
use crate::state::{PeerProgress, ReplicaState};
use crate::{
    LogEntry, LogPosition, Member, MemberChange, Members, NodeId, PeerReply, PeerRequest, Role,
};

/// Maximum size of the entries in one message.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// Maximum size of a snapshot chunk in one message.
const MAX_CHUNK_BYTES: usize = 1024 * 1024;

/// Interval between attempts to reach a peer.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between probes on an idle connection.
const IDLE_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between the leader's checks for due membership changes.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of entries by which a learner may lag behind the leader's log and still count as
/// caught up.
const MAX_CAUGHT_UP_LAG_ENTRIES: u64 = 16;

/// Starts the tasks for each peer that has none in this term.
pub(crate) fn start_peer_tasks(shared: &Arc<ReplicaShared>, term: u64) {
    let new_peers: Vec<Member> = {
        let mut state = shared.lock();
        if !is_leader_of(&state, term) {
            return;
        }
        let own_id = state.own_id;
        let members: Vec<Member> = state.members.all().cloned().collect();
        let next = state.log.last().index + 1;
        members
            .into_iter()
            .filter(|member| member.id != own_id)
            .filter(|member| {
                let progress = PeerProgress {
                    next_index: next,
                    match_index: 0,
                    sent_commit: 0,
                    last_ack_sent_at: None,
                    started_at: BootInstant::now(),
                };
                let known = state.progress.contains_key(&member.id);
                state.progress.entry(member.id).or_insert(progress);
                !known
            })
            .collect()
    };
    for member in new_peers {
        ntex::rt::spawn(send_heartbeats(shared.clone(), member.clone(), term));
        ntex::rt::spawn(send_entries(shared.clone(), member, term));
    }
}

fn is_leader_of(state: &ReplicaState, term: u64) -> bool {
    state.role == Role::Leader && state.term == term
}

/// Returns whether this replica still leads the term and the peer is still a member.
fn should_serve_peer(shared: &ReplicaShared, peer: NodeId, term: u64) -> bool {
    let state = shared.lock();
    is_leader_of(&state, term) && state.members.find(peer).is_some()
}

async fn send_heartbeats(shared: Arc<ReplicaShared>, peer: Member, term: u64) {
    while should_serve_peer(&shared, peer.id, term) {
        if let Some((mut reader, mut writer)) = open_connection(&shared, &peer).await {
            while should_serve_peer(&shared, peer.id, term) {
                if !send_heartbeat(&shared, &peer, term, &mut reader, &mut writer).await {
                    break;
                }
                sleep(shared.timing.heartbeat_interval).await;
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
    remove_progress(&shared, peer.id, term);
}

// Without a progress record, a peer that becomes a member again gets new tasks.
fn remove_progress(shared: &ReplicaShared, peer: NodeId, term: u64) {
    let mut state = shared.lock();
    if is_leader_of(&state, term) && state.members.find(peer).is_none() {
        state.progress.remove(&peer);
    }
}

async fn send_heartbeat(
    shared: &ReplicaShared,
    peer: &Member,
    term: u64,
    reader: &mut PeerReader,
    writer: &mut PeerWriter,
) -> bool {
    let commit = shared.lock().commit;
    let sent = BootInstant::now();
    let request = PeerRequest::Heartbeat { term, commit };
    let reply = call_peer(
        shared,
        peer,
        request,
        reader,
        writer,
        shared.timing.lease_duration,
    )
    .await;
    match reply {
        Some(PeerReply::Acknowledged { term: peer_term }) if peer_term == term => {
            let mut state = shared.lock();
            if is_leader_of(&state, term)
                && let Some(progress) = state.progress.get_mut(&peer.id)
            {
                progress.last_ack_sent_at = Some(sent);
            }
            true
        }
        Some(PeerReply::Acknowledged { term: peer_term }) => {
            observe_term(shared, peer_term);
            false
        }
        _ => false,
    }
}

async fn open_connection(
    shared: &ReplicaShared,
    peer: &Member,
) -> Option<(PeerReader, PeerWriter)> {
    let (reader, mut writer) = connect_peer(&shared.identity, peer.peer).await.ok()?;
    writer.send(&PeerGreeting::Quorum).await.ok()?;
    Some((reader, writer))
}

async fn call_peer(
    shared: &ReplicaShared,
    peer: &Member,
    request: PeerRequest,
    reader: &mut PeerReader,
    writer: &mut PeerWriter,
    reply_timeout: Duration,
) -> Option<PeerReply> {
    let message = to_addressed_request(shared, peer, request)?;
    let work = async {
        writer.send(&message).await.ok()?;
        reader.receive::<PeerReply>().await.ok()
    };
    timeout(reply_timeout, work).await.ok()?
}

async fn send_entries(shared: Arc<ReplicaShared>, peer: Member, term: u64) {
    let mut lost = false;
    while should_serve_peer(&shared, peer.id, term) {
        if let Some((mut reader, mut writer)) = open_connection(&shared, &peer).await {
            lost = false;
            shared
                .recorder
                .record(EventCode::PeerConnected, &peer.name, format!("term={term}"));
            replicate_log(&shared, &peer, term, &mut reader, &mut writer).await;
        }
        if !lost && should_serve_peer(&shared, peer.id, term) {
            lost = true;
            shared
                .recorder
                .record(EventCode::PeerLost, &peer.name, format!("term={term}"));
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// The next message that a peer needs.
enum PendingWork {
    Entries {
        previous: LogPosition,
        entries: Vec<LogEntry>,
        commit: u64,
    },
    Snapshot,
    None,
}

async fn replicate_log(
    shared: &ReplicaShared,
    peer: &Member,
    term: u64,
    reader: &mut PeerReader,
    writer: &mut PeerWriter,
) {
    let mut changes = shared.subscribe();
    // The first message on a connection determines where the logs match.
    let mut probe = true;
    while should_serve_peer(shared, peer.id, term) {
        changes.mark_unchanged();
        let should_continue = match pending_work(shared, peer.id, probe) {
            PendingWork::None => {
                // An idle connection is probed periodically, so that the peer keeps it open.
                probe = timeout(IDLE_PROBE_INTERVAL, changes.changed())
                    .await
                    .is_err();
                true
            }
            PendingWork::Entries {
                previous,
                entries,
                commit,
            } => {
                probe = false;
                let request = PeerRequest::AppendEntries {
                    term,
                    previous,
                    entries,
                    commit,
                };
                let reply_timeout = shared.timing.append_timeout;
                let reply = call_peer(shared, peer, request, reader, writer, reply_timeout).await;
                apply_reply(shared, peer.id, term, commit, reply)
            }
            PendingWork::Snapshot => send_snapshot(shared, peer, term, reader, writer).await,
        };
        if !should_continue {
            return;
        }
    }
}

fn pending_work(shared: &ReplicaShared, peer: NodeId, probe: bool) -> PendingWork {
    let state = shared.lock();
    let Some(progress) = state.progress.get(&peer) else {
        return PendingWork::None;
    };
    let last = state.log.last().index;
    let is_commit_sent = progress.sent_commit >= state.commit;
    if !probe && progress.next_index > last && is_commit_sent {
        return PendingWork::None;
    }
    let before = progress.next_index - 1;
    let Some(term) = state.log.term_at(before) else {
        return PendingWork::Snapshot;
    };
    let mut estimated_bytes = 0;
    let entries = state
        .log
        .from(progress.next_index)
        .take_while(|entry| {
            let fits = estimated_bytes < MAX_BATCH_BYTES;
            estimated_bytes += entry.estimated_bytes();
            fits
        })
        .cloned()
        .collect();
    PendingWork::Entries {
        previous: LogPosition {
            term,
            index: before,
        },
        entries,
        commit: state.commit,
    }
}

fn apply_reply(
    shared: &ReplicaShared,
    peer: NodeId,
    term: u64,
    sent_commit: u64,
    reply: Option<PeerReply>,
) -> bool {
    let (peer_term, matched, next) = match reply {
        Some(PeerReply::Matched { term, index }) => (term, Some(index), index + 1),
        Some(PeerReply::Mismatch { term, next }) => (term, None, next),
        _ => return false,
    };
    if peer_term > term {
        observe_term(shared, peer_term);
        return false;
    }
    let mut state = shared.lock();
    if !is_leader_of(&state, term) {
        return false;
    }
    let Some(progress) = state.progress.get_mut(&peer) else {
        return false;
    };
    progress.next_index = next.max(1);
    if let Some(index) = matched {
        progress.match_index = progress.match_index.max(index);
        progress.sent_commit = sent_commit;
    }
    if state.advance_commit() {
        drop(state);
        shared.notify_change();
    }
    true
}

async fn send_snapshot(
    shared: &ReplicaShared,
    peer: &Member,
    term: u64,
    reader: &mut PeerReader,
    writer: &mut PeerWriter,
) -> bool {
    let (last, members, bytes): (LogPosition, Members, Vec<u8>) = {
        let mut machine = shared.lock_machine();
        let state = shared.lock();
        let last = machine.applied;
        let members = members_at(&state, last.index);
        drop(state);
        (last, members, (machine.hooks.snapshot)())
    };
    let mut offset = 0;
    loop {
        let end = (offset + MAX_CHUNK_BYTES).min(bytes.len());
        let done = end == bytes.len();
        let request = PeerRequest::InstallSnapshot {
            term,
            last,
            members: members.clone(),
            offset: offset as u64,
            chunk: bytes[offset..end].to_vec(),
            done,
        };
        let reply_timeout = shared.timing.append_timeout;
        let reply = call_peer(shared, peer, request, reader, writer, reply_timeout).await;
        if done {
            return apply_reply(shared, peer.id, term, 0, reply);
        }
        if !matches!(reply, Some(PeerReply::Acknowledged { .. })) {
            return false;
        }
        offset = end;
    }
}

/// As the leader, promotes learners that have caught up and removes silent members, one committed
/// change at a time.
pub(crate) async fn run_membership(shared: Arc<ReplicaShared>) {
    let mut seen = Members::default();
    loop {
        sleep(MEMBERSHIP_INTERVAL).await;
        let (term, members, leads) = {
            let state = shared.lock();
            (
                state.term,
                state.members.clone(),
                state.role == Role::Leader,
            )
        };
        if members != seen {
            let detail = format!(
                "{} voters, {} learners",
                members.voters.len(),
                members.learners.len()
            );
            shared
                .recorder
                .record(EventCode::MembersChanged, "", detail);
            seen = members;
        }
        if !leads {
            continue;
        }
        start_peer_tasks(&shared, term);
        if let Some(change) = next_learner_change(&shared).or_else(|| next_removal(&shared)) {
            // A change that is refused or has an unknown outcome is attempted again at the next
            // interval.
            let _ = shared.propose_member_change(&change).await;
        }
    }
}

/// Number of voters from which none is removed for silence: a voter that returns counts again at
/// once, and a smaller cluster tolerates fewer failures.
const MIN_VOTERS: usize = 3;

// A permanently lost member would count against every majority forever. One that was only
// partitioned discovers on its return that it was removed, and joins again.
fn next_removal(shared: &ReplicaShared) -> Option<MemberChange> {
    let timeout = shared.timing.removal_timeout?;
    let state = shared.lock();
    let silent = |id: NodeId| id != state.own_id && state.silence_of(id) >= timeout;
    let learners = state.members.learners.iter().map(|member| member.id);
    if let Some(learner) = learners.into_iter().find(|id| silent(*id)) {
        return Some(MemberChange::Remove(learner));
    }
    let voters: Vec<NodeId> = state
        .members
        .voters
        .iter()
        .map(|member| member.id)
        .collect();
    if voters.len() <= MIN_VOTERS || state.leading_since.elapsed() < timeout {
        return None;
    }
    // Only if enough of the other voters have replied within a lease, so that the rest can commit
    // without the removed one.
    let (silent_voters, remaining): (Vec<NodeId>, Vec<NodeId>) =
        voters.into_iter().partition(|id| silent(*id));
    let reachable = remaining
        .iter()
        .filter(|id| **id == state.own_id || state.silence_of(**id) < shared.timing.lease_duration);
    if reachable.count() < MIN_VOTERS {
        return None;
    }
    silent_voters.first().map(|id| MemberChange::Remove(*id))
}

// A wiped voter is removed before its replacement is promoted: until then each majority consists of
// voters that hold all committed entries.
fn next_learner_change(shared: &ReplicaShared) -> Option<MemberChange> {
    let state = shared.lock();
    let last = state.log.last().index;
    let learner = state.members.learners.iter().find(|learner| {
        state.progress.get(&learner.id).is_some_and(|progress| {
            let alive = progress
                .last_ack_sent_at
                .is_some_and(|at| at.elapsed() < shared.timing.lease_duration);
            alive
                && progress.match_index > 0
                && progress.match_index + MAX_CAUGHT_UP_LAG_ENTRIES >= last
        })
    })?;
    match learner.replaces {
        Some(old) if state.members.find(old).is_some() => Some(MemberChange::Remove(old)),
        _ => Some(MemberChange::Promote(learner.id)),
    }
}
