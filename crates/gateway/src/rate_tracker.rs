//! The rate limits of targets, as far as this host knows them. A limit applies to the
//! requests of all hosts together.

mod acquire;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;
use linnet_clock::BootInstant;
use linnet_directory::ChangeQuery;
use linnet_rate::{
    IncarnationEffect, RateChange, RateChanges, RateLimit, RateObservation, RatePacer, RateStore,
};
use linnet_telemetry::{EventCode, EventRecorder, NoticeLine, NoticeState};
use tokio::sync::watch;

use crate::notice::RateNotice;
use crate::send_permit::SendPermitCache;
use crate::send_permit_issuer::{SendPermitReply, SendPermitRequest};
use crate::target::TargetStore;
use crate::target_restriction::unix_ms;

use acquire::MAX_RETRY_AFTER;

/// Requests of this host to a target since it has a known rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RateUsage {
    /// Requests sent.
    pub(crate) sent: u64,
    /// Requests withheld.
    pub(crate) withheld: u64,
}

/// The number of targets with rate limits, and the requests of this host to such targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RateCounts {
    pub(crate) limited: usize,
    /// Counted since this host started, including targets whose limits were lifted.
    pub(crate) usage: RateUsage,
    /// Number of rate limits that could not be parsed, since this host started.
    pub(crate) invalid: u64,
}

/// Requests a permit from the issuing host.
pub(crate) type PermitRequester =
    Box<dyn Fn(SendPermitRequest) -> LocalBoxFuture<'static, SendPermitReply>>;

/// Tracks the rate limits of targets and the permits to send to them.
pub(crate) struct RateTracker {
    /// Set once the gateway is assembled.
    requester: OnceCell<PermitRequester>,
    permits: SendPermitCache,
    /// Paces the retry-after times of the refused callers of each service.
    retry_pacers: RefCell<HashMap<String, RatePacer>>,
    changes: watch::Sender<u64>,
    store: RefCell<RateStore>,
    usage_by_target: RefCell<HashMap<String, RateUsage>>,
    total: Cell<RateUsage>,
    invalid: Cell<u64>,
    targets: Rc<RefCell<TargetStore>>,
    recorder: Arc<EventRecorder>,
}

impl RateTracker {
    pub(crate) fn new(recorder: Arc<EventRecorder>, targets: Rc<RefCell<TargetStore>>) -> Self {
        Self {
            requester: OnceCell::new(),
            permits: SendPermitCache::default(),
            retry_pacers: RefCell::default(),
            changes: watch::Sender::new(0),
            store: RefCell::default(),
            usage_by_target: RefCell::default(),
            total: Cell::default(),
            invalid: Cell::default(),
            targets,
            recorder,
        }
    }

    /// Records what a response states about the rate limit; the request was sent at `sent_at`.
    pub(crate) fn record_notice(
        &self,
        target: &str,
        notice: RateNotice,
        sent_at: BootInstant,
        now: BootInstant,
    ) {
        let rate_limit = match notice {
            RateNotice::Ignored => return,
            RateNotice::Invalid => {
                self.invalid.set(self.invalid.get() + 1);
                return;
            }
            RateNotice::Unlimited if self.store.borrow().is_empty() => return,
            RateNotice::Unlimited => None,
            RateNotice::Limited(limit) => Some(limit),
        };
        let observation = RateObservation {
            target: target.to_owned(),
            rate_limit,
            sent_age_ms: (now - sent_at).as_millis() as u64,
            received_age_ms: 0,
        };
        let change = self.store.borrow_mut().record_observed(&observation, now);
        self.notify_changes();
        self.record(target, change, "answered");
    }

    /// Applies observations from a control host.
    pub(crate) fn apply_published(&self, observations: &[RateObservation]) {
        for observation in observations {
            let now = BootInstant::now();
            let change = self.store.borrow_mut().record_received(observation, now);
            self.notify_changes();
            self.record(&observation.target, change, "reported by a control host");
        }
    }

    /// Returns a receiver of the latest revision.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the observations that are to be reported to a control host next.
    pub(crate) fn changed_after(&self, query: ChangeQuery) -> RateChanges {
        let (store, now) = (self.store.borrow(), BootInstant::now());
        store.changed_after(query.after, query.limit, query.catches_up, now)
    }

    fn notify_changes(&self) {
        let revision = self.store.borrow().revision();
        self.changes
            .send_if_modified(|published| std::mem::replace(published, revision) != revision);
    }

    /// Records an observation of another entry host.
    pub(crate) fn apply_peer_observation(&self, observation: &RateObservation) {
        let change = self
            .store
            .borrow_mut()
            .record_observed(observation, BootInstant::now());
        self.notify_changes();
        self.record(&observation.target, change, "reported by an entry host");
    }

    /// Returns whether no target has a rate limit, nor had one a while ago.
    pub(crate) fn is_empty(&self) -> bool {
        self.store.borrow().is_empty()
    }

    fn record(&self, target: &str, change: RateChange, cause: &str) {
        let display =
            |limit: Option<RateLimit>| limit.map_or("any".to_owned(), |one| one.to_string());
        let (code, limit, previous) = match change {
            RateChange::Unchanged => return,
            RateChange::Limited { previous, current } => {
                (EventCode::RateNamed, Some(current), previous)
            }
            RateChange::Lifted { previous } => (EventCode::RateEnded, None, Some(previous)),
        };
        self.targets.borrow_mut().set_rate_limit(target, limit);
        if limit.is_none() {
            self.permits.remove(target);
        }
        let usage = match limit {
            Some(_) => self.usage_by_target.borrow().get(target).copied(),
            None => self.usage_by_target.borrow_mut().remove(target),
        };
        let usage = usage.unwrap_or_default();
        let detail = format!(
            "service={} per_s={} former={} sent={} withheld={} cause={cause}",
            self.service_of(target),
            display(limit),
            display(previous),
            usage.sent,
            usage.withheld,
        );
        self.recorder.record(code, target, detail);
    }

    fn service_of(&self, target: &str) -> String {
        let targets = self.targets.borrow();
        let found = targets.find_by_id(target);
        found.map_or("", |(service, _)| service).to_owned()
    }

    /// Returns the rate limit of a target; `None` if it accepts any rate.
    pub(crate) fn rate_limit(&self, target: &str) -> Option<RateLimit> {
        self.store.borrow().rate_limit(target)
    }

    /// Counts a request that is sent.
    pub(crate) fn count_sent(&self, target: &str) {
        self.count(target, |usage| usage.sent += 1);
    }

    /// Counts a request that was withheld.
    pub(crate) fn count_withheld(&self, target: &str) {
        self.count(target, |usage| usage.withheld += 1);
    }

    fn count(&self, target: &str, add: impl Fn(&mut RateUsage)) {
        if self.rate_limit(target).is_none() {
            return;
        }
        let mut total = self.total.get();
        add(&mut total);
        self.total.set(total);
        add(self
            .usage_by_target
            .borrow_mut()
            .entry(target.to_owned())
            .or_default());
    }

    /// Applies a new list of targets: the limit of an earlier incarnation does not apply to a new
    /// one.
    pub(crate) fn apply_target_list(&self) {
        let mut store = self.store.borrow_mut();
        if store.is_empty() {
            return;
        }
        let (now, unix_ms) = (BootInstant::now(), unix_ms());
        let limited: Vec<String> = store
            .limits()
            .map(|(target, _)| target.to_owned())
            .collect();
        let mut lifted = Vec::new();
        for target in limited {
            let born = {
                let targets = self.targets.borrow();
                targets.find_by_id(&target).map_or(0, |(_, one)| one.born)
            };
            let change = store.record_incarnation(&target, born, unix_ms, now);
            if let IncarnationEffect::Discarded(Some(previous)) = change {
                lifted.push((target, previous));
            }
        }
        drop(store);
        for (target, previous) in lifted {
            self.record(&target, RateChange::Lifted { previous }, "another start");
        }
    }

    /// Removes expired state.
    pub(crate) fn expire(&self, now: BootInstant) {
        self.retry_pacers
            .borrow_mut()
            .retain(|_, pacer| !pacer.is_idle(MAX_RETRY_AFTER, now));
        let lifted = self.store.borrow_mut().expire(now);
        for (target, previous) in lifted {
            self.record(
                &target,
                RateChange::Lifted { previous },
                "not heard for long",
            );
        }
    }

    /// Adds the rate limits to the lines that describe targets to operators.
    pub(crate) fn add_lines(&self, lines: &mut Vec<NoticeLine>) {
        for (target, limit) in self.store.borrow().limits() {
            let usage = self
                .usage_by_target
                .borrow()
                .get(target)
                .copied()
                .unwrap_or_default();
            let known = lines.iter().position(|line| line.target == target);
            let index = known.unwrap_or_else(|| {
                lines.push(self.blank_line(target));
                lines.len() - 1
            });
            let line = &mut lines[index];
            line.per_second = Some(limit.to_string());
            line.sent = usage.sent;
            line.withheld = line.withheld.max(usage.withheld);
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

    /// Returns the number of targets with rate limits, and the requests of this host to such
    /// targets.
    pub(crate) fn counts(&self) -> RateCounts {
        RateCounts {
            limited: self.store.borrow().limits().count(),
            usage: self.total.get(),
            invalid: self.invalid.get(),
        }
    }
}
