//! The parts of prompts that may crash targets, as far as this host knows them.

mod keys;
mod tracker;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Instant;

use linnet_directory::PartSource;
use linnet_quarantine::{
    CrashKey, PartKey, PartRecord, PartStatus, PartSubject, RUN_SETTLE_TIME, RequestKey, RunTag,
};
use linnet_telemetry::EventCode;

use crate::caller_request::CallerRequest;
use crate::completed_runs::CompletedRun;
use crate::run_permit::refuse_suspected;
use crate::target::ChosenTarget;
use crate::{Gateway, Refusal};

pub(crate) use tracker::{InterruptedPrompt, PartTracker};

/// An answer to a prompt, from its first event on.
#[derive(Debug)]
pub(crate) struct AnswerRun {
    tag: RunTag,
    began_at: Instant,
}

impl AnswerRun {
    /// Creates the run of an answer whose first event has arrived, or all of it.
    pub(crate) fn new() -> Self {
        Self {
            tag: RunTag::new(fastrand::u64(..)),
            began_at: Instant::now(),
        }
    }
}

/// Returns the account of a request; empty if its route requires none.
fn account_of(request: &CallerRequest) -> &str {
    request.account.as_deref().unwrap_or_default()
}

/// Returns the run of a request with a prompt, which ends now or counts from now on.
fn completed_run(
    service: &str,
    request: &CallerRequest,
    chosen: &ChosenTarget,
    answer: &AnswerRun,
) -> Option<CompletedRun> {
    Some(CompletedRun {
        tag: answer.tag,
        id: request.id.clone(),
        service: service.to_owned(),
        account: account_of(request).to_owned(),
        prompt: request.prompt.clone()?,
        chosen: chosen.clone(),
        ended_at: Instant::now(),
        is_counted: request.counted_run.get().is_some(),
    })
}

impl Gateway {
    /// Returns the part records of this host, as a source for the control hosts.
    pub fn part_source(self: &Rc<Self>) -> PartSource {
        let gateway = self.clone();
        PartSource {
            changes: self.parts.changes.subscribe(),
            changed_after: Box::new(move |query| {
                let store = gateway.parts.store.borrow();
                let changed = store.changed_after(query.after, query.limit, Instant::now());
                (changed.records, changed.revision)
            }),
        }
    }

    /// Records that a target crashed while requests with prompts were in flight there, or right after
    /// they completed.
    pub(crate) fn accuse_parts<'a>(
        &self,
        service: &str,
        chosen: &ChosenTarget,
        crash: CrashKey,
        interrupted: impl Iterator<Item = InterruptedPrompt<'a>>,
    ) {
        let interrupted: Vec<InterruptedPrompt<'_>> = interrupted.collect();
        let mut completed = self.parts.completed.borrow_mut();
        let ended = completed.take_unsettled(&chosen.id, chosen.born);
        drop(completed);
        let ended_prompts = ended.iter().map(|run| InterruptedPrompt {
            // The key of the request is a hash of its body, which is not computed for every run.
            request: RequestKey::new("", "", [&run.id, ""], b""),
            account: &run.account,
            prompt: &run.prompt,
            counted_run: run.is_counted.then_some(run.tag),
        });
        let accused: Vec<InterruptedPrompt<'_>> =
            interrupted.into_iter().chain(ended_prompts).collect();
        let added = accused
            .iter()
            .map(|one| self.parts.add_crash(crash, service, one));
        let new: Vec<PartKey> = added.flatten().collect();
        self.parts.report_runs(&new);
        self.parts.retract_runs(service, &accused);
        for run in &ended {
            let detail = format!(
                "parts={} ended_ms={}",
                run.prompt.describe_parts(),
                run.ended_at.elapsed().as_millis()
            );
            self.record_request_event(EventCode::PartAccused, &run.id, &chosen.id, detail);
        }
        self.parts.notify_changes();
    }

    /// Records that a target completed a request with a prompt.
    pub(crate) fn record_part_run(
        &self,
        service: &str,
        request: &CallerRequest,
        chosen: &ChosenTarget,
        answer: &AnswerRun,
    ) {
        if let Some(run) = completed_run(service, request, chosen, answer) {
            self.parts.completed.borrow_mut().add(run);
        }
    }

    /// Records that further events of an answer have arrived. Its target has outlived the time in which
    /// a part of the prompt would have crashed it, so the run counts now: many answers last longer than
    /// the time between two crashes.
    pub(crate) fn record_events(
        &self,
        service: &str,
        request: &CallerRequest,
        chosen: &ChosenTarget,
        answer: &AnswerRun,
    ) {
        let is_counted = request.counted_run.get().is_some();
        if is_counted || answer.began_at.elapsed() < RUN_SETTLE_TIME {
            return;
        }
        request.counted_run.set(Some(answer.tag));
        if let Some(run) = completed_run(service, request, chosen, answer) {
            self.parts.add_run(run);
        }
    }

    /// Returns whether a run at a target completed so recently that a crash now would count against
    /// the parts of its prompt.
    pub(crate) fn has_unsettled_run(&self, chosen: &ChosenTarget) -> bool {
        let completed = self.parts.completed.borrow();
        completed.has_unsettled(&chosen.id, chosen.born)
    }

    /// Returns the runs that completed so recently, one for each incarnation of a target.
    pub(crate) fn unsettled_runs(&self) -> Vec<CompletedRun> {
        self.parts.completed.borrow().unsettled_by_target()
    }

    /// Returns whether a request must not be sent to another target after one crashed under it.
    pub(crate) fn may_crash_again(&self, service: &str, request: &CallerRequest) -> bool {
        matches!(
            self.parts.status(service, request),
            PartStatus::Suspect | PartStatus::Held { .. }
        )
    }

    /// Merges part records of another process.
    pub(crate) fn merge_parts(&self, records: &[PartRecord]) {
        if !records.is_empty() {
            self.parts.merge(records);
        }
    }

    /// Counts completed runs, makes the decisions that are due, reports what became held or free, and
    /// removes expired records.
    pub(crate) fn expire_parts(&self) {
        let now = Instant::now();
        self.parts.settle_runs(now);
        let mut store = self.parts.store.borrow_mut();
        store.decide_due(now);
        store.expire(now);
        store.decide_due(now);
        let (held, released) = (store.drain_held(now), store.drain_released());
        drop(store);
        self.suspects.set_explained(self.parts.attributed_crashes());
        self.exchange_trials();
        for record in held {
            let (crashes, runs) = (record.crashes.len(), record.run_count());
            let part = describe_part(&record.subject);
            let origins: BTreeSet<_> = record.crashes.values().flatten().collect();
            let origins = origins.len();
            let detail = format!("{part} crashes={crashes} runs={runs} origins={origins}");
            self.record_event(EventCode::PartHeld, &detail);
        }
        for key in released {
            self.record_event(EventCode::PartReleased, &format!("key={key}"));
        }
        self.parts.notify_changes();
        let (held, known) = self.parts.counts();
        self.metrics.parts_held.set(held as i64);
        self.metrics.parts_suspected.set(known as i64);
    }

    /// Tells requests and parts of each other's trials.
    fn exchange_trials(&self) {
        let mut store = self.parts.store.borrow_mut();
        store.set_request_trials(self.suspects.trial_crashes());
        self.suspects.set_part_trials(store.trial_crashes());
    }

    /// Waits until a request has a held part, while it waits for something else; returns its refusal.
    pub(crate) async fn refuse_when_held(&self, service: &str, request: &CallerRequest) -> Refusal {
        let mut changes = self.parts.held_changes.subscribe();
        loop {
            if let PartStatus::Held {
                part,
                trial_due: false,
            } = self.parts.status(service, request)
            {
                return self.refuse_held_part(part);
            }
            // The sender lives as long as the gateway.
            let _ = changes.changed().await;
        }
    }

    /// Returns the refusal of a request with a held part.
    pub(crate) fn refuse_held_part(&self, key: PartKey) -> Refusal {
        self.parts.record_refusal(key);
        let now = Instant::now();
        let store = self.parts.store.borrow();
        let (is_confirmed, wait) = (store.is_confirmed(key), store.time_to_trial(key, now));
        drop(store);
        let Some(record) = self.parts.record(key) else {
            return refuse_suspected(false, wait, format!("key={key}"));
        };
        let detail = format!(
            "{} targets of {} crashed under requests with part {} of their prompts, the last one or its trial {} ms ago; runs={} trials={} confirmed={is_confirmed} key={key}",
            record.crashes.len(),
            record.subject.service,
            record.subject.id,
            record.age_ms,
            record.run_count(),
            record.trials
        );
        refuse_suspected(is_confirmed, wait, detail)
    }
}

/// Describes a part for the log.
pub(crate) fn describe_part(subject: &PartSubject) -> String {
    format!(
        "key={} service={} account={} part={}",
        subject.key,
        subject.service,
        subject.account.as_deref().unwrap_or("*"),
        subject.id
    )
}
