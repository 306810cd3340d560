//! Stage targets that want no calls of this host for a while, or leave.

use super::*;
use crate::target_restriction::TargetAvailability;

const WAIT: Duration = Duration::from_secs(2);

/// Ends a call that its target turned away, asking for a time.
fn turn_away(state: &mut QueueState, call: DueCall, now: Instant) -> Finished {
    state.set_standing(&call, TargetAvailability::BackedOff(WAIT), now);
    state.finish_call(call, CallEnd::Busy, false, now)
}

#[test]
fn a_target_that_wants_nothing_gets_no_call_for_as_long_as_it_asked() {
    let (mut state, now) = (state(1), Instant::now());
    submit(&mut state, 2, now);
    let call = only_call(&mut state, now);
    let finished = turn_away(&mut state, call, now);
    assert_eq!(
        finished.rest,
        Some(WAIT),
        "when its pieces are looked at again"
    );
    assert!(finished.replies.is_empty(), "the pieces wait");
    let nearly = now + WAIT - Duration::from_millis(1);
    assert!(state.due_calls(&key(), nearly).is_empty());
    let call = only_call(&mut state, now + WAIT);
    assert_eq!(call.pieces.len(), 2);
}

#[test]
fn its_pieces_go_to_another_target_at_once_and_count_as_no_failure() {
    let targets = 2 + MAX_TRIES as u16;
    let (mut state, now) = (state(targets), Instant::now());
    let replied = submit(&mut state, 2, now);
    for _ in 1..targets {
        let call = only_call(&mut state, now);
        turn_away(&mut state, call, now);
    }
    let call = only_call(&mut state, now);
    answer(&mut state, call, false);
    assert!(replied.borrow().iter().all(Result::is_ok));
}

#[test]
fn where_all_want_nothing_a_request_that_has_no_time_is_refused_and_others_wait() {
    let (mut state, now) = (state(1), Instant::now());
    submit(&mut state, 1, now);
    let call = only_call(&mut state, now);
    turn_away(&mut state, call, now);
    let pool = &state.pools[&key()];
    let load = pool.load(now);
    assert_eq!(
        (load.targets, load.free),
        (0, 0),
        "as it is told to other hosts"
    );
    let batch = |wanted: Duration, first| {
        let mut batch = batch(1);
        batch.wanted_ms = wanted.as_millis() as u64;
        batch.first = first;
        batch
    };
    assert!(pool.is_too_late(&batch(WAIT, true), now));
    assert!(!pool.is_too_late(&batch(WAIT * 2, true), now));
    assert!(
        !pool.is_too_late(&batch(WAIT, false), now),
        "its stages have run"
    );
}

/// A suspect target gets copies only, as long as a sound one takes calls.
#[test]
fn a_suspect_target_is_relied_on_while_the_sound_one_wants_nothing() {
    let (mut state, now) = (state(2), Instant::now());
    let suspect = make_suspect(&mut state, now);
    submit(&mut state, 1, now);
    let sound = only_call(&mut state, now);
    assert_ne!(sound.target, suspect);
    turn_away(&mut state, sound, now);
    let call = only_call(&mut state, now + WAIT / 2);
    assert_eq!((call.target, call.trial), (suspect, false));
}

#[test]
fn a_target_that_leaves_gets_no_call_and_another_start_of_it_does() {
    let (mut state, now) = (state(1), Instant::now());
    submit(&mut state, 1, now);
    let call = only_call(&mut state, now);
    state.set_standing(&call, TargetAvailability::Leaving, now);
    finish(&mut state, call, CallEnd::Busy, false);
    let later = now + WAIT;
    assert!(state.due_calls(&key(), later).is_empty());
    let mut record = state.records.values().next().unwrap().clone();
    record.born += 1;
    state.update_targets(&[record], &[]);
    assert_eq!(only_call(&mut state, later).born, 1);
}

#[test]
fn a_result_that_its_maker_is_not_told_of_keeps_its_room() {
    let (mut state, now) = (state(1), Instant::now());
    submit(&mut state, 1, now);
    let call = only_call(&mut state, now);
    let handle = format!("{}/0", call.address);
    answer(&mut state, call, false);
    submit(&mut state, 1, now);
    let call = only_call(&mut state, now);
    let target = call.target.clone();
    turn_away(&mut state, call, now);
    let handles = || vec![handle.clone()];
    assert!(
        state
            .take_results(SERVICE, handles(), 1_000, now)
            .is_empty()
    );
    assert!(state.pools[&key()].targets[&target].used_bytes() > 0);
    let releases = state.take_results(SERVICE, handles(), 1_000, now + WAIT);
    assert_eq!(releases.len(), 1);
}
