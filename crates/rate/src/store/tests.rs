use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn limit(per_second: f64) -> Option<RateLimit> {
    Some(RateLimit::new(per_second))
}

fn observed(rate: Option<RateLimit>, sent_age_ms: u64, received_age_ms: u64) -> RateObservation {
    RateObservation {
        target: "t-0".to_owned(),
        rate_limit: rate,
        sent_age_ms,
        received_age_ms,
    }
}

#[test]
fn the_latest_observation_wins_in_any_order_of_arrival() {
    let now = BootInstant::now();
    let observations = [
        observed(limit(1.0), 9_000, 8_900),
        observed(limit(4.0), 5_000, 4_900),
        observed(None, 3_000, 2_900),
        observed(limit(2.0), 1_000, 900),
    ];
    let mut store = RateStore::new();
    let mut other = RateStore::new();
    for one in &observations {
        store.record_observed(one, now);
    }
    for one in observations.iter().rev() {
        other.record_observed(one, now);
    }
    assert_eq!(store.rate_limit("t-0"), limit(2.0));
    assert_eq!(other.rate_limit("t-0"), limit(2.0));
}

#[test]
fn the_lower_limit_wins_among_overlapping_responses() {
    let now = BootInstant::now();
    let mut store = RateStore::new();
    store.record_observed(&observed(limit(4.0), 500, 100), now);
    store.record_observed(&observed(limit(1.0), 600, 90), now);
    store.record_observed(&observed(limit(8.0), 700, 80), now);
    store.record_observed(&observed(None, 700, 0), now);
    assert_eq!(store.rate_limit("t-0"), limit(1.0));
    store.record_observed(&observed(None, 50, 0), now);
    assert_eq!(store.rate_limit("t-0"), None);
}

#[test]
fn an_outdated_lift_is_answered_with_the_current_limit() {
    let now = BootInstant::now();
    let mut store = RateStore::new();
    store.record_observed(&observed(limit(1.0), 100, 50), now);
    let published = store.revision();
    store.record_received(&observed(None, 3_000, 2_000), now);
    assert_eq!(store.rate_limit("t-0"), limit(1.0));
    let again = store.changed_after(published, 10, false, now).observations;
    assert_eq!(again, [observed(limit(1.0), 100, 50)]);
}

#[test]
fn received_observations_are_not_sent_back() {
    let now = BootInstant::now();
    let mut store = RateStore::new();
    store.record_received(&observed(limit(1.0), 100, 50), now);
    assert_eq!(store.rate_limit("t-0"), limit(1.0));
    assert!(
        store
            .changed_after(0, 10, false, now)
            .observations
            .is_empty()
    );
}

#[test]
fn a_repeated_limit_is_republished_periodically_and_does_not_expire() {
    let begin = BootInstant::now();
    let mut store = RateStore::new();
    let mut published = 0;
    for second in 0..1_000 {
        let now = begin + SECOND * second;
        let number = store.revision();
        store.record_observed(&observed(limit(1.0), 10, 0), now);
        published += store.revision() - number;
        assert!(store.expire(now).is_empty());
    }
    assert!((5..20).contains(&published), "{published}");
}

#[test]
fn a_limit_expires_without_observations() {
    let now = BootInstant::now();
    let mut store = RateStore::new();
    store.record_observed(&observed(limit(1.0), 10, 0), now);
    assert!(store.expire(now + LIMIT_RETENTION / 2).is_empty());
    let ended = store.expire(now + LIMIT_RETENTION);
    assert_eq!(ended, [("t-0".to_owned(), RateLimit::new(1.0))]);
    assert!(store.is_empty());
}

#[test]
fn changes_are_read_in_batches() {
    let now = BootInstant::now();
    let mut store = RateStore::new();
    for number in 0..10 {
        let mut one = observed(limit(1.0), 10, 0);
        one.target = format!("t-{number}");
        store.record_observed(&one, now);
    }
    let (mut number, mut observations) = (0, Vec::new());
    loop {
        let part = store.changed_after(number, 4, false, now);
        number = part.revision;
        if part.observations.is_empty() {
            break;
        }
        observations.extend(part.observations);
    }
    assert_eq!((observations.len(), number), (10, 10));
}

#[test]
fn an_observation_is_relayed_once() {
    let now = BootInstant::now();
    let mut store = RateStore::new();
    let limited = observed(limit(1.0), 100, 50);
    assert!(store.relay(&limited, now));
    assert!(!store.relay(&limited, now));
    assert!(store.relay(&observed(None, 40, 10), now));
    assert!(
        store.relay(&limited, now),
        "an older observation is contradicted"
    );
    assert_eq!(store.rate_limit("t-0"), None);
}

/// Processes that record the same observations in any order, and exchange them, hold the same
/// limit.
#[test]
fn stores_that_exchange_observations_converge() {
    for seed in 0..500 {
        let mut random = fastrand::Rng::with_seed(seed);
        let now = BootInstant::now();
        let mut stores = [RateStore::new(), RateStore::new(), RateStore::new()];
        let mut published = [0; 3];
        for _ in 0..20 {
            let received_age_ms = random.u64(0..2_000);
            let sent_age_ms = received_age_ms + random.u64(0..500);
            let limited = random
                .bool()
                .then(|| RateLimit::new(f64::from(random.u8(1..4))));
            stores[random.usize(0..3)].relay(&observed(limited, sent_age_ms, received_age_ms), now);
        }
        for _ in 0..20 {
            for from in 0..3 {
                let changed = stores[from].changed_after(published[from], 100, false, now);
                published[from] = changed.revision;
                for to in (0..3).filter(|to| *to != from) {
                    for one in &changed.observations {
                        stores[to].relay(one, now);
                    }
                }
            }
        }
        let rates: Vec<_> = stores.iter().map(|store| store.rate_limit("t-0")).collect();
        assert!(
            rates.iter().all(|one| *one == rates[0]),
            "seed {seed}: {rates:?}"
        );
    }
}

/// `cargo test --release -p linnet-rate measure -- --ignored --nocapture`
#[test]
#[ignore = "a measurement"]
fn measure_ten_thousand_targets_that_change_their_rate_at_once() {
    const TARGETS: usize = 10_000;
    let now = BootInstant::now();
    let observations = |per_second: f64| -> Vec<RateObservation> {
        let observation = |number| RateObservation {
            target: format!("i-{number:010x}"),
            rate_limit: limit(per_second),
            sent_age_ms: 1_200,
            received_age_ms: 40,
        };
        (0..TARGETS).map(observation).collect()
    };
    let mut store = RateStore::new();
    for per_second in [5.0, 2.0] {
        let observations = observations(per_second);
        let began = std::time::Instant::now();
        for observation in &observations {
            store.relay(observation, now);
        }
        let taken = began.elapsed();
        let (mut number, mut published, mut parts) = (0, 0, 0);
        let began = std::time::Instant::now();
        loop {
            let part = store.changed_after(number, 256, false, now);
            number = part.revision;
            published += part.observations.len();
            parts += 1;
            if part.observations.len() < 256 {
                break;
            }
        }
        println!(
            "taken in {taken:?}; {published} published in {parts} parts in {:?}",
            began.elapsed()
        );
    }
}

#[test]
fn a_reader_without_state_also_gets_received_observations() {
    let now = BootInstant::now();
    let mut store = RateStore::new();
    let limited = observed(limit(1.0), 100, 50);
    store.record_received(&limited, now);
    assert!(
        store
            .changed_after(0, 10, false, now)
            .observations
            .is_empty()
    );
    assert_eq!(
        store.changed_after(0, 10, true, now).observations,
        [limited]
    );
}

#[test]
fn a_new_incarnation_discards_the_limit_of_an_earlier_one() {
    const UNIX_MS: u64 = 1_000_000;
    let now = BootInstant::now();
    let mut store = RateStore::new();
    store.record_observed(&observed(limit(1.0), 100, 50), now);
    let spoken = store.record_incarnation("t-0", UNIX_MS - 60, UNIX_MS, now);
    assert_eq!(spoken, IncarnationEffect::Retained);
    let known = store.record_incarnation("t-0", UNIX_MS - 60, UNIX_MS, now);
    assert_eq!(known, IncarnationEffect::Unchanged);
    let silent = store.record_incarnation("t-0", UNIX_MS - 40, UNIX_MS, now);
    assert_eq!(silent, IncarnationEffect::Discarded(limit(1.0)));
    assert_eq!(store.rate_limit("t-0"), None);
}
