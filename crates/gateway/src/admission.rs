//! Whether a request is taken, before any work is done for it.

use std::time::Duration;

use crate::ask::Ask;
use crate::coordinator::MIN_REFUSED_WAIT_MS;
use crate::path_time::estimate_path_time;
use crate::wait_model::PathEstimate;
use crate::{Gateway, Refusal, RefusalReason};

/// When a caller should come back after queues were too long: spread, so that those who were refused
/// together do not come back together.
pub(crate) const RETRY_LEAST: Duration = Duration::from_millis(900);
const RETRY_MOST: Duration = Duration::from_millis(2_200);

/// Refuses a request before its first stage where the queues on its way leave it no chance to meet
/// its objective. Work for what comes too late would be missing elsewhere.
pub(crate) fn admit(gateway: &Gateway, ask: &Ask) -> Result<PathEstimate, Refusal> {
    let plan = estimate_path_time(gateway, ask).plan;
    let left_ms = ask.objective_left().as_secs_f64() * 1_000.0;
    let expected_ms = gateway.waits.borrow().expected_ms(ask.rank, &plan);
    if plan.waits_ms < MIN_REFUSED_WAIT_MS || expected_ms <= left_ms {
        return Ok(plan);
    }
    let detail = format!(
        "queues too long: waits_ms={:.0} expected_ms={expected_ms:.0} objective_left_ms={left_ms:.0}",
        plan.waits_ms
    );
    let spread = fastrand::f64();
    let back = RETRY_LEAST + (RETRY_MOST - RETRY_LEAST).mul_f64(spread);
    Err(Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(back))
}
