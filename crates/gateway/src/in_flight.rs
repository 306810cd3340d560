//! Counting of requests in flight at a target.

use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_routing::RouteKind;

use crate::Gateway;
use crate::caller_request::CallerRequest;

/// Counts a request as in flight at its target until it is dropped.
pub(crate) struct InFlightGuard {
    gateway: Rc<Gateway>,
    service: String,
    id: String,
    sent: Instant,
    /// The objective of a non-streaming request, with which its duration is compared, answered or
    /// given up.
    objective: Option<Duration>,
}

impl InFlightGuard {
    pub(crate) fn new(
        gateway: &Rc<Gateway>,
        service: &str,
        id: &str,
        request: &CallerRequest,
    ) -> Self {
        if let Some(target) = gateway.targets.borrow_mut().find_mut(service, id) {
            target.in_flight += 1;
        }
        Self {
            gateway: gateway.clone(),
            service: service.to_owned(),
            id: id.to_owned(),
            sent: Instant::now(),
            objective: (request.route.kind != RouteKind::Streaming)
                .then(|| Duration::from_millis(request.route.objective_ms)),
        }
    }

    /// Records that the request is sent now, after waiting for a permit.
    pub(crate) fn mark_sent(&mut self) {
        self.sent = Instant::now();
    }

    /// Excludes the duration from the slowness of the target, which did not receive the request.
    pub(crate) fn discard_timing(&mut self) {
        self.objective = None;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut targets = self.gateway.targets.borrow_mut();
        if let Some(target) = targets.find_mut(&self.service, &self.id) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
        if let Some(objective) = self.objective {
            let now = Instant::now();
            let took = now.saturating_duration_since(self.sent);
            targets.record_duration(&self.service, &self.id, took, objective, now);
        }
    }
}
