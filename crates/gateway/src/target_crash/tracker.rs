//! The crashes of targets that a host knows of, and the probes in progress.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::{CrashKey, RequestSubject, RunTag};
use tokio::sync::oneshot;

use crate::caller_request::CallerRequest;
use crate::prompt::Prompt;
use crate::target::{ChosenTarget, TargetStore};
use crate::upstream::ProbeOutcome;

/// How long a crash is retained for requests that notice their broken connection later than others.
const CRASH_RETENTION: Duration = Duration::from_secs(5);

/// How long the restart of an unresponsive target is awaited.
pub(super) const RESTART_TIMEOUT: Duration = Duration::from_secs(15);

/// A request that was in flight at a target when its connection broke.
pub(super) struct InterruptedRequest {
    /// The request ID of this sending, for the log.
    pub(super) id: String,
    pub(super) subject: RequestSubject,
    pub(super) prompt: Option<Rc<Prompt>>,
    /// Its run, if that counted for the parts of the prompt before the break.
    pub(super) counted_run: Option<RunTag>,
    pub(super) ran: Duration,
}

impl InterruptedRequest {
    pub(super) fn new(request: &CallerRequest, sent: Instant) -> Self {
        Self {
            id: request.id.clone(),
            subject: request.subject().clone(),
            prompt: request.prompt.clone(),
            counted_run: request.counted_run.get(),
            ran: sent.elapsed(),
        }
    }
}

/// A probe in progress.
#[derive(Default)]
pub(super) struct CrashProbe {
    pub(super) interrupted: Vec<InterruptedRequest>,
    pub(super) waiting: Vec<oneshot::Sender<ProbeOutcome>>,
}

/// What is known of the crashes of a target while one of its incarnations is listed.
#[derive(Default)]
pub(super) struct IncarnationState {
    pub(super) probe: Option<CrashProbe>,
    /// When its crashes were recorded. A target that restarts is listed with its new incarnation only
    /// after its next heartbeat, and may crash again before.
    pub(super) crashes: Vec<Instant>,
}

impl IncarnationState {
    /// Returns the number of the first crash that was recorded after a request was sent.
    pub(super) fn crash_after(&self, sent: Instant) -> Option<usize> {
        self.crashes.iter().position(|at| sent <= *at)
    }

    /// Returns whether the target accepted a connection after its last crash.
    pub(super) fn is_up_again(&self, accepted_at: Option<Instant>) -> bool {
        let last = self.crashes.last();
        last.is_some_and(|last| accepted_at.is_some_and(|at| at > *last))
    }

    /// Records a crash and returns its number. It is another one than the last only if the target was
    /// up in between.
    pub(super) fn record_crash(&mut self, is_another: bool, now: Instant) -> usize {
        let may_add = is_another && self.crashes.len() < CrashKey::MAX_CRASHES;
        match self.crashes.last_mut() {
            Some(last) if !may_add => *last = now,
            _ => self.crashes.push(now),
        }
        self.crashes.len() - 1
    }
}

/// A target whose connections broke, and that did not answer the probe or may have answered it after a
/// restart.
pub(super) struct UnresponsiveTarget {
    pub(super) service: String,
    pub(super) chosen: ChosenTarget,
    pub(super) interrupted: Vec<InterruptedRequest>,
    pub(super) since: Instant,
}

/// Crashes of targets that this host knows of or is probing for.
#[derive(Default)]
pub(crate) struct CrashTracker {
    /// By the key of the first crash of the incarnation.
    pub(super) states: RefCell<HashMap<CrashKey, IncarnationState>>,
    pub(super) unresponsive: RefCell<Vec<UnresponsiveTarget>>,
}

impl CrashTracker {
    /// Removes expired entries.
    pub(crate) fn expire(&self, now: Instant) {
        self.states.borrow_mut().retain(|_, state| {
            let last = state.crashes.last();
            let is_recent = |at: &Instant| now.saturating_duration_since(*at) < CRASH_RETENTION;
            state.probe.is_some() || last.is_some_and(is_recent)
        });
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|one| now.saturating_duration_since(one.since) < RESTART_TIMEOUT);
    }

    /// Returns the key of the first crash of a target that was recorded after a request was sent there.
    pub(super) fn crash_after(&self, chosen: &ChosenTarget, sent: Instant) -> Option<CrashKey> {
        let first = first_crash(chosen);
        let number = self.states.borrow().get(&first)?.crash_after(sent)?;
        Some(first.nth(number))
    }

    /// Returns whether a target accepted a connection after the last crash that is recorded for its
    /// incarnation.
    pub(super) fn is_up_again(&self, chosen: &ChosenTarget, accepted_at: Option<Instant>) -> bool {
        let states = self.states.borrow();
        let state = states.get(&first_crash(chosen));
        state.is_some_and(|state| state.is_up_again(accepted_at))
    }

    /// Awaits the restart of a target that is unresponsive, longer if it is awaited already.
    pub(super) fn await_restart(&self, target: UnresponsiveTarget) {
        let mut unresponsive = self.unresponsive.borrow_mut();
        let known = unresponsive.iter_mut().find(|one| {
            one.service == target.service && first_crash(&one.chosen) == first_crash(&target.chosen)
        });
        match known {
            Some(known) => {
                known.interrupted.extend(target.interrupted);
                known.since = target.since;
            }
            None => unresponsive.push(target),
        }
    }

    /// Removes and returns the unresponsive targets of which a newer incarnation is listed.
    pub(super) fn take_restarted(&self, targets: &TargetStore) -> Vec<UnresponsiveTarget> {
        let mut unresponsive = self.unresponsive.borrow_mut();
        let all = std::mem::take(&mut *unresponsive).into_iter();
        let has_restarted = |one: &UnresponsiveTarget| {
            let mut known = targets.of_service(&one.service);
            known.any(|target| {
                target.address == one.chosen.address
                    && (target.id != one.chosen.id || target.born > one.chosen.born)
            })
        };
        let (restarted, rest) = all.partition(has_restarted);
        *unresponsive = rest;
        restarted
    }
}

/// Returns the key of the first crash of a target while the chosen incarnation is listed.
pub(super) fn first_crash(chosen: &ChosenTarget) -> CrashKey {
    CrashKey::new(&chosen.id, chosen.born)
}
