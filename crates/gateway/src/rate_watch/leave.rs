//! Leave to send to targets that name rates, as requests of this host take it.

use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_rate::{NamedRate, RatePacer};

use super::{RateAsker, RateWatch};
use crate::rate_permit::SendPermit;
use crate::rate_turn::{RateAnswer, RateAsk, RateSubject};

/// The longest time after which callers that are refused are told to come back one after the other.
pub(super) const MOST_RETURN: Duration = Duration::from_secs(5);

impl RateWatch {
    /// Sets how the host that gives leave is asked.
    pub(crate) fn set_asker(&self, asker: RateAsker) {
        let _ = self.asker.set(asker);
    }

    /// Takes leave to send a request to a target, waiting for it for at most a span; nothing where there is none in
    /// that time.
    pub(crate) async fn take_permit(&self, target: &str, within: Duration) -> Option<SendPermit> {
        if self.rate(target).is_none() {
            return Some(SendPermit::FREE);
        }
        let asked = BootInstant::now();
        if let Some(spare) = self.permits.take_spare(target, asked) {
            return Some(spare);
        }
        if self.permits.is_vain(target, within, asked) {
            return None;
        }
        let word = self.book.borrow().word(target, asked)?;
        let ask = RateAsk {
            subject: RateSubject::Target(word),
            within_ms: within.as_millis() as u64,
            more: self.permits.demand(target),
        };
        let answer = self.ask(ask).await;
        let (wait, permit) = self.permits.take_answer(target, answer, within, asked)?;
        tokio::time::sleep((asked + wait) - BootInstant::now()).await;
        Some(permit)
    }

    async fn ask(&self, ask: RateAsk) -> RateAnswer {
        match self.asker.get() {
            Some(asker) => asker(ask).await,
            None => RateAnswer::UNREACHED,
        }
    }

    /// Takes leave to begin a request whose service has only targets that name rates, `sum` together.
    ///
    /// # Errors
    ///
    /// The time until there is leave, where that is longer than a span.
    pub(crate) async fn take_turn(
        &self,
        service: &str,
        sum: NamedRate,
        within: Duration,
    ) -> Result<(), Duration> {
        let ask = RateAsk {
            subject: RateSubject::Service(service.to_owned(), sum),
            within_ms: within.as_millis() as u64,
            more: 0,
        };
        match self.ask(ask).await {
            RateAnswer::Granted { .. } => Ok(()),
            RateAnswer::Later(after_ms) => Err(Duration::from_millis(after_ms)),
        }
    }

    /// Returns when a caller that is refused should come back, after those that were refused before it.
    pub(crate) fn return_turn(&self, service: &str, sum: NamedRate) -> Duration {
        let now = BootInstant::now();
        let mut returns = self.returns.borrow_mut();
        let pacer = returns.entry(service.to_owned());
        let pacer = pacer.or_insert_with(|| RatePacer::new(sum, now));
        pacer.set_rate(sum, now);
        match pacer.reserve(now, MOST_RETURN) {
            Ok(wait) | Err(wait) => wait,
        }
    }

    /// Returns how long there is no leave to send to a target.
    pub(crate) fn closed_for(&self, target: &str, now: BootInstant) -> Duration {
        match self.rate(target) {
            Some(_) => self.permits.closed_for(target, now),
            None => Duration::ZERO,
        }
    }

    /// Says whether a request may be sent to a target with a permit.
    pub(crate) fn allows(&self, target: &str, permit: SendPermit, now: BootInstant) -> bool {
        self.rate(target).is_none() || permit.is_valid(now)
    }
}
