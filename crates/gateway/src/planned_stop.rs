//! Which requests a host that is about to stop still begins.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::caller_request::CallerRequest;
use crate::{Gateway, Refusal, RefusalReason};

/// Value of the retry-after header in responses of a host that is about to stop: its caller needs a
/// connection to another host, and no wait.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StopTime {
    pub(crate) began: Instant,
    /// When requests still in flight are aborted.
    pub(crate) deadline: Instant,
}

impl Gateway {
    /// Checks that a request which begins now ends before a planned stop does.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::NotReady`] if it is not expected to.
    pub(crate) fn check_stop(&self, request: &CallerRequest) -> Result<(), Refusal> {
        let Some(stop) = self.stop_time() else {
            return Ok(());
        };
        let left = stop.deadline.saturating_duration_since(Instant::now());
        let needed = self.time_needed(request);
        if needed <= left {
            return Ok(());
        }
        let detail = format!(
            "this host is about to stop: {} ms are left, the request may need {} ms",
            left.as_millis(),
            needed.as_millis()
        );
        Err(stop_refusal(detail))
    }

    /// Resolves once [`Gateway::check_stop`] fails for a request.
    pub(crate) async fn wait_until_too_late(&self, request: &CallerRequest) {
        let stop = self.wait_for_stop().await;
        loop {
            let left = stop.deadline.saturating_duration_since(Instant::now());
            let needed = self.time_needed(request);
            if needed > left || left.is_zero() {
                return;
            }
            sleep((left - needed).max(Duration::from_millis(1))).await;
        }
    }

    /// Returns how long a request may take, by those of its route and by its deadline.
    fn time_needed(&self, request: &CallerRequest) -> Duration {
        let time_left = request.time_left();
        let max_time = self.run_times.borrow().max_time(&request.route.name);
        max_time.map_or(time_left, |max_time| max_time.min(time_left))
    }

    /// Records how long a request took that has ended.
    pub(crate) fn record_run_time(&self, request: &CallerRequest) {
        let took = request.read_at.elapsed();
        let mut times = self.run_times.borrow_mut();
        times.record(&request.route.name, took, Instant::now());
    }
}

/// Returns the refusal of a request that this host does not begin any more.
pub(crate) fn stop_refusal(detail: impl Into<String>) -> Refusal {
    Refusal::new(RefusalReason::NotReady, detail).with_retry_after(RETRY_AFTER)
}
