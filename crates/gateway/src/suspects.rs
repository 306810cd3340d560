//! What this host knows of requests that may end targets, and how it finds that a target has ended.
//!
//! A connection that breaks is no evidence: targets break answers off, connections are reset, halls are cut.
//! So the target is called anew. Where nothing listens any more it has ended, and all that this host had
//! running there is accused. Where no answer comes, its next start tells.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::{
    ChangedSuspects, EndKey, RequestKey, RequestStanding, RequestSubject, SuspectBook,
    SuspectRecord,
};
use linnet_telemetry::EventCode;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use crate::Gateway;
use crate::ask::Ask;
use crate::confinement::closed_targets;
use crate::coordinator::DueCall;
use crate::target::{Chosen, TargetBook};
use crate::upstream::ProbeOutcome;

/// How long a request waits to hear whether its target has ended, before it is sent to another one. A target
/// that listens or has ended answers within a round trip between halls, some 2 ms; one that does not
/// answer says nothing.
pub(crate) const PROBE_PATIENCE: Duration = Duration::from_millis(25);

/// How long an end is known here, for requests that hear of their broken connection later than others.
const END_KEPT: Duration = Duration::from_secs(5);

/// How long the next start of a target that did not answer is waited for.
const START_AWAITED: Duration = Duration::from_secs(15);

/// A request that was in flight at a target when its connection broke.
struct CutRequest {
    /// The identity of this sending, for the log.
    id: String,
    subject: RequestSubject,
    ran: Duration,
}

/// What is known of the end of a target.
enum EndState {
    /// The target is being called.
    Probing {
        cut: Vec<CutRequest>,
        waiting: Vec<oneshot::Sender<()>>,
    },
    /// It has ended.
    Ended(Instant),
}

/// A target that broke its connections and did not answer.
struct SilentTarget {
    service: String,
    chosen: Chosen,
    cut: Vec<CutRequest>,
    since: Instant,
}

/// What this host knows of requests that may end targets.
#[derive(Default)]
pub(crate) struct SuspectWatch {
    book: RefCell<SuspectBook>,
    changes: watch::Sender<u64>,
    ends: RefCell<HashMap<EndKey, EndState>>,
    silent: RefCell<Vec<SilentTarget>>,
    /// Requests that this host lets run now, for all hosts.
    turns: RefCell<HashSet<RequestKey>>,
    /// Accounts whose requests are confined to a share of the targets.
    confined: RefCell<BTreeSet<String>>,
}

impl SuspectWatch {
    /// Returns a receiver of the number of the newest change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the first records that changed after a change number.
    pub(crate) fn changed_after(&self, number: u64, most: usize) -> ChangedSuspects {
        let book = self.book.borrow();
        book.changed_after(number, most, Instant::now())
    }

    /// Returns what holds of a request.
    pub(crate) fn standing(&self, ask: &Ask) -> RequestStanding {
        if self.book.borrow().is_empty() {
            return RequestStanding::Free;
        }
        self.standing_of(ask.subject().key)
    }

    pub(crate) fn standing_of(&self, key: RequestKey) -> RequestStanding {
        let now = Instant::now();
        let mut book = self.book.borrow_mut();
        book.settle(now);
        let standing = book.standing(key, now);
        drop(book);
        self.tell_changes();
        standing
    }

    /// Returns what is held against a request.
    pub(crate) fn record(&self, key: RequestKey) -> Option<SuspectRecord> {
        self.book.borrow().record(key, Instant::now())
    }

    pub(crate) fn note_trial(&self, key: RequestKey) {
        self.book.borrow_mut().note_trial(key, Instant::now());
        self.tell_changes();
    }

    pub(crate) fn note_refused(&self, key: RequestKey) {
        self.book.borrow_mut().note_refused(key, Instant::now());
        self.tell_changes();
    }

    /// Returns how many requests are held, and against how many something stands.
    pub(crate) fn counts(&self) -> (usize, usize) {
        self.book.borrow().counts()
    }

    /// Counts a request as running; says whether it was not before.
    pub(crate) fn begin_turn(&self, key: RequestKey) -> bool {
        self.turns.borrow_mut().insert(key)
    }

    /// Notes that it does not run any more.
    pub(crate) fn end_turn(&self, key: RequestKey) {
        self.turns.borrow_mut().remove(&key);
    }

    /// Returns the targets of a service that a request must not use since some accounts are confined to others;
    /// none where no account is.
    pub(crate) fn closed_targets(
        &self,
        book: &TargetBook,
        service: &str,
        ask: &Ask,
    ) -> Vec<String> {
        let confined = self.confined.borrow();
        if confined.is_empty() {
            return Vec::new();
        }
        let own = ask.account.as_ref();
        closed_targets(book, service, own.is_some_and(|own| confined.contains(own)))
    }

    /// Looks which accounts are confined; returns them where that has changed.
    fn look_for_confined(&self, now: Instant) -> Option<Vec<String>> {
        let found = self.book.borrow().confined_accounts(now);
        let mut confined = self.confined.borrow_mut();
        if *confined == found {
            return None;
        }
        confined.clone_from(&found);
        Some(found.into_iter().collect())
    }

    /// Returns the records of requests that came to be held here since this was last asked.
    fn drain_held(&self) -> Vec<SuspectRecord> {
        self.book.borrow_mut().drain_held(Instant::now())
    }

    fn tell_changes(&self) {
        let number = self.book.borrow().number();
        self.changes
            .send_if_modified(|told| std::mem::replace(told, number) != number);
    }

    /// Decides and forgets what is old; returns the requests that were held until then.
    fn expire(&self, now: Instant) -> Vec<RequestSubject> {
        let mut ends = self.ends.borrow_mut();
        ends.retain(|_, state| match state {
            EndState::Probing { .. } => true,
            EndState::Ended(at) => now.saturating_duration_since(*at) < END_KEPT,
        });
        let mut silent = self.silent.borrow_mut();
        silent.retain(|one| now.saturating_duration_since(one.since) < START_AWAITED);
        let mut book = self.book.borrow_mut();
        book.settle(now);
        let past = book.expire(now);
        drop(book);
        self.tell_changes();
        past
    }

    /// Takes those silent targets out of which the list of targets has another start.
    fn started_anew(&self, targets: &TargetBook) -> Vec<SilentTarget> {
        let mut silent = self.silent.borrow_mut();
        let all = std::mem::take(&mut *silent).into_iter();
        let is_over = |one: &SilentTarget| {
            let mut known = targets.of_service(&one.service);
            known.any(|target| {
                target.address == one.chosen.address
                    && (target.id != one.chosen.id || target.born > one.chosen.born)
            })
        };
        let (over, rest) = all.partition(is_over);
        *silent = rest;
        over
    }
}

impl Gateway {
    /// Notes that a target broke the connection while a request was in flight there, and finds out whether
    /// the target has ended. Returns when that is known, or cannot be known soon.
    pub(crate) async fn note_break(
        self: &Rc<Self>,
        service: &str,
        chosen: &Chosen,
        ask: &Ask,
        sent: Instant,
    ) {
        // A target that was withdrawn ends its connections itself.
        let Some(known) = self.targets.borrow().find(service, &chosen.id) else {
            return;
        };
        let cut = CutRequest {
            id: ask.id.clone(),
            subject: ask.subject().clone(),
            ran: sent.elapsed(),
        };
        if known.born > chosen.born {
            let end = EndKey::new(&chosen.id, chosen.born);
            return self.note_end(service, chosen, end, &[cut]);
        }
        let Some(probed) = self.join_probe(service, chosen, cut) else {
            return;
        };
        // What the probe finds later counts all the same.
        let _ = timeout(PROBE_PATIENCE, probed).await;
    }

    /// Adds a request to those that hear of the call to a target; the first one begins it. Returns nothing
    /// where the target is known to have ended.
    fn join_probe(
        self: &Rc<Self>,
        service: &str,
        chosen: &Chosen,
        request: CutRequest,
    ) -> Option<oneshot::Receiver<()>> {
        let end = EndKey::new(&chosen.id, chosen.born);
        let (done, probed) = oneshot::channel();
        let mut ends = self.suspects.ends.borrow_mut();
        match ends.get_mut(&end) {
            Some(EndState::Ended(_)) => {
                drop(ends);
                self.accuse(chosen, end, &[request]);
                return None;
            }
            Some(EndState::Probing { cut, waiting }) => {
                cut.push(request);
                waiting.push(done);
            }
            None => {
                let state = EndState::Probing {
                    cut: vec![request],
                    waiting: vec![done],
                };
                ends.insert(end, state);
                // Goes on where the caller leaves meanwhile.
                let (service, chosen) = (service.to_owned(), chosen.clone());
                ntex::rt::spawn(probe_target(self.clone(), service, chosen, end));
            }
        }
        Some(probed)
    }

    fn take_probe(&self, service: String, chosen: Chosen, end: EndKey, outcome: ProbeOutcome) {
        let state = self.suspects.ends.borrow_mut().remove(&end);
        let Some(EndState::Probing { cut, .. }) = state else {
            return;
        };
        match outcome {
            ProbeOutcome::Open => {}
            ProbeOutcome::Refused => self.note_end(&service, &chosen, end, &cut),
            ProbeOutcome::Silent => {
                let silent = SilentTarget {
                    service,
                    chosen,
                    cut,
                    since: Instant::now(),
                };
                self.suspects.silent.borrow_mut().push(silent);
            }
        }
    }

    /// Notes that a target has ended while these requests ran there.
    fn note_end(&self, service: &str, chosen: &Chosen, end: EndKey, cut: &[CutRequest]) {
        let state = EndState::Ended(Instant::now());
        self.suspects.ends.borrow_mut().insert(end, state);
        let listed = self.targets.borrow().find(service, &chosen.id);
        if listed.is_some_and(|listed| listed.born == chosen.born) {
            self.note_unreachable(service, &chosen.id, "it has ended");
        }
        self.metrics.targets_ended.inc();
        let keys: Vec<String> = cut.iter().map(|one| one.subject.key.to_string()).collect();
        let detail = format!(
            "service={service} address={} born={} requests={} keys={}",
            chosen.address,
            chosen.born,
            cut.len(),
            keys.join(",")
        );
        let code = EventCode::TargetEnded;
        self.config.recorder.record(code, &chosen.id, detail);
        self.accuse(chosen, end, cut);
    }

    fn accuse(&self, chosen: &Chosen, end: EndKey, cut: &[CutRequest]) {
        let now = Instant::now();
        for one in cut {
            let news = self
                .suspects
                .book
                .borrow_mut()
                .accuse(&one.subject, end, now);
            if news {
                let record = self.suspects.record(one.subject.key);
                let ends = record.map_or(0, |record| record.ends.len());
                let detail = format!(
                    "{} ran_ms={} ends={ends}",
                    describe(&one.subject),
                    one.ran.as_millis()
                );
                let code = EventCode::RequestAccused;
                self.note_request(code, &one.id, &chosen.id, detail);
            }
        }
        self.suspects.tell_changes();
    }

    /// Notes that a target of a stage pool ended under a call with pieces of some requests.
    pub(crate) fn note_call_end(&self, call: &DueCall) {
        let mut cut: Vec<CutRequest> = Vec::new();
        for piece in &call.pieces {
            if cut.iter().all(|one| one.subject.key != piece.key) {
                cut.push(CutRequest {
                    id: piece.work.request.clone(),
                    subject: RequestSubject::unnamed(piece.key),
                    ran: call.began.elapsed(),
                });
            }
        }
        let chosen = Chosen {
            id: call.target.clone(),
            born: call.born,
            address: call.address,
            hall: call.hall.clone(),
        };
        let end = EndKey::new(&chosen.id, chosen.born);
        self.note_end(&call.pool.service, &chosen, end, &cut);
    }

    /// Notes that a target answered a request whole, which speaks for the request.
    pub(crate) fn note_whole_run(&self, ask: &Ask, target: &str) {
        if self.suspects.book.borrow().is_empty() {
            return;
        }
        let subject = ask.subject();
        if self.suspects.book.borrow_mut().acquit(subject.key) {
            let code = EventCode::RequestAcquitted;
            self.note_request(code, &ask.id, target, describe(subject));
            self.suspects.tell_changes();
        }
    }

    /// Accuses the requests that were cut off by targets which did not answer and have started anew.
    pub(crate) fn note_starts(&self) {
        let over = self.suspects.started_anew(&self.targets.borrow());
        for one in over {
            let end = EndKey::new(&one.chosen.id, one.chosen.born);
            self.note_end(&one.service, &one.chosen, end, &one.cut);
        }
    }

    /// Takes what another process holds against requests.
    pub(crate) fn take_suspects(&self, records: &[SuspectRecord]) {
        let now = Instant::now();
        let mut book = self.suspects.book.borrow_mut();
        for record in records {
            book.merge(record, now);
        }
        drop(book);
        self.suspects.tell_changes();
    }

    /// Decides on requests that may end targets, tells which are held, and forgets what is old.
    pub(crate) fn expire_suspects(&self) {
        for record in self.suspects.drain_held() {
            let detail = format!("{} ends={}", describe(&record.subject), record.ends.len());
            self.note(EventCode::RequestHeld, &detail);
        }
        for subject in self.suspects.expire(Instant::now()) {
            let detail = format!("{} cause=not seen for long", describe(&subject));
            self.note(EventCode::RequestReleased, &detail);
        }
        if let Some(accounts) = self.suspects.look_for_confined(Instant::now()) {
            let detail = format!("accounts={}", accounts.join(","));
            self.note(EventCode::AccountsConfined, &detail);
        }
        let (held, known) = self.suspects.counts();
        self.metrics.requests_held.set(held as i64);
        self.metrics.requests_suspected.set(known as i64);
    }
}

/// Describes a request for the log.
pub(crate) fn describe(subject: &RequestSubject) -> String {
    format!(
        "key={} account={} method={} path={}",
        subject.key, subject.account, subject.method, subject.path
    )
}

async fn probe_target(gateway: Rc<Gateway>, service: String, chosen: Chosen, end: EndKey) {
    let address: SocketAddr = chosen.address;
    let outcome = gateway.pool.probe(address).await;
    gateway.take_probe(service, chosen, end, outcome);
}
