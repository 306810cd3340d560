//! What targets have asked of this host, for as long as it holds.
//!
//! It is kept by the identity of the target and apart from the list of targets: a target may leave the list
//! and come back, and a host that hears no control host has an old list, but what it was told it knows.
//! It is looked at where a target is chosen and once more right before the bytes are written, since the
//! answer that asks may come in between.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_telemetry::{EventCode, EventRecorder, NoticeLine};

use crate::notice::TargetNotice;
use crate::rate_watch::RateWatch;
use crate::send_gate::{SendGate, SendKind};
use crate::target::TargetBook;
use crate::target_ask::{BackOff, TargetAsk, TargetStanding};

/// How many targets have asked for something.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct NoticeCounts {
    pub(crate) backed_off: usize,
    pub(crate) leaving: usize,
    /// Sendings that were held back since the start.
    pub(crate) withheld: u64,
}

/// What targets have asked of this host, by their identity.
pub(crate) struct NoticeBook {
    asks: RefCell<HashMap<String, TargetAsk>>,
    /// The targets that take work; births and services of the few that ask for something are looked up there.
    targets: Rc<RefCell<TargetBook>>,
    withheld: Cell<u64>,
    /// The rates that they named.
    pub(crate) rates: RateWatch,
    recorder: Arc<EventRecorder>,
}

impl NoticeBook {
    pub(crate) fn new(recorder: Arc<EventRecorder>, targets: Rc<RefCell<TargetBook>>) -> Self {
        Self {
            asks: RefCell::default(),
            rates: RateWatch::new(recorder.clone(), targets.clone()),
            targets,
            withheld: Cell::new(0),
            recorder,
        }
    }

    /// Looks at a new list of targets that take work. What a former start of one has asked holds no more.
    pub(crate) fn take_list(&self, now: BootInstant) {
        self.rates.take_list();
        let targets = self.targets.borrow();
        let mut asks = self.asks.borrow_mut();
        asks.retain(|id, ask| {
            let Some((service, target)) = targets.find_anywhere(id) else {
                return true;
            };
            service.clone_into(&mut ask.service);
            ask.outlasts(target.born, now)
        });
    }

    /// Takes what the head of an answer says of its target; the request was sent at `asked`.
    pub(crate) fn note(&self, target: &str, notice: TargetNotice, asked: BootInstant) {
        let now = BootInstant::now();
        self.rates.note(target, notice.rate, asked, now);
        self.note_ask(target, notice, now);
    }

    fn note_ask(&self, target: &str, notice: TargetNotice, now: BootInstant) {
        let mut asks = self.asks.borrow_mut();
        if !notice.closes() {
            if let Some(ask) = asks.get_mut(target) {
                self.note_plain_answer(target, ask, now);
            }
            return;
        }
        let ask = asks.entry(target.to_owned()).or_insert_with(|| {
            let targets = self.targets.borrow();
            let known = targets.find_anywhere(target);
            let service = known.map_or("", |(service, _)| service);
            TargetAsk::new(service, known.map(|(_, one)| one.born), now)
        });
        ask.note_asked();
        if let Some(wait) = notice.back_off {
            self.back_off(target, ask, wait, now);
        }
        if notice.leaving && !ask.leaving {
            ask.leaving = true;
            let detail = format!("service={} cause=said in an answer", ask.service);
            let code = EventCode::TargetLeaving;
            self.recorder.record(code, target, detail);
        }
    }

    /// Takes an answer that asks for nothing. Only after the time is over does it prove that the target takes
    /// requests again: before, it answers what came earlier.
    fn note_plain_answer(&self, target: &str, ask: &mut TargetAsk, now: BootInstant) {
        if let Some(back_off) = ask.back_off.take_if(|one| one.is_past(now)) {
            self.record_end(target, ask, &back_off, "answered", now);
        }
    }

    fn back_off(&self, target: &str, ask: &mut TargetAsk, wait: Duration, now: BootInstant) {
        let former_left = ask.extend_back_off(wait, now);
        let detail = format!(
            "service={} wait_ms={} former_left_ms={}",
            ask.service,
            wait.as_millis(),
            former_left.as_millis()
        );
        let code = EventCode::TargetBackedOff;
        self.recorder.record(code, target, detail);
    }

    fn record_end(
        &self,
        target: &str,
        ask: &TargetAsk,
        back_off: &BackOff,
        cause: &str,
        now: BootInstant,
    ) {
        let detail = format!(
            "service={} lasted_ms={} withheld={} cause={cause}",
            ask.service,
            back_off.lasted(now).as_millis(),
            back_off.withheld
        );
        let code = EventCode::TargetReopened;
        self.recorder.record(code, target, detail);
    }

    /// Says whether a target gets requests of this host.
    pub(crate) fn standing(&self, target: &str, now: BootInstant) -> TargetStanding {
        let asks = self.asks.borrow();
        let ask = asks.get(target);
        let asked = ask.map_or(TargetStanding::Open, |ask| ask.standing(now));
        let paced = self.rates.closed_for(target, now);
        if asked == TargetStanding::Open && !paced.is_zero() {
            return TargetStanding::Paced(paced);
        }
        asked
    }

    /// Says whether a target wants no requests of this host for a while.
    pub(crate) fn is_backed_off(&self, target: &str) -> bool {
        let standing = self.standing(target, BootInstant::now());
        matches!(standing, TargetStanding::BackedOff(_))
    }

    /// Returns those of some targets that get no requests of this host now.
    pub(crate) fn closed<'a>(&self, targets: impl Iterator<Item = &'a String>) -> Vec<String> {
        // Most of the time nothing is asked for, and each request asks this.
        if self.asks.borrow().is_empty() && self.rates.is_empty() {
            return Vec::new();
        }
        let now = BootInstant::now();
        let closed = targets.filter(|id| self.standing(id, now) != TargetStanding::Open);
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
        let mut asks = self.asks.borrow_mut();
        let ask = asks.get_mut(target);
        if let Some(back_off) = ask.and_then(|ask| ask.back_off.as_mut()) {
            back_off.withheld += 1;
        }
    }

    /// Notes that something is sent. The first after a back-off tries the target; says whether this is it.
    pub(crate) fn begin_trial(&self, target: &str, now: BootInstant) -> bool {
        let mut asks = self.asks.borrow_mut();
        let ask = asks.get_mut(target);
        let back_off = ask.and_then(|ask| ask.back_off.as_mut());
        let tries = back_off.is_some();
        back_off.into_iter().for_each(|one| one.begin_trial(now));
        tries
    }

    /// Says whether the time that a target asked for is over, whoever tries it meanwhile.
    pub(crate) fn has_waited(&self, target: &str, now: BootInstant) -> bool {
        let asks = self.asks.borrow();
        let ask = asks.get(target);
        let back_off = ask.and_then(|ask| ask.back_off);
        back_off.is_none_or(|one| one.is_past(now))
    }

    /// Forgets what is over.
    pub(crate) fn expire(&self, now: BootInstant) {
        self.rates.expire(now);
        let targets = self.targets.borrow();
        let mut asks = self.asks.borrow_mut();
        asks.retain(|id, ask| {
            if let Some(back_off) = ask.take_untried(now) {
                self.record_end(id, ask, &back_off, "not tried", now);
            }
            ask.expire_leaving(targets.find_anywhere(id).is_some(), now);
            ask.back_off.is_some() || ask.leaving
        });
    }

    /// Returns what holds, for operators, by service and target.
    pub(crate) fn lines(&self, now: BootInstant) -> Vec<NoticeLine> {
        let asks = self.asks.borrow();
        let lines = asks.iter().map(|(id, ask)| ask.line(id, now));
        let mut lines: Vec<NoticeLine> = lines.collect();
        self.rates.add_lines(&mut lines);
        lines.sort_by(|a, b| (&a.service, &a.target).cmp(&(&b.service, &b.target)));
        lines
    }

    /// Returns how many targets have asked for something.
    pub(crate) fn counts(&self, now: BootInstant) -> NoticeCounts {
        let asks = self.asks.borrow();
        let mut counts = NoticeCounts {
            withheld: self.withheld.get(),
            ..NoticeCounts::default()
        };
        for ask in asks.values() {
            match ask.standing(now) {
                TargetStanding::Open | TargetStanding::Paced(_) => {}
                TargetStanding::BackedOff(_) => counts.backed_off += 1,
                TargetStanding::Leaving => counts.leaving += 1,
            }
        }
        counts
    }
}

#[cfg(test)]
mod tests;
