//! What targets have asked of this host, for as long as it holds.
//!
//! It is kept by the identity of the target and apart from the list of targets: a target may leave the list
//! and come back, and a host that hears no control host has an old list, but what it was told it knows.
//! It is looked at where a target is chosen and once more right before the bytes are written, since the
//! answer that asks may come in between.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use linnet_clock::BootInstant;
use linnet_directory::TargetRecord;
use linnet_telemetry::{EventCode, EventRecorder};

use crate::notice::TargetNotice;

/// By how much longer than it asked a target is left alone, drawn anew each time, as a part of the time and
/// at most: hosts that were answered in one moment should not all come back in one.
const SPREAD_PART: f64 = 0.1;
const SPREAD_MOST: Duration = Duration::from_millis(250);

/// How long the answer to the first request after a back-off is waited for before a second one may go. Until
/// one has come, the target gets one at a time.
const TRIAL_PATIENCE: Duration = Duration::from_millis(500);

/// How long after its end a back-off is remembered where no request comes that could try the target.
const UNTRIED_KEPT: Duration = Duration::from_secs(2);

/// How long it is remembered that a target leaves after it was last in the list of those that take work. A
/// heartbeat that comes late may put it there again.
const LEAVING_KEPT: Duration = Duration::from_secs(600);

/// How long a leaving target that may be a former start is taken for the one in the list, see
/// [`TargetAsk::outlasts`]. One that leaves says so again in its next answer.
const DOUBT_KEPT: Duration = Duration::from_secs(30);

/// Whether a target gets requests of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetStanding {
    /// It does.
    Open,
    /// Not for so long.
    BackedOff(Duration),
    /// No new work any more.
    Leaving,
}

/// What is sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendKind {
    /// Something to run.
    Work,
    /// A word about work that it has done, which one that leaves takes as well.
    Word,
}

/// The time for which a target wants no requests.
#[derive(Debug, Clone, Copy)]
struct BackOff {
    since: BootInstant,
    until: BootInstant,
    /// Sendings that were held back.
    withheld: u64,
    /// When the request was sent that tries whether the target takes requests again.
    tried: Option<BootInstant>,
}

impl BackOff {
    /// Returns how much longer it lasts for others than the request that tries.
    fn left(&self, now: BootInstant) -> Duration {
        let trial_ends = self.tried.map(|at| at + TRIAL_PATIENCE);
        self.until.max(trial_ends.unwrap_or_default()) - now
    }
}

/// What one start of a target has asked.
#[derive(Debug, Clone, Default)]
struct TargetAsk {
    /// When that start began, see [`TargetRecord::born`]; nothing until the target is in a list.
    born: Option<u64>,
    back_off: Option<BackOff>,
    leaving: bool,
    /// When it was last known to be in the list of targets that take work.
    listed: BootInstant,
    /// The Unix millisecond at which it said so last.
    said_at: u64,
    /// Until when it is taken for the start in the list where that is not sure.
    doubted_until: Option<BootInstant>,
}

impl TargetAsk {
    /// Says whether what was asked holds for a start that is now in the list, which began at `born`.
    ///
    /// A target answers before its registration has reached this host, which then takes it for the start before:
    /// with starts 90 ms ahead of their registration, hosts forgot what the new one had said and sent it more. A
    /// start that began before the word was said may be the one that said it. Clocks differ, so this is not
    /// believed for long.
    fn outlasts(&mut self, born: u64, now: BootInstant) -> bool {
        if born <= *self.born.get_or_insert(born) {
            return true;
        }
        self.born = Some(born);
        self.doubted_until = Some(now + DOUBT_KEPT);
        born <= self.said_at
    }

    fn standing(&self, now: BootInstant) -> TargetStanding {
        if self.leaving {
            return TargetStanding::Leaving;
        }
        let left = self.back_off.map_or(Duration::ZERO, |one| one.left(now));
        if left.is_zero() {
            TargetStanding::Open
        } else {
            TargetStanding::BackedOff(left)
        }
    }
}

#[derive(Default)]
struct BookState {
    asks: HashMap<String, TargetAsk>,
    /// When the start of each target that takes work began.
    births: HashMap<String, u64>,
}

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
    state: RefCell<BookState>,
    withheld: Cell<u64>,
    recorder: Arc<EventRecorder>,
}

impl NoticeBook {
    pub(crate) fn new(recorder: Arc<EventRecorder>) -> Self {
        Self {
            state: RefCell::default(),
            withheld: Cell::new(0),
            recorder,
        }
    }

    /// Takes the list of targets that take work. What a former start of one has asked holds no more.
    pub(crate) fn set_targets(&self, records: &[TargetRecord], now: BootInstant) {
        let mut state = self.state.borrow_mut();
        let births = records
            .iter()
            .map(|record| (record.id.clone(), record.born));
        state.births = births.collect();
        let BookState { asks, births } = &mut *state;
        asks.retain(|id, ask| {
            let Some(born) = births.get(id) else {
                return true;
            };
            ask.listed = now;
            ask.outlasts(*born, now)
        });
    }

    /// Takes the head of an answer of a target, and what it said of it.
    pub(crate) fn note(&self, target: &str, notice: TargetNotice, now: BootInstant) {
        let mut state = self.state.borrow_mut();
        let BookState { asks, births } = &mut *state;
        if notice == TargetNotice::default() {
            if let Some(ask) = asks.get_mut(target) {
                self.note_plain_answer(target, ask, now);
            }
            return;
        }
        let ask = asks.entry(target.to_owned()).or_insert_with(|| TargetAsk {
            born: births.get(target).copied(),
            listed: now,
            ..TargetAsk::default()
        });
        ask.said_at = unix_ms();
        ask.doubted_until = None;
        if let Some(wait) = notice.back_off {
            self.back_off(target, ask, wait, now);
        }
        if notice.leaving && !ask.leaving {
            ask.leaving = true;
            let detail = "cause=said in an answer";
            self.recorder
                .record(EventCode::TargetLeaving, target, detail);
        }
    }

    /// Takes an answer that asks for nothing. Only after the time is over does it prove that the target takes
    /// requests again: before, it answers what came earlier.
    fn note_plain_answer(&self, target: &str, ask: &mut TargetAsk, now: BootInstant) {
        if let Some(back_off) = ask.back_off.filter(|one| one.until <= now) {
            ask.back_off = None;
            self.record_end(target, &back_off, "answered", now);
        }
    }

    fn back_off(&self, target: &str, ask: &mut TargetAsk, wait: Duration, now: BootInstant) {
        let former_left = ask.back_off.map_or(Duration::ZERO, |one| one.until - now);
        let spread = wait.mul_f64(SPREAD_PART).min(SPREAD_MOST);
        let until = now + wait + spread.mul_f64(fastrand::f64());
        let back_off = ask.back_off.get_or_insert(BackOff {
            since: now,
            until,
            withheld: 0,
            tried: None,
        });
        // Each answer asks for a time of its own; the latest end counts.
        back_off.until = back_off.until.max(until);
        back_off.tried = None;
        let detail = format!(
            "wait_ms={} former_left_ms={}",
            wait.as_millis(),
            former_left.as_millis()
        );
        let code = EventCode::TargetBackedOff;
        self.recorder.record(code, target, detail);
    }

    fn record_end(&self, target: &str, back_off: &BackOff, cause: &str, now: BootInstant) {
        let detail = format!(
            "lasted_ms={} withheld={} cause={cause}",
            (now - back_off.since).as_millis(),
            back_off.withheld
        );
        let code = EventCode::TargetReopened;
        self.recorder.record(code, target, detail);
    }

    /// Says whether a target gets requests of this host.
    pub(crate) fn standing(&self, target: &str, now: BootInstant) -> TargetStanding {
        let state = self.state.borrow();
        let ask = state.asks.get(target);
        ask.map_or(TargetStanding::Open, |ask| ask.standing(now))
    }

    /// Says whether a target wants no requests of this host for a while.
    pub(crate) fn is_backed_off(&self, target: &str) -> bool {
        let standing = self.standing(target, BootInstant::now());
        matches!(standing, TargetStanding::BackedOff(_))
    }

    /// Returns those of some targets that get no requests of this host now.
    pub(crate) fn closed<'a>(&self, targets: impl Iterator<Item = &'a String>) -> Vec<String> {
        // Most of the time nothing is asked for, and each request asks this.
        if self.state.borrow().asks.is_empty() {
            return Vec::new();
        }
        let now = BootInstant::now();
        let closed = targets.filter(|id| self.standing(id, now) != TargetStanding::Open);
        closed.cloned().collect()
    }

    /// Returns the last look before something is sent to a target.
    pub(crate) fn gate<'a>(&'a self, target: &'a str, kind: SendKind) -> SendGate<'a> {
        SendGate {
            book: self,
            target,
            kind,
            tries: false,
        }
    }

    fn count_withheld(&self, target: &str) {
        self.withheld.set(self.withheld.get() + 1);
        let mut state = self.state.borrow_mut();
        let ask = state.asks.get_mut(target);
        if let Some(back_off) = ask.and_then(|ask| ask.back_off.as_mut()) {
            back_off.withheld += 1;
        }
    }

    /// Notes that something is sent. The first after a back-off tries the target; says whether this is it.
    fn begin_trial(&self, target: &str, now: BootInstant) -> bool {
        let mut state = self.state.borrow_mut();
        let ask = state.asks.get_mut(target);
        let back_off = ask.and_then(|ask| ask.back_off.as_mut());
        if let Some(back_off) = back_off {
            back_off.tried = Some(now);
            return true;
        }
        false
    }

    /// Forgets what is over.
    pub(crate) fn expire(&self, now: BootInstant) {
        let mut state = self.state.borrow_mut();
        let BookState { asks, births } = &mut *state;
        asks.retain(|id, ask| {
            let over = |one: &BackOff| one.left(now).is_zero() && now - one.until > UNTRIED_KEPT;
            if let Some(back_off) = ask.back_off.filter(over) {
                ask.back_off = None;
                self.record_end(id, &back_off, "not tried", now);
            }
            let leaving = births.contains_key(id) || now - ask.listed < LEAVING_KEPT;
            let sure = ask.doubted_until.is_none_or(|until| until > now);
            ask.leaving &= leaving && sure;
            ask.back_off.is_some() || ask.leaving
        });
    }

    pub(crate) fn counts(&self, now: BootInstant) -> NoticeCounts {
        let state = self.state.borrow();
        let mut counts = NoticeCounts {
            withheld: self.withheld.get(),
            ..NoticeCounts::default()
        };
        for ask in state.asks.values() {
            match ask.standing(now) {
                TargetStanding::Open => {}
                TargetStanding::BackedOff(_) => counts.backed_off += 1,
                TargetStanding::Leaving => counts.leaving += 1,
            }
        }
        counts
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// The last look before something is sent to a target.
pub(crate) struct SendGate<'a> {
    book: &'a NoticeBook,
    target: &'a str,
    kind: SendKind,
    /// Whether this is the request that tries the target after a back-off.
    tries: bool,
}

impl SendGate<'_> {
    /// Says whether the bytes may be written now. Asked once more for each connection that is tried.
    pub(crate) fn passes(&mut self) -> bool {
        let now = BootInstant::now();
        let open = match self.book.standing(self.target, now) {
            TargetStanding::Open => true,
            TargetStanding::Leaving => self.kind == SendKind::Word,
            // Its own trial holds back only the others.
            TargetStanding::BackedOff(_) if self.tries => !self.asked_anew(now),
            TargetStanding::BackedOff(_) => false,
        };
        if open {
            self.tries |= self.book.begin_trial(self.target, now);
        } else {
            self.book.count_withheld(self.target);
        }
        open
    }

    fn asked_anew(&self, now: BootInstant) -> bool {
        let state = self.book.state.borrow();
        let ask = state.asks.get(self.target);
        let back_off = ask.and_then(|ask| ask.back_off);
        back_off.is_some_and(|one| one.until > now)
    }
}

#[cfg(test)]
mod tests;
