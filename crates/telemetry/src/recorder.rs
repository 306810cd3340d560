//! A bounded ring of events, each of which is also written to the log.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::{EventCode, EventLevel, HybridClock, Stamp};

/// Number of events that a process retains in memory; older ones are dropped.
pub const RING_CAPACITY: usize = 8_192;

/// An event in one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time of the event, by the hybrid clock of the process.
    pub stamp: Stamp,
    /// Name of the process.
    pub host: String,
    /// Kind of the event.
    pub code: EventCode,
    /// The request that the event belongs to, or an empty string.
    pub request: String,
    /// The peer that is involved, or an empty string.
    pub peer: String,
    /// Details for operators, without secrets.
    pub detail: String,
}

/// A filter of events.
#[derive(Debug, Clone, Default)]
pub struct EventQuery {
    /// Only events of this request.
    pub request: Option<String>,
    /// Only events at or after this time, in milliseconds since 1970.
    pub since_millis: u64,
}

impl EventQuery {
    /// Returns whether an event passes the filter.
    pub fn matches(&self, event: &Event) -> bool {
        let in_period = HybridClock::unix_millis(event.stamp) >= self.since_millis;
        let of_request = self
            .request
            .as_ref()
            .is_none_or(|request| *request == event.request);
        in_period && of_request
    }
}

/// Stamps events, retains the newest of them and writes them to the log.
#[derive(Debug)]
pub struct EventRecorder {
    host: String,
    clock: Arc<HybridClock>,
    ring: Mutex<VecDeque<Event>>,
    capacity: usize,
}

impl EventRecorder {
    /// Creates a recorder for the process named `host`.
    pub fn new(host: impl Into<String>, clock: Arc<HybridClock>) -> Self {
        Self {
            host: host.into(),
            clock,
            ring: Mutex::new(VecDeque::new()),
            capacity: RING_CAPACITY,
        }
    }

    /// Sets the number of events that are retained, at least 1.
    pub fn with_capacity(mut self, capacity: usize) -> Self {
        self.capacity = capacity.max(1);
        self
    }

    /// Returns the clock that stamps the events.
    pub fn clock(&self) -> &Arc<HybridClock> {
        &self.clock
    }

    /// Returns the name of the process.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Records an event that belongs to no request.
    pub fn record(&self, code: EventCode, peer: &str, detail: impl Into<String>) {
        self.record_request(code, "", peer, detail);
    }

    /// Records an event of a request.
    pub fn record_request(
        &self,
        code: EventCode,
        request: &str,
        peer: &str,
        detail: impl Into<String>,
    ) {
        let event = Event {
            stamp: self.clock.tick(),
            host: self.host.clone(),
            code,
            request: request.to_owned(),
            peer: peer.to_owned(),
            detail: detail.into(),
        };
        write_to_log(&event);
        let mut ring = self.lock();
        if ring.len() == self.capacity {
            ring.pop_front();
        }
        ring.push_back(event);
    }

    /// Returns the retained events that match, oldest first.
    pub fn select(&self, query: &EventQuery) -> Vec<Event> {
        let ring = self.lock();
        ring.iter()
            .filter(|event| query.matches(event))
            .cloned()
            .collect()
    }

    // A panic while the lock is held leaves the ring consistent, so a poisoned lock is used anyway.
    fn lock(&self) -> MutexGuard<'_, VecDeque<Event>> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn write_to_log(event: &Event) {
    let level = match event.code.level() {
        EventLevel::Info => log::Level::Info,
        EventLevel::Warn => log::Level::Warn,
        EventLevel::Error => log::Level::Error,
    };
    log::log!(
        target: "linnetdale",
        level,
        event = event.code.number(),
        host = event.host.as_str(),
        request = event.request.as_str(),
        peer = event.peer.as_str();
        "{}: {}", event.code.name(), event.detail
    );
}
