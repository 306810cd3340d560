//! What this host knows of requests that may end targets.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;
use std::time::Instant;

use linnet_directory::SuspectSource;
use linnet_quarantine::{
    ChangedSuspects, EndKey, RequestKey, RequestStanding, RequestSubject, SuspectBook,
    SuspectRecord,
};
use linnet_telemetry::EventCode;
use tokio::sync::watch;

use crate::Gateway;
use crate::caller_request::CallerRequest;
use crate::confinement::RememberedTargets;
use crate::target::TargetBook;

/// What this host knows of requests that may end targets.
#[derive(Default)]
pub(crate) struct SuspectWatch {
    book: RefCell<SuspectBook>,
    changes: watch::Sender<u64>,
    /// Requests that this host lets run now, for all hosts.
    turns: RefCell<HashSet<RequestKey>>,
    /// Accounts whose requests are confined to a share of the targets.
    confined: RefCell<BTreeSet<String>>,
    /// The targets among which their share is chosen.
    remembered: RefCell<RememberedTargets>,
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
    pub(crate) fn standing(&self, ask: &CallerRequest) -> RequestStanding {
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

    /// Notes that a target ended while a request ran there; says whether that is news.
    pub(crate) fn accuse(&self, subject: &RequestSubject, end: EndKey) -> bool {
        let mut book = self.book.borrow_mut();
        let news = book.accuse(subject, end, Instant::now());
        drop(book);
        self.tell_changes();
        news
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
        ask: &CallerRequest,
    ) -> Vec<String> {
        let confined = self.confined.borrow();
        if confined.is_empty() {
            return Vec::new();
        }
        let own = ask.account.as_ref();
        let is_confined = own.is_some_and(|own| confined.contains(own));
        let remembered = self.remembered.borrow();
        remembered.closed_targets(book, service, is_confined)
    }

    /// Notes which targets there are, while something stands against a request.
    fn remember_targets(&self, book: &TargetBook, now: Instant) {
        let mut remembered = self.remembered.borrow_mut();
        match self.book.borrow().is_empty() {
            true => remembered.clear(),
            false => remembered.note(book, now),
        }
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
        let mut book = self.book.borrow_mut();
        book.settle(now);
        let past = book.expire(now);
        drop(book);
        self.tell_changes();
        past
    }
}

impl Gateway {
    /// Returns what this host holds against requests, for the control hosts.
    pub fn suspect_source(self: &Rc<Self>) -> SuspectSource {
        let gateway = self.clone();
        SuspectSource {
            changes: self.suspects.changes(),
            changed_after: Box::new(move |ask| {
                let changed = gateway.suspects.changed_after(ask.after, ask.limit);
                (changed.records, changed.number)
            }),
        }
    }

    /// Notes that a target answered a request whole, which speaks for the request.
    pub(crate) fn note_whole_run(&self, ask: &CallerRequest, target: &str) {
        if self.suspects.book.borrow().is_empty() {
            return;
        }
        let subject = ask.subject();
        if self.suspects.book.borrow_mut().acquit(subject.key) {
            let code = EventCode::RequestAcquitted;
            self.record_request_event(code, &ask.id, target, describe(subject));
            self.suspects.tell_changes();
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
            self.record_event(EventCode::RequestHeld, &detail);
        }
        for subject in self.suspects.expire(Instant::now()) {
            let detail = format!("{} cause=not seen for long", describe(&subject));
            self.record_event(EventCode::RequestReleased, &detail);
        }
        self.suspects
            .remember_targets(&self.targets.borrow(), Instant::now());
        if let Some(accounts) = self.suspects.look_for_confined(Instant::now()) {
            let detail = format!("accounts={}", accounts.join(","));
            self.record_event(EventCode::AccountsConfined, &detail);
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
