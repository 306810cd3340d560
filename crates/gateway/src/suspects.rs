//! The requests that may crash targets, as far as this host knows them.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_directory::SuspectSource;
use linnet_quarantine::{
    CrashKey, RequestKey, RequestStatus, RequestSubject, SuspectChanges, SuspectRecord,
    SuspectStore,
};
use linnet_telemetry::EventCode;
use tokio::sync::watch;

use crate::Gateway;
use crate::caller_request::CallerRequest;
use crate::confinement::RecentTargets;
use crate::part_suspects::AnswerRun;
use crate::target::{ChosenTarget, TargetStore};

/// Tracks the requests that may crash targets.
#[derive(Default)]
pub(crate) struct SuspectTracker {
    store: RefCell<SuspectStore>,
    changes: watch::Sender<u64>,
    /// Requests that run now with a permit of this host, which issues the permits for all hosts.
    running: RefCell<HashSet<RequestKey>>,
    /// Accounts whose requests are confined to a share of the targets.
    confined: RefCell<BTreeSet<String>>,
    /// The targets from which that share is chosen.
    recent_targets: RefCell<RecentTargets>,
}

impl SuspectTracker {
    /// Returns a receiver of the latest revision.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns at most `max_count` records that changed after a revision, the oldest change first.
    pub(crate) fn changed_after(&self, revision: u64, max_count: usize) -> SuspectChanges {
        let store = self.store.borrow();
        store.changed_after(revision, max_count, Instant::now())
    }

    /// Returns the status of a request.
    pub(crate) fn status(&self, request: &CallerRequest) -> RequestStatus {
        if self.store.borrow().is_empty() {
            return RequestStatus::Clear;
        }
        self.status_of(request.subject().key)
    }

    pub(crate) fn status_of(&self, key: RequestKey) -> RequestStatus {
        let now = Instant::now();
        let mut store = self.store.borrow_mut();
        store.decide_due(now);
        let status = store.status(key, now);
        drop(store);
        self.notify_changes();
        status
    }

    /// Records that a target crashed while a request ran there; returns whether the crash is new
    /// for the request.
    pub(crate) fn record_crash(&self, subject: &RequestSubject, crash: CrashKey) -> bool {
        let mut store = self.store.borrow_mut();
        let is_new = store.add_crash(subject, crash, Instant::now());
        drop(store);
        self.notify_changes();
        is_new
    }

    /// Returns the record of a request, if there is one.
    pub(crate) fn record(&self, key: RequestKey) -> Option<SuspectRecord> {
        self.store.borrow().record(key, Instant::now())
    }

    /// Returns whether a held request is known to crash targets, and the time until its next trial;
    /// `None` if it is not held here.
    pub(crate) fn trial_state(&self, key: RequestKey) -> (bool, Option<Duration>) {
        let store = self.store.borrow();
        let wait = store.time_to_trial(key, Instant::now());
        (store.is_confirmed(key), wait.or(Some(Duration::ZERO)))
    }

    /// Sets the crashes that held parts of prompts explain.
    pub(crate) fn set_explained(&self, crashes: BTreeSet<CrashKey>) {
        self.store.borrow_mut().set_explained(crashes);
        self.notify_changes();
    }

    /// Sets the crashes of targets during trials of held parts of prompts.
    pub(crate) fn set_part_trials(&self, crashes: BTreeSet<CrashKey>) {
        self.store.borrow_mut().set_part_trials(crashes);
    }

    /// Returns the crashes of targets during trials of held requests.
    pub(crate) fn trial_crashes(&self) -> BTreeSet<CrashKey> {
        self.store.borrow().trial_crashes()
    }

    pub(crate) fn record_trial(&self, key: RequestKey) {
        self.store.borrow_mut().record_trial(key, Instant::now());
        self.notify_changes();
    }

    pub(crate) fn record_refusal(&self, key: RequestKey) {
        self.store.borrow_mut().record_refusal(key, Instant::now());
        self.notify_changes();
    }

    /// Returns how many requests are held, and how many have crashes recorded.
    pub(crate) fn counts(&self) -> (usize, usize) {
        self.store.borrow().counts()
    }

    /// Marks a request as running; returns whether it was not running before.
    pub(crate) fn begin_run(&self, key: RequestKey) -> bool {
        self.running.borrow_mut().insert(key)
    }

    /// Marks a request as no longer running.
    pub(crate) fn end_run(&self, key: RequestKey) {
        self.running.borrow_mut().remove(&key);
    }

    /// Returns the targets of a service that a request must not use, since some accounts are
    /// confined to a share of the targets. Empty if no account is.
    pub(crate) fn closed_targets(
        &self,
        targets: &TargetStore,
        service: &str,
        request: &CallerRequest,
    ) -> Vec<String> {
        let confined = self.confined.borrow();
        if confined.is_empty() {
            return Vec::new();
        }
        let account = request.account.as_ref();
        let is_confined = account.is_some_and(|account| confined.contains(account));
        let recent = self.recent_targets.borrow();
        recent.closed_targets(targets, service, is_confined)
    }

    /// Records the listed targets while there are suspects.
    fn record_targets(&self, targets: &TargetStore, now: Instant) {
        let mut recent = self.recent_targets.borrow_mut();
        match self.store.borrow().is_empty() {
            true => recent.clear(),
            false => recent.record(targets, now),
        }
    }

    /// Updates the set of confined accounts; returns it if it has changed.
    fn update_confined(&self, now: Instant) -> Option<Vec<String>> {
        let current = self.store.borrow().confined_accounts(now);
        let mut confined = self.confined.borrow_mut();
        if *confined == current {
            return None;
        }
        confined.clone_from(&current);
        Some(current.into_iter().collect())
    }

    /// Returns the records of requests that became held since the last call.
    fn drain_held(&self) -> Vec<SuspectRecord> {
        self.store.borrow_mut().drain_held(Instant::now())
    }

    fn notify_changes(&self) {
        let revision = self.store.borrow().revision();
        self.changes
            .send_if_modified(|published| std::mem::replace(published, revision) != revision);
    }

    /// Makes the decisions that are due and removes expired records; returns the requests that were
    /// held until then.
    fn expire(&self, now: Instant) -> Vec<RequestSubject> {
        let mut store = self.store.borrow_mut();
        store.decide_due(now);
        let expired = store.expire(now);
        drop(store);
        self.notify_changes();
        expired
    }
}

impl Gateway {
    /// Returns the suspect records of this host, as a source for the control hosts.
    pub fn suspect_source(self: &Rc<Self>) -> SuspectSource {
        let gateway = self.clone();
        SuspectSource {
            changes: self.suspects.changes(),
            changed_after: Box::new(move |query| {
                let changed = gateway.suspects.changed_after(query.after, query.limit);
                (changed.records, changed.revision)
            }),
        }
    }

    /// Records that a target completed a request, which clears the request.
    pub(crate) fn record_complete_run(
        &self,
        service: &str,
        request: &CallerRequest,
        chosen: &ChosenTarget,
        answer: &AnswerRun,
    ) {
        self.record_part_run(service, request, chosen, answer);
        if self.suspects.store.borrow().is_empty() {
            return;
        }
        let subject = request.subject();
        if self.suspects.store.borrow_mut().clear_request(subject.key) {
            let code = EventCode::RequestAcquitted;
            let detail = describe_subject(subject);
            self.record_request_event(code, &request.id, &chosen.id, detail);
            self.suspects.notify_changes();
        }
    }

    /// Records whether this host is out of contact with all control hosts, and so learns nothing about
    /// requests of other hosts.
    pub(crate) fn update_isolation(&self) {
        let is_isolated = !self.directory.borrow().is_connected();
        let now = Instant::now();
        self.suspects
            .store
            .borrow_mut()
            .set_isolated(is_isolated, now);
        self.parts.set_isolated(is_isolated, now);
    }

    /// Merges suspect records of another process.
    pub(crate) fn merge_suspects(&self, records: &[SuspectRecord]) {
        let now = Instant::now();
        let mut store = self.suspects.store.borrow_mut();
        for record in records {
            store.merge(record, now);
        }
        drop(store);
        self.suspects.notify_changes();
    }

    /// Makes the decisions that are due, reports the requests that became held, and removes expired
    /// records.
    pub(crate) fn expire_suspects(&self) {
        for record in self.suspects.drain_held() {
            let detail = format!(
                "{} ends={}",
                describe_subject(&record.subject),
                record.crashes.len()
            );
            self.record_event(EventCode::RequestHeld, &detail);
        }
        for subject in self.suspects.expire(Instant::now()) {
            let detail = format!("{} cause=not seen for long", describe_subject(&subject));
            self.record_event(EventCode::RequestReleased, &detail);
        }
        self.suspects
            .record_targets(&self.targets.borrow(), Instant::now());
        if let Some(accounts) = self.suspects.update_confined(Instant::now()) {
            let detail = format!("accounts={}", accounts.join(","));
            self.record_event(EventCode::AccountsConfined, &detail);
        }
        let (held, known) = self.suspects.counts();
        self.metrics.requests_held.set(held as i64);
        self.metrics.requests_suspected.set(known as i64);
    }
}

/// Describes a request for the log.
pub(crate) fn describe_subject(subject: &RequestSubject) -> String {
    format!(
        "key={} account={} method={} path={}",
        subject.key, subject.account, subject.method, subject.path
    )
}
