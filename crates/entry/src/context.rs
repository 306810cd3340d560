//! Shared state of the entry daemon.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use linnet_dispatch::{QuotaTable, RetryBudget, TargetDispatcher};
use linnet_feed::TableFeed;
use linnet_telemetry::EventRecorder;
use tokio::sync::Notify;

use crate::adapter::TargetClients;
use crate::control_link::ControlLink;
use crate::stats::EntryStats;

/// State shared by all threads.
pub(crate) struct EntryContext {
    pub(crate) name: String,
    pub(crate) hall: String,
    /// A random number of this process, part of every request id.
    pub(crate) incarnation: u64,
    pub(crate) feed: Arc<TableFeed>,
    pub(crate) dispatcher: Arc<TargetDispatcher>,
    pub(crate) quotas: Arc<QuotaTable>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) recorder: Arc<EventRecorder>,
    pub(crate) control: ControlLink,
    pub(crate) stats: EntryStats,
    pub(crate) claim_timeout: Duration,
    pub(crate) deferred_lease: Duration,
    pub(crate) flow: RequestFlow,
    /// Wakes the sender of hall heartbeats, so that a leaving target is announced at once.
    pub(crate) leaving_changed: Notify,
}

/// State of one thread; HTTP clients cannot be used by another thread.
#[derive(Clone)]
pub(crate) struct WorkerContext {
    pub(crate) entry: Arc<EntryContext>,
    pub(crate) clients: TargetClients,
}

/// Request counters of this host, and whether it accepts requests.
#[derive(Default)]
pub(crate) struct RequestFlow {
    next_number: AtomicU64,
    in_flight: AtomicU64,
    host_list_read: AtomicBool,
    draining: AtomicBool,
    closed: AtomicBool,
}

/// Counts one request as in flight until it is dropped.
pub(crate) struct InFlightGuard {
    entry: Arc<EntryContext>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.entry.flow.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl EntryContext {
    /// Returns a request id that is unique in the fleet.
    pub(crate) fn next_request_id(&self) -> String {
        let number = self.flow.next_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.name, self.incarnation)
    }

    /// Counts a request as in flight.
    pub(crate) fn track_in_flight(self: &Arc<Self>) -> InFlightGuard {
        self.flow.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard {
            entry: self.clone(),
        }
    }

    /// Returns whether the load balancer should send requests to this host.
    pub(crate) fn is_ready(&self) -> bool {
        self.can_serve() && !self.flow.draining.load(Ordering::Acquire)
    }

    /// Returns whether this host can run requests: it has a table and a host list.
    pub(crate) fn can_serve(&self) -> bool {
        self.feed.version() > 0 && self.flow.host_list_read.load(Ordering::Acquire)
    }
}

impl RequestFlow {
    pub(crate) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    pub(crate) fn mark_host_list_read(&self) {
        self.host_list_read.store(true, Ordering::Release);
    }

    pub(crate) fn begin_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}
