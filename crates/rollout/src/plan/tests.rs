//! Whole roll-outs without a network: requests of several routes, versions with faults, and what becomes of them.

use fastrand::Rng;

use super::*;
use crate::{
    EvidenceStore, ResponseTracker, RolloutCommand, RolloutOrder, RolloutState, RolloutStore,
};

const ROUTES: [&str; 3] = ["quote", "order", "audit"];
const RULE: ExposureLimit = ExposureLimit {
    share: 0.1,
    slack: 50.0,
};
const TICK_MS: u64 = 100;

/// What the tested version does wrong.
#[derive(Debug, Clone, Copy)]
struct BadVersion {
    errors: f64,
    slower: f64,
    /// From which part of the time on.
    from: f64,
    /// On the first route only.
    one_route: bool,
    /// While it gets at least this share, in thousandths.
    load: u16,
}

const GOOD: BadVersion = BadVersion {
    errors: 0.0,
    slower: 1.0,
    from: 0.0,
    one_route: false,
    load: 0,
};

/// The requests of a service.
#[derive(Debug, Clone, Copy)]
struct Service {
    per_s: f64,
    duration_ms: u64,
    /// Error share of every version.
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
    /// When it ended, as a part of its time.
    time: f64,
    tested: u64,
    /// Answers of the tested version that its fault spoiled.
    spoiled: u64,
    requests: u64,
}

/// Decides when a version is given up, in place of the verdict; nothing for the verdict.
type OtherWay = Option<fn(&RolloutTotals) -> bool>;

fn play(service: Service, bad: BadVersion, seed: u64, other: OtherWay) -> Outcome {
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
        due += service.per_s * TICK_MS as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            requests += 1;
            let route = rng.choice(ROUTES).unwrap();
            let to_tested = rng.u16(0..1_000) < record.permille;
            let faulty = to_tested
                && time >= bad.from
                && record.permille >= bad.load
                && (!bad.one_route || route == ROUTES[0]);
            let (errors, slower) = if faulty {
                (bad.errors, bad.slower)
            } else {
                (0.0, 1.0)
            };
            let breaks = rng.f64() < errors;
            let fails = breaks || rng.f64() < service.errors;
            // Most take from 20 to 60 ms, a tenth up to three times as long.
            let tail = if rng.u8(0..10) == 0 { 3.0 } else { 1.0 };
            let time_ms = (20.0 + 40.0 * rng.f64()) * tail * slower;
            tested += u64::from(to_tested);
            spoiled += u64::from(breaks || (faulty && slower > 1.0));
            let version = if to_tested { "v2" } else { "v1" };
            let response = (!fails).then_some(Some(time_ms));
            tracker.record_response(&store, "desk", (route, version), response);
        }
        elapsed_ms += TICK_MS;
        let mut evidence = EvidenceStore::default();
        evidence.record_report("entry-0", &tracker.counts(&store, |_, _| 0));
        let sums = evidence.totals("desk", &record);
        let facts = RolloutProgress {
            record: &record,
            elapsed: Duration::from_millis(elapsed_ms),
            slots: (18, 18),
            sums: &sums,
            rule: RULE,
        };
        let step = match other {
            Some(is_bad) if is_bad(&sums) => RolloutStep::Revert(RolloutCause::Evidence),
            _ => next_step(&facts),
        };
        let step = match (other, step) {
            // The other way decides alone.
            (Some(is_bad), RolloutStep::Revert(_)) if !is_bad(&sums) => match time {
                0.95.. => RolloutStep::Complete(RolloutCause::Time),
                _ => RolloutStep::NoChange,
            },
            (_, step) => step,
        };
        take_step(&mut store, &record, step);
        tracker.retain_in_progress(&store);
        assert!(elapsed_ms <= service.duration_ms, "never ended");
    }
}

fn take_step(store: &mut RolloutStore, record: &RolloutRecord, step: RolloutStep) {
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

/// The way that was weighed against the verdict: the lower bound of the tested version's share of failures lies above
/// the upper bound of the others', after thirty answers.
fn bounds_differ(sums: &RolloutTotals) -> bool {
    let bound = |bad: u64, all: u64, sign: f64| {
        let (n, z) = (all as f64, 3.0);
        let share = bad as f64 / n;
        let middle = share + z * z / (2.0 * n);
        let spread = z * (share * (1.0 - share) / n + z * z / (4.0 * n * n)).sqrt();
        (middle + sign * spread) / (1.0 + z * z / n)
    };
    let ((tested, former), (tested_bad, former_bad)) = (sums.responses(), sums.failures());
    tested >= 30 && former >= 30 && bound(tested_bad, tested, -1.0) > bound(former_bad, former, 1.0)
}

fn share_of(seeds: u64, holds: impl Fn(u64) -> bool) -> f64 {
    (0..seeds).filter(|seed| holds(*seed)).count() as f64 / seeds as f64
}

/// One in a thousand is allowed; the times of one service are those of no other.
#[test]
fn a_good_version_has_all_requests_in_time_whatever_its_service_is_like() {
    for (per_s, errors) in [(113.0, 0.005), (260.0, 0.0), (40.0, 0.05), (400.0, 0.14)] {
        let service = Service {
            per_s,
            errors,
            ..DESK
        };
        let reverted = share_of(500, |seed| {
            let outcome = play(service, GOOD, seed, None);
            assert!(outcome.time <= 0.96, "{outcome:?}");
            outcome.state == RolloutState::Reverted
        });
        assert!(reverted <= 0.002, "{service:?}: {reverted}");
    }
}

#[test]
fn a_version_with_many_errors_is_given_up_before_it_is_exposed_to_more_than_is_allowed() {
    for errors in [0.2, 0.5, 1.0] {
        for from in [0.0, 0.4, 0.6] {
            let bad = BadVersion {
                errors,
                from,
                ..GOOD
            };
            for seed in 0..50 {
                let outcome = play(DESK, bad, seed, None);
                assert_eq!(outcome.state, RolloutState::Reverted, "{bad:?} {outcome:?}");
                let allowed = RULE.share * DESK.per_s * 12.0 + RULE.slack;
                assert!(outcome.tested as f64 <= allowed, "{bad:?} {outcome:?}");
                assert!(outcome.spoiled <= 50, "{bad:?} {outcome:?}");
            }
        }
    }
}

#[test]
fn a_version_that_is_bad_on_one_route_or_slow_or_under_load_only_is_given_up() {
    let one_route = BadVersion {
        errors: 0.5,
        one_route: true,
        ..GOOD
    };
    let slow = BadVersion {
        slower: 3.0,
        ..GOOD
    };
    let slow_route = BadVersion {
        slower: 5.0,
        one_route: true,
        ..GOOD
    };
    let loaded = BadVersion {
        errors: 0.5,
        load: 200,
        ..GOOD
    };
    for bad in [one_route, slow, slow_route, loaded] {
        for seed in 0..50 {
            let outcome = play(DESK, bad, seed, None);
            assert_eq!(outcome.state, RolloutState::Reverted, "{bad:?} {outcome:?}");
            let allowed = RULE.share * DESK.per_s * 12.0 + RULE.slack;
            assert!(outcome.tested as f64 <= allowed, "{bad:?} {outcome:?}");
        }
    }
}

/// Too few requests to tell: it goes on by time, and says so.
#[test]
fn with_a_few_requests_the_time_decides() {
    let service = Service {
        per_s: 1.0,
        errors: 0.0,
        ..DESK
    };
    let outcome = play(service, GOOD, 1, None);
    assert_eq!(outcome.state, RolloutState::Completed);
    assert_eq!(outcome.cause, RolloutCause::Time);
}

fn facts<'a>(
    record: &'a RolloutRecord,
    sums: &'a RolloutTotals,
    time: f64,
    slots: (u32, u32),
) -> RolloutProgress<'a> {
    RolloutProgress {
        record,
        elapsed: Duration::from_millis((record.duration_ms as f64 * time) as u64),
        slots,
        sums,
        rule: RULE,
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

/// Its predecessors stop once it is completed, so it has to have targets by then.
#[test]
fn a_version_with_too_few_targets_gets_no_more_than_a_little_and_is_given_up_at_the_end() {
    let sums = RolloutTotals::default();
    let (none, first) = (record(0), record(35));
    let step = |record, time, slots| next_step(&facts(record, &sums, time, slots));
    assert_eq!(step(&none, 0.5, (0, 18)), RolloutStep::NoChange);
    let little = RolloutStep::SetShare(35, RolloutCause::Time);
    assert_eq!(step(&none, 0.9, (2, 18)), little);
    assert_eq!(step(&first, 0.9, (2, 18)), RolloutStep::NoChange);
    let gone = RolloutStep::Revert(RolloutCause::NoTargets);
    assert_eq!(step(&first, 0.96, (2, 18)), gone);
    assert_eq!(step(&none, 0.96, (0, 18)), gone);
    // No other target is left: there is nothing to go back to.
    let all = RolloutStep::SetShare(1_000, RolloutCause::Time);
    assert_eq!(step(&first, 0.9, (2, 0)), all);
}

/// Former targets stop at once when it is completed, also with requests of theirs under way.
#[test]
fn it_completes_once_nothing_is_under_way_at_former_targets_and_in_time_whatever_is() {
    let all = record(1_000);
    let step = |former_in_flight, lagging_hosts, time| {
        let sums = RolloutTotals {
            former_in_flight,
            lagging_hosts,
            ..RolloutTotals::default()
        };
        next_step(&facts(&all, &sums, time, (18, 18)))
    };
    let complete = RolloutStep::Complete(RolloutCause::Time);
    assert_eq!(step(0, 0, 0.85), RolloutStep::NoChange);
    assert_eq!(step(0, 0, 0.9), complete);
    assert_eq!(step(3, 0, 0.9), RolloutStep::NoChange);
    assert_eq!(step(0, 1, 0.9), RolloutStep::NoChange);
    assert_eq!(step(3, 1, 0.96), complete);
}

/// Prints the table of docs/design/ROLLOUTS.md:
/// `cargo test --release -p linnet-rollout -- --ignored --nocapture two_ways`.
#[test]
#[ignore = "prints a table"]
fn two_ways_to_decide_by_fault() {
    let ways: [(&str, OtherWay); 2] = [("bets", None), ("bounds", Some(bounds_differ))];
    let seeds = 300;
    for per_s in [40.0, 113.0, 260.0] {
        let service = Service { per_s, ..DESK };
        for (way, other) in ways {
            let reverted = share_of(10 * seeds, |seed| {
                play(service, GOOD, seed, other).state == RolloutState::Reverted
            });
            println!("{per_s}/s {way}: good reverted {reverted:.4}");
            for (errors, slower) in [
                (0.05, 1.0),
                (0.1, 1.0),
                (0.2, 1.0),
                (0.5, 1.0),
                (1.0, 1.0),
                (0.0, 2.0),
                (0.0, 5.0),
                (0.0, 10.0),
            ] {
                let bad = BadVersion {
                    errors,
                    slower,
                    ..GOOD
                };
                let outcomes: Vec<Outcome> = (0..seeds)
                    .map(|seed| play(service, bad, seed, other))
                    .collect();
                let found = outcomes
                    .iter()
                    .filter(|one| one.state == RolloutState::Reverted);
                let found: Vec<&Outcome> = found.collect();
                let mut spoiled: Vec<u64> = found.iter().map(|one| one.spoiled).collect();
                spoiled.sort();
                let middle = spoiled.get(spoiled.len() / 2).copied().unwrap_or(0);
                let most = outcomes
                    .iter()
                    .map(|one| one.tested as f64 / one.requests as f64);
                let most = most.fold(0.0, f64::max);
                println!(
                    "{per_s}/s {way}: errors {errors} slower {slower}: found {:.3}, bad answers until then {middle} (p50) {} (most), exposed {most:.3} at most",
                    found.len() as f64 / seeds as f64,
                    spoiled.last().copied().unwrap_or(0)
                );
            }
        }
    }
}
