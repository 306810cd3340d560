//! Calls whose target crashed while running them.

use super::*;

/// Queues the pieces of one request with the given request key.
fn submit_with_key(state: &mut QueueState, key: RequestKey, pieces: u32, now: Instant) -> Replies {
    let replies = submit(state, pieces, now);
    let pool = state.pools.get_mut(&super::key()).unwrap();
    let unset = |one: &&mut QueuedPiece| one.request_key == RequestKey::default();
    pool.queue
        .iter_mut()
        .filter(unset)
        .for_each(|one| one.request_key = key);
    replies
}

fn request(path: &str) -> RequestKey {
    RequestKey::new("account", "POST", ["host", path], b"")
}

fn crashed() -> CallOutcome {
    CallOutcome::TargetCrashed("connection reset".to_owned())
}

/// All requests with pieces in a call are suspects when its target crashes, though most of them did
/// not cause the crash. Retried together, they would crash one target after the other.
#[test]
fn pieces_of_a_call_whose_target_crashed_are_retried_isolated_by_request() {
    let (mut state, now) = (state(3), Instant::now());
    let _other = submit_with_key(&mut state, request("/innocent"), 2, now);
    let cause = submit_with_key(&mut state, request("/guilty"), 2, now);
    let call = only_call(&mut state, now);
    assert_eq!(call.pieces.len(), 4);
    finish(&mut state, call, crashed(), false);
    let calls = state.due_calls(&key(), now);
    assert_eq!(calls.len(), 2);
    for call in &calls {
        let first = call.pieces[0].request_key;
        assert!(call.pieces.iter().all(|one| one.request_key == first));
        assert_eq!(call.pieces.len(), 2);
    }
    // The causing request crashes its second target, alone in the call, and is not sent to a third.
    for call in calls {
        if call.pieces[0].request_key == request("/guilty") {
            finish(&mut state, call, crashed(), false);
        } else {
            respond(&mut state, call, false);
        }
    }
    assert_eq!(
        *cause.borrow(),
        [
            Err(PieceFault::TargetsCrashed),
            Err(PieceFault::TargetsCrashed)
        ]
    );
    assert!(state.due_calls(&key(), now).is_empty());
}

#[test]
fn a_late_call_with_isolated_pieces_is_not_copied() {
    let (mut state, now) = (state(3), Instant::now());
    let _replies = submit_with_key(&mut state, request("/suspect"), 1, now);
    let pool = state.pools.get_mut(&key()).unwrap();
    pool.queue.iter_mut().for_each(|one| one.isolated = true);
    let call = only_call(&mut state, now);
    state.requeue_late_call(&call, now + Duration::from_secs(1), now);
    assert!(state.due_calls(&key(), now).is_empty());
}

/// An unhealthy target is tested with a copy of a piece on which no request depends. A copy of a
/// piece that may crash its target would crash this target too, in addition to the one that runs
/// the piece itself.
#[test]
fn an_unhealthy_target_is_not_tried_with_a_piece_that_may_crash_it() {
    let (mut state, now) = (state(3), Instant::now());
    let unhealthy = make_unhealthy(&mut state, now);
    let rested = now + Duration::from_secs(5);
    let _replies = submit_with_key(&mut state, request("/suspect"), 1, rested);
    let pool = state.pools.get_mut(&key()).unwrap();
    pool.queue.iter_mut().for_each(|one| one.isolated = true);
    let calls = state.due_calls(&key(), rested);
    assert_eq!(calls.len(), 1);
    assert!(calls[0].target != unhealthy && !calls[0].trial);
}

/// A target that broke the connection may have crashed. Sent on with others, up to three times, the
/// pieces of the request that caused it would crash three more targets.
#[test]
fn pieces_are_sent_to_two_targets_at_most_while_probes_of_broken_connections_run() {
    let (mut state, now) = (state(4), Instant::now());
    let _other = submit_with_key(&mut state, request("/innocent"), 2, now);
    let cause = submit_with_key(&mut state, request("/guilty"), 2, now);
    let broken = || CallOutcome::ConnectionBroken("connection reset".to_owned());
    let call = only_call(&mut state, now);
    finish(&mut state, call, broken(), false);
    let calls = state.due_calls(&key(), now);
    assert_eq!(calls.len(), 2, "each request has a call of its own");
    for call in calls {
        if call.pieces[0].request_key == request("/guilty") {
            finish(&mut state, call, broken(), false);
        } else {
            respond(&mut state, call, false);
        }
    }
    let crashed = vec![Err(PieceFault::TargetsCrashed); 2];
    assert_eq!(*cause.borrow(), crashed);
    assert!(state.due_calls(&key(), now).is_empty());
}
