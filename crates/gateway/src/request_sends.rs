//! How often one request was sent to targets.

use std::cell::{Cell, RefCell};

use crate::metrics::GatewayMetrics;
use crate::retry_budget::RetryPermit;

/// Counts the sends of one request. All of them pass the [`SendGate`](crate::send_gate::SendGate),
/// which lets each one after the first pass only with a permit of the retry budget.
#[derive(Default)]
pub(crate) struct RequestSends {
    sent: Cell<u32>,
    /// The permit of the next send.
    permit: RefCell<Option<RetryPermit>>,
    /// The permit of the last send.
    last_permit: RefCell<Option<RetryPermit>>,
}

impl RequestSends {
    /// Returns whether the next send is the first or has a permit.
    pub(crate) fn may_send(&self) -> bool {
        self.sent.get() == 0 || self.permit.borrow().is_some()
    }

    /// Sets the permit of the next send.
    pub(crate) fn set_permit(&self, permit: RetryPermit) {
        *self.permit.borrow_mut() = Some(permit);
    }

    /// Returns whether the request may be sent now: it is the first time, or the budget still allows
    /// the retry.
    pub(crate) fn is_paid(&self) -> bool {
        let permit = self.permit.borrow();
        self.sent.get() == 0 || permit.as_ref().is_some_and(RetryPermit::is_valid)
    }

    /// Counts a send; its bytes are written next.
    pub(crate) fn record_sent(&self, metrics: &GatewayMetrics) {
        let earlier = self.sent.replace(self.sent.get() + 1);
        if earlier == 0 {
            metrics.count_first_send();
            return;
        }
        let mut permit = self.permit.take();
        if let Some(permit) = &mut permit {
            permit.spend();
        }
        *self.last_permit.borrow_mut() = permit;
    }

    /// Takes back the last send, which turned out to have written nothing.
    pub(crate) fn take_back(&self, metrics: &GatewayMetrics) {
        self.sent.set(self.sent.get().saturating_sub(1));
        metrics.count_unsent();
        if let Some(mut permit) = self.last_permit.take() {
            permit.take_back();
            *self.permit.borrow_mut() = Some(permit);
        }
    }
}
