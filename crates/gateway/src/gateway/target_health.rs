//! What this host records of targets: failures, back-offs, leave notices and rate limits.

use std::time::Instant;

use linnet_clock::BootInstant;
use linnet_telemetry::{EventCode, NoticeLine};

use super::Gateway;

impl Gateway {
    /// Returns the back-offs, leave notices and rate limits that targets sent to this host, for
    /// operators.
    pub fn notice_lines(&self) -> Vec<NoticeLine> {
        self.notices.lines(BootInstant::now())
    }

    /// Removes expired entries of targets and updates the metrics for the remaining ones.
    pub(super) fn expire_notices(&self) {
        let now = BootInstant::now();
        self.notices.expire(now);
        self.expire_send_permits();
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

    /// Records that a target could not be reached.
    pub(crate) fn record_unreachable(&self, service: &str, id: &str, cause: &str) {
        let now = Instant::now();
        self.targets
            .borrow_mut()
            .record_unreachable(service, id, now);
        let detail = format!("service={service} cause={cause}");
        self.config
            .recorder
            .record(EventCode::TargetEjected, id, detail);
    }

    /// Records that a target failed; repeated failures put it into cooldown.
    pub(crate) fn record_target_failure(&self, service: &str, id: &str, cause: &str) {
        let now = Instant::now();
        if self.targets.borrow_mut().record_failure(service, id, now) {
            self.engine_placer.borrow_mut().forget_engine(id);
            let detail = format!("service={service} cause={cause}");
            self.config
                .recorder
                .record(EventCode::TargetEjected, id, detail);
        }
    }
}
