//! Queues of a pool whose targets are free but have no memory left for results.

use super::*;

const TARGETS: u16 = 15;
const RESULT_BYTES: u64 = 60_000;

/// A pool whose targets have kept as many results as their memory holds, and have no call running.
fn full_state() -> QueueState {
    let mut state = state(TARGETS);
    let pool = StagePool {
        batch: 60,
        piece_ms: 2.1,
        result_memory_bytes: 10_000_000,
        ..spec()
    };
    state.specs.insert(SERVICE.to_owned(), pool);
    let now = Instant::now();
    submit_large(&mut state, u32::from(TARGETS) * 170, now);
    loop {
        let due = state.due_calls(&key(), now);
        if due.is_empty() {
            break;
        }
        for (number, call) in due.into_iter().enumerate() {
            let born = state.last_lost;
            let made = (0..call.pieces.len())
                .map(|piece| Ok(format!("{}/{number}-{born}-{piece}", call.address)));
            let made = CallOutcome::Responded(made.collect(), None);
            finish(&mut state, call, made, false);
        }
    }
    state
}

fn submit_large(state: &mut QueueState, pieces: u32, now: Instant) {
    let requests = pieces / 8;
    for _ in 0..requests {
        let batch = PieceBatch {
            result_bytes: RESULT_BYTES,
            remaining_ms: 60_000,
            ..batch(8)
        };
        assert!(state.pool_mut(&key()).is_some());
        state.enqueue(batch, Box::new(|_| {}), now);
    }
}

#[test]
#[ignore = "measures time"]
fn measure_dispatches_of_a_queue_without_memory() {
    for pieces in [0, 400, 800, 1_600, 3_200] {
        let mut state = full_state();
        let now = Instant::now();
        submit_large(&mut state, pieces, now);
        let started = Instant::now();
        for _ in 0..200 {
            assert!(state.due_calls(&key(), now).is_empty());
        }
        let queued = state.pools[&key()].queue.len();
        println!(
            "{queued} queued: {:.1} us a dispatch",
            started.elapsed().as_secs_f64() * 1e6 / 200.0
        );
    }
}
