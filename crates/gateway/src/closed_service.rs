//! What becomes of a request where every target that may run it wants no requests for a while.

use std::time::Duration;

use linnet_clock::BootInstant;
use tokio::time::sleep;

use crate::Gateway;
use crate::ask::Ask;
use crate::open_request::OpenRequest;
use crate::target_ask::TargetStanding;
use crate::{Refusal, RefusalReason};

/// Part of the time until its objective is missed that a request waits for a target; the rest is for its work.
/// One that would wait longer is refused at once and told when to come back, while its caller has time for it.
const WAIT_PART: f64 = 0.5;

/// Requests that wait at the same time, at most. Each keeps its body.
const MOST_WAITING: usize = 256;

/// By how much callers, and requests that wait, come later than the first target takes requests again, drawn
/// anew for each: as a part of the time until then, and its bounds.
const SPREAD_PART: f64 = 0.25;
const SPREAD_LEAST: Duration = Duration::from_millis(20);
const SPREAD_MOST: Duration = Duration::from_secs(1);

/// Returns how long it is until a target that may run a request, and has not been tried, takes requests of this
/// host; nothing where none will.
pub(crate) fn closed_for(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
    tried: &[String],
) -> Option<Duration> {
    let now = BootInstant::now();
    let book = gateway.targets.borrow();
    let confined = gateway.suspects.closed_targets(&book, service, ask);
    let targets = book.of_service(service).filter(|target| {
        ask.homes.allow(&target.hall)
            && !confined.contains(&target.id)
            && !tried.contains(&target.id)
    });
    let opens = targets.filter_map(|target| match gateway.notices.standing(&target.id, now) {
        TargetStanding::Open => Some(Duration::ZERO),
        TargetStanding::BackedOff(left) => Some(left),
        TargetStanding::Leaving => None,
    });
    opens.min()
}

/// Refuses a request before its stages begin where its own service opens too late for it. The stages are
/// planned to take `planned`, in which it may open.
///
/// # Errors
///
/// [`RefusalReason::Overloaded`], with the time to come back.
pub(crate) fn check_opens(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
    planned: Duration,
) -> Result<(), Refusal> {
    let Some(left) = closed_for(gateway, service, ask, &[]) else {
        return Ok(());
    };
    let wait = left.saturating_sub(planned);
    let spare = ask.objective_left().saturating_sub(planned);
    if wait > spare.mul_f64(WAIT_PART) {
        return Err(closed(service, left));
    }
    Ok(())
}

/// Waits until a target that may run a request takes requests again, where that is soon enough for it.
///
/// # Errors
///
/// [`RefusalReason::Overloaded`], with the time to come back, where it is not.
pub(crate) async fn await_open(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
    left: Duration,
) -> Result<(), Refusal> {
    let in_time = left <= ask.objective_left().mul_f64(WAIT_PART);
    if !in_time || gateway.waiting.get() >= MOST_WAITING {
        return Err(closed(service, left));
    }
    let _waits = OpenRequest::new(&gateway.waiting);
    sleep(spread(left)).await;
    Ok(())
}

/// Returns when a caller should come back: not before a target takes requests of this host again.
pub(crate) fn retry_after(gateway: &Gateway, service: &str, ask: &Ask) -> Duration {
    spread(closed_for(gateway, service, ask, &[]).unwrap_or_default())
}

fn closed(service: &str, left: Duration) -> Refusal {
    let detail = format!(
        "every target of {service} wants no requests, the first one for {} ms",
        left.as_millis()
    );
    Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(spread(left))
}

/// Returns when one of many comes that wait for the same moment: it and somewhat more.
fn spread(left: Duration) -> Duration {
    let most = left.mul_f64(SPREAD_PART).clamp(SPREAD_LEAST, SPREAD_MOST);
    left + most.mul_f64(fastrand::f64())
}
