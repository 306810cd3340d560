//! The rates at which targets take requests from all hosts together, as far as this host knows them.

mod leave;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;
use linnet_clock::BootInstant;
use linnet_directory::ChangeAsk;
use linnet_rate::{
    ChangedRates, NamedRate, RateBook, RateChange, RatePacer, RateWord, StartChange,
};
use linnet_telemetry::{EventCode, EventRecorder, NoticeLine, NoticeState};
use tokio::sync::watch;

use crate::notice::RateNotice;
use crate::rate_permit::RatePermits;
use crate::rate_turn::{RateAnswer, RateAsk};
use crate::target::TargetBook;
use crate::target_ask::unix_ms;

use leave::MOST_RETURN;

/// What this host did at a target since it knows its rate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RateUse {
    /// Requests that it sent.
    pub(crate) sent: u64,
    /// Sendings that it held back.
    pub(crate) withheld: u64,
}

/// How many targets name a rate, and what this host did at them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RateCounts {
    pub(crate) named: usize,
    /// Since the start, also at targets that name none any more.
    pub(crate) used: RateUse,
    /// Rates since the start that could not be read.
    pub(crate) unreadable: u64,
}

/// Asks the host that gives leave.
pub(crate) type RateAsker = Box<dyn Fn(RateAsk) -> LocalBoxFuture<'static, RateAnswer>>;

/// The rates that targets named.
pub(crate) struct RateWatch {
    /// Nothing only until the host is made up.
    asker: OnceCell<RateAsker>,
    permits: RatePermits,
    /// When callers of a service come back that were refused.
    returns: RefCell<HashMap<String, RatePacer>>,
    changes: watch::Sender<u64>,
    book: RefCell<RateBook>,
    uses: RefCell<HashMap<String, RateUse>>,
    total: Cell<RateUse>,
    unreadable: Cell<u64>,
    targets: Rc<RefCell<TargetBook>>,
    recorder: Arc<EventRecorder>,
}

impl RateWatch {
    pub(crate) fn new(recorder: Arc<EventRecorder>, targets: Rc<RefCell<TargetBook>>) -> Self {
        Self {
            asker: OnceCell::new(),
            permits: RatePermits::default(),
            returns: RefCell::default(),
            changes: watch::Sender::new(0),
            book: RefCell::default(),
            uses: RefCell::default(),
            total: Cell::default(),
            unreadable: Cell::default(),
            targets,
            recorder,
        }
    }

    /// Takes what the answer to a request that was sent at `asked` says.
    pub(crate) fn note(
        &self,
        target: &str,
        notice: RateNotice,
        asked: BootInstant,
        now: BootInstant,
    ) {
        let rate = match notice {
            RateNotice::Unsaid => return,
            RateNotice::Unreadable => {
                self.unreadable.set(self.unreadable.get() + 1);
                return;
            }
            RateNotice::Any if self.book.borrow().is_empty() => return,
            RateNotice::Any => None,
            RateNotice::Named(rate) => Some(rate),
        };
        let word = RateWord {
            target: target.to_owned(),
            rate,
            asked_ms: (now - asked).as_millis() as u64,
            heard_ms: 0,
        };
        let change = self.book.borrow_mut().take_heard(&word, now);
        self.tell_changes();
        self.record(target, change, "answered");
    }

    /// Takes what a control host passes on.
    pub(crate) fn take_told(&self, words: &[RateWord]) {
        for word in words {
            let now = BootInstant::now();
            let change = self.book.borrow_mut().take_told(word, now);
            self.tell_changes();
            self.record(&word.target, change, "told by a control host");
        }
    }

    /// Returns a receiver of the number of the newest change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns what is to be told to a control host next.
    pub(crate) fn changed_after(&self, ask: ChangeAsk) -> ChangedRates {
        let (book, now) = (self.book.borrow(), BootInstant::now());
        book.changed_after(ask.number, ask.most, ask.catches_up, now)
    }

    fn tell_changes(&self) {
        let number = self.book.borrow().number();
        self.changes
            .send_if_modified(|told| std::mem::replace(told, number) != number);
    }

    /// Takes what another entry host knows of a target.
    pub(crate) fn take_word(&self, word: &RateWord) {
        let change = self.book.borrow_mut().take_heard(word, BootInstant::now());
        self.tell_changes();
        self.record(&word.target, change, "told by an entry host");
    }

    /// Says whether no target names a rate, nor did a while ago.
    pub(crate) fn is_empty(&self) -> bool {
        self.book.borrow().is_empty()
    }

    fn record(&self, target: &str, change: RateChange, cause: &str) {
        let shown = |rate: Option<NamedRate>| rate.map_or("any".to_owned(), |one| one.to_string());
        let (code, rate, former) = match change {
            RateChange::Nothing => return,
            RateChange::Named { former, rate } => (EventCode::RateNamed, Some(rate), former),
            RateChange::Ended { former } => (EventCode::RateEnded, None, Some(former)),
        };
        self.targets.borrow_mut().set_rate(target, rate);
        if rate.is_none() {
            self.permits.forget(target);
        }
        let used = match rate {
            Some(_) => self.uses.borrow().get(target).copied(),
            None => self.uses.borrow_mut().remove(target),
        };
        let used = used.unwrap_or_default();
        let detail = format!(
            "service={} per_s={} former={} sent={} withheld={} cause={cause}",
            self.service_of(target),
            shown(rate),
            shown(former),
            used.sent,
            used.withheld,
        );
        self.recorder.record(code, target, detail);
    }

    fn service_of(&self, target: &str) -> String {
        let targets = self.targets.borrow();
        let found = targets.find_anywhere(target);
        found.map_or("", |(service, _)| service).to_owned()
    }

    /// Returns the rate that a target named; nothing where it takes any.
    pub(crate) fn rate(&self, target: &str) -> Option<NamedRate> {
        self.book.borrow().rate(target)
    }

    /// Counts a request that is sent.
    pub(crate) fn count_sent(&self, target: &str) {
        self.count(target, |used| used.sent += 1);
    }

    /// Counts a sending that was held back.
    pub(crate) fn count_withheld(&self, target: &str) {
        self.count(target, |used| used.withheld += 1);
    }

    fn count(&self, target: &str, add: impl Fn(&mut RateUse)) {
        if self.rate(target).is_none() {
            return;
        }
        let mut total = self.total.get();
        add(&mut total);
        self.total.set(total);
        add(self.uses.borrow_mut().entry(target.to_owned()).or_default());
    }

    /// Looks at a new list of targets that take work: a start that followed owes nothing.
    pub(crate) fn take_list(&self) {
        let mut book = self.book.borrow_mut();
        if book.is_empty() {
            return;
        }
        let (now, unix_ms) = (BootInstant::now(), unix_ms());
        let named: Vec<String> = book.named().map(|(target, _)| target.to_owned()).collect();
        let mut ended = Vec::new();
        for target in named {
            let born = {
                let targets = self.targets.borrow();
                targets
                    .find_anywhere(&target)
                    .map_or(0, |(_, one)| one.born)
            };
            let change = book.note_start(&target, born, unix_ms, now);
            if let StartChange::Silent(Some(former)) = change {
                ended.push((target, former));
            }
        }
        drop(book);
        for (target, former) in ended {
            self.record(&target, RateChange::Ended { former }, "another start");
        }
    }

    /// Forgets what is old.
    pub(crate) fn expire(&self, now: BootInstant) {
        self.returns
            .borrow_mut()
            .retain(|_, pacer| !pacer.is_unused(MOST_RETURN, now));
        let ended = self.book.borrow_mut().expire(now);
        for (target, former) in ended {
            self.record(&target, RateChange::Ended { former }, "not heard for long");
        }
    }

    /// Adds what operators are told of the rates to the lines of what else targets asked.
    pub(crate) fn add_lines(&self, lines: &mut Vec<NoticeLine>) {
        for (target, rate) in self.book.borrow().named() {
            let used = self.uses.borrow().get(target).copied().unwrap_or_default();
            let known = lines.iter().position(|line| line.target == target);
            let place = known.unwrap_or_else(|| {
                lines.push(self.blank_line(target));
                lines.len() - 1
            });
            let line = &mut lines[place];
            line.per_second = Some(rate.to_string());
            line.sent = used.sent;
            line.withheld = line.withheld.max(used.withheld);
        }
    }

    fn blank_line(&self, target: &str) -> NoticeLine {
        NoticeLine {
            target: target.to_owned(),
            service: self.service_of(target),
            state: NoticeState::Reopening,
            remaining_ms: 0,
            withheld: 0,
            per_second: None,
            sent: 0,
        }
    }

    /// Returns how many targets name a rate, and what this host did at them.
    pub(crate) fn counts(&self) -> RateCounts {
        RateCounts {
            named: self.book.borrow().named().count(),
            used: self.total.get(),
            unreadable: self.unreadable.get(),
        }
    }
}
