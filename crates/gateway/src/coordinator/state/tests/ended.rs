//! Calls whose target ended under them.

use super::*;

/// Lets the pieces of one request wait, known by a key.
fn submit_of(state: &mut QueueState, key: RequestKey, pieces: u32, now: Instant) -> Replied {
    let replied = submit(state, pieces, now);
    let pool = state.pools.get_mut(&super::key()).unwrap();
    let unset = |one: &&mut Waiting| one.key == RequestKey::default();
    pool.waiting
        .iter_mut()
        .filter(unset)
        .for_each(|one| one.key = key);
    replied
}

fn request(path: &str) -> RequestKey {
    RequestKey::new("account", "POST", ["host", path], b"")
}

fn ended() -> CallOutcome {
    CallOutcome::TargetCrashed("connection reset".to_owned())
}

/// All requests with pieces in a call are suspects when its target ends, and most of them are innocent. Sent
/// on together they would end one target after the other together.
#[test]
fn the_pieces_of_a_call_whose_target_ended_go_on_apart_by_request() {
    let (mut state, now) = (state(3), Instant::now());
    let _innocent = submit_of(&mut state, request("/innocent"), 2, now);
    let guilty = submit_of(&mut state, request("/guilty"), 2, now);
    let call = only_call(&mut state, now);
    assert_eq!(call.pieces.len(), 4);
    finish(&mut state, call, ended(), false);
    let calls = state.due_calls(&key(), now);
    assert_eq!(calls.len(), 2);
    for call in &calls {
        let first = call.pieces[0].key;
        assert!(call.pieces.iter().all(|one| one.key == first));
        assert_eq!(call.pieces.len(), 2);
    }
    // The guilty one ends its second target, alone, and is not sent to a third.
    for call in calls {
        if call.pieces[0].key == request("/guilty") {
            finish(&mut state, call, ended(), false);
        } else {
            answer(&mut state, call, false);
        }
    }
    assert_eq!(
        *guilty.borrow(),
        [
            Err(PieceFault::TargetsCrashed),
            Err(PieceFault::TargetsCrashed)
        ]
    );
    assert!(state.due_calls(&key(), now).is_empty());
}

#[test]
fn a_late_call_with_pieces_apart_is_not_copied() {
    let (mut state, now) = (state(3), Instant::now());
    let _replied = submit_of(&mut state, request("/suspect"), 1, now);
    let pool = state.pools.get_mut(&key()).unwrap();
    pool.waiting.iter_mut().for_each(|one| one.apart = true);
    let call = only_call(&mut state, now);
    state.note_late(&call, now + Duration::from_secs(1), now);
    assert!(state.due_calls(&key(), now).is_empty());
}

/// A suspect target is tried with a copy of a piece on which no request depends. One that may end its target
/// would end that one too, beside the one that it is sent to.
#[test]
fn a_suspect_target_is_not_tried_with_a_piece_that_may_end_it() {
    let (mut state, now) = (state(3), Instant::now());
    let suspect = make_suspect(&mut state, now);
    let rested = now + Duration::from_secs(5);
    let _replied = submit_of(&mut state, request("/suspect"), 1, rested);
    let pool = state.pools.get_mut(&key()).unwrap();
    pool.waiting.iter_mut().for_each(|one| one.apart = true);
    let calls = state.due_calls(&key(), rested);
    assert_eq!(calls.len(), 1);
    assert!(calls[0].target != suspect && !calls[0].trial);
}
