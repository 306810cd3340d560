//! Choosing the service and the target of a request.

use std::time::{Duration, Instant};

use linnet_routing::Route;

use crate::Gateway;
use crate::ask::Ask;
use crate::closed_service::{await_open, has_unrated, next_opening, used_up};
use crate::coordinator::HALL_BYTES;
use crate::engine::PlaceAsk;
use crate::graph::RequestResults;
use crate::stage_client::Placement;
use crate::target::{ChosenTarget, Target, TargetStore};
use crate::{Refusal, RefusalReason};

/// Targets that the host which places prompts is asked to pass over, at most.
const MAX_AVOIDED: usize = 32;

/// How often a target is chosen anew for one sending where all were closed.
const MOST_CHOICES: u32 = 4;

/// When a caller should come back where no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Range of what is drawn beside the load of a target, so that hosts with the same news do not all choose
/// the same.
const DRAWN_LOAD: f64 = 0.05;

/// The targets that a request passes over.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PassedTargets<'a> {
    /// Those that were tried.
    pub(crate) tried: &'a [String],
    /// Whether also those that name rates, where another takes any.
    pub(crate) rated: bool,
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
pub(crate) async fn next_target(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
    passed: PassedTargets<'_>,
    results: Option<&RequestResults>,
) -> Result<(ChosenTarget, Option<Placement>), Refusal> {
    for _ in 0..MOST_CHOICES {
        if let Some(chosen) = choose(gateway, service, ask, passed, results).await {
            return Ok(chosen);
        }
        let opening = next_opening(gateway, service, ask, passed.tried).ok_or_else(no_target)?;
        await_open(gateway, service, ask, opening).await?;
    }
    Err(used_up(gateway, service, ask).unwrap_or_else(no_target))
}

pub(crate) fn no_target() -> Refusal {
    Refusal::new(RefusalReason::NoTarget, "no target is registered")
        .with_retry_after(NO_TARGET_RETRY_AFTER)
}

/// Chooses a target, passing over those that were tried.
pub(crate) async fn choose(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
    passed: PassedTargets<'_>,
    results: Option<&RequestResults>,
) -> Option<(ChosenTarget, Option<Placement>)> {
    if let Some(place) = place_ask(gateway, service, ask, passed, results) {
        let (chosen, placement) = gateway.stages.place(&gateway.targets, place).await?;
        return Some((chosen, Some(placement)));
    }
    let (now, hosts) = (Instant::now(), gateway.gateway_count());
    let closed = gateway
        .targets
        .borrow_mut()
        .throttled_cold_targets(service, hosts, now);
    let book = gateway.targets.borrow();
    let closed_here = closed_here(gateway, &book, service, ask, passed);
    let usable = book.usable(service, now);
    let fresh = usable
        .iter()
        .filter(|target| !passed.tried.contains(&target.id) && !closed.contains(&target.id))
        .filter(|target| !closed_here.contains(&target.id))
        .filter(|target| ask.homes.allow(&target.hall));
    let load = |target: &Target| {
        let other_hall = target.hall != gateway.config.hall;
        target.load(other_hall, now) + DRAWN_LOAD * fastrand::f64()
    };
    let scored = fresh.map(|target| (load(target), target));
    let best = ChosenTarget::new(scored.min_by(|a, b| a.0.total_cmp(&b.0))?.1);
    drop(book);
    let mut book = gateway.targets.borrow_mut();
    book.record_cold_send(service, &best.id, hosts, now);
    Some((best, None))
}

/// Returns the targets of a service that a request must not use: those that want nothing from this host, and
/// those that other accounts are confined to, or its own is not.
fn closed_here(
    gateway: &Gateway,
    book: &TargetStore,
    service: &str,
    ask: &Ask,
    passed: PassedTargets<'_>,
) -> Vec<String> {
    let mut closed = gateway.suspects.closed_targets(book, service, ask);
    closed.extend(gateway.notices.closed_targets(book.ids_of_service(service)));
    if passed.rated && has_unrated(gateway, service, ask) {
        let rated = book
            .ids_of_service(service)
            .filter(|id| book.rate_limit(id).is_some());
        closed.extend(rated.cloned());
    }
    closed
}

/// Returns what to ask of the host that places prompts; nothing for a request without one.
pub(crate) fn place_ask(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
    passed: PassedTargets<'_>,
    results: Option<&RequestResults>,
) -> Option<PlaceAsk> {
    let prompt = ask.prompt.as_ref()?;
    let largest = ask
        .route
        .stages
        .iter()
        .max_by_key(|stage| stage.result_bytes);
    let heavy = largest.filter(|stage| stage.result_bytes >= HALL_BYTES);
    let book = gateway.targets.borrow();
    let places = results.map(|results| results.places(ask, &book));
    // The host that places may not know yet what this one cannot reach.
    let out_of_reach = book.avoided(service, Instant::now());
    let avoid = passed
        .tried
        .iter()
        .chain(out_of_reach.map(|target| &target.id));
    Some(PlaceAsk {
        service: service.to_owned(),
        prompt: prompt.clone(),
        heavy_stage: heavy.map(|stage| stage.service.clone()),
        results: places.unwrap_or_default(),
        avoid: avoid.take(MAX_AVOIDED).cloned().collect(),
        // That host may use what is only to be avoided where there is no other, but never these.
        closed: closed_here(gateway, &book, service, ask, passed),
        homes: ask.homes.to_told(),
        apart: ask.apart.get(),
    })
}
