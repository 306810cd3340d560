//! What all parts of the entry daemon share.

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

/// What is shared by every thread.
pub(crate) struct EntryContext {
    pub(crate) name: String,
    pub(crate) hall: String,
    /// A random number of this process, part of every request's name.
    pub(crate) incarnation: u64,
    pub(crate) feed: Arc<TableFeed>,
    pub(crate) dispatcher: Arc<TargetDispatcher>,
    pub(crate) quotas: Arc<QuotaTable>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) recorder: Arc<EventRecorder>,
    pub(crate) control: ControlLink,
    pub(crate) stats: EntryStats,
    pub(crate) claim_time: Duration,
    pub(crate) deferred_lease: Duration,
    pub(crate) flow: RequestFlow,
    /// Wakes the sender of hall messages, so that news of a leaving target goes out at once.
    pub(crate) hall_news: Notify,
}

/// What is one thread's own; HTTP clients stay on their thread.
#[derive(Clone)]
pub(crate) struct WorkerContext {
    pub(crate) entry: Arc<EntryContext>,
    pub(crate) clients: TargetClients,
}

/// The requests of this host: how many came, how many are in flight, whether it takes more.
#[derive(Default)]
pub(crate) struct RequestFlow {
    numbered: AtomicU64,
    in_flight: AtomicU64,
    host_list_read: AtomicBool,
    draining: AtomicBool,
    closed: AtomicBool,
}

/// Counts one request as in flight until it is dropped.
pub(crate) struct FlightGuard {
    entry: Arc<EntryContext>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.entry.flow.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl EntryContext {
    /// Returns a name for a request that no other request of the fleet has.
    pub(crate) fn name_request(&self) -> String {
        let number = self.flow.numbered.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.name, self.incarnation)
    }

    /// Counts a request as in flight.
    pub(crate) fn begin_flight(self: &Arc<Self>) -> FlightGuard {
        self.flow.in_flight.fetch_add(1, Ordering::AcqRel);
        FlightGuard {
            entry: self.clone(),
        }
    }

    /// Says whether the balancer should send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        self.can_serve() && !self.flow.draining.load(Ordering::Acquire)
    }

    /// Says whether there is what a request needs: a table and a host list.
    pub(crate) fn can_serve(&self) -> bool {
        self.feed.version() > 0 && self.flow.host_list_read.load(Ordering::Acquire)
    }
}

impl RequestFlow {
    pub(crate) fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    pub(crate) fn note_host_list(&self) {
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
