mod asked;
mod burst;
mod ended;

use std::cell::RefCell;

use linnet_directory::TargetState;
use linnet_quarantine::RequestKey;

use super::*;
use crate::load::ReportedLoad;
use crate::piece::{PieceInput, StageWork};

const SERVICE: &str = "stage";

type Replied = Rc<RefCell<Vec<PieceOutcome>>>;

fn spec() -> StagePool {
    StagePool {
        slots: 1,
        queue: 0,
        batch: 8,
        call_ms: 150.0,
        piece_ms: 16.0,
        result_memory_bytes: 1_000_000,
        result_ttl_ms: 4_000,
        cold_per_s: 0.0,
    }
}

/// A coordinator's state with so many targets in one pool.
fn state(targets: u16) -> QueueState {
    let record = |number: u16| TargetRecord {
        version: String::new(),
        id: format!("t-{number}"),
        born: 0,
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        hall: "hall".to_owned(),
        slots: 1,
        state: TargetState::Ready,
        sequence: 1,
        silent: false,
        cold_ms: 0,
    };
    let mut state = QueueState::default();
    state.set_targets(&(0..targets).map(record).collect::<Vec<_>>());
    state.specs.insert(SERVICE.to_owned(), spec());
    state
}

fn key() -> PoolKey {
    PoolKey::whole(SERVICE)
}

fn batch(pieces: u32) -> PieceBatch {
    PieceBatch {
        number: 0,
        pool: key(),
        rank: Rank {
            account_priority: 0,
            route_priority: 0,
        },
        first: true,
        wanted_ms: 1_000,
        remaining_ms: 8_000,
        hall: None,
        homes: None,
        result_bytes: 1_000,
        key: RequestKey::default(),
        apart: false,
        work: StageWork {
            request: "request".to_owned(),
            stage: 0,
            input: PieceInput::Key("key".to_owned()),
        },
        count: pieces,
    }
}

/// Lets the pieces of one request wait.
fn submit(state: &mut QueueState, pieces: u32, now: Instant) -> Replied {
    let batch = batch(pieces);
    let replied: Replied = Rc::default();
    let sink = replied.clone();
    let reply: BatchReply = Box::new(move |outcomes| *sink.borrow_mut() = outcomes);
    assert!(state.pool_mut(&key()).is_some());
    state.enqueue(batch, reply, now);
    replied
}

/// Ends a call as if its target had made every piece; returns results that nobody wants.
fn answer(state: &mut QueueState, call: DueCall, late: bool) -> Vec<String> {
    let made = (0..call.pieces.len()).map(|piece| {
        let trial = if call.trial { "trial-" } else { "" };
        Ok(format!("{}/{trial}{piece}", call.address))
    });
    let made = CallEnd::Answered(made.collect(), None);
    finish(state, call, made, late)
}

fn finish(state: &mut QueueState, call: DueCall, end: CallEnd, late: bool) -> Vec<String> {
    let finished = state.finish_call(call, end, late, Instant::now());
    for (reply, outcomes) in finished.replies {
        reply(outcomes);
    }
    finished.unclaimed
}

fn only_call(state: &mut QueueState, now: Instant) -> DueCall {
    let mut due = state.due_calls(&key(), now);
    assert_eq!(due.len(), 1, "calls that are due");
    due.remove(0)
}

/// Makes the first target suspect: its call is late, and its pieces were made elsewhere meanwhile.
fn make_suspect(state: &mut QueueState, now: Instant) -> String {
    let replied = submit(state, 2, now);
    let slow = only_call(state, now);
    state.note_late(&slow, now + Duration::from_secs(1), now);
    let quick = only_call(state, now);
    assert_ne!(slow.target, quick.target);
    assert!(answer(state, quick, false).is_empty());
    assert_eq!(replied.borrow().len(), 2);
    let suspect = slow.target.clone();
    assert_eq!(answer(state, slow, true).len(), 2, "results made twice");
    suspect
}

#[test]
fn the_pieces_of_a_late_call_go_to_another_target_and_the_first_results_count() {
    let (mut state, now) = (state(2), Instant::now());
    make_suspect(&mut state, now);
}

#[test]
fn a_late_call_that_ends_first_after_all_takes_its_copies_out_of_the_queue() {
    let (mut state, now) = (state(2), Instant::now());
    let replied = submit(&mut state, 2, now);
    let slow = only_call(&mut state, now);
    let busy = submit(&mut state, 1, now);
    let other = only_call(&mut state, now);
    state.note_late(&slow, now + Duration::from_secs(1), now);
    assert!(answer(&mut state, slow, true).is_empty());
    assert_eq!(replied.borrow().len(), 2);
    answer(&mut state, other, false);
    assert_eq!(busy.borrow().len(), 1);
    assert!(state.due_calls(&key(), now).is_empty());
    assert!(state.pools[&key()].waiting.is_empty());
}

#[test]
fn a_suspect_target_gets_only_a_copy_until_it_answers_one_in_time() {
    let (mut state, now) = (state(2), Instant::now());
    let suspect = make_suspect(&mut state, now);
    let load = state.load(&key(), &state.pools[&key()], now);
    assert_eq!(load.targets, 1, "a suspect target is not counted on");

    let replied = submit(&mut state, 3, now);
    let sound = only_call(&mut state, now);
    assert_ne!(sound.target, suspect, "it rests at first");
    answer(&mut state, sound, false);
    assert_eq!(replied.borrow().len(), 3);

    let rested = now + Duration::from_secs(2);
    let replied = submit(&mut state, 3, rested);
    let (trials, calls): (Vec<DueCall>, Vec<DueCall>) = {
        let due = state.due_calls(&key(), rested).into_iter();
        due.partition(|call| call.trial)
    };
    assert_eq!((trials.len(), calls.len()), (1, 1));
    assert_eq!(trials[0].target, suspect);
    assert_eq!((trials[0].pieces.len(), calls[0].pieces.len()), (1, 3));
    for call in calls {
        answer(&mut state, call, false);
    }
    assert_eq!(replied.borrow().len(), 3, "no request waits for the trial");
    for trial in trials {
        assert_eq!(answer(&mut state, trial, false).len(), 1);
    }
    let load = state.load(&key(), &state.pools[&key()], rested);
    assert_eq!(load.targets, 2);
}

#[test]
fn where_every_target_is_suspect_all_are_used_and_late_pieces_are_not_doubled() {
    let (mut state, now) = (state(1), Instant::now());
    let replied = submit(&mut state, 1, now);
    let slow = only_call(&mut state, now);
    state.note_late(&slow, now + Duration::from_secs(1), now);
    assert!(state.pools[&key()].waiting.is_empty());
    answer(&mut state, slow, true);
    assert_eq!(replied.borrow().len(), 1);
    let rested = now + Duration::from_secs(2);
    submit(&mut state, 2, rested);
    let call = only_call(&mut state, rested);
    assert!(!call.trial);
}

#[test]
fn a_piece_whose_copies_all_fail_is_tried_so_often_and_no_more() {
    let (mut state, mut now) = (state(1), Instant::now());
    let replied = submit(&mut state, 1, now);
    for _ in 0..MAX_TRIES {
        assert!(replied.borrow().is_empty());
        let call = only_call(&mut state, now);
        finish(&mut state, call, CallEnd::Failed("reset".to_owned()), false);
        now += Duration::from_secs(1);
    }
    assert_eq!(*replied.borrow(), [Err(PieceFault::Failed)]);
    assert!(state.due_calls(&key(), now).is_empty());
}

#[test]
fn a_target_that_is_a_little_slower_than_the_others_is_not_late() {
    let (mut state, now) = (state(1), Instant::now());
    let first = {
        submit(&mut state, 1, now);
        only_call(&mut state, now)
    };
    let patience = first.patience;
    state.finish_call(first, CallEnd::Busy, false, Instant::now());
    let pool = state.pools.get_mut(&key()).unwrap();
    let target = pool.targets.get_mut("t-0").unwrap();
    let usual = Duration::from_millis(166);
    for _ in 0..20 {
        target.learn_pace(usual, usual.mul_f64(1.4));
    }
    let patience_of = |target: &StageTarget| target.patience(usual, usual, now);
    assert!(patience_of(target) > patience);
    assert!(patience_of(target) > usual.mul_f64(1.4 * 1.25));
    for _ in 0..20 {
        target.learn_pace(usual, usual * 8);
    }
    assert!(patience_of(target) < usual * 3, "a slow spell is not usual");
}

#[test]
fn a_call_that_waits_behind_those_of_another_host_is_not_late_so_soon() {
    let (mut state, now) = (state(1), Instant::now());
    submit(&mut state, 1, now);
    let first = only_call(&mut state, now);
    let alone = first.patience;
    let made = vec![Ok("127.0.0.1:1000/a".to_owned())];
    let load = Some(ReportedLoad {
        running: 1,
        waiting: 0,
    });
    finish(&mut state, first, CallEnd::Answered(made, load), false);
    submit(&mut state, 1, now);
    let shared = only_call(&mut state, now);
    let full_call = Duration::from_millis(150 + 8 * 16);
    assert!(shared.patience > alone + full_call.mul_f64(0.9));
    let later = now + Duration::from_secs(5);
    state.finish_call(shared, CallEnd::Busy, false, Instant::now());
    let pool = &state.pools[&key()];
    let usual = Duration::from_millis(166);
    let patience = pool.targets["t-0"].patience(usual, full_call, later);
    assert!(patience < alone.mul_f64(1.1), "what was told long ago");
}

#[test]
fn a_lost_sender_says_nothing_of_the_target_and_its_pieces_are_due_again_at_once() {
    let (mut state, now) = (state(1), Instant::now());
    let replied = submit(&mut state, 2, now);
    let call = only_call(&mut state, now);
    let reserved = call.reserved;
    finish(&mut state, call, CallEnd::SenderLost, false);
    let target = &state.pools[&key()].targets["t-0"];
    // The target may have made them all the same, and nobody knows their handles.
    assert_eq!(target.used_bytes(), reserved);
    let again = only_call(&mut state, Instant::now());
    assert_eq!((again.target.as_str(), again.trial), ("t-0", false));
    answer(&mut state, again, false);
    assert_eq!(replied.borrow().len(), 2);
}
