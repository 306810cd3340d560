//! Measures the cost of choosing an engine, by the size of the fleet.

use super::*;

/// Engines of a service, in fleets of 75, 295 and 1,000 entry hosts.
const ENGINE_COUNTS: [usize; 3] = [120, 140, 500];

/// Prompts that run at each engine during the measurement.
const PROMPTS_PER_ENGINE: usize = 6;

/// Number of distinct shared parts.
const PART_COUNT: usize = 700;

const ROUNDS: u32 = 2_000;

fn placer_with_load(store: &TargetStore, now: Instant, engines: usize) -> EnginePlacer {
    let mut placer = EnginePlacer::default();
    for number in 0..engines * PROMPTS_PER_ENGINE {
        let part = format!("{:08x}", number % PART_COUNT);
        let (key, ..) = placer.place(store, &request(&part), now).unwrap();
        if number % 3 > 0 {
            placer.record_prefill(key, now + Duration::from_millis(100));
        }
    }
    placer
}

/// Prints the duration of one placement in microseconds: `cargo test --release -p linnet-gateway --
/// --ignored --nocapture measure`.
#[test]
#[ignore = "measures"]
fn measure_a_placement() {
    for engines in ENGINE_COUNTS {
        let records: Vec<TargetRecord> = (0..engines)
            .map(|number| record(number, "engine", number % 3))
            .collect();
        let mut store = TargetStore::default();
        store.replace(&records, Instant::now());
        let now = Instant::now();
        let mut placer = placer_with_load(&store, now, engines);
        let began = Instant::now();
        for round in 0..ROUNDS {
            let part = format!("{:08x}", round as usize % PART_COUNT);
            let (key, ..) = placer.place(&store, &request(&part), now).unwrap();
            placer.end_placement(key);
        }
        let micros = began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
        println!("a placement among {engines} engines: {micros:.1} us");
    }
}
