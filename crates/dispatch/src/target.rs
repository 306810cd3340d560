//! The state of one target as observed by this host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cranelift_entity::entity_impl;

use crate::TargetWindow;

/// The id of a target on this host.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetId(u32);
entity_impl!(TargetId, "target");

/// The id of a pool of targets on this host.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolId(u32);
entity_impl!(PoolId, "pool");

/// A load report older than this is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// The number of consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 3;

/// The duration of the first ejection, which doubles with each further one up to the maximum.
const MIN_EJECTION: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// The availability of a target according to the host list and the target itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// It accepts work.
    Live,
    /// It is leaving and gets no new work.
    Leaving,
    /// It is no longer listed.
    Gone,
}

/// The load that a target reported last.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport {
    /// The number of requests in flight at the target, of all hosts.
    pub in_flight: u32,
    /// The number of requests that the target can run concurrently.
    pub slots: u32,
    /// When the report was received.
    pub received_at: Instant,
}

/// A target and the load, failures and window that this host observes for it.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// The name of the target.
    pub name: String,
    /// Its network address.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: String,
    /// The availability according to the host list and the target.
    pub listed: ListedState,
    /// The number of requests of this host in flight at the target.
    pub in_flight: u32,
    /// The limit of requests in flight.
    pub window: TargetWindow,
    /// The load that the target reported last.
    pub report: Option<LoadReport>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl TargetState {
    /// Creates the state of a newly listed target.
    pub fn new(name: String, address: SocketAddr, hall: String, now: Instant) -> Self {
        Self {
            name,
            address,
            hall,
            listed: ListedState::Live,
            in_flight: 0,
            window: TargetWindow::new(now),
            report: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Returns whether the target is ejected at the given time.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target may get new work, regardless of its window.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.listed == ListedState::Live && !self.is_ejected(now)
    }

    /// Returns whether the window permits another request.
    pub fn has_room(&self, now: Instant) -> bool {
        self.in_flight < self.window.limit(now)
    }

    /// Returns the load of the target relative to the number of requests it can run concurrently.
    ///
    /// Requests of this host are known exactly and count fully. Those of other hosts come from
    /// reports that lag, so their weight decreases with the age of the report. Without a report the
    /// load is relative to the window.
    pub fn relative_load(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(report) = self.report else {
            return own / f64::from(self.window.limit(now).max(1));
        };
        let age = now.saturating_duration_since(report.received_at);
        let freshness = 1.0 - (age.as_secs_f64() / REPORT_LIFETIME.as_secs_f64()).min(1.0);
        let others = f64::from(report.in_flight.saturating_sub(self.in_flight));
        (own + freshness * others) / f64::from(report.slots.max(1))
    }

    /// Records a success, which resets the failure and ejection counts.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Records a failure. Returns whether the target is due for ejection.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= EJECTION_FAILURES
    }

    /// Ejects the target, for a duration that doubles with each ejection.
    pub fn eject(&mut self, now: Instant) {
        let duration = MIN_EJECTION * 2_u32.pow(self.ejections.min(8));
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
        self.ejections += 1;
        self.failures = 0;
        self.window.restart(now);
    }
}
