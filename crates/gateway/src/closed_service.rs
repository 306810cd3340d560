//! What becomes of a request where every target that may run it wants no requests for a while.

use std::time::{Duration, Instant};

use linnet_clock::BootInstant;
use linnet_rate::RateLimit;
use tokio::time::sleep;

use crate::Gateway;
use crate::ask::Ask;
use crate::open_request::OpenRequest;
use crate::target::Target;
use crate::target_restriction::TargetAvailability;
use crate::{Refusal, RefusalReason};

/// Part of the time until its objective is missed that a request waits for a target; the rest is for its work.
/// One that would wait longer is refused at once and told when to come back, while its caller has time for it.
const WAIT_PART: f64 = 0.5;

/// Requests that wait at the same time, at most. Each keeps its body.
const MOST_WAITING: usize = 256;

/// The longest time after which callers are told to come back for a rate.
const MOST_TOLD: Duration = Duration::from_secs(30);

/// By how much callers, and requests that wait, come later than the first target takes requests again, drawn
/// anew for each: as a part of the time until then, and its bounds.
const SPREAD_PART: f64 = 0.25;
const SPREAD_LEAST: Duration = Duration::from_millis(20);
const SPREAD_MOST: Duration = Duration::from_secs(1);

/// The most urgent requests wait as long for leave as their objective bears; each level less urgent waits less by this
/// part, so that leave goes to the more urgent ones first.
const RANK_PART: f64 = 0.1;

/// When a target takes requests of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NextOpening {
    /// In how long.
    pub(crate) left: Duration,
    /// Whether it is for a rate that it takes none before.
    pub(crate) paced: bool,
}

/// Returns when the first target that may run a request, and has not been tried, takes requests of this host;
/// nothing where none will.
pub(crate) fn next_opening(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
    tried: &[String],
) -> Option<NextOpening> {
    let now = BootInstant::now();
    let book = gateway.targets.borrow();
    let confined = gateway.suspects.closed_targets(&book, service, ask);
    let targets = book.of_service(service).filter(|target| {
        ask.homes.allow(&target.hall)
            && !confined.contains(&target.id)
            && !tried.contains(&target.id)
    });
    let opens = targets.filter_map(|target| {
        let (left, paced) = match gateway.notices.availability(&target.id, now) {
            TargetAvailability::Open => (Duration::ZERO, false),
            TargetAvailability::BackedOff(left) => (left, false),
            TargetAvailability::RateLimited(left) => (left, true),
            TargetAvailability::Leaving => return None,
        };
        Some(NextOpening { left, paced })
    });
    opens.min()
}

/// Returns how long a request waits for leave to go to a target that names a rate: not at all where another target is
/// open that names none.
pub(crate) fn rate_patience(gateway: &Gateway, service: &str, ask: &Ask, target: &str) -> Duration {
    if gateway.notices.rates.rate_limit(target).is_none() {
        return Duration::ZERO;
    }
    match has_unrated(gateway, service, ask) {
        true => Duration::ZERO,
        false => ranked_patience(ask),
    }
}

/// Says whether a target that may run a request is open and takes any rate.
pub(crate) fn has_unrated(gateway: &Gateway, service: &str, ask: &Ask) -> bool {
    let now = BootInstant::now();
    let book = gateway.targets.borrow();
    let mut usable = book.usable(service, Instant::now()).into_iter();
    usable.any(|one: &Target| {
        ask.homes.allow(&one.hall)
            && book.rate_limit(&one.id).is_none()
            && gateway.notices.availability(&one.id, now) == TargetAvailability::Open
    })
}

/// Returns how long a request waits for leave where no target takes any rate.
fn ranked_patience(ask: &Ask) -> Duration {
    let level = f64::from(ask.rank.engine_level());
    ask.objective_left()
        .mul_f64(WAIT_PART * (1.0 - level * RANK_PART))
}

/// Returns the sum of the rates of the targets that may run a request; nothing where one of them takes any.
fn rate_sum(gateway: &Gateway, service: &str, ask: &Ask) -> Option<RateLimit> {
    if gateway.notices.rates.is_empty() {
        return None;
    }
    let book = gateway.targets.borrow();
    let usable = book.usable(service, Instant::now()).into_iter();
    let usable = usable.filter(|target| ask.homes.allow(&target.hall));
    let rates = usable.map(|target| book.rate_limit(&target.id));
    rates.reduce(|sum, rate| Some(sum?.plus(rate?))).flatten()
}

/// Refuses a request before its stages begin where the rates of all targets of its service are used up by others.
///
/// # Errors
///
/// [`RefusalReason::Overloaded`], with the time to come back.
pub(crate) async fn check_rates(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
) -> Result<(), Refusal> {
    let Some(sum) = rate_sum(gateway, service, ask) else {
        return Ok(());
    };
    let rates = &gateway.notices.rates;
    let taken = rates
        .acquire_service_permit(service, sum, ranked_patience(ask))
        .await;
    taken.map_err(|left| paced(gateway, service, ask, left))
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
    let Some(opening) = next_opening(gateway, service, ask, &[]) else {
        return Ok(());
    };
    let wait = opening.left.saturating_sub(planned);
    let spare = ask.objective_left().saturating_sub(planned);
    if wait > spare.mul_f64(WAIT_PART) {
        return Err(refusal_until(gateway, service, ask, opening));
    }
    Ok(())
}

/// Waits until a target that may run a request takes requests again, where that is soon enough for it. Leave by a rate
/// is not waited for here: what could be had in time was given to others.
///
/// # Errors
///
/// [`RefusalReason::Overloaded`], with the time to come back, where it is not.
pub(crate) async fn await_open(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
    opening: NextOpening,
) -> Result<(), Refusal> {
    let in_time = opening.left <= ask.objective_left().mul_f64(WAIT_PART);
    if opening.paced || !in_time || gateway.waiting.get() >= MOST_WAITING {
        return Err(refusal_until(gateway, service, ask, opening));
    }
    let _waits = OpenRequest::new(&gateway.waiting);
    sleep(spread(opening.left)).await;
    Ok(())
}

/// Returns when a caller should come back: not before a target takes requests of this host again.
pub(crate) fn retry_after(gateway: &Gateway, service: &str, ask: &Ask) -> Duration {
    let opening = next_opening(gateway, service, ask, &[]);
    spread(opening.map_or(Duration::ZERO, |opening| opening.left))
}

/// Returns the refusal of a request for which no target was found, where all name rates.
pub(crate) fn used_up(gateway: &Gateway, service: &str, ask: &Ask) -> Option<Refusal> {
    rate_sum(gateway, service, ask)?;
    Some(paced(gateway, service, ask, Duration::ZERO))
}

fn refusal_until(gateway: &Gateway, service: &str, ask: &Ask, opening: NextOpening) -> Refusal {
    match opening.paced {
        true => paced(gateway, service, ask, opening.left),
        false => closed(service, opening.left),
    }
}

/// Returns the refusal of a request for whose service there is no leave for a time. Callers that are refused are told
/// to come back one after the other, by the sum of the rates.
fn paced(gateway: &Gateway, service: &str, ask: &Ask, left: Duration) -> Refusal {
    let detail = format!(
        "every target of {service} names a rate that is used up, the first one for {} ms",
        left.as_millis()
    );
    let sum = rate_sum(gateway, service, ask);
    let turn = sum.map(|sum| gateway.notices.rates.retry_after(service, sum));
    let back = left.max(turn.unwrap_or_default()).min(MOST_TOLD);
    Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(spread(back))
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
