//! Whether a request is taken, before any work is done for it.

use std::time::Duration;

use crate::ask::Ask;
use crate::coordinator::LEAST_REFUSED_WAIT_MS;
use crate::graph::path_time;
use crate::wait_model::PathPlan;
use crate::{Gateway, Refusal, RefusalReason};

/// When a caller should come back after queues were too long: spread, so that those who were refused
/// together do not come back together.
pub(crate) const RETRY_LEAST: Duration = Duration::from_millis(900);
const RETRY_MOST: Duration = Duration::from_millis(2_200);

/// Part of the time that is left in which a request that misses its objective has to be expected to
/// end: what is admitted and given up later was held for nothing.
const LATE_PART: f64 = 0.35;

/// Takes a request, or refuses it before its first stage.
///
/// A request that will meet its objective is taken. Of the others, a caller who comes for the first time
/// is sent away, so that a second try may meet it; one who was sent away before is served after
/// all that can be in time, unless even that is hopeless.
pub(crate) fn admit(gateway: &Gateway, ask: &Ask) -> Result<PathPlan, Refusal> {
    let plan = path_time(gateway, ask).plan;
    let left_ms = ask.objective_left().as_secs_f64() * 1_000.0;
    let expected_ms = gateway.waits.borrow().expected_ms(ask.rank(), &plan);
    if plan.waits_ms < LEAST_REFUSED_WAIT_MS || expected_ms <= left_ms {
        return Ok(plan);
    }
    if ask.came_back()
        && let Some(late) = admit_late(gateway, ask)
    {
        return Ok(late);
    }
    let detail = format!(
        "queues too long: waits_ms={:.0} expected_ms={expected_ms:.0} objective_left_ms={left_ms:.0}",
        plan.waits_ms
    );
    let spread = fastrand::f64();
    let back = RETRY_LEAST + (RETRY_MOST - RETRY_LEAST).mul_f64(spread);
    Err(Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(back))
}

/// Takes a request after all that can be in time, if it will end well before its caller gives up.
fn admit_late(gateway: &Gateway, ask: &Ask) -> Option<PathPlan> {
    ask.set_late(true);
    let plan = path_time(gateway, ask).plan;
    let expected_ms = gateway.waits.borrow().expected_ms(ask.rank(), &plan);
    let left_ms = ask.time_left().as_secs_f64() * 1_000.0;
    let taken = expected_ms <= left_ms * LATE_PART;
    ask.set_late(taken);
    taken.then_some(plan)
}
