//! What this host notes of targets: failures, and what they asked.

use std::time::Instant;

use linnet_clock::BootInstant;
use linnet_telemetry::{EventCode, NoticeLine};

use super::Gateway;

impl Gateway {
    /// Returns what targets have asked of this host, for operators.
    pub fn notice_lines(&self) -> Vec<NoticeLine> {
        self.notices.lines(BootInstant::now())
    }

    /// Forgets what targets asked and is over, and counts what holds.
    pub(super) fn expire_notices(&self) {
        let now = BootInstant::now();
        self.notices.expire(now);
        self.expire_rates();
        let counts = self.notices.counts(now);
        let metrics = &self.metrics;
        metrics.targets_backed_off.set(counts.backed_off as i64);
        metrics.targets_leaving.set(counts.leaving as i64);
        metrics.sendings_withheld.set(counts.withheld as i64);
        let rates = self.notices.rates.counts();
        metrics.rates_named.set(rates.limited as i64);
        metrics.rated_sent.set(rates.usage.sent as i64);
        metrics.rated_withheld.set(rates.usage.withheld as i64);
        metrics.rates_unreadable.set(rates.invalid as i64);
    }

    /// Notes that a target could not be reached.
    pub(crate) fn note_unreachable(&self, service: &str, id: &str, cause: &str) {
        let now = Instant::now();
        self.targets
            .borrow_mut()
            .record_unreachable(service, id, now);
        let detail = format!("service={service} cause={cause}");
        self.config
            .recorder
            .record(EventCode::TargetEjected, id, detail);
    }

    /// Notes that a target failed; it may be left alone for a while.
    pub(crate) fn note_target_failure(&self, service: &str, id: &str, cause: &str) {
        let now = Instant::now();
        if self.targets.borrow_mut().record_failure(service, id, now) {
            self.engines.borrow_mut().forget_engine(id);
            let detail = format!("service={service} cause={cause}");
            self.config
                .recorder
                .record(EventCode::TargetEjected, id, detail);
        }
    }
}
