//! Selects the service and the target of a request.

use std::time::{Duration, Instant};

use linnet_routing::Route;

use crate::caller_request::CallerRequest;
use crate::coordinator::LARGE_RESULT_BYTES;
use crate::engine::PlacementRequest;
use crate::graph::RequestResults;
use crate::incarnation::{await_records, unprovable_targets};
use crate::prompt::Prompt;
use crate::service_availability::{
    has_unlimited_target, next_availability, rates_used_up, wait_for_slot, wait_until_available,
};
use crate::stage_client::Placement;
use crate::takeup_trace::VersionTargets;
use crate::target::{ChosenTarget, Target, TargetStore};
use crate::{Gateway, Refusal, RefusalReason};

/// Maximum number of targets that the placer is asked to avoid.
const MAX_AVOIDED_TARGETS: usize = 32;

/// Maximum number of selections for one attempt if all targets were closed to new requests.
const MAX_SELECTIONS: u32 = 4;

/// The `retry-after` time if no target is registered.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Range of the random amount that is added to a target's load, so that entry hosts with the same
/// data do not all select the same target.
const LOAD_JITTER: f64 = 0.05;

/// The targets that a request must not be sent to.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ExcludedTargets<'a> {
    /// Targets that were already tried.
    pub(crate) tried: &'a [String],
    /// Whether to exclude targets with a rate limit as well, if another target without one is
    /// available.
    pub(crate) rate_limited: bool,
}

/// Picks the service of a request at random by the weights of its route.
pub(crate) fn pick_service(route: &Route) -> &str {
    let total: u32 = route.split.iter().map(|part| part.weight).sum();
    let mut remaining = fastrand::u32(0..total.max(1));
    for part in &route.split {
        if remaining < part.weight {
            return &part.service;
        }
        remaining -= part.weight;
    }
    route.split.last().map_or("", |part| part.service.as_str())
}

/// Selects a target that has not been tried. If all others accept no requests for a while, waits
/// for the first one to accept them again, provided that is soon enough.
///
/// # Errors
///
/// [`RefusalReason::Overloaded`] if the wait would be too long, [`RefusalReason::NoTarget`] if
/// there is no target.
pub(crate) async fn select_or_await_target(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    excluded: ExcludedTargets<'_>,
    results: Option<&RequestResults>,
) -> Result<(ChosenTarget, Option<Placement>), Refusal> {
    let mut has_awaited_records = false;
    wait_for_slot(gateway, service, request, excluded.tried).await?;
    for _ in 0..MAX_SELECTIONS {
        if let Some(chosen) = select_target(gateway, service, request, excluded, results).await {
            return Ok(chosen);
        }
        if !has_awaited_records {
            has_awaited_records = true;
            if await_records(gateway, service, request, excluded.tried).await {
                continue;
            }
        }
        let opening = next_availability(gateway, service, request, excluded.tried)
            .ok_or_else(no_target_refusal)?;
        wait_until_available(gateway, service, request, opening).await?;
    }
    Err(rates_used_up(gateway, service, request).unwrap_or_else(no_target_refusal))
}

pub(crate) fn no_target_refusal() -> Refusal {
    Refusal::new(RefusalReason::NoTarget, "no target is registered")
        .with_retry_after(NO_TARGET_RETRY_AFTER)
}

/// Selects a target that is not excluded, without waiting; returns `None` if there is none.
pub(crate) async fn select_target(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    excluded: ExcludedTargets<'_>,
    results: Option<&RequestResults>,
) -> Option<(ChosenTarget, Option<Placement>)> {
    // Placers know no versions. The few streams that go on are placed by this host.
    if request.bound_version.get().is_none()
        && let Some(place) = placement_request(gateway, service, request, excluded, results)
    {
        let (chosen, placement) = gateway
            .stage_client
            .place_prompt(&gateway.targets, place)
            .await?;
        return Some((chosen, Some(placement)));
    }
    let (now, hosts) = (Instant::now(), gateway.entry_host_count());
    let throttled = gateway
        .targets
        .borrow_mut()
        .throttled_cold_targets(service, hosts, now);
    let store = gateway.targets.borrow();
    let closed_targets = closed_targets(gateway, &store, service, request, excluded);
    let usable = store.usable_by(service, request.bound_version.get(), now);
    let eligible = usable
        .iter()
        .filter(|target| !excluded.tried.contains(&target.id) && !throttled.contains(&target.id))
        .filter(|target| !closed_targets.contains(&target.id))
        .filter(|target| request.allows_target(target));
    if let Some(takeup) = request.takeup.get() {
        let open = eligible.clone().count();
        takeup.set_targets(version_targets(&store, service, request, open));
    }
    let load = |target: &Target| {
        let other_hall = target.hall != gateway.config.hall;
        target.load(other_hall, now) + LOAD_JITTER * fastrand::f64()
    };
    let scored = eligible.map(|target| (load(target), target));
    let best = ChosenTarget::new(scored.min_by(|a, b| a.0.total_cmp(&b.0))?.1);
    drop(store);
    let mut store = gateway.targets.borrow_mut();
    store.record_cold_send(service, &best.id, hosts, now);
    Some((best, None))
}

/// Counts the targets of a service that may go on with the stream of a request; `open` is the number of
/// those to which it could be sent.
fn version_targets(
    store: &TargetStore,
    service: &str,
    request: &CallerRequest,
    open: usize,
) -> VersionTargets {
    let now = Instant::now();
    let allowed = || {
        let targets = store.of_service(service);
        targets.filter(|target| request.allows_target(target))
    };
    VersionTargets {
        listed: allowed().count(),
        open,
        avoided: allowed().filter(|one| one.is_avoided(now)).count(),
        unproved: allowed()
            .filter(|one| !one.marks.may_be_proved(now))
            .count(),
    }
}

/// Returns the targets of a service that a request must not use now: targets that accept nothing
/// from this host, and targets outside the share of confined accounts if its account is confined,
/// or within that share if it is not.
fn closed_targets(
    gateway: &Gateway,
    store: &TargetStore,
    service: &str,
    request: &CallerRequest,
    excluded: ExcludedTargets<'_>,
) -> Vec<String> {
    let mut closed = gateway.suspects.closed_targets(store, service, request);
    closed.extend(
        gateway
            .notices
            .closed_targets(store.ids_of_service(service)),
    );
    closed.extend(unprovable_targets(store, service, request));
    if excluded.rate_limited && has_unlimited_target(gateway, service, request) {
        let rate_limited = store
            .ids_of_service(service)
            .filter(|id| store.rate_limit(id).is_some());
        closed.extend(rate_limited.cloned());
    }
    closed
}

/// Builds the placement request for the placer; returns `None` for a request without a prompt.
pub(crate) fn placement_request(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    excluded: ExcludedTargets<'_>,
    results: Option<&RequestResults>,
) -> Option<PlacementRequest> {
    let prompt = request.prompt.as_ref()?;
    let largest = request
        .route
        .stages
        .iter()
        .max_by_key(|stage| stage.result_bytes);
    let large_stage = largest.filter(|stage| stage.result_bytes >= LARGE_RESULT_BYTES);
    let store = gateway.targets.borrow();
    let result_bytes = results.map(|results| results.bytes_by_hall(request, &store));
    // The placer may not know yet which targets this host cannot reach.
    let unreachable = store.avoided(service, Instant::now());
    let avoid = excluded
        .tried
        .iter()
        .chain(unreachable.map(|target| &target.id));
    Some(PlacementRequest {
        service: service.to_owned(),
        prompt: Prompt::clone(prompt),
        large_result_stage: large_stage.map(|stage| stage.service.clone()),
        results: result_bytes.unwrap_or_default(),
        tried: avoid.take(MAX_AVOIDED_TARGETS).cloned().collect(),
        // The placer may use an avoided target if there is no other, but never a closed one.
        excluded: closed_targets(gateway, &store, service, request, excluded),
        allowed_halls: request.allowed_halls.to_names(),
        isolated: request.isolated.get(),
    })
}
