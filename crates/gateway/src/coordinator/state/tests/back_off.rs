//! Stage targets that ask this host to back off, or that are shutting down.

use super::*;
use crate::target_restriction::TargetAvailability;

const WAIT: Duration = Duration::from_secs(2);

/// Ends a call that its target refused with a back-off time.
fn refuse_and_back_off(state: &mut QueueState, call: DueCall, now: Instant) -> CallEffects {
    state.set_standing(&call, TargetAvailability::BackedOff(WAIT), now);
    state.finish_call(call, CallOutcome::Busy, false, now)
}

#[test]
fn a_backed_off_target_gets_no_call_until_its_back_off_ends() {
    let (mut state, now) = (state(1), Instant::now());
    submit(&mut state, 2, now);
    let call = only_call(&mut state, now);
    let effects = refuse_and_back_off(&mut state, call, now);
    assert_eq!(
        effects.cooldown,
        Some(WAIT),
        "the pool is dispatched again after the back-off"
    );
    assert!(effects.replies.is_empty(), "the pieces stay queued");
    let nearly = now + WAIT - Duration::from_millis(1);
    assert!(state.due_calls(&key(), nearly).is_empty());
    let call = only_call(&mut state, now + WAIT);
    assert_eq!(call.pieces.len(), 2);
}

#[test]
fn pieces_refused_by_a_backed_off_target_go_to_another_one_without_a_failure() {
    let targets = 2 + MAX_FAILURES as u16;
    let (mut state, now) = (state(targets), Instant::now());
    let replies = submit(&mut state, 2, now);
    for _ in 1..targets {
        let call = only_call(&mut state, now);
        refuse_and_back_off(&mut state, call, now);
    }
    let call = only_call(&mut state, now);
    respond(&mut state, call, false);
    assert!(replies.borrow().iter().all(Result::is_ok));
}

#[test]
fn if_all_targets_are_backed_off_a_request_without_time_is_refused_and_others_wait() {
    let (mut state, now) = (state(1), Instant::now());
    submit(&mut state, 1, now);
    let call = only_call(&mut state, now);
    refuse_and_back_off(&mut state, call, now);
    let pool = &state.pools[&key()];
    let load = pool.load(now);
    assert_eq!(
        (load.targets, load.free),
        (0, 0),
        "load as reported to other hosts"
    );
    let batch = |wanted: Duration, first| {
        let mut batch = batch(1);
        batch.objective_ms = wanted.as_millis() as u64;
        batch.first_stage = first;
        batch
    };
    assert!(pool.would_miss_objective(&batch(WAIT, true), now));
    assert!(!pool.would_miss_objective(&batch(WAIT * 2, true), now));
    assert!(
        !pool.would_miss_objective(&batch(WAIT, false), now),
        "earlier stages of the request have run"
    );
}

/// An unhealthy target gets only copies of pieces as long as a healthy one accepts calls.
#[test]
fn an_unhealthy_target_is_used_while_the_healthy_one_is_backed_off() {
    let (mut state, now) = (state(2), Instant::now());
    let unhealthy = make_unhealthy(&mut state, now);
    submit(&mut state, 1, now);
    let healthy = only_call(&mut state, now);
    assert_ne!(healthy.target, unhealthy);
    refuse_and_back_off(&mut state, healthy, now);
    let call = only_call(&mut state, now + WAIT / 2);
    assert_eq!((call.target, call.trial), (unhealthy, false));
}

#[test]
fn a_leaving_target_gets_no_call_and_its_next_incarnation_does() {
    let (mut state, now) = (state(1), Instant::now());
    submit(&mut state, 1, now);
    let call = only_call(&mut state, now);
    state.set_standing(&call, TargetAvailability::Leaving, now);
    finish(&mut state, call, CallOutcome::Busy, false);
    let later = now + WAIT;
    assert!(state.due_calls(&key(), later).is_empty());
    let mut record = state.records.values().next().unwrap().clone();
    record.born += 1;
    state.update_targets(&[record], &[]);
    assert_eq!(only_call(&mut state, later).born, 1);
}

#[test]
fn a_result_whose_release_is_not_sent_keeps_its_memory() {
    let (mut state, now) = (state(1), Instant::now());
    submit(&mut state, 1, now);
    let call = only_call(&mut state, now);
    let handle = format!("{}/0", call.address);
    respond(&mut state, call, false);
    submit(&mut state, 1, now);
    let call = only_call(&mut state, now);
    let target = call.target.clone();
    refuse_and_back_off(&mut state, call, now);
    let handles = || vec![handle.clone()];
    assert!(
        state
            .remove_results(SERVICE, handles(), 1_000, now)
            .is_empty()
    );
    assert!(state.pools[&key()].targets[&target].used_bytes() > 0);
    let releases = state.remove_results(SERVICE, handles(), 1_000, now + WAIT);
    assert_eq!(releases.len(), 1);
}
