//! Records callers that disconnect before they have a response.

use std::rc::Rc;

use linnet_telemetry::EventCode;

use crate::Gateway;
use crate::caller_request::CallerRequest;
use crate::takeup_trace::{StartOutcome, count_stream_start};

/// Records an event when it is dropped before the request has a response: the HTTP library drops
/// the future of a request once its caller has closed the connection, which leaves no other trace.
pub(crate) struct CallerDisconnectGuard {
    gateway: Rc<Gateway>,
    request: Rc<CallerRequest>,
    has_response: bool,
}

impl CallerDisconnectGuard {
    pub(crate) fn new(gateway: &Rc<Gateway>, request: &Rc<CallerRequest>) -> Self {
        Self {
            gateway: gateway.clone(),
            request: request.clone(),
            has_response: false,
        }
    }

    /// Marks the request as answered, by a response or a refusal.
    pub(crate) fn mark_answered(mut self) {
        self.has_response = true;
    }
}

impl Drop for CallerDisconnectGuard {
    fn drop(&mut self) {
        if self.has_response {
            return;
        }
        let detail = format!(
            "route={} account={} took_ms={} outcome=the caller left before its answer",
            self.request.route.name,
            self.request.account.as_deref().unwrap_or("-"),
            self.request.arrived_at.elapsed().as_millis(),
        );
        count_stream_start(&self.gateway, &self.request, StartOutcome::CallerLeft);
        self.gateway
            .metrics
            .count_request("caller_left", self.request.rank.route_priority);
        self.gateway.record_request_event(
            EventCode::RequestCancelled,
            &self.request.id,
            "",
            detail,
        );
    }
}
