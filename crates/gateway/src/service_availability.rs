//! Handles requests for services whose targets are all backed off or have used up their rates.

use std::time::{Duration, Instant};

use linnet_clock::BootInstant;
use linnet_rate::RateLimit;
use tokio::time::sleep;

use crate::caller_request::CallerRequest;
use crate::open_request::OpenRequestGuard;
use crate::target::Target;
use crate::target_restriction::TargetAvailability;
use crate::{Gateway, Refusal, RefusalReason};

/// Fraction of the time until its objective is missed that a request may wait for a target; the
/// rest is for its work. A request that would wait longer is refused at once with a retry-after
/// time, while its caller has time to retry.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Maximum number of attempts of a request that targets refuse without running it. Those after which the
/// request waits for a slot do not count.
pub(crate) const MAX_REFUSALS: u32 = 4;

/// Maximum number of requests that wait at the same time. Each keeps its body in memory.
const MAX_WAITING_REQUESTS: usize = 256;

/// Maximum retry-after time for a request that is refused because of a rate.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Random delay that is added to the time until the first target accepts requests again, drawn for
/// each caller and each waiting request: a fraction of that time, within bounds.
const JITTER_FRACTION: f64 = 0.25;
const MIN_JITTER: Duration = Duration::from_millis(20);
const MAX_JITTER: Duration = Duration::from_secs(1);

/// The most urgent requests wait for a send permit as long as their objective allows. Each less
/// urgent level waits less by this fraction, so that more urgent requests get send permits first.
const RANK_WAIT_STEP: f64 = 0.1;

/// When a target next accepts requests of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NextAvailability {
    /// Time until then.
    pub(crate) wait: Duration,
    /// Whether it is a rate limit that delays it.
    pub(crate) rate_limited: bool,
}

/// Returns when the first target that may run a request and has not been tried accepts requests of
/// this host; `None` if no target will.
pub(crate) fn next_availability(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    tried: &[String],
) -> Option<NextAvailability> {
    let now = BootInstant::now();
    let store = gateway.targets.borrow();
    let confined = gateway.suspects.closed_targets(&store, service, request);
    let targets = store.of_service(service).filter(|target| {
        request.allows_target(target)
            && !confined.contains(&target.id)
            && !tried.contains(&target.id)
    });
    let availabilities = targets.filter_map(|target| {
        let (wait, rate_limited) = match gateway.notices.availability(&target.id, now) {
            TargetAvailability::Open => (Duration::ZERO, false),
            TargetAvailability::BackedOff(left) => (left, false),
            TargetAvailability::RateLimited(left) => (left, true),
            TargetAvailability::Leaving => return None,
        };
        Some(NextAvailability { wait, rate_limited })
    });
    availabilities.min()
}

/// Returns how long a request may wait for a send permit of a target with a rate limit. It does not
/// wait if a target without a rate limit is available.
pub(crate) fn max_permit_wait(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    target: &str,
) -> Duration {
    if gateway.notices.rates.rate_limit(target).is_none() {
        return Duration::ZERO;
    }
    match has_unlimited_target(gateway, service, request) {
        true => Duration::ZERO,
        false => ranked_permit_wait(request),
    }
}

/// Returns whether a target that may run a request is available and has no rate limit.
pub(crate) fn has_unlimited_target(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
) -> bool {
    let now = BootInstant::now();
    let store = gateway.targets.borrow();
    let mut usable = store
        .usable_by(service, request.bound_version.get(), Instant::now())
        .into_iter();
    usable.any(|one: &Target| {
        request.allows_target(one)
            && store.rate_limit(&one.id).is_none()
            && gateway.notices.availability(&one.id, now) == TargetAvailability::Open
    })
}

/// Returns how long a request may wait for a send permit if all targets have rate limits.
fn ranked_permit_wait(request: &CallerRequest) -> Duration {
    let level = f64::from(request.rank.engine_priority());
    request
        .objective_left()
        .mul_f64(MAX_WAIT_FRACTION * (1.0 - level * RANK_WAIT_STEP))
}

/// Returns the sum of the rate limits of the targets that may run a request; `None` if one of them
/// has no limit.
fn total_rate_limit(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
) -> Option<RateLimit> {
    if gateway.notices.rates.is_empty() {
        return None;
    }
    let store = gateway.targets.borrow();
    let usable = store
        .usable_by(service, request.bound_version.get(), Instant::now())
        .into_iter();
    let usable = usable.filter(|target| request.allows_target(target));
    let rates = usable.map(|target| store.rate_limit(&target.id));
    rates.reduce(|sum, rate| Some(sum?.plus(rate?))).flatten()
}

/// Refuses a request before its stages begin if other requests have used up the rates of all
/// targets of its service.
///
/// # Errors
///
/// Returns [`RefusalReason::Overloaded`] with the time after which to retry.
pub(crate) async fn check_rate_limits(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
) -> Result<(), Refusal> {
    let Some(sum) = total_rate_limit(gateway, service, request) else {
        return Ok(());
    };
    let rates = &gateway.notices.rates;
    let permit = rates
        .acquire_service_permit(service, sum, ranked_permit_wait(request))
        .await;
    permit.map_err(|left| rate_refusal(gateway, service, request, left))
}

/// Refuses a request before its stages begin if its service becomes available too late for it. The
/// stages are planned to take `planned`, during which the service may become available.
///
/// # Errors
///
/// Returns [`RefusalReason::Overloaded`] with the time after which to retry.
pub(crate) fn check_availability(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    planned: Duration,
) -> Result<(), Refusal> {
    let Some(availability) = next_availability(gateway, service, request, &[]) else {
        return Ok(());
    };
    let wait = availability.wait.saturating_sub(planned);
    let spare = request.objective_left().saturating_sub(planned);
    if wait > spare.mul_f64(MAX_WAIT_FRACTION) {
        return Err(refusal_until(gateway, service, request, availability));
    }
    Ok(())
}

/// Waits until a target that may run a request accepts requests again, if that is soon enough for
/// the request. A send permit is not awaited here: those that were available in time have been
/// issued to other requests.
///
/// # Errors
///
/// Returns [`RefusalReason::Overloaded`] with the time after which to retry, if it is not soon
/// enough.
pub(crate) async fn wait_until_available(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    availability: NextAvailability,
) -> Result<(), Refusal> {
    let in_time = availability.wait <= request.objective_left().mul_f64(MAX_WAIT_FRACTION);
    if availability.rate_limited
        || !in_time
        || gateway.waiting_requests.get() >= MAX_WAITING_REQUESTS
    {
        return Err(refusal_until(gateway, service, request, availability));
    }
    let _waits = OpenRequestGuard::new(&gateway.waiting_requests);
    sleep(with_jitter(availability.wait)).await;
    Ok(())
}

/// Waits until one of the targets that may go on with a stream accepts requests, if all of them were
/// full a moment ago. A request that is bound to no version has other targets, or is refused.
///
/// # Errors
///
/// Returns [`RefusalReason::Overloaded`] with the time after which to retry, if the wait would take
/// more than its part of the time left.
pub(crate) async fn wait_for_slot(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    tried: &[String],
) -> Result<(), Refusal> {
    if request.bound_version.get().is_none() {
        return Ok(());
    }
    let may_run = |target: &Target| request.allows_target(target) && !tried.contains(&target.id);
    let left = {
        let store = gateway.targets.borrow();
        store.cooldown_left(service, may_run, Instant::now())
    };
    let Some(wait) = left.filter(|left| !left.is_zero()) else {
        return Ok(());
    };
    let in_time = wait <= request.time_left().mul_f64(MAX_WAIT_FRACTION);
    if !in_time || gateway.waiting_requests.get() >= MAX_WAITING_REQUESTS {
        let detail = "every target of the version that began the stream is full";
        let refusal = Refusal::new(RefusalReason::Overloaded, detail);
        return Err(refusal.with_retry_after(with_jitter(wait)));
    }
    let _waits = OpenRequestGuard::new(&gateway.waiting_requests);
    sleep(with_jitter(wait)).await;
    Ok(())
}

/// Returns after which time a caller should retry: not before a target accepts requests of this
/// host again.
pub(crate) fn retry_after(gateway: &Gateway, service: &str, request: &CallerRequest) -> Duration {
    let availability = next_availability(gateway, service, request, &[]);
    with_jitter(availability.map_or(Duration::ZERO, |availability| availability.wait))
}

/// Returns the refusal of a request for which no target was found, if all targets have rate limits.
pub(crate) fn rates_used_up(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
) -> Option<Refusal> {
    total_rate_limit(gateway, service, request)?;
    Some(rate_refusal(gateway, service, request, Duration::ZERO))
}

fn refusal_until(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    availability: NextAvailability,
) -> Refusal {
    match availability.rate_limited {
        true => rate_refusal(gateway, service, request, availability.wait),
        false => back_off_refusal(service, availability.wait),
    }
}

/// Returns the refusal of a request for whose service no send permit is available. The retry-after
/// times of refused callers are paced by the sum of the rates, so that they retry one after the
/// other.
fn rate_refusal(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    wait: Duration,
) -> Refusal {
    let detail = format!(
        "every target of {service} names a rate that is used up, the first one for {} ms",
        wait.as_millis()
    );
    let sum = total_rate_limit(gateway, service, request);
    let retry_after = sum.map(|sum| gateway.notices.rates.retry_after(service, sum));
    let wait = wait
        .max(retry_after.unwrap_or_default())
        .min(MAX_RETRY_AFTER);
    Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(with_jitter(wait))
}

fn back_off_refusal(service: &str, wait: Duration) -> Refusal {
    let detail = format!(
        "every target of {service} wants no requests, the first one for {} ms",
        wait.as_millis()
    );
    Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(with_jitter(wait))
}

/// Adds a random delay to a time for which many callers wait, so that they do not all return at
/// once.
fn with_jitter(wait: Duration) -> Duration {
    let max_jitter = wait.mul_f64(JITTER_FRACTION).clamp(MIN_JITTER, MAX_JITTER);
    wait + max_jitter.mul_f64(fastrand::f64())
}
