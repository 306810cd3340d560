//! A hall of engines comes back cold in a burst: what each of them gets, and what the others take.

use std::collections::BTreeMap;

use linnet_routing::{RoutingConfig, Service};

use super::*;

/// Engines in three halls; those of one return cold.
const ENGINES: usize = 140;
const HALLS: usize = 3;

/// Requests a second that a cold engine bears, and what may reach it at most: 1.5 times that and 5.
const COLD_PER_S: f64 = 9.1;
const ALLOWED: usize = 18;

/// Prompts a second in a burst of 2.4 times.
const PROMPTS_PER_S: u64 = 700;

fn cold_book(cold_ms: u32, now: Instant) -> TargetStore {
    let records: Vec<TargetRecord> = (0..ENGINES)
        .map(|number| {
            let mut record = record(number, "engine", number % HALLS);
            record.cold_ms = if number % HALLS == 0 { cold_ms } else { 0 };
            record
        })
        .collect();
    let mut book = TargetStore::default();
    book.replace(&records, now);
    book.set_services(&RoutingConfig {
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
    book
}

/// Places the prompts of some seconds on engines, all with the same shared part or each with its own;
/// returns what each engine got, in milliseconds. With `placers` above 1 they take turns and know nothing
/// of each other.
fn play_burst(same_part: bool, placers: usize, book: &TargetStore) -> BTreeMap<String, Vec<u64>> {
    let began = Instant::now();
    let mut all: Vec<EnginePlacer> = (0..placers).map(|_| EnginePlacer::default()).collect();
    let mut sent: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for number in 0..PROMPTS_PER_S * 2 {
        let ms = number * 1_000 / PROMPTS_PER_S;
        let now = began + Duration::from_millis(ms);
        let part = if same_part { 0 } else { number };
        let placer = &mut all[number as usize % placers];
        let placed = placer.place(book, &ask(&format!("{part:08x}")), now);
        let (key, engine, _) = placed.expect("warm engines are left");
        placer.note_read(key, now);
        placer.end(key);
        sent.entry(engine.id).or_default().push(ms);
    }
    sent
}

fn most_in_a_second(times: &[u64]) -> usize {
    let within = |start: usize| {
        let later = times[start..].iter();
        later.take_while(|at| **at < times[start] + 1_000).count()
    };
    (0..times.len()).map(within).max().unwrap_or(0)
}

fn most_of_cold(sent: &BTreeMap<String, Vec<u64>>, book: &TargetStore, now: Instant) -> usize {
    let cold = sent
        .iter()
        .filter(|(id, _)| book.is_cold("engine", id, now));
    cold.map(|(_, times)| most_in_a_second(times))
        .max()
        .unwrap_or(0)
}

/// Prompts with one part go to its holder, which may be cold: 700 a second without the limit.
#[test]
fn a_cold_engine_gets_no_more_than_it_bears() {
    let now = Instant::now();
    let book = cold_book(60_000, now);
    for same_part in [true, false] {
        let most = most_of_cold(&play_burst(same_part, 1, &book), &book, now);
        println!("at most {most} in a second at a cold engine");
        assert!(most <= COLD_PER_S as usize, "{most}");
    }
}

/// On each side of a cut, or while one host hands over to another, two place prompts.
#[test]
fn two_hosts_that_place_stay_within_what_is_allowed() {
    let now = Instant::now();
    let book = cold_book(60_000, now);
    let most = most_of_cold(&play_burst(true, 2, &book), &book, now);
    assert!(most <= ALLOWED, "{most}");
}

#[test]
fn a_host_that_cannot_ask_the_one_that_places_passes_cold_engines_over() {
    let now = Instant::now();
    let book = cold_book(60_000, now);
    let mut alone = ask("a");
    alone.closed = book.cold_targets("engine", now);
    assert_eq!(alone.closed.len(), ENGINES.div_ceil(HALLS));
    let mut placer = EnginePlacer::default();
    for _ in 0..1_000 {
        let (_, engine, _) = placer
            .place(&book, &alone, now)
            .expect("warm ones are left");
        assert!(!book.is_cold("engine", &engine.id, now));
    }
}

#[test]
fn with_all_engines_at_their_limit_there_is_no_place() {
    let now = Instant::now();
    let mut book = TargetStore::default();
    let mut cold = record(0, "engine", 0);
    cold.cold_ms = 5_000;
    book.replace(&[cold], now);
    book.set_services(&RoutingConfig {
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
    assert!(placer.place(&book, &ask("a"), now).is_some());
    assert!(placer.place(&book, &ask("a"), now).is_some());
    assert!(placer.place(&book, &ask("a"), now).is_none());
    let later = now + Duration::from_millis(1_100);
    assert!(placer.place(&book, &ask("a"), later).is_some());
    // Warm by then.
    let warm = now + Duration::from_millis(5_100);
    (0..50).for_each(|_| assert!(placer.place(&book, &ask("a"), warm).is_some()));
}
