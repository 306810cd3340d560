//! What is known of one target.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cranelift_entity::entity_impl;

use crate::TargetWindow;

/// A target known to this host.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetId(u32);
entity_impl!(TargetId, "target");

/// A pool of targets.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolId(u32);
entity_impl!(PoolId, "pool");

/// A load report older than this counts for nothing.
const REPORT_LIFE: Duration = Duration::from_secs(3);

/// Failures in a row that eject a target.
const EJECT_FAILURES: u32 = 3;

/// The first ejection, and the longest.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
const LONGEST_EJECTION: Duration = Duration::from_secs(30);

/// What the host list and the target itself say of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// It takes work.
    Live,
    /// It is leaving and gets no new work.
    Leaving,
    /// It is no longer listed.
    Gone,
}

/// What a target last said of its load.
#[derive(Debug, Clone, Copy)]
pub struct LoadReport {
    /// Requests in flight there, of all hosts.
    pub in_flight: u32,
    /// Requests that it can work on at one time.
    pub slots: u32,
    /// When the report came.
    pub at: Instant,
}

/// One target as this host sees it.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The data hall it stands in.
    pub hall: String,
    /// What the list and the target say.
    pub listed: ListedState,
    /// Requests of this host in flight there.
    pub in_flight: u32,
    /// The bound of those.
    pub window: TargetWindow,
    /// What it last said of its load.
    pub report: Option<LoadReport>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl TargetState {
    /// Creates a target that is new to this host.
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

    /// Says whether the target is ejected at this time.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Says whether the target may get new work, windows aside.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.listed == ListedState::Live && !self.is_ejected(now)
    }

    /// Says whether the window has room.
    pub fn has_room(&self, now: Instant) -> bool {
        self.in_flight < self.window.limit(now)
    }

    /// Returns the load of the target as a share of what it can work on at one time.
    ///
    /// Own requests are fresh and count whole. Those of other hosts are known by reports that lag,
    /// so they fade with age. A target that reports no slots is measured by its window.
    pub fn load_share(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(report) = self.report else {
            return own / f64::from(self.window.limit(now).max(1));
        };
        let age = now.saturating_duration_since(report.at);
        let freshness = 1.0 - (age.as_secs_f64() / REPORT_LIFE.as_secs_f64()).min(1.0);
        let others = f64::from(report.in_flight.saturating_sub(self.in_flight));
        (own + freshness * others) / f64::from(report.slots.max(1))
    }

    /// Takes a success.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Takes a failure; true when the target is due to be ejected.
    pub fn note_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= EJECT_FAILURES
    }

    /// Ejects the target for a while, longer each time.
    pub fn eject(&mut self, now: Instant) {
        let doubled = FIRST_EJECTION * 2_u32.pow(self.ejections.min(8));
        self.ejected_until = Some(now + doubled.min(LONGEST_EJECTION));
        self.ejections += 1;
        self.failures = 0;
        self.window.restart(now);
    }
}
