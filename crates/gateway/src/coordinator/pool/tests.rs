use std::net::SocketAddr;

use linnet_directory::TargetState;

use super::super::batch::BatchKey;
use super::super::stage_target::CallVerdict;
use super::*;
use crate::caller_request::Rank;
use crate::piece::PieceInput;

const SERVICE: &str = "stage";
const RESULT_BYTES: u64 = 3_000_000;

fn spec() -> StagePool {
    StagePool {
        slots: 1,
        queue: 0,
        batch: 8,
        call_ms: 150.0,
        piece_ms: 16.0,
        result_memory_bytes: 4 * RESULT_BYTES,
        result_ttl_ms: 4_000,
        cold_per_s: 0.0,
    }
}

/// One target in each of two halls.
fn records() -> [TargetRecord; 2] {
    let record = |hall: u16| TargetRecord {
        version: String::new(),
        id: format!("t-{hall}"),
        born: 0,
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + hall)),
        hall: format!("hall-{hall}"),
        slots: 1,
        state: TargetState::Ready,
        sequence: 1,
        silent: false,
        cold_ms: 0,
    };
    [record(0), record(1)]
}

/// A pool with those targets.
fn pool() -> PoolQueue {
    let mut pool = PoolQueue::new(spec());
    pool.set_targets(&PoolKey::whole(SERVICE), &records());
    pool
}

fn add_pieces(pool: &mut PoolQueue, count: usize, hall: Option<&str>, now: Instant) {
    let work = Rc::new(StageWork {
        request: "request".to_owned(),
        stage: 0,
        input: PieceInput::Key("key".to_owned()),
    });
    for place in 0..count {
        pool.waiting.push(Waiting {
            piece: PieceKey {
                batch: BatchKey::default(),
                place,
            },
            rank: Rank {
                account_priority: 0,
                route_priority: 0,
            },
            deadline: now + Duration::from_secs(8),
            wanted: now + Duration::from_secs(1),
            hall: hall.map(str::to_owned),
            homes: HomeHalls::default(),
            result_bytes: RESULT_BYTES,
            work: work.clone(),
            tries: 0,
            key: RequestKey::default(),
            ends: 0,
            apart: false,
        });
    }
}

fn due(pool: &mut PoolQueue, now: Instant) -> Vec<(String, usize)> {
    let calls = pool.due_calls(&PoolKey::whole(SERVICE), now);
    let calls = calls.into_iter();
    calls.map(|call| (call.target, call.pieces.len())).collect()
}

fn told(target: &str, bytes: u64, busy_ms: u32) -> TargetUse {
    TargetUse {
        target: target.to_owned(),
        bytes,
        lasts_ms: 2_000,
        busy_ms,
    }
}

#[test]
fn room_that_another_host_uses_is_not_given_away_until_it_expires() {
    let (mut pool, now) = (pool(), Instant::now());
    pool.set_uses("other", &[told("t-0", 4 * RESULT_BYTES, 0)], now);
    add_pieces(&mut pool, 5, None, now);
    assert_eq!(due(&mut pool, now), [("t-1".to_owned(), 3)]);
    assert_eq!(pool.waiting.len(), 2);
    let later = now + Duration::from_millis(2_100);
    pool.forget_expired(later);
    assert_eq!(due(&mut pool, later), [("t-0".to_owned(), 2)]);
}

#[test]
fn a_target_in_a_call_of_another_host_is_not_called_meanwhile() {
    let (mut pool, now) = (pool(), Instant::now());
    pool.set_uses("other", &[told("t-0", 0, 200), told("t-1", 0, 200)], now);
    add_pieces(&mut pool, 1, None, now);
    assert!(due(&mut pool, now).is_empty());
    assert_eq!(due(&mut pool, now + Duration::from_millis(210)).len(), 1);
}

#[test]
fn what_a_host_told_before_is_replaced_and_its_released_results_are_taken_off() {
    let (mut pool, now) = (pool(), Instant::now());
    let used = |pool: &PoolQueue| pool.targets["t-0"].used_bytes();
    pool.set_uses("other", &[told("t-0", 9_000_000, 0)], now);
    pool.set_uses("other", &[told("t-0", 6_000_000, 0)], now);
    assert_eq!(used(&pool), 6_000_000);
    pool.targets
        .get_mut("t-0")
        .unwrap()
        .results
        .take_off_told(RESULT_BYTES);
    assert_eq!(used(&pool), 3_000_000);
    pool.set_uses("other", &[], now);
    assert_eq!(used(&pool), 0);
}

#[test]
fn a_host_tells_its_own_calls_and_results_and_not_what_it_was_told() {
    let (mut pool, now) = (pool(), Instant::now());
    pool.set_uses("other", &[told("t-1", 2 * RESULT_BYTES, 0)], now);
    assert!(pool.uses(now).is_empty());
    add_pieces(&mut pool, 2, Some("hall-0"), now);
    assert_eq!(due(&mut pool, now), [("t-0".to_owned(), 2)]);
    let uses = pool.uses(now);
    assert_eq!(uses.len(), 1);
    assert_eq!(
        (uses[0].target.as_str(), uses[0].bytes),
        ("t-0", 2 * RESULT_BYTES)
    );
    assert_eq!((uses[0].busy_ms, uses[0].lasts_ms), (182, 4_000));
}

/// All requests of a pipeline waited in vain until their deadlines, on every entry host, also
/// after all faults had ended. Control hosts that had been started anew knew no target for a moment;
/// targets with a call at work just then were taken as leaving, and stayed so when they were
/// listed again.
#[test]
fn targets_that_were_out_of_the_list_during_a_call_take_calls_again() {
    let (mut pool, now) = (pool(), Instant::now());
    add_pieces(&mut pool, 6, None, now);
    let calls = pool.due_calls(&PoolKey::whole(SERVICE), now);
    assert_eq!(calls.len(), 2);
    pool.set_targets(&PoolKey::whole(SERVICE), &[]);
    pool.set_targets(&PoolKey::whole(SERVICE), &records());
    for call in calls {
        let target = pool.targets.get_mut(&call.target).unwrap();
        target.end_call(Some(CallVerdict::InTime), call.reserved, now);
    }
    add_pieces(&mut pool, 2, None, now);
    assert!(!due(&mut pool, now).is_empty());
}

#[test]
fn a_target_that_is_out_of_the_list_gets_no_call_and_goes_once_its_call_has_ended() {
    let (mut pool, now) = (pool(), Instant::now());
    add_pieces(&mut pool, 6, None, now);
    let calls = pool.due_calls(&PoolKey::whole(SERVICE), now);
    pool.set_targets(&PoolKey::whole(SERVICE), &records()[1..]);
    assert_eq!(pool.targets.len(), 2);
    for call in calls {
        let target = pool.targets.get_mut(&call.target).unwrap();
        target.end_call(Some(CallVerdict::InTime), call.reserved, now);
    }
    add_pieces(&mut pool, 2, None, now);
    assert_eq!(due(&mut pool, now), [("t-1".to_owned(), 2)]);
    pool.set_targets(&PoolKey::whole(SERVICE), &records()[1..]);
    assert_eq!(pool.targets.len(), 1);
}

#[test]
fn a_target_at_whose_address_another_start_is_gets_no_call_though_it_is_listed() {
    let (mut pool, now) = (pool(), Instant::now());
    let target = pool.targets.get_mut("t-0").unwrap();
    target.end_call(Some(CallVerdict::OtherTarget), 0, now);
    pool.set_targets(&PoolKey::whole(SERVICE), &records());
    add_pieces(&mut pool, 2, None, now);
    assert_eq!(due(&mut pool, now), [("t-1".to_owned(), 2)]);
}

/// Prints what the load of a pool with 1,000 pieces that wait costs, in microseconds.
#[test]
#[ignore = "measures"]
fn measure_the_load_of_a_long_queue() {
    let (mut pool, now) = (pool(), Instant::now());
    add_pieces(&mut pool, 1_000, None, now);
    const ROUNDS: u32 = 2_000;
    let began = Instant::now();
    for _ in 0..ROUNDS {
        assert_eq!(pool.load(now).waiting.len(), 1);
    }
    let micros = began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
    println!("load of a queue of 1,000 pieces: {micros:.1} us");
}
