//! Notices callers that leave before their answer is there.

use std::rc::Rc;

use linnet_telemetry::EventCode;

use crate::Gateway;
use crate::caller_request::CallerRequest;

/// Writes a line when it is dropped before the request was answered: the HTTP library drops the work
/// on a request once its caller has closed the connection, and nothing else would tell of it.
pub(crate) struct CallerWatch {
    gateway: Rc<Gateway>,
    ask: Rc<CallerRequest>,
    answered: bool,
}

impl CallerWatch {
    pub(crate) fn new(gateway: &Rc<Gateway>, ask: &Rc<CallerRequest>) -> Self {
        Self {
            gateway: gateway.clone(),
            ask: ask.clone(),
            answered: false,
        }
    }

    /// Hears that there is an answer, whatever it is.
    pub(crate) fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for CallerWatch {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let detail = format!(
            "route={} account={} took_ms={} outcome=the caller left before its answer",
            self.ask.route.name,
            self.ask.account.as_deref().unwrap_or("-"),
            self.ask.arrived_at.elapsed().as_millis(),
        );
        self.gateway
            .metrics
            .count_request("caller_left", self.ask.rank.route_priority);
        self.gateway
            .record_request_event(EventCode::RequestCancelled, &self.ask.id, "", detail);
    }
}
