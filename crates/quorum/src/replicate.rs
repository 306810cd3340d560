//! What a leader does for each peer: heartbeats, entries, snapshots, promotion.
//!
//! Heartbeats have a connection of their own, so that a peer whose disk is slow to sync entries
//! still answers them and the lease lasts.

use std::sync::Arc;
use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_telemetry::EventCode;
use linnet_wire::{PeerGreeting, PeerReader, PeerWriter, connect_peer};
use tokio::time::{sleep, timeout};

use crate::election::{address_request, note_term};
use crate::replica::{ReplicaShared, members_at};
use crate::state::{PeerProgress, ReplicaState};
use crate::{
    LogEntry, LogPosition, Member, MemberChange, Members, NodeId, PeerReply, PeerRequest, Role,
};

/// Bytes of entries that one message carries.
const BATCH_BYTES: usize = 1024 * 1024;

/// Bytes of a snapshot that one message carries.
const PART_BYTES: usize = 1024 * 1024;

/// Wait before a peer that could not be reached is tried again.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// How long a connection without work stays silent.
const IDLE_PROBE: Duration = Duration::from_secs(2);

/// How often the leader looks whether a learner is caught up.
const MEMBERSHIP_TICK: Duration = Duration::from_millis(200);

/// A learner within so many entries of the leader's end is caught up.
const CAUGHT_UP_ENTRIES: u64 = 16;

/// Starts the tasks of every peer that has none in this term.
pub(crate) fn start_peers(shared: &Arc<ReplicaShared>, term: u64) {
    let fresh: Vec<Member> = {
        let mut state = shared.lock();
        if !leads(&state, term) {
            return;
        }
        let me = state.me;
        let members: Vec<Member> = state.members.all().cloned().collect();
        let next = state.log.last().index + 1;
        members
            .into_iter()
            .filter(|member| member.id != me)
            .filter(|member| {
                let progress = PeerProgress {
                    next,
                    matched: 0,
                    told_commit: 0,
                    answered: None,
                    since: BootInstant::now(),
                };
                let known = state.progress.contains_key(&member.id);
                state.progress.entry(member.id).or_insert(progress);
                !known
            })
            .collect()
    };
    for member in fresh {
        ntex::rt::spawn(send_heartbeats(shared.clone(), member.clone(), term));
        ntex::rt::spawn(send_entries(shared.clone(), member, term));
    }
}

fn leads(state: &ReplicaState, term: u64) -> bool {
    state.role == Role::Leader && state.term == term
}

/// Says whether this replica still leads the term and the peer is still a member.
fn serves_peer(shared: &ReplicaShared, peer: NodeId, term: u64) -> bool {
    let state = shared.lock();
    leads(&state, term) && state.members.find(peer).is_some()
}

async fn send_heartbeats(shared: Arc<ReplicaShared>, peer: Member, term: u64) {
    while serves_peer(&shared, peer.id, term) {
        if let Some((mut reader, mut writer)) = open_connection(&shared, &peer).await {
            while serves_peer(&shared, peer.id, term) {
                if !beat_once(&shared, &peer, term, &mut reader, &mut writer).await {
                    break;
                }
                sleep(shared.timing.heartbeat).await;
            }
        }
        sleep(RETRY_WAIT).await;
    }
    forget_peer(&shared, peer.id, term);
}

// Without its progress a peer that comes back as a member gets fresh tasks.
fn forget_peer(shared: &ReplicaShared, peer: NodeId, term: u64) {
    let mut state = shared.lock();
    if leads(&state, term) && state.members.find(peer).is_none() {
        state.progress.remove(&peer);
    }
}

async fn beat_once(
    shared: &ReplicaShared,
    peer: &Member,
    term: u64,
    reader: &mut PeerReader,
    writer: &mut PeerWriter,
) -> bool {
    let commit = shared.lock().commit;
    let sent = BootInstant::now();
    let request = PeerRequest::Heartbeat { term, commit };
    let reply = exchange(shared, peer, request, reader, writer, shared.timing.lease).await;
    match reply {
        Some(PeerReply::Alive { term: theirs }) if theirs == term => {
            let mut state = shared.lock();
            if leads(&state, term)
                && let Some(progress) = state.progress.get_mut(&peer.id)
            {
                progress.answered = Some(sent);
            }
            true
        }
        Some(PeerReply::Alive { term: theirs }) => {
            note_term(shared, theirs);
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

async fn exchange(
    shared: &ReplicaShared,
    peer: &Member,
    request: PeerRequest,
    reader: &mut PeerReader,
    writer: &mut PeerWriter,
    bound: Duration,
) -> Option<PeerReply> {
    let message = address_request(shared, peer, request)?;
    let work = async {
        writer.send(&message).await.ok()?;
        reader.receive::<PeerReply>().await.ok()
    };
    timeout(bound, work).await.ok()?
}

async fn send_entries(shared: Arc<ReplicaShared>, peer: Member, term: u64) {
    let mut lost = false;
    while serves_peer(&shared, peer.id, term) {
        if let Some((mut reader, mut writer)) = open_connection(&shared, &peer).await {
            lost = false;
            shared
                .recorder
                .record(EventCode::PeerConnected, &peer.name, format!("term={term}"));
            follow_log(&shared, &peer, term, &mut reader, &mut writer).await;
        }
        if !lost && serves_peer(&shared, peer.id, term) {
            lost = true;
            shared
                .recorder
                .record(EventCode::PeerLost, &peer.name, format!("term={term}"));
        }
        sleep(RETRY_WAIT).await;
    }
}

/// What is due to a peer.
enum PeerWork {
    Entries {
        previous: LogPosition,
        entries: Vec<LogEntry>,
        commit: u64,
    },
    Snapshot,
    Nothing,
}

async fn follow_log(
    shared: &ReplicaShared,
    peer: &Member,
    term: u64,
    reader: &mut PeerReader,
    writer: &mut PeerWriter,
) {
    let mut changes = shared.subscribe();
    // The first message of a connection finds out where the logs agree.
    let mut probe = true;
    while serves_peer(shared, peer.id, term) {
        changes.mark_unchanged();
        let going_on = match next_work(shared, peer.id, probe) {
            PeerWork::Nothing => {
                // An idle connection is probed now and then, so that the peer keeps it open.
                probe = timeout(IDLE_PROBE, changes.changed()).await.is_err();
                true
            }
            PeerWork::Entries {
                previous,
                entries,
                commit,
            } => {
                probe = false;
                let request = PeerRequest::Append {
                    term,
                    previous,
                    entries,
                    commit,
                };
                let bound = shared.timing.append_timeout;
                let reply = exchange(shared, peer, request, reader, writer, bound).await;
                take_reply(shared, peer.id, term, commit, reply)
            }
            PeerWork::Snapshot => send_snapshot(shared, peer, term, reader, writer).await,
        };
        if !going_on {
            return;
        }
    }
}

fn next_work(shared: &ReplicaShared, peer: NodeId, probe: bool) -> PeerWork {
    let state = shared.lock();
    let Some(progress) = state.progress.get(&peer) else {
        return PeerWork::Nothing;
    };
    let last = state.log.last().index;
    let told = progress.told_commit >= state.commit;
    if !probe && progress.next > last && told {
        return PeerWork::Nothing;
    }
    let before = progress.next - 1;
    let Some(term) = state.log.term_at(before) else {
        return PeerWork::Snapshot;
    };
    let mut weight = 0;
    let entries = state
        .log
        .from(progress.next)
        .take_while(|entry| {
            let fits = weight < BATCH_BYTES;
            weight += entry.weight();
            fits
        })
        .cloned()
        .collect();
    PeerWork::Entries {
        previous: LogPosition {
            term,
            index: before,
        },
        entries,
        commit: state.commit,
    }
}

fn take_reply(
    shared: &ReplicaShared,
    peer: NodeId,
    term: u64,
    told_commit: u64,
    reply: Option<PeerReply>,
) -> bool {
    let (theirs, matched, next) = match reply {
        Some(PeerReply::Matched { term, index }) => (term, Some(index), index + 1),
        Some(PeerReply::Mismatch { term, next }) => (term, None, next),
        _ => return false,
    };
    if theirs > term {
        note_term(shared, theirs);
        return false;
    }
    let mut state = shared.lock();
    if !leads(&state, term) {
        return false;
    }
    let Some(progress) = state.progress.get_mut(&peer) else {
        return false;
    };
    progress.next = next.max(1);
    if let Some(index) = matched {
        progress.matched = progress.matched.max(index);
        progress.told_commit = told_commit;
    }
    if state.advance_commit() {
        drop(state);
        shared.bump();
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
        let end = (offset + PART_BYTES).min(bytes.len());
        let done = end == bytes.len();
        let request = PeerRequest::Install {
            term,
            last,
            members: members.clone(),
            offset: offset as u64,
            part: bytes[offset..end].to_vec(),
            done,
        };
        let bound = shared.timing.append_timeout;
        let reply = exchange(shared, peer, request, reader, writer, bound).await;
        if done {
            return take_reply(shared, peer.id, term, 0, reply);
        }
        if !matches!(reply, Some(PeerReply::Alive { .. })) {
            return false;
        }
        offset = end;
    }
}

/// Brings caught-up learners in, as the leader, one committed change at a time.
pub(crate) async fn run_membership(shared: Arc<ReplicaShared>) {
    let mut seen = Members::default();
    loop {
        sleep(MEMBERSHIP_TICK).await;
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
        start_peers(&shared, term);
        if let Some(change) = due_change(&shared).or_else(|| due_removal(&shared)) {
            // A change that is refused or unknown is found due again at the next tick.
            let _ = shared.propose_members(&change).await;
        }
    }
}

/// Voters below which none is taken out for its silence: one that returns counts again at once,
/// and a cluster that shrinks bears less.
const LEAST_VOTERS: usize = 3;

// A member that was lost for good would count against every majority for ever. One that was only
// cut off finds itself left out when it returns, and joins again.
fn due_removal(shared: &ReplicaShared) -> Option<MemberChange> {
    let span = shared.timing.removal?;
    let state = shared.lock();
    let silent = |id: NodeId| id != state.me && state.silence_of(id) >= span;
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
    if voters.len() <= LEAST_VOTERS || state.leading_since.elapsed() < span {
        return None;
    }
    // Only while all the others answer, so that what is left can commit without the one that goes.
    let (gone, left): (Vec<NodeId>, Vec<NodeId>) = voters.into_iter().partition(|id| silent(*id));
    let fresh = left
        .iter()
        .filter(|id| **id == state.me || state.silence_of(**id) < shared.timing.lease);
    if fresh.count() < LEAST_VOTERS {
        return None;
    }
    gone.first().map(|id| MemberChange::Remove(*id))
}

// The wiped voter goes before its successor counts: until then a majority is one of the voters
// that hold every commit.
fn due_change(shared: &ReplicaShared) -> Option<MemberChange> {
    let state = shared.lock();
    let last = state.log.last().index;
    let learner = state.members.learners.iter().find(|learner| {
        state.progress.get(&learner.id).is_some_and(|progress| {
            let alive = progress
                .answered
                .is_some_and(|at| at.elapsed() < shared.timing.lease);
            alive && progress.matched > 0 && progress.matched + CAUGHT_UP_ENTRIES >= last
        })
    })?;
    match learner.replaces {
        Some(old) if state.members.find(old).is_some() => Some(MemberChange::Remove(old)),
        _ => Some(MemberChange::Promote(learner.id)),
    }
}
