//! The evidence about parts of prompts that this host has.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use linnet_quarantine::{
    CrashKey, OriginTag, PartCrash, PartKey, PartRecord, PartStatus, PartStore, RequestKey, RunTag,
};
use tokio::sync::watch;

use super::account_of;
use super::keys::{part_keys, part_subjects};
use crate::caller_request::CallerRequest;
use crate::completed_runs::{CompletedRun, CompletedRuns};
use crate::prompt::Prompt;

/// Number of earlier completed runs that this host reports of a part with a new record.
const REPORTED_RUNS: usize = 16;

/// A request with a prompt that was in flight at a target when it crashed, or ended right before.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InterruptedPrompt<'a> {
    pub(crate) request: RequestKey,
    pub(crate) account: &'a str,
    pub(crate) prompt: &'a Prompt,
    /// Its run, if that counted before the crash.
    pub(crate) counted_run: Option<RunTag>,
}

/// Tracks the parts of prompts that may crash targets.
#[derive(Default)]
pub(crate) struct PartTracker {
    pub(super) store: RefCell<PartStore>,
    pub(super) changes: watch::Sender<u64>,
    /// Wakes waiting requests when other parts are held than before.
    pub(super) held_changes: watch::Sender<u64>,
    pub(super) completed: RefCell<CompletedRuns>,
}

impl PartTracker {
    /// Returns the status of a request of a service.
    pub(crate) fn status(&self, service: &str, request: &CallerRequest) -> PartStatus {
        let Some(prompt) = &request.prompt else {
            return PartStatus::Clear;
        };
        if self.store.borrow().is_empty() {
            return PartStatus::Clear;
        }
        let keys = part_keys(service, account_of(request), prompt);
        let now = Instant::now();
        let mut store = self.store.borrow_mut();
        store.decide_due(now);
        let status = store.status(&keys, now);
        drop(store);
        self.notify_changes();
        status
    }

    /// Returns the record of a part, if there is one.
    pub(crate) fn record(&self, key: PartKey) -> Option<PartRecord> {
        self.store.borrow().record(key, Instant::now())
    }

    /// Returns whether a part has a record.
    pub(crate) fn contains(&self, key: PartKey) -> bool {
        self.store.borrow().contains(key)
    }

    /// Returns whether a request with a held part may run now as a trial.
    pub(crate) fn is_trial_due(&self, key: PartKey) -> bool {
        let now = Instant::now();
        let mut store = self.store.borrow_mut();
        store.decide_due(now);
        store.is_trial_due(key, now)
    }

    /// Records that a request with a held part runs as a trial.
    pub(crate) fn record_trial(&self, key: PartKey) {
        self.store.borrow_mut().record_trial(key, Instant::now());
        self.notify_changes();
    }

    /// Records that a request with a held part was refused.
    pub(crate) fn record_refusal(&self, key: PartKey) {
        self.store.borrow_mut().record_refusal(key, Instant::now());
        self.notify_changes();
    }

    /// Returns the crashes that held parts explain.
    pub(super) fn attributed_crashes(&self) -> BTreeSet<CrashKey> {
        self.store.borrow().attributed_crashes()
    }

    /// Returns how many parts are held, and how many have crashes recorded.
    pub(crate) fn counts(&self) -> (usize, usize) {
        self.store.borrow().counts()
    }

    /// Sets whether this host is out of contact with all control hosts.
    pub(crate) fn set_isolated(&self, is_isolated: bool, now: Instant) {
        let mut store = self.store.borrow_mut();
        store.set_isolated(is_isolated, now);
    }

    /// Records the crash of a target where a request was in flight, against all parts of its prompt;
    /// returns those that are new to this host.
    pub(super) fn add_crash(
        &self,
        crash: CrashKey,
        service: &str,
        interrupted: &InterruptedPrompt<'_>,
    ) -> Vec<PartKey> {
        let now = Instant::now();
        let part_crash = PartCrash {
            crash,
            request: OriginTag::of_request(interrupted.request),
            account: OriginTag::of_account(interrupted.account),
        };
        let mut store = self.store.borrow_mut();
        let mut new = Vec::new();
        for subject in part_subjects(service, interrupted.account, interrupted.prompt) {
            if !store.contains(subject.key) {
                new.push(subject.key);
            }
            store.add_crash(&subject, part_crash, now);
        }
        new
    }

    /// Takes back the runs that counted before a crash interrupted their answers.
    pub(super) fn retract_runs(&self, service: &str, interrupted: &[InterruptedPrompt<'_>]) {
        let mut completed = self.completed.borrow_mut();
        let mut store = self.store.borrow_mut();
        for one in interrupted {
            let Some(run) = one.counted_run else {
                continue;
            };
            completed.forget(run);
            for key in part_keys(service, one.account, one.prompt) {
                store.retract_run(key, run);
            }
        }
    }

    /// Adds the last completed runs with parts that are new to this host.
    pub(super) fn report_runs(&self, new: &[PartKey]) {
        if new.is_empty() {
            return;
        }
        let mut reported: HashMap<PartKey, usize> = new.iter().map(|key| (*key, 0)).collect();
        let mut store = self.store.borrow_mut();
        for run in self.completed.borrow().settled() {
            for key in part_keys(&run.service, &run.account, &run.prompt) {
                if let Some(count) = reported
                    .get_mut(&key)
                    .filter(|count| **count < REPORTED_RUNS)
                {
                    store.add_run(key, run.tag);
                    *count += 1;
                }
            }
        }
    }

    /// Counts a run for the parts of its prompt.
    pub(super) fn add_run(&self, run: CompletedRun) {
        let mut completed = self.completed.borrow_mut();
        let mut store = self.store.borrow_mut();
        let is_deciding = !store.is_empty() && {
            let keys = part_keys(&run.service, &run.account, &run.prompt);
            for key in &keys {
                store.add_run(*key, run.tag);
            }
            store.is_deciding(&keys)
        };
        completed.add_settled(run);
        drop(store);
        drop(completed);
        // The other hosts learn of it with the next maintenance otherwise.
        if is_deciding {
            self.notify_changes();
        }
    }

    /// Merges records of another process.
    pub(super) fn merge(&self, records: &[PartRecord]) {
        let now = Instant::now();
        let mut store = self.store.borrow_mut();
        let keys = records.iter().map(|record| record.subject.key);
        let new: Vec<PartKey> = keys.filter(|key| !store.contains(*key)).collect();
        for record in records {
            store.merge(record, now);
        }
        drop(store);
        self.report_runs(&new);
        self.notify_changes();
    }

    /// Counts the runs that completed a while ago for the parts of their prompts.
    pub(super) fn settle_runs(&self, now: Instant) {
        let mut completed = self.completed.borrow_mut();
        let settled = completed.settle(now);
        let mut store = self.store.borrow_mut();
        if store.is_empty() {
            return;
        }
        for run in completed.settled().take(settled) {
            for key in part_keys(&run.service, &run.account, &run.prompt) {
                store.add_run(key, run.tag);
            }
        }
    }

    pub(super) fn notify_changes(&self) {
        let store = self.store.borrow();
        let counts = [
            (&self.changes, store.revision()),
            (&self.held_changes, store.held_changes()),
        ];
        for (sender, count) in counts {
            sender.send_if_modified(|published| std::mem::replace(published, count) != count);
        }
    }
}
