//! The restrictions that targets have asked this host to observe, for as long as they apply.
//!
//! They are stored by target ID, separately from the list of targets: a target may be missing from
//! the list for a while, and a host without a connection to a control host has an outdated list,
//! but knows what targets stated in responses to it. The restrictions are checked when a target is
//! chosen, and again right before a request is written, since a response that asks for one may
//! arrive in between.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use linnet_clock::BootInstant;
use linnet_telemetry::{EventCode, EventRecorder, NoticeLine};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::metrics::ForeignLabels;
use crate::notice::TargetNotice;
use crate::rate_tracker::RateTracker;
use crate::send_error::ForeignCause;
use crate::target::TargetStore;
use crate::target_restriction::{BackOff, TargetAvailability, TargetRestriction};

/// The number of targets with restrictions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct NoticeCounts {
    pub(crate) backed_off: usize,
    pub(crate) leaving: usize,
    /// Number of requests that were withheld since this host started.
    pub(crate) withheld: u64,
}

/// The restrictions that targets have asked this host to observe, by target ID.
pub(crate) struct NoticeStore {
    restrictions: RefCell<HashMap<String, TargetRestriction>>,
    /// Used to look up the start time and service of targets with restrictions.
    targets: Rc<RefCell<TargetStore>>,
    withheld: Cell<u64>,
    /// The rate limits of the targets.
    pub(crate) rates: RateTracker,
    recorder: Arc<EventRecorder>,
    foreign_responses: Family<ForeignLabels, Counter>,
}

impl NoticeStore {
    pub(crate) fn new(recorder: Arc<EventRecorder>, targets: Rc<RefCell<TargetStore>>) -> Self {
        Self {
            restrictions: RefCell::default(),
            rates: RateTracker::new(recorder.clone(), targets.clone()),
            targets,
            withheld: Cell::new(0),
            recorder,
            foreign_responses: Family::default(),
        }
    }

    /// Sets the counters of responses that belong to other requests.
    pub(crate) fn with_foreign_counters(
        mut self,
        counters: Family<ForeignLabels, Counter>,
    ) -> Self {
        self.foreign_responses = counters;
        self
    }

    /// Applies a new list of targets. Restrictions that an earlier incarnation of a target asked
    /// for are removed.
    pub(crate) fn apply_target_list(&self, now: BootInstant) {
        self.rates.apply_target_list();
        let targets = self.targets.borrow();
        let mut restrictions = self.restrictions.borrow_mut();
        restrictions.retain(|id, restriction| {
            let Some((service, target)) = targets.find_by_id(id) else {
                return true;
            };
            service.clone_into(&mut restriction.service);
            restriction.applies_to_incarnation(target.born, now)
        });
    }

    /// Records what the headers of a response state about its target; the request was sent at
    /// `sent_at`.
    pub(crate) fn record_response(&self, target: &str, notice: TargetNotice, sent_at: BootInstant) {
        let now = BootInstant::now();
        self.rates
            .record_notice(target, notice.rate_limit, sent_at, now);
        self.apply_notice(target, notice, now);
    }

    fn apply_notice(&self, target: &str, notice: TargetNotice, now: BootInstant) {
        let mut restrictions = self.restrictions.borrow_mut();
        if !notice.stops_work() {
            if let Some(restriction) = restrictions.get_mut(target) {
                self.end_back_off(target, restriction, now);
            }
            return;
        }
        let restriction = restrictions.entry(target.to_owned()).or_insert_with(|| {
            let targets = self.targets.borrow();
            let known = targets.find_by_id(target);
            let service = known.map_or("", |(service, _)| service);
            TargetRestriction::new(service, known.map(|(_, one)| one.born), now)
        });
        restriction.mark_asked();
        if let Some(wait) = notice.back_off {
            self.start_back_off(target, restriction, wait, now);
        }
        if notice.leaving && !restriction.leaving {
            restriction.leaving = true;
            let detail = format!("service={} cause=said in an answer", restriction.service);
            let code = EventCode::TargetLeaving;
            self.recorder.record(code, target, detail);
        }
    }

    /// Handles a response that asks for nothing. Only after the back-off has elapsed does it prove
    /// that the target accepts requests again: before, it answers an earlier request.
    fn end_back_off(&self, target: &str, restriction: &mut TargetRestriction, now: BootInstant) {
        if let Some(back_off) = restriction.back_off.take_if(|one| one.has_elapsed(now)) {
            self.record_reopened(target, restriction, &back_off, "answered", now);
        }
    }

    fn start_back_off(
        &self,
        target: &str,
        restriction: &mut TargetRestriction,
        wait: Duration,
        now: BootInstant,
    ) {
        let previous_left = restriction.extend_back_off(wait, now);
        let detail = format!(
            "service={} wait_ms={} former_left_ms={}",
            restriction.service,
            wait.as_millis(),
            previous_left.as_millis()
        );
        let code = EventCode::TargetBackedOff;
        self.recorder.record(code, target, detail);
    }

    fn record_reopened(
        &self,
        target: &str,
        restriction: &TargetRestriction,
        back_off: &BackOff,
        cause: &str,
        now: BootInstant,
    ) {
        let detail = format!(
            "service={} lasted_ms={} withheld={} cause={cause}",
            restriction.service,
            back_off.elapsed(now).as_millis(),
            back_off.withheld
        );
        let code = EventCode::TargetReopened;
        self.recorder.record(code, target, detail);
    }

    /// Returns whether a target may receive requests of this host.
    pub(crate) fn availability(&self, target: &str, now: BootInstant) -> TargetAvailability {
        let restrictions = self.restrictions.borrow();
        let restriction = restrictions.get(target);
        let availability = restriction.map_or(TargetAvailability::Open, |restriction| {
            restriction.availability(now)
        });
        let rate_limited_for = self.rates.unavailable_for(target, now);
        if availability == TargetAvailability::Open && !rate_limited_for.is_zero() {
            return TargetAvailability::RateLimited(rate_limited_for);
        }
        availability
    }

    /// Returns whether a target has asked this host to back off.
    pub(crate) fn is_backed_off(&self, target: &str) -> bool {
        let availability = self.availability(target, BootInstant::now());
        matches!(availability, TargetAvailability::BackedOff(_))
    }

    /// Returns those of the given targets that may receive no requests of this host now.
    pub(crate) fn closed_targets<'a>(
        &self,
        targets: impl Iterator<Item = &'a String>,
    ) -> Vec<String> {
        // Fast path: this runs for each request, and mostly there are no restrictions.
        if self.restrictions.borrow().is_empty() && self.rates.is_empty() {
            return Vec::new();
        }
        let now = BootInstant::now();
        let closed = targets.filter(|id| self.availability(id, now) != TargetAvailability::Open);
        closed.cloned().collect()
    }

    /// Records a response of a target that belongs to another request than the one in whose place it
    /// was received.
    pub(crate) fn record_foreign_response(
        &self,
        target: &str,
        cause: ForeignCause,
        id: &HeaderValue,
    ) {
        let labels = ForeignLabels {
            cause: cause.label(),
        };
        self.foreign_responses.get_or_create(&labels).inc();
        let (code, id) = (EventCode::AnswerDropped, id.to_str().unwrap_or_default());
        let detail = format!("the response has {cause}; its connection is closed");
        self.recorder.record_request(code, id, target, detail);
    }

    /// Counts a request that was withheld.
    pub(crate) fn count_withheld(&self, target: &str) {
        self.rates.count_withheld(target);
        self.withheld.set(self.withheld.get() + 1);
        let mut restrictions = self.restrictions.borrow_mut();
        let restriction = restrictions.get_mut(target);
        if let Some(back_off) = restriction.and_then(|restriction| restriction.back_off.as_mut()) {
            back_off.withheld += 1;
        }
    }

    /// Records that something is sent. Returns whether it is the trial request after a back-off.
    pub(crate) fn begin_trial(&self, target: &str, now: BootInstant) -> bool {
        let mut restrictions = self.restrictions.borrow_mut();
        let restriction = restrictions.get_mut(target);
        let back_off = restriction.and_then(|restriction| restriction.back_off.as_mut());
        let is_trial = back_off.is_some();
        back_off.into_iter().for_each(|one| one.begin_trial(now));
        is_trial
    }

    /// Returns whether the back-off of a target has elapsed, even if a trial request is in
    /// progress.
    pub(crate) fn back_off_has_elapsed(&self, target: &str, now: BootInstant) -> bool {
        let restrictions = self.restrictions.borrow();
        let restriction = restrictions.get(target);
        let back_off = restriction.and_then(|restriction| restriction.back_off);
        back_off.is_none_or(|one| one.has_elapsed(now))
    }

    /// Removes expired restrictions.
    pub(crate) fn expire(&self, now: BootInstant) {
        self.rates.expire(now);
        let targets = self.targets.borrow();
        let mut restrictions = self.restrictions.borrow_mut();
        restrictions.retain(|id, restriction| {
            if let Some(back_off) = restriction.take_untried(now) {
                self.record_reopened(id, restriction, &back_off, "not tried", now);
            }
            restriction.expire_leaving(targets.find_by_id(id).is_some(), now);
            restriction.back_off.is_some() || restriction.leaving
        });
    }

    /// Describes the restrictions for operators, ordered by service and target.
    pub(crate) fn lines(&self, now: BootInstant) -> Vec<NoticeLine> {
        let restrictions = self.restrictions.borrow();
        let lines = restrictions
            .iter()
            .map(|(id, restriction)| restriction.line(id, now));
        let mut lines: Vec<NoticeLine> = lines.collect();
        self.rates.add_lines(&mut lines);
        lines.sort_by(|a, b| (&a.service, &a.target).cmp(&(&b.service, &b.target)));
        lines
    }

    /// Returns the number of targets with restrictions.
    pub(crate) fn counts(&self, now: BootInstant) -> NoticeCounts {
        let restrictions = self.restrictions.borrow();
        let mut counts = NoticeCounts {
            withheld: self.withheld.get(),
            ..NoticeCounts::default()
        };
        for restriction in restrictions.values() {
            match restriction.availability(now) {
                TargetAvailability::Open | TargetAvailability::RateLimited(_) => {}
                TargetAvailability::BackedOff(_) => counts.backed_off += 1,
                TargetAvailability::Leaving => counts.leaving += 1,
            }
        }
        counts
    }
}

#[cfg(test)]
mod tests;
