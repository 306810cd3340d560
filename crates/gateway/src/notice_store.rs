//! What targets have asked of this host, for as long as it holds.
//!
//! It is kept by the identity of the target and apart from the list of targets: a target may leave the list
//! and come back, and a host that hears no control host has an old list, but what it was told it knows.
//! It is looked at where a target is chosen and once more right before the bytes are written, since the
//! answer that restrictions may come in between.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_telemetry::{EventCode, EventRecorder, NoticeLine};

use crate::notice::TargetNotice;
use crate::rate_tracker::RateTracker;
use crate::send_gate::{SendGate, SendKind};
use crate::target::TargetStore;
use crate::target_restriction::{BackOff, TargetAvailability, TargetRestriction};

/// How many targets have asked for something.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct NoticeCounts {
    pub(crate) backed_off: usize,
    pub(crate) leaving: usize,
    /// Sendings that were held back since the start.
    pub(crate) withheld: u64,
}

/// What targets have asked of this host, by their identity.
pub(crate) struct NoticeStore {
    restrictions: RefCell<HashMap<String, TargetRestriction>>,
    /// The targets that take work; births and services of the few that restriction for something are looked up there.
    targets: Rc<RefCell<TargetStore>>,
    withheld: Cell<u64>,
    /// The rates that they named.
    pub(crate) rates: RateTracker,
    recorder: Arc<EventRecorder>,
}

impl NoticeStore {
    pub(crate) fn new(recorder: Arc<EventRecorder>, targets: Rc<RefCell<TargetStore>>) -> Self {
        Self {
            restrictions: RefCell::default(),
            rates: RateTracker::new(recorder.clone(), targets.clone()),
            targets,
            withheld: Cell::new(0),
            recorder,
        }
    }

    /// Looks at a new list of targets that take work. What a former start of one has asked holds no more.
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

    /// Takes what the head of an answer says of its target; the request was sent at `asked`.
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

    /// Takes an answer that restrictions for nothing. Only after the time is over does it prove that the target takes
    /// requests again: before, it answers what came earlier.
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

    /// Says whether a target gets requests of this host.
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

    /// Says whether a target wants no requests of this host for a while.
    pub(crate) fn is_backed_off(&self, target: &str) -> bool {
        let availability = self.availability(target, BootInstant::now());
        matches!(availability, TargetAvailability::BackedOff(_))
    }

    /// Returns those of some targets that get no requests of this host now.
    pub(crate) fn closed_targets<'a>(
        &self,
        targets: impl Iterator<Item = &'a String>,
    ) -> Vec<String> {
        // Most of the time nothing is asked for, and each request restrictions this.
        if self.restrictions.borrow().is_empty() && self.rates.is_empty() {
            return Vec::new();
        }
        let now = BootInstant::now();
        let closed = targets.filter(|id| self.availability(id, now) != TargetAvailability::Open);
        closed.cloned().collect()
    }

    /// Returns the last look before something is sent to a target.
    pub(crate) fn gate<'a>(&'a self, target: &'a str, kind: SendKind) -> SendGate<'a> {
        SendGate::new(self, target, kind)
    }

    /// Counts a sending that was held back.
    pub(crate) fn count_withheld(&self, target: &str) {
        self.rates.count_withheld(target);
        self.withheld.set(self.withheld.get() + 1);
        let mut restrictions = self.restrictions.borrow_mut();
        let restriction = restrictions.get_mut(target);
        if let Some(back_off) = restriction.and_then(|restriction| restriction.back_off.as_mut()) {
            back_off.withheld += 1;
        }
    }

    /// Notes that something is sent. The first after a back-off is_trial the target; says whether this is it.
    pub(crate) fn begin_trial(&self, target: &str, now: BootInstant) -> bool {
        let mut restrictions = self.restrictions.borrow_mut();
        let restriction = restrictions.get_mut(target);
        let back_off = restriction.and_then(|restriction| restriction.back_off.as_mut());
        let is_trial = back_off.is_some();
        back_off.into_iter().for_each(|one| one.begin_trial(now));
        is_trial
    }

    /// Says whether the time that a target asked for is over, whoever is_trial it meanwhile.
    pub(crate) fn back_off_has_elapsed(&self, target: &str, now: BootInstant) -> bool {
        let restrictions = self.restrictions.borrow();
        let restriction = restrictions.get(target);
        let back_off = restriction.and_then(|restriction| restriction.back_off);
        back_off.is_none_or(|one| one.has_elapsed(now))
    }

    /// Forgets what is over.
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

    /// Returns what holds, for operators, by service and target.
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

    /// Returns how many targets have asked for something.
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
