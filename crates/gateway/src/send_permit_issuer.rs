//! Leave to send to a target that names a rate, which one host gives for all.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_rate::{RateLimit, RateObservation, RatePacer};
use serde::{Deserialize, Serialize};

/// How long after its moment leave to send may be used. A connection may take that long to open.
pub(crate) const PERMIT_LIFETIME: Duration = Duration::from_millis(300);

/// How long a host that begins to give leave for a target waits at least: what another one gave is used up then.
const HANDOVER_DELAY: Duration = PERMIT_LIFETIME;

/// The span of which requests are given at once to a host that sends so many.
const BATCH_SPAN: Duration = Duration::from_millis(20);

/// How long after the last leave a pacer is kept: no rate is so low that it owes anything then.
const PACER_RETENTION: Duration = Duration::from_secs(60);

/// For what leave is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SendPermitScope {
    /// A request to a target, of which the host that asks knows this.
    Target(RateObservation),
    /// The first stage of a request whose service has only targets that name rates, with the sum of these.
    Service(String, RateLimit),
}

impl SendPermitScope {
    /// Returns the key by which hosts agree on who gives leave.
    pub(crate) fn key(&self) -> &str {
        match self {
            Self::Target(observation) => &observation.target,
            Self::Service(service, _) => service,
        }
    }
}

/// What a host asks that wants to send to a target which names a rate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SendPermitRequest {
    pub(crate) scope: SendPermitScope,
    /// How long it would wait, in milliseconds.
    pub(crate) max_wait_ms: u64,
    /// How many further requests it is about to send.
    pub(crate) more: u32,
}

/// What the host answers that gives leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SendPermitReply {
    /// One request may go after `wait_ms`, and `more` with it; the next one after `next_ms`.
    Granted {
        wait_ms: u64,
        more: u32,
        next_ms: u64,
    },
    /// None may within the time that was asked for; the next one after so many milliseconds.
    Denied(u64),
}

impl SendPermitReply {
    /// The answer where nobody can be asked: a short while later another host may give leave.
    pub(crate) const UNREACHED: Self = Self::Denied(100);
}

/// The targets for which this host gives leave.
#[derive(Debug, Default)]
pub(crate) struct SendPermitIssuer {
    pacers: RefCell<HashMap<String, RatePacer>>,
}

impl SendPermitIssuer {
    /// Gives leave by a rate, or says when there will be some.
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

    /// Forgets a target or service for which another host gives leave.
    pub(crate) fn remove(&self, key: &str) {
        self.pacers.borrow_mut().remove(key);
    }

    /// Forgets targets for which nobody has asked for long.
    pub(crate) fn expire(&self, now: BootInstant) {
        let mut pacers = self.pacers.borrow_mut();
        pacers.retain(|_, pacer| !pacer.is_idle(PACER_RETENTION, now));
    }
}

/// Returns a span in milliseconds, rounded up: nothing goes before its time.
fn ceil_ms(span: Duration) -> u64 {
    span.as_micros().div_ceil(1_000) as u64
}

#[cfg(test)]
mod tests;
