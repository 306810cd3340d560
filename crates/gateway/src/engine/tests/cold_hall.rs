//! Measures how many prompts each engine gets when a hall of engines returns cold during a burst.

use std::collections::BTreeMap;

use linnet_routing::{RoutingConfig, Service};

use super::*;

/// Engines in three halls; those of one return cold.
const ENGINES: usize = 140;
const HALLS: usize = 3;

/// Requests per second that a cold engine can handle, and the maximum that may reach it: 1.5 times
/// that and 5.
const COLD_PER_S: f64 = 9.1;
const MAX_PER_SECOND: usize = 18;

/// Prompts per second in a burst of 2.4 times the usual load.
const PROMPTS_PER_S: u64 = 700;

fn cold_store(cold_ms: u32, now: Instant) -> TargetStore {
    let records: Vec<TargetRecord> = (0..ENGINES)
        .map(|number| {
            let mut record = record(number, "engine", number % HALLS);
            record.cold_ms = if number % HALLS == 0 { cold_ms } else { 0 };
            record
        })
        .collect();
    let mut store = TargetStore::default();
    store.replace(&records, now);
    store.set_services(&RoutingConfig {
        services: vec![Service {
            name: "engine".to_owned(),
            health_path: "/".to_owned(),
            max_connections: 800,
            cold_per_s: COLD_PER_S,
            engine: None,
            stage_pool: None,
        }],
        ..RoutingConfig::default()
    });
    store
}

/// Places the prompts of two seconds on engines, all with the same shared part or each with its
/// own. Returns the times of the prompts of each engine, in milliseconds. With `placers` above 1
/// the placers alternate and exchange no state.
fn simulate_burst(
    same_part: bool,
    placers: usize,
    store: &TargetStore,
) -> BTreeMap<String, Vec<u64>> {
    let started = Instant::now();
    let mut all: Vec<EnginePlacer> = (0..placers).map(|_| EnginePlacer::default()).collect();
    let mut sent: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for number in 0..PROMPTS_PER_S * 2 {
        let ms = number * 1_000 / PROMPTS_PER_S;
        let now = started + Duration::from_millis(ms);
        let part = if same_part { 0 } else { number };
        let placer = &mut all[number as usize % placers];
        let placed = placer.place(store, &request(&format!("{part:08x}")), now);
        let (key, engine, _) = placed.expect("a warm engine has room");
        placer.record_prefill(key, now);
        placer.end_placement(key);
        sent.entry(engine.id).or_default().push(ms);
    }
    sent
}

fn max_in_one_second(times: &[u64]) -> usize {
    let within = |start: usize| {
        let later = times[start..].iter();
        later.take_while(|at| **at < times[start] + 1_000).count()
    };
    (0..times.len()).map(within).max().unwrap_or(0)
}

fn max_per_second_of_cold_engines(
    sent: &BTreeMap<String, Vec<u64>>,
    store: &TargetStore,
    now: Instant,
) -> usize {
    let cold = sent
        .iter()
        .filter(|(id, _)| store.is_cold("engine", id, now));
    cold.map(|(_, times)| max_in_one_second(times))
        .max()
        .unwrap_or(0)
}

/// Prompts with one part go to the engine that has it cached, which may be cold: 700 per second
/// without the limit.
#[test]
fn a_cold_engine_gets_no_more_than_its_rate() {
    let now = Instant::now();
    let store = cold_store(60_000, now);
    for same_part in [true, false] {
        let worst =
            max_per_second_of_cold_engines(&simulate_burst(same_part, 1, &store), &store, now);
        println!("at most {worst} prompts in one second at a cold engine");
        assert!(worst <= COLD_PER_S as usize, "{worst}");
    }
}

/// Two hosts place prompts on each side of a network partition, or while one hands over to another.
#[test]
fn two_placing_hosts_stay_within_the_allowed_rate() {
    let now = Instant::now();
    let store = cold_store(60_000, now);
    let worst = max_per_second_of_cold_engines(&simulate_burst(true, 2, &store), &store, now);
    assert!(worst <= MAX_PER_SECOND, "{worst}");
}

#[test]
fn a_host_that_cannot_reach_the_placer_skips_cold_engines() {
    let now = Instant::now();
    let store = cold_store(60_000, now);
    let mut alone = request("a");
    alone.excluded = store.cold_targets("engine", now);
    assert_eq!(alone.excluded.len(), ENGINES.div_ceil(HALLS));
    let mut placer = EnginePlacer::default();
    for _ in 0..1_000 {
        let (_, engine, _) = placer
            .place(&store, &alone, now)
            .expect("a warm engine has room");
        assert!(!store.is_cold("engine", &engine.id, now));
    }
}

#[test]
fn no_engine_is_chosen_if_all_are_at_their_limit() {
    let now = Instant::now();
    let mut store = TargetStore::default();
    let mut cold = record(0, "engine", 0);
    cold.cold_ms = 5_000;
    store.replace(&[cold], now);
    store.set_services(&RoutingConfig {
        services: vec![Service {
            name: "engine".to_owned(),
            health_path: "/".to_owned(),
            max_connections: 800,
            cold_per_s: 2.0,
            engine: None,
            stage_pool: None,
        }],
        ..RoutingConfig::default()
    });
    let mut placer = EnginePlacer::default();
    assert!(placer.place(&store, &request("a"), now).is_some());
    assert!(placer.place(&store, &request("a"), now).is_some());
    assert!(placer.place(&store, &request("a"), now).is_none());
    let later = now + Duration::from_millis(1_100);
    assert!(placer.place(&store, &request("a"), later).is_some());
    // The engine is warm by then.
    let warm = now + Duration::from_millis(5_100);
    (0..50).for_each(|_| assert!(placer.place(&store, &request("a"), warm).is_some()));
}
