//! Admission of operators' orders that carry no number, by how long they may have waited.
//!
//! A host that is suspended reads the orders in its sockets when it goes on. By then an operator who got no
//! answer has sent the order to another host, and perhaps the opposite one after it. Such an order is refused
//! instead of being executed after those that overtook it.

use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_telemetry::EventCode;
use tokio::time::sleep;

use super::{DirectoryError, DirectoryNode};

/// How long an order may be proposed again with newer state than it was received with. Together with
/// [`MIN_SUSPENSION`] this is the second after which operators stop waiting for an answer and ask another host.
const ORDER_LIFETIME: Duration = Duration::from_millis(500);

/// How often the host checks that it runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two checks that counts as a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(500);

/// How long after a suspension orders may still be read that arrived during it.
const READ_DELAY: Duration = Duration::from_secs(1);

/// Detects suspensions of this process by the time between checks.
#[derive(Debug)]
pub(crate) struct SuspensionMeter {
    checked_at: BootInstant,
    resumed_at: Option<BootInstant>,
}

impl Default for SuspensionMeter {
    fn default() -> Self {
        Self {
            checked_at: BootInstant::now(),
            resumed_at: None,
        }
    }
}

impl SuspensionMeter {
    /// Records that the process runs; returns the time since the last check if that was a suspension.
    pub(crate) fn check(&mut self, now: BootInstant) -> Option<Duration> {
        let elapsed = now - self.checked_at;
        self.checked_at = now;
        if elapsed < MIN_SUSPENSION {
            return None;
        }
        self.resumed_at = Some(now);
        Some(elapsed)
    }

    /// Admits an order that is read at `now`; `None` if it may have waited during a suspension.
    pub(crate) fn admit(&mut self, now: BootInstant) -> Option<AdmittedOrder> {
        self.check(now);
        let may_be_late = self.resumed_at.is_some_and(|at| now - at < READ_DELAY);
        (!may_be_late).then_some(AdmittedOrder { admitted_at: now })
    }
}

/// An order that was received while its operator waits for the answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdmittedOrder {
    admitted_at: BootInstant,
}

impl AdmittedOrder {
    /// Returns whether the operator still waits for the answer, so that none of its later orders can have been
    /// executed.
    pub(crate) fn is_current(self, now: BootInstant) -> bool {
        now - self.admitted_at < ORDER_LIFETIME
    }
}

impl DirectoryNode {
    /// Admits an order that was just read.
    ///
    /// # Errors
    ///
    /// [`DirectoryError::OrderOutdated`] if it may have been overtaken by later ones.
    pub(super) fn admit_order(&self) -> Result<AdmittedOrder, DirectoryError> {
        let admitted = self.lock().suspensions.admit(BootInstant::now());
        admitted.ok_or(DirectoryError::OrderOutdated)
    }
}

/// Detects suspensions of this process until it ends.
pub(super) async fn detect_suspensions(node: DirectoryNode) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let suspended = node.lock().suspensions.check(BootInstant::now());
        if let Some(span) = suspended {
            let detail = format!("suspended_ms={}", span.as_millis());
            node.record(EventCode::HostResumed, &detail);
        }
    }
}

#[cfg(test)]
mod tests;
