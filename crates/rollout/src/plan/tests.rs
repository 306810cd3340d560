//! Simulates complete roll-outs without a network: requests on several routes, versions with
//! faults, and the outcomes.

use fastrand::Rng;

use super::*;
use crate::{
    EvidenceStore, ResponseTracker, RolloutCommand, RolloutOrder, RolloutState, RolloutStore,
};

const ROUTES: [&str; 3] = ["quote", "order", "audit"];
const EXPOSURE_LIMIT: ExposureLimit = ExposureLimit {
    share: 0.1,
    slack: 50.0,
};
const STEP_MS: u64 = 100;

/// The fault of the tested version.
#[derive(Debug, Clone, Copy)]
struct VersionFault {
    errors: f64,
    slowdown: f64,
    /// Fraction of the time from which the fault is present.
    from: f64,
    /// Whether only the first route is affected.
    one_route: bool,
    /// Minimum share of requests at which the fault shows, in thousandths.
    load: u16,
}

const GOOD: VersionFault = VersionFault {
    errors: 0.0,
    slowdown: 1.0,
    from: 0.0,
    one_route: false,
    load: 0,
};

/// The load of a service.
#[derive(Debug, Clone, Copy)]
struct Service {
    per_s: f64,
    duration_ms: u64,
    /// Failure share of every version.
    errors: f64,
}

const DESK: Service = Service {
    per_s: 113.0,
    duration_ms: 12_000,
    errors: 0.005,
};

#[derive(Debug)]
struct Outcome {
    state: RolloutState,
    cause: RolloutCause,
    /// End of the roll-out, as a fraction of its time.
    time: f64,
    tested: u64,
    /// Responses of the tested version that were affected by its fault.
    spoiled: u64,
    requests: u64,
}

/// A rule that decides when a version is reverted; `None` stands for the verdict.
type Rule = Option<fn(&RolloutTotals) -> bool>;

fn simulate(service: Service, bad: VersionFault, seed: u64, rule: Rule) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let (mut store, mut tracker) = (RolloutStore::default(), ResponseTracker::default());
    store.apply(&RolloutCommand::Start {
        order: RolloutOrder {
            service: "desk".to_owned(),
            version: "v2".to_owned(),
            duration_ms: service.duration_ms,
        },
        former: vec!["v1".to_owned()],
        now_ms: 0,
    });
    let (mut tested, mut spoiled, mut requests) = (0, 0, 0);
    let mut due = 0.0;
    let mut elapsed_ms = 0;
    loop {
        let record = store.newest("desk").unwrap().clone();
        let time = elapsed_ms as f64 / service.duration_ms as f64;
        if !record.is_in_progress() {
            return Outcome {
                state: record.state,
                cause: record.cause,
                time,
                tested,
                spoiled,
                requests,
            };
        }
        due += service.per_s * STEP_MS as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            requests += 1;
            let route = rng.choice(ROUTES).unwrap();
            let to_tested = rng.u16(0..1_000) < record.permille;
            let faulty = to_tested
                && time >= bad.from
                && record.permille >= bad.load
                && (!bad.one_route || route == ROUTES[0]);
            let (errors, slowdown) = if faulty {
                (bad.errors, bad.slowdown)
            } else {
                (0.0, 1.0)
            };
            let fails_by_fault = rng.f64() < errors;
            let fails = fails_by_fault || rng.f64() < service.errors;
            // Most responses take 20 to 60 ms; a tenth takes up to three times as long.
            let tail = if rng.u8(0..10) == 0 { 3.0 } else { 1.0 };
            let time_ms = (20.0 + 40.0 * rng.f64()) * tail * slowdown;
            tested += u64::from(to_tested);
            spoiled += u64::from(fails_by_fault || (faulty && slowdown > 1.0));
            let version = if to_tested { "v2" } else { "v1" };
            let response = (!fails).then_some(Some(time_ms));
            tracker.record_response(&store, "desk", (route, version), response);
        }
        elapsed_ms += STEP_MS;
        let mut evidence = EvidenceStore::default();
        evidence.record_report("entry-0", &tracker.counts(&store, |_, _| 0));
        let totals = evidence.totals("desk", &record);
        let progress = RolloutProgress {
            record: &record,
            elapsed: Duration::from_millis(elapsed_ms),
            slots: (18, 18),
            totals: &totals,
            exposure_limit: EXPOSURE_LIMIT,
        };
        let step = match rule {
            Some(is_bad) if is_bad(&totals) => RolloutStep::Revert(RolloutCause::Evidence),
            _ => next_step(&progress),
        };
        let step = match (rule, step) {
            // The rule under comparison alone decides on a revert.
            (Some(is_bad), RolloutStep::Revert(_)) if !is_bad(&totals) => match time {
                0.95.. => RolloutStep::Complete(RolloutCause::Time),
                _ => RolloutStep::NoChange,
            },
            (_, step) => step,
        };
        apply_step(&mut store, &record, step);
        tracker.retain_in_progress(&store);
        assert!(elapsed_ms <= service.duration_ms, "never ended");
    }
}

fn apply_step(store: &mut RolloutStore, record: &RolloutRecord, step: RolloutStep) {
    let service = "desk".to_owned();
    let revision = record.revision;
    let end = |completed, cause| RolloutCommand::Finish {
        service: "desk".to_owned(),
        revision,
        completed,
        cause,
    };
    let command = match step {
        RolloutStep::NoChange => return,
        RolloutStep::SetShare(permille, cause) => RolloutCommand::SetShare {
            service,
            expected: (revision, record.step),
            permille,
            cause,
        },
        RolloutStep::Complete(cause) => end(true, cause),
        RolloutStep::Revert(cause) => end(false, cause),
    };
    store.apply(&command);
}

/// The alternative to the verdict that was considered: the lower bound of the tested version's
/// failure share is above the upper bound of the others', after at least thirty responses.
fn bounds_are_disjoint(totals: &RolloutTotals) -> bool {
    let bound = |bad: u64, all: u64, sign: f64| {
        let (n, z) = (all as f64, 3.0);
        let share = bad as f64 / n;
        let center = share + z * z / (2.0 * n);
        let spread = z * (share * (1.0 - share) / n + z * z / (4.0 * n * n)).sqrt();
        (center + sign * spread) / (1.0 + z * z / n)
    };
    let ((tested, former), (tested_bad, former_bad)) = (totals.responses(), totals.failures());
    tested >= 30 && former >= 30 && bound(tested_bad, tested, -1.0) > bound(former_bad, former, 1.0)
}

fn share_of(seeds: u64, holds: impl Fn(u64) -> bool) -> f64 {
    (0..seeds).filter(|seed| holds(*seed)).count() as f64 / seeds as f64
}

/// One false revert in a thousand is allowed, and response times of a service are compared only
/// with its own.
#[test]
fn a_good_version_receives_all_requests_in_time_for_every_load() {
    for (per_s, errors) in [(113.0, 0.005), (260.0, 0.0), (40.0, 0.05), (400.0, 0.14)] {
        let service = Service {
            per_s,
            errors,
            ..DESK
        };
        let reverted = share_of(500, |seed| {
            let outcome = simulate(service, GOOD, seed, None);
            assert!(outcome.time <= 0.96, "{outcome:?}");
            outcome.state == RolloutState::Reverted
        });
        assert!(reverted <= 0.002, "{service:?}: {reverted}");
    }
}

#[test]
fn a_version_with_many_errors_is_reverted_within_its_allowed_exposure() {
    for errors in [0.2, 0.5, 1.0] {
        for from in [0.0, 0.4, 0.6] {
            let bad = VersionFault {
                errors,
                from,
                ..GOOD
            };
            for seed in 0..50 {
                let outcome = simulate(DESK, bad, seed, None);
                assert_eq!(outcome.state, RolloutState::Reverted, "{bad:?} {outcome:?}");
                let allowed = EXPOSURE_LIMIT.share * DESK.per_s * 12.0 + EXPOSURE_LIMIT.slack;
                assert!(outcome.tested as f64 <= allowed, "{bad:?} {outcome:?}");
                assert!(outcome.spoiled <= 50, "{bad:?} {outcome:?}");
            }
        }
    }
}

#[test]
fn a_version_that_is_bad_on_one_route_or_slow_or_bad_under_load_is_reverted() {
    let one_route = VersionFault {
        errors: 0.5,
        one_route: true,
        ..GOOD
    };
    let slow = VersionFault {
        slowdown: 3.0,
        ..GOOD
    };
    let slow_route = VersionFault {
        slowdown: 5.0,
        one_route: true,
        ..GOOD
    };
    let loaded = VersionFault {
        errors: 0.5,
        load: 200,
        ..GOOD
    };
    for bad in [one_route, slow, slow_route, loaded] {
        for seed in 0..50 {
            let outcome = simulate(DESK, bad, seed, None);
            assert_eq!(outcome.state, RolloutState::Reverted, "{bad:?} {outcome:?}");
            let allowed = EXPOSURE_LIMIT.share * DESK.per_s * 12.0 + EXPOSURE_LIMIT.slack;
            assert!(outcome.tested as f64 <= allowed, "{bad:?} {outcome:?}");
        }
    }
}

/// Promises of the decision at low request rates: a version that fails half of its responses is
/// completed in at most one of a hundred roll-outs, a good one is reverted in at most one of a
/// hundred. A version with fewer than `MIN_DECISIVE_RESPONSES` responses is exempt from the first.
#[test]
fn a_version_that_fails_half_of_few_responses_is_not_completed() {
    const SEEDS: u64 = 1_000;
    const MIN_DECISIVE_RESPONSES: u64 = 16;
    let bad = VersionFault {
        errors: 0.5,
        ..GOOD
    };
    for per_s in [5.0, 10.0, 20.0] {
        for errors in [0.0, 0.005] {
            let service = Service {
                per_s,
                duration_ms: 8_000,
                errors,
            };
            let completed = share_of(SEEDS, |seed| {
                let outcome = simulate(service, bad, seed, None);
                outcome.state == RolloutState::Completed && outcome.tested >= MIN_DECISIVE_RESPONSES
            });
            assert!(completed <= 0.01, "{service:?}: {completed} completed");
            let reverted = share_of(SEEDS, |seed| {
                simulate(service, GOOD, seed, None).state == RolloutState::Reverted
            });
            assert!(reverted <= 0.01, "{service:?}: {reverted} reverted");
        }
    }
}

/// 3 of 13 responses of the version failed and 0 of 158 of the former versions.
#[test]
fn a_version_with_three_failures_of_thirteen_is_reverted_at_the_end() {
    let mut counts = crate::RouteCounts::default();
    (counts.tested.responses, counts.tested.failures) = (13, 3);
    (counts.former.responses, counts.former.failures) = (158, 0);
    let mut totals = RolloutTotals::default();
    let routes = totals.phases.entry((1, 1)).or_default();
    routes.insert("report".to_owned(), counts);
    let record = record(FULL_PERMILLE);
    let step = |time| next_step(&progress(&record, &totals, time, (3, 3)));
    assert_eq!(step(0.9), RolloutStep::NoChange);
    assert!(matches!(step(0.96), RolloutStep::Revert(_)));
}

/// With too few requests for evidence, the roll-out proceeds by time and records that as the cause.
#[test]
fn a_rollout_with_few_requests_is_decided_by_time() {
    let service = Service {
        per_s: 1.0,
        errors: 0.0,
        ..DESK
    };
    let outcome = simulate(service, GOOD, 1, None);
    assert_eq!(outcome.state, RolloutState::Completed);
    assert_eq!(outcome.cause, RolloutCause::Time);
}

fn progress<'a>(
    record: &'a RolloutRecord,
    totals: &'a RolloutTotals,
    time: f64,
    slots: (u32, u32),
) -> RolloutProgress<'a> {
    RolloutProgress {
        record,
        elapsed: Duration::from_millis((record.duration_ms as f64 * time) as u64),
        slots,
        totals,
        exposure_limit: EXPOSURE_LIMIT,
    }
}

fn record(permille: u16) -> RolloutRecord {
    RolloutRecord {
        revision: 1,
        step: 1,
        version: "v2".to_owned(),
        former: vec!["v1".to_owned()],
        started_ms: 0,
        duration_ms: 12_000,
        permille,
        state: RolloutState::InProgress,
        cause: RolloutCause::Ordered,
    }
}

/// Targets of former versions stop once the roll-out completes, so the version must have enough
/// targets by then.
#[test]
fn a_version_with_too_few_targets_gets_a_small_share_and_is_reverted_at_the_end() {
    let totals = RolloutTotals::default();
    let (none, first) = (record(0), record(35));
    let step = |record, time, slots| next_step(&progress(record, &totals, time, slots));
    assert_eq!(step(&none, 0.5, (0, 18)), RolloutStep::NoChange);
    let little = RolloutStep::SetShare(35, RolloutCause::Time);
    assert_eq!(step(&none, 0.9, (2, 18)), little);
    assert_eq!(step(&first, 0.9, (2, 18)), RolloutStep::NoChange);
    let reverted = RolloutStep::Revert(RolloutCause::NoTargets);
    assert_eq!(step(&first, 0.96, (2, 18)), reverted);
    assert_eq!(step(&none, 0.96, (0, 18)), reverted);
    // No former target is left, so there is nothing to revert to.
    let all = RolloutStep::SetShare(1_000, RolloutCause::Time);
    assert_eq!(step(&first, 0.9, (2, 0)), all);
}

/// Former targets stop as soon as the roll-out completes, even with requests in flight.
#[test]
fn a_rollout_completes_once_former_targets_are_idle_and_always_in_time() {
    let all = record(1_000);
    let step = |former_in_flight, lagging_hosts, time| {
        let totals = RolloutTotals {
            former_in_flight,
            lagging_hosts,
            ..RolloutTotals::default()
        };
        next_step(&progress(&all, &totals, time, (18, 18)))
    };
    let complete = RolloutStep::Complete(RolloutCause::Time);
    assert_eq!(step(0, 0, 0.85), RolloutStep::NoChange);
    assert_eq!(step(0, 0, 0.9), complete);
    assert_eq!(step(3, 0, 0.9), RolloutStep::NoChange);
    assert_eq!(step(0, 1, 0.9), RolloutStep::NoChange);
    assert_eq!(step(3, 1, 0.96), complete);
}

/// Prints the table of docs/design/ROLLOUTS.md: `cargo test --release -p linnet-rollout --
/// --ignored --nocapture compare_decision_rules`.
#[test]
#[ignore = "prints a table"]
fn compare_decision_rules_by_fault() {
    let rules: [(&str, Rule); 2] = [("bets", None), ("bounds", Some(bounds_are_disjoint))];
    let seeds = 300;
    for per_s in [40.0, 113.0, 260.0] {
        let service = Service { per_s, ..DESK };
        for (rule_name, rule) in rules {
            let reverted = share_of(10 * seeds, |seed| {
                simulate(service, GOOD, seed, rule).state == RolloutState::Reverted
            });
            println!("{per_s}/s {rule_name}: good reverted {reverted:.4}");
            for (errors, slowdown) in [
                (0.05, 1.0),
                (0.1, 1.0),
                (0.2, 1.0),
                (0.5, 1.0),
                (1.0, 1.0),
                (0.0, 2.0),
                (0.0, 5.0),
                (0.0, 10.0),
            ] {
                let bad = VersionFault {
                    errors,
                    slowdown,
                    ..GOOD
                };
                let outcomes: Vec<Outcome> = (0..seeds)
                    .map(|seed| simulate(service, bad, seed, rule))
                    .collect();
                let found = outcomes
                    .iter()
                    .filter(|one| one.state == RolloutState::Reverted);
                let found: Vec<&Outcome> = found.collect();
                let mut spoiled: Vec<u64> = found.iter().map(|one| one.spoiled).collect();
                spoiled.sort();
                let median = spoiled.get(spoiled.len() / 2).copied().unwrap_or(0);
                let max_exposure = outcomes
                    .iter()
                    .map(|one| one.tested as f64 / one.requests as f64);
                let max_exposure = max_exposure.fold(0.0, f64::max);
                println!(
                    "{per_s}/s {rule_name}: errors {errors} slower {slowdown}: found {:.3}, bad responses until then {median} (p50) {} (most), exposed {max_exposure:.3} at most",
                    found.len() as f64 / seeds as f64,
                    spoiled.last().copied().unwrap_or(0)
                );
            }
        }
    }
}
