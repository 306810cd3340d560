//! The state of a replica, under one lock, and the steps that change it.
//!
//! Every step that must survive a crash pushes records to `pending`; [`ReplicaState::flush`] hands
//! them to the journal while the lock is held, so the journal sees steps in the order they were
//! taken. Nothing is answered to a peer before the ticket of its records has resolved.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use linnet_clock::BootInstant;
use linnet_journal::{CommitReceiver, JournalWriter};
use tokio::sync::oneshot;

use crate::log::ReplicaLog;
use crate::rule::{quorum_index, quorum_instant};
use crate::storage::{StoredRecord, encode};
use crate::{
    LogEntry, LogPayload, LogPosition, Members, NodeId, ProposeError, QuorumTiming, Role, VoteFacts,
};

/// What a leader knows of one peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerProgress {
    /// The next index to send.
    pub(crate) next: u64,
    /// The peer has synced everything up to here.
    pub(crate) matched: u64,
    /// The commit index that the peer was last told with entries.
    pub(crate) told_commit: u64,
    /// When the last heartbeat that the peer answered was sent.
    pub(crate) answered: Option<BootInstant>,
    /// When this replica began to call the peer.
    pub(crate) since: BootInstant,
}

/// Waits for the answer of the state machine to one proposal.
pub(crate) struct Waiter {
    pub(crate) term: u64,
    pub(crate) done: oneshot::Sender<Result<Vec<u8>, ProposeError>>,
}

pub(crate) struct ReplicaState {
    pub(crate) me: NodeId,
    pub(crate) cluster: Option<u64>,
    pub(crate) term: u64,
    pub(crate) vote: Option<NodeId>,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeId>,
    pub(crate) log: ReplicaLog,
    /// The last index that this replica has synced.
    pub(crate) synced: u64,
    pub(crate) commit: u64,
    /// The last index at which the log is known to agree with the leader of this term.
    pub(crate) verified: u64,
    pub(crate) members: Members,
    /// The index of the entry that names `members`.
    pub(crate) members_index: u64,
    /// The members at the base of the log.
    pub(crate) base_members: Members,
    pub(crate) progress: BTreeMap<NodeId, PeerProgress>,
    /// When a leader was last heard; starts at the start of the process, because the process may
    /// have answered a heartbeat just before it died.
    pub(crate) leader_heard: BootInstant,
    /// Whether a leader was heard since the start of the process.
    pub(crate) heard_since_start: bool,
    /// When this replica began to lead its term; of use only while it leads.
    pub(crate) leading_since: BootInstant,
    /// When this replica may next start an election.
    pub(crate) election_due: Instant,
    pub(crate) waiters: HashMap<u64, Waiter>,
    /// Whether term and vote in memory are newer than in the journal.
    ballot_dirty: bool,
    pending: Vec<StoredRecord>,
}

impl ReplicaState {
    pub(crate) fn new(me: NodeId, cluster: Option<u64>, timing: &QuorumTiming) -> Self {
        let now = BootInstant::now();
        Self {
            me,
            cluster,
            term: 0,
            vote: None,
            role: Role::Follower,
            leader: None,
            log: ReplicaLog::default(),
            synced: 0,
            commit: 0,
            verified: 0,
            members: Members::default(),
            members_index: 0,
            base_members: Members::default(),
            progress: BTreeMap::new(),
            leader_heard: now,
            heard_since_start: false,
            leading_since: now,
            election_due: Instant::now() + first_wait(timing),
            waiters: HashMap::new(),
            ballot_dirty: false,
            pending: Vec::new(),
        }
    }

    /// Hands what must survive to the journal; the ticket resolves when it is synced.
    pub(crate) fn flush(&mut self, writer: &JournalWriter) -> Option<CommitReceiver> {
        if self.ballot_dirty {
            self.ballot_dirty = false;
            let ballot = StoredRecord::Ballot {
                term: self.term,
                vote: self.vote,
            };
            self.pending.insert(0, ballot);
        }
        if self.pending.is_empty() {
            return None;
        }
        let records = self
            .pending
            .drain(..)
            .map(|record| encode(&record))
            .collect();
        Some(writer.append(records))
    }

    /// Says whether this replica neither leads nor has heard a leader since it started.
    pub(crate) fn is_leaderless(&self) -> bool {
        self.role != Role::Leader && !self.heard_since_start
    }

    /// Returns what a vote depends on. A process may have answered a heartbeat just before it was
    /// started anew, so for a while it refuses votes, unless every voter said in this round that it
    /// knows no leader.
    pub(crate) fn vote_facts(&self, timing: &QuorumTiming, leaderless: bool) -> VoteFacts {
        let quiet = leaderless && self.is_leaderless();
        let heard_lately = !quiet && self.leader_heard.elapsed() < timing.election_min;
        VoteFacts {
            term: self.term,
            vote: self.vote,
            last: self.log.last(),
            lease_may_last: heard_lately || self.lease_lasts(timing),
        }
    }

    /// Says whether this replica leads and its lease lasts at this moment.
    pub(crate) fn lease_lasts(&self, timing: &QuorumTiming) -> bool {
        self.lease_lasts_at(timing, BootInstant::now())
    }

    pub(crate) fn lease_lasts_at(&self, timing: &QuorumTiming, now: BootInstant) -> bool {
        self.role == Role::Leader && self.heard_majority_within(timing.lease, now)
    }

    /// Says whether this replica leads and no majority has answered it for as long as others wait before
    /// they stand. One that has just begun to lead has that time too: where it was given up after a
    /// tick of 20 ms, leaders of a fleet that starts at once, with 295 hosts calling them, stepped down
    /// 94 ms after their election, and the next one came 0.8 s later.
    pub(crate) fn has_lost_majority(&self, timing: &QuorumTiming, now: BootInstant) -> bool {
        let led = now - self.leading_since;
        self.role == Role::Leader
            && led >= timing.election_min
            && !self.heard_majority_within(timing.election_min, now)
    }

    /// Says whether a majority answered a heartbeat that was sent within a span.
    pub(crate) fn heard_majority_within(&self, span: Duration, now: BootInstant) -> bool {
        let answered = self.members.voters.iter().map(|voter| {
            if voter.id == self.me {
                Some(now)
            } else {
                self.progress.get(&voter.id).and_then(|peer| peer.answered)
            }
        });
        quorum_instant(answered.collect()).is_some_and(|instant| now - instant < span)
    }

    /// Returns how long a peer has not answered this leader.
    pub(crate) fn silence_of(&self, peer: NodeId) -> Duration {
        let progress = self.progress.get(&peer);
        progress.map_or(Duration::ZERO, |peer| {
            peer.answered.unwrap_or(peer.since).elapsed()
        })
    }

    /// Takes a vote or enters a term.
    pub(crate) fn set_ballot(&mut self, term: u64, vote: Option<NodeId>) {
        if term > self.term {
            self.verified = 0;
            self.leader = None;
        }
        self.term = term;
        self.vote = vote;
        self.ballot_dirty = true;
    }

    /// Gives up leading or standing, and enters a higher term where one was seen.
    pub(crate) fn step_down(&mut self, term: u64, timing: &QuorumTiming) {
        if term > self.term {
            self.set_ballot(term, None);
        }
        if self.role == Role::Leader {
            self.leader = None;
            self.verified = 0;
        }
        self.role = Role::Follower;
        self.progress.clear();
        self.put_off_election(timing);
    }

    /// Chooses by chance when this replica may next start an election.
    pub(crate) fn put_off_election(&mut self, timing: &QuorumTiming) {
        let wait = if self.is_leaderless() && self.leader_heard.elapsed() < timing.election_min {
            first_wait(timing)
        } else {
            between(timing.election_min, timing.election_max)
        };
        self.election_due = Instant::now() + wait;
    }

    /// Begins to lead the current term.
    pub(crate) fn begin_leading(&mut self) {
        self.role = Role::Leader;
        self.leading_since = BootInstant::now();
        self.leader = Some(self.me);
        self.progress.clear();
        self.append_own(LogPayload::Noop);
    }

    /// Appends an entry of the current term and returns its index.
    pub(crate) fn append_own(&mut self, payload: LogPayload) -> u64 {
        let entry = LogEntry {
            index: self.log.last().index + 1,
            term: self.term,
            payload,
        };
        let index = entry.index;
        self.append_entry(entry);
        index
    }

    /// Appends an entry that is due next.
    pub(crate) fn append_entry(&mut self, entry: LogEntry) {
        if let LogPayload::Members(members) = &entry.payload {
            self.members = members.clone();
            self.members_index = entry.index;
        }
        self.pending.push(StoredRecord::Entry(entry.clone()));
        self.log.push(entry);
    }

    /// Drops entries from an index on, because the leader has others there.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        self.log.truncate_from(index);
        self.synced = self.synced.min(index - 1);
        self.pending.push(StoredRecord::Truncate { from: index });
        self.refresh_members();
    }

    /// Finds the members in force after the log changed other than by appending.
    pub(crate) fn refresh_members(&mut self) {
        match self.log.newest_members() {
            Some((index, members)) => {
                self.members = members.clone();
                self.members_index = index;
            }
            None => {
                self.members = self.base_members.clone();
                self.members_index = self.log.base().index;
            }
        }
    }

    /// Takes back everything that the disk refused, so that memory and disk agree again.
    pub(crate) fn undo_refused(&mut self, timing: &QuorumTiming) {
        self.log.truncate_from(self.synced + 1);
        self.refresh_members();
        // What the refused records held of term and vote must come before anything later.
        self.ballot_dirty = true;
        self.step_down(self.term, timing);
    }

    /// Moves a leader's commit index up to what a majority has synced; says whether it moved.
    ///
    /// Only an entry of the leader's own term is counted; it commits all that stands before it.
    pub(crate) fn advance_commit(&mut self) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        let synced = self.members.voters.iter().map(|voter| {
            if voter.id == self.me {
                self.synced
            } else {
                self.progress.get(&voter.id).map_or(0, |peer| peer.matched)
            }
        });
        let index = quorum_index(synced.collect());
        let own_term = self.log.term_at(index) == Some(self.term);
        if index <= self.commit || !own_term {
            return false;
        }
        self.commit = index;
        true
    }

    /// Moves a follower's commit index up to what the leader told, as far as the logs agree.
    pub(crate) fn follow_commit(&mut self, leader_commit: u64) -> bool {
        let commit = leader_commit.min(self.verified);
        if commit <= self.commit {
            return false;
        }
        self.commit = commit;
        true
    }

    /// Resets the log to a snapshot that the leader sent.
    pub(crate) fn reset_to(&mut self, last: LogPosition, members: Members) {
        self.log = ReplicaLog::with_base(last);
        self.base_members = members;
        self.refresh_members();
        self.synced = last.index;
        self.commit = self.commit.max(last.index);
        self.verified = last.index;
        self.pending.clear();
    }

    /// Returns the ballot as a record, for the start of a new journal.
    pub(crate) fn ballot_record(&mut self) -> Vec<u8> {
        self.ballot_dirty = false;
        encode(&StoredRecord::Ballot {
            term: self.term,
            vote: self.vote,
        })
    }
}

/// Returns how long a replica that has heard no leader since its start waits before it stands.
fn first_wait(timing: &QuorumTiming) -> Duration {
    between(timing.first_election_min, timing.first_election_max)
}

/// Returns a span between two, by chance, so that voters do not stand at the same moment again.
fn between(least: Duration, most: Duration) -> Duration {
    let least = least.as_millis() as u64;
    let most = most.as_millis() as u64;
    Duration::from_millis(fastrand::u64(least..=most.max(least)))
}
