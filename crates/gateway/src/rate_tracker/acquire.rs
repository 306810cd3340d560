//! Leave to send to targets that name rates, as requests of this host take it.

use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_rate::{RateLimit, RatePacer};

use super::{PermitRequester, RateTracker};
use crate::send_permit::SendPermit;
use crate::send_permit_issuer::{SendPermitReply, SendPermitRequest, SendPermitScope};

/// The longest time after which callers that are refused are told to come back one after the other.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

impl RateTracker {
    /// Sets how the host that gives leave is requested_at.
    pub(crate) fn set_requester(&self, requester: PermitRequester) {
        let _ = self.requester.set(requester);
    }

    /// Takes leave to send a request to a target, waiting for it for at most a span; nothing where there is none in
    /// that time.
    pub(crate) async fn acquire_permit(
        &self,
        target: &str,
        max_wait: Duration,
    ) -> Option<SendPermit> {
        if self.rate_limit(target).is_none() {
            return Some(SendPermit::UNRESTRICTED);
        }
        let requested_at = BootInstant::now();
        if let Some(spare) = self.permits.take_spare(target, requested_at) {
            return Some(spare);
        }
        if self.permits.would_time_out(target, max_wait, requested_at) {
            return None;
        }
        let observation = self.store.borrow().observation(target, requested_at)?;
        let request = SendPermitRequest {
            scope: SendPermitScope::Target(observation),
            max_wait_ms: max_wait.as_millis() as u64,
            more: self.permits.demand(target),
        };
        let reply = self.request_permit(request).await;
        let (wait, permit) = self
            .permits
            .record_reply(target, reply, max_wait, requested_at)?;
        tokio::time::sleep((requested_at + wait) - BootInstant::now()).await;
        Some(permit)
    }

    async fn request_permit(&self, request: SendPermitRequest) -> SendPermitReply {
        match self.requester.get() {
            Some(requester) => requester(request).await,
            None => SendPermitReply::UNREACHED,
        }
    }

    /// Takes leave to begin a request whose service has only targets that name rates, `sum` together.
    ///
    /// # Errors
    ///
    /// The time until there is leave, where that is longer than a span.
    pub(crate) async fn acquire_service_permit(
        &self,
        service: &str,
        sum: RateLimit,
        max_wait: Duration,
    ) -> Result<(), Duration> {
        let request = SendPermitRequest {
            scope: SendPermitScope::Service(service.to_owned(), sum),
            max_wait_ms: max_wait.as_millis() as u64,
            more: 0,
        };
        match self.request_permit(request).await {
            SendPermitReply::Granted { .. } => Ok(()),
            SendPermitReply::Denied(after_ms) => Err(Duration::from_millis(after_ms)),
        }
    }

    /// Returns when a caller that is refused should come back, after those that were refused before it.
    pub(crate) fn retry_after(&self, service: &str, sum: RateLimit) -> Duration {
        let now = BootInstant::now();
        let mut retry_pacers = self.retry_pacers.borrow_mut();
        let pacer = retry_pacers.entry(service.to_owned());
        let pacer = pacer.or_insert_with(|| RatePacer::new(sum, now));
        pacer.set_rate(sum, now);
        match pacer.reserve(now, MAX_RETRY_AFTER) {
            Ok(wait) | Err(wait) => wait,
        }
    }

    /// Returns how long there is no leave to send to a target.
    pub(crate) fn unavailable_for(&self, target: &str, now: BootInstant) -> Duration {
        match self.rate_limit(target) {
            Some(_) => self.permits.unavailable_for(target, now),
            None => Duration::ZERO,
        }
    }

    /// Says whether a request may be sent to a target with a permit.
    pub(crate) fn allows(&self, target: &str, permit: SendPermit, now: BootInstant) -> bool {
        self.rate_limit(target).is_none() || permit.is_valid(now)
    }
}
