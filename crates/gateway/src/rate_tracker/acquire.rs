//! Acquiring permits to send to targets with rate limits.

use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_rate::{RateLimit, RatePacer};

use super::{PermitRequester, RateTracker};
use crate::send_permit::SendPermit;
use crate::send_permit_issuer::{SendPermitReply, SendPermitRequest, SendPermitScope};

/// Upper bound of the paced retry times of refused callers.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

impl RateTracker {
    /// Sets the function that requests a permit from the issuing host.
    pub(crate) fn set_requester(&self, requester: PermitRequester) {
        let _ = self.requester.set(requester);
    }

    /// Acquires a permit to send a request to a target, waiting for at most `max_wait`. Returns
    /// `None` if there is no permit within that time.
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
            None => SendPermitReply::UNREACHABLE,
        }
    }

    /// Acquires permission to start a request to a service all of whose targets have rate limits,
    /// `sum` in total.
    ///
    /// # Errors
    ///
    /// The time until permission is available, if that is longer than `max_wait`.
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

    /// Returns when a refused caller should retry, after those that were refused before it.
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

    /// Returns for how long no permit to send to a target is available.
    pub(crate) fn unavailable_for(&self, target: &str, now: BootInstant) -> Duration {
        match self.rate_limit(target) {
            Some(_) => self.permits.unavailable_for(target, now),
            None => Duration::ZERO,
        }
    }

    /// Returns whether a request with the given permit may be sent to a target.
    pub(crate) fn allows(&self, target: &str, permit: SendPermit, now: BootInstant) -> bool {
        self.rate_limit(target).is_none() || permit.is_valid(now)
    }
}
