//! Choosing the service and the target of a request.

use std::time::{Duration, Instant};

use linnet_routing::Route;

use crate::Gateway;
use crate::caller_request::CallerRequest;
use crate::closed_service::{await_open, has_unrated, next_opening, used_up};
use crate::coordinator::HALL_BYTES;
use crate::engine::PlaceAsk;
use crate::graph::RequestResults;
use crate::stage_client::Placement;
use crate::target::{Chosen, Target, TargetBook};
use crate::{Refusal, RefusalReason};

/// Targets that the host which places prompts is asked to pass over, at most.
const MAX_AVOIDED_TARGETS: usize = 32;

/// How often a target is chosen anew for one sending where all were closed.
const MAX_SELECTIONS: u32 = 4;

/// When a caller should come back where no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Range of what is drawn beside the load of a target, so that hosts with the same news do not all choose
/// the same.
const LOAD_JITTER: f64 = 0.05;

/// The targets that a request passes over.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ExcludedTargets<'a> {
    /// Those that were tried.
    pub(crate) tried: &'a [String],
    /// Whether also those that name rates, where another takes any.
    pub(crate) rate_limited: bool,
}

/// Picks the service of a request by the weights of its route.
pub(crate) fn pick_service(route: &Route) -> &str {
    let total: u32 = route.split.iter().map(|part| part.weight).sum();
    let mut drawn = fastrand::u32(0..total.max(1));
    for part in &route.split {
        if drawn < part.weight {
            return &part.service;
        }
        drawn -= part.weight;
    }
    route.split.last().map_or("", |part| part.service.as_str())
}

/// Chooses a target, passing over those that were tried. Where all others want no requests for a while it
/// waits for the first one, if that is soon enough.
///
/// # Errors
///
/// [`RefusalReason::Overloaded`] where it is not, [`RefusalReason::NoTarget`] where there is none.
pub(crate) async fn select_or_await_target(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    excluded: ExcludedTargets<'_>,
    results: Option<&RequestResults>,
) -> Result<(Chosen, Option<Placement>), Refusal> {
    for _ in 0..MAX_SELECTIONS {
        if let Some(chosen) = select_target(gateway, service, request, excluded, results).await {
            return Ok(chosen);
        }
        let opening = next_opening(gateway, service, request, excluded.tried)
            .ok_or_else(no_target_refusal)?;
        await_open(gateway, service, request, opening).await?;
    }
    Err(used_up(gateway, service, request).unwrap_or_else(no_target_refusal))
}

pub(crate) fn no_target_refusal() -> Refusal {
    Refusal::new(RefusalReason::NoTarget, "no target is registered")
        .with_retry_after(NO_TARGET_RETRY_AFTER)
}

/// Chooses a target, passing over those that were tried.
pub(crate) async fn select_target(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    excluded: ExcludedTargets<'_>,
    results: Option<&RequestResults>,
) -> Option<(Chosen, Option<Placement>)> {
    if let Some(place) = placement_request(gateway, service, request, excluded, results) {
        let (chosen, placement) = gateway.stage_client.place(&gateway.targets, place).await?;
        return Some((chosen, Some(placement)));
    }
    let (now, hosts) = (Instant::now(), gateway.entry_host_count());
    let throttled = gateway
        .targets
        .borrow_mut()
        .closed_by_cold(service, hosts, now);
    let book = gateway.targets.borrow();
    let closed_targets = closed_targets(gateway, &book, service, request, excluded);
    let usable = book.usable(service, now);
    let eligible = usable
        .iter()
        .filter(|target| !excluded.tried.contains(&target.id) && !throttled.contains(&target.id))
        .filter(|target| !closed_targets.contains(&target.id))
        .filter(|target| request.allowed_halls.allow(&target.hall));
    let load = |target: &Target| {
        let other_hall = target.hall != gateway.config.hall;
        target.load(other_hall, now) + LOAD_JITTER * fastrand::f64()
    };
    let scored = eligible.map(|target| (load(target), target));
    let best = Chosen::new(scored.min_by(|a, b| a.0.total_cmp(&b.0))?.1);
    drop(book);
    let mut book = gateway.targets.borrow_mut();
    book.note_cold_sending(service, &best.id, hosts, now);
    Some((best, None))
}

/// Returns the targets of a service that a request must not use: those that want nothing from this host, and
/// those that other accounts are confined to, or its own is not.
fn closed_targets(
    gateway: &Gateway,
    book: &TargetBook,
    service: &str,
    request: &CallerRequest,
    excluded: ExcludedTargets<'_>,
) -> Vec<String> {
    let mut closed = gateway.suspects.closed_targets(book, service, request);
    closed.extend(gateway.notices.closed(book.ids_of(service)));
    if excluded.rate_limited && has_unrated(gateway, service, request) {
        let rate_limited = book.ids_of(service).filter(|id| book.rate(id).is_some());
        closed.extend(rate_limited.cloned());
    }
    closed
}

/// Returns what to ask of the host that places prompts; nothing for a request without one.
pub(crate) fn placement_request(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    excluded: ExcludedTargets<'_>,
    results: Option<&RequestResults>,
) -> Option<PlaceAsk> {
    let prompt = request.prompt.as_ref()?;
    let largest = request
        .route
        .stages
        .iter()
        .max_by_key(|stage| stage.result_bytes);
    let large_stage = largest.filter(|stage| stage.result_bytes >= HALL_BYTES);
    let book = gateway.targets.borrow();
    let result_bytes = results.map(|results| results.bytes_by_hall(request, &book));
    // The host that places may not know yet what this one cannot reach.
    let unreachable = book.passed_over(service, Instant::now());
    let avoid = excluded
        .tried
        .iter()
        .chain(unreachable.map(|target| &target.id));
    Some(PlaceAsk {
        service: service.to_owned(),
        prompt: prompt.clone(),
        heavy_stage: large_stage.map(|stage| stage.service.clone()),
        results: result_bytes.unwrap_or_default(),
        avoid: avoid.take(MAX_AVOIDED_TARGETS).cloned().collect(),
        // That host may use what is only to be avoided where there is no other, but never these.
        closed: closed_targets(gateway, &book, service, request, excluded),
        homes: request.allowed_halls.to_told(),
        apart: request.isolated.get(),
    })
}
