//! Issuing permits to send to a target with a rate limit. One host issues them for all.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_rate::{RateLimit, RateObservation, RatePacer};
use serde::{Deserialize, Serialize};

/// How long after its start time a permit is valid. Opening a connection may take that long.
pub(crate) const PERMIT_LIFETIME: Duration = Duration::from_millis(300);

/// Minimum delay before a host that takes over a target issues its first permit: those of the
/// previous issuer have expired by then.
const HANDOVER_DELAY: Duration = PERMIT_LIFETIME;

/// Time span for which a host receives permits at once, if it sends that many requests.
const BATCH_SPAN: Duration = Duration::from_millis(20);

/// How long a pacer is retained after the last permit. Even at the lowest rate, no request has to
/// wait by then.
const PACER_RETENTION: Duration = Duration::from_secs(60);

/// What a permit is requested for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SendPermitScope {
    /// A request to a target, with what the requesting host knows of its rate limit.
    Target(RateObservation),
    /// The start of a request to a service all of whose targets have rate limits, with the sum of
    /// these.
    Service(String, RateLimit),
}

impl SendPermitScope {
    /// Returns the key by which hosts agree on the issuer.
    pub(crate) fn key(&self) -> &str {
        match self {
            Self::Target(observation) => &observation.target,
            Self::Service(service, _) => service,
        }
    }
}

/// A request for a permit, made by a host that is about to send to a target with a rate limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SendPermitRequest {
    pub(crate) scope: SendPermitScope,
    /// The longest acceptable wait, in milliseconds.
    pub(crate) max_wait_ms: u64,
    /// Number of further requests that the host is about to send.
    pub(crate) more: u32,
}

/// The reply of the issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SendPermitReply {
    /// One request may be sent after `wait_ms` and `more` along with it, the next one after
    /// `next_ms`.
    Granted {
        wait_ms: u64,
        more: u32,
        next_ms: u64,
    },
    /// No request may be sent within the acceptable wait; the next one may after so many
    /// milliseconds.
    Denied(u64),
}

impl SendPermitReply {
    /// The reply assumed when no issuer can be reached. Another host may be the issuer shortly
    /// after.
    pub(crate) const UNREACHABLE: Self = Self::Denied(100);
}

/// The targets and services for which this host issues permits.
#[derive(Debug, Default)]
pub(crate) struct SendPermitIssuer {
    pacers: RefCell<HashMap<String, RatePacer>>,
}

impl SendPermitIssuer {
    /// Issues a permit according to a rate limit, or replies when one will be available.
    pub(crate) fn issue(
        &self,
        limit: RateLimit,
        request: &SendPermitRequest,
        now: BootInstant,
    ) -> SendPermitReply {
        let mut pacers = self.pacers.borrow_mut();
        let pacer = pacers
            .entry(request.scope.key().to_owned())
            .or_insert_with(|| {
                let mut pacer = RatePacer::new(limit, now);
                pacer.delay_until(now + HANDOVER_DELAY);
                pacer
            });
        pacer.set_rate(limit, now);
        match pacer.reserve(now, Duration::from_millis(request.max_wait_ms)) {
            Ok(wait) => SendPermitReply::Granted {
                wait_ms: ceil_ms(wait),
                more: pacer.reserve_batch(request.more, BATCH_SPAN),
                next_ms: ceil_ms(pacer.time_until_next(now)),
            },
            Err(wait) => SendPermitReply::Denied(ceil_ms(wait)),
        }
    }

    /// Removes the state of a target or service for which another host issues permits.
    pub(crate) fn remove(&self, key: &str) {
        self.pacers.borrow_mut().remove(key);
    }

    /// Removes the state of targets and services for which no permit was requested recently.
    pub(crate) fn expire(&self, now: BootInstant) {
        let mut pacers = self.pacers.borrow_mut();
        pacers.retain(|_, pacer| !pacer.is_idle(PACER_RETENTION, now));
    }
}

/// Returns a duration in milliseconds, rounded up so that no request is sent early.
fn ceil_ms(span: Duration) -> u64 {
    span.as_micros().div_ceil(1_000) as u64
}

#[cfg(test)]
mod tests;
