//! What it costs the host that places prompts to choose an engine, as the fleet grows.

use super::*;

/// Engines of a service, in fleets of 75, 295 and 1,000 entry hosts.
const FLEETS: [usize; 3] = [120, 140, 500];

/// Prompts that run at each engine while the cost is measured.
const RUNNING: usize = 6;

/// Shared parts that prompts are drawn from.
const PARTS: usize = 700;

const ROUNDS: u32 = 2_000;

fn busy_placer(book: &TargetStore, now: Instant, engines: usize) -> EnginePlacer {
    let mut placer = EnginePlacer::default();
    for number in 0..engines * RUNNING {
        let part = format!("{:08x}", number % PARTS);
        let (key, ..) = placer.place(book, &ask(&part), now).unwrap();
        if number % 3 > 0 {
            placer.note_read(key, now + Duration::from_millis(100));
        }
    }
    placer
}

/// Prints the microseconds of one placement: `cargo test --release -p linnet-gateway -- --ignored
/// --nocapture measure`.
#[test]
#[ignore = "measures"]
fn measure_a_placement() {
    for engines in FLEETS {
        let records: Vec<TargetRecord> = (0..engines)
            .map(|number| record(number, "engine", number % 3))
            .collect();
        let mut book = TargetStore::default();
        book.replace(&records, Instant::now());
        let now = Instant::now();
        let mut placer = busy_placer(&book, now, engines);
        let began = Instant::now();
        for round in 0..ROUNDS {
            let part = format!("{:08x}", round as usize % PARTS);
            let (key, ..) = placer.place(&book, &ask(&part), now).unwrap();
            placer.end(key);
        }
        let micros = began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
        println!("a placement among {engines} engines: {micros:.1} us");
    }
}
