//! Plays bursts against one stage pool in simulated time, without a network: what the queue hands
//! out, and what the requests get.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use linnet_directory::TargetState;
use linnet_quarantine::RequestKey;

use super::*;
use crate::piece::{PieceInput, StageWork};

const SERVICE: &str = "stage";

/// A pool whose calls of 96 pieces take 275 ms at a target, and travel 85 ms beside that: the body of
/// such a call names the inputs of each piece, 31 KB on a link of 10 Mbit/s.
const TARGETS: u16 = 19;
const BATCH: u32 = 96;
const CALL_MS: f64 = 150.0;
const PIECE_MS: f64 = 1.3;
const OUTWARD_MS: f64 = 6.0;
const OUTWARD_PIECE_MS: f64 = 0.6;
const RETURN_MS: f64 = 4.0;
const RETURN_PIECE_MS: f64 = 0.2;

/// Pieces of one request.
const PIECES: u32 = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request submits its pieces.
    Submitted,
    /// A call reaches its target.
    Reached(usize),
    /// A target has ended the call at work.
    Worked(usize),
    /// The answer to a call is back.
    Answered(usize),
    /// The time at which a call said that the next one may be sent.
    HandOver,
}

/// A target: the call at work first, then those that wait.
#[derive(Default)]
struct SimulatedTarget {
    calls: VecDeque<usize>,
}

/// What the requests of one play got.
struct BurstReport {
    /// Time from submission to the last result of each request that was done in time, in
    /// milliseconds, in order.
    times_ms: Vec<f64>,
    /// Calls that a target had no place for.
    refused_calls: u32,
}

impl BurstReport {
    fn quantile_ms(&self, part: f64) -> f64 {
        let place = (self.times_ms.len() as f64 * part) as usize;
        self.times_ms[place.min(self.times_ms.len() - 1)]
    }
}

struct BurstPlay {
    state: QueueState,
    began: Instant,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    calls: Vec<Option<DueCall>>,
    sizes: Vec<usize>,
    targets: Vec<SimulatedTarget>,
    queue: usize,
    times_ms: Rc<RefCell<Vec<f64>>>,
    /// Time since the beginning, in microseconds.
    clock: Rc<Cell<u64>>,
    refused_calls: u32,
}

fn spec(queue: u32) -> StagePool {
    StagePool {
        slots: 1,
        queue,
        batch: BATCH,
        call_ms: CALL_MS,
        piece_ms: PIECE_MS,
        result_memory_bytes: 1_000_000_000,
        result_ttl_ms: 4_000,
        cold_per_s: 0.0,
    }
}

impl BurstPlay {
    fn new(queue: u32) -> Self {
        let record = |number: u16| TargetRecord {
            version: String::new(),
            id: format!("{number}"),
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
        state.set_targets(&(0..TARGETS).map(record).collect::<Vec<_>>());
        state.specs.insert(SERVICE.to_owned(), spec(queue));
        assert!(state.pool_mut(&PoolKey::whole(SERVICE)).is_some());
        Self {
            state,
            began: Instant::now(),
            events: BinaryHeap::new(),
            calls: Vec::new(),
            sizes: Vec::new(),
            targets: (0..TARGETS).map(|_| SimulatedTarget::default()).collect(),
            queue: queue as usize,
            times_ms: Rc::default(),
            clock: Rc::default(),
            refused_calls: 0,
        }
    }

    fn at(&self, micros: u64) -> Instant {
        self.began + Duration::from_micros(micros)
    }

    fn push(&mut self, micros: u64, after_ms: f64, event: Event) {
        let due = micros + (after_ms * 1_000.0) as u64;
        self.events.push(Reverse((due, event)));
    }

    /// Offers `per_s` requests a second for `span_ms`, at even distances, and plays until all have
    /// ended.
    fn play(mut self, per_s: f64, span_ms: f64) -> BurstReport {
        let gap_ms = 1_000.0 / per_s;
        let count = (span_ms / gap_ms) as u32;
        for number in 0..count {
            self.push(0, f64::from(number) * gap_ms, Event::Submitted);
        }
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.take(now, event);
        }
        let mut times_ms = self.times_ms.take();
        assert_eq!(times_ms.len(), count as usize, "a request has no answer");
        times_ms.sort_by(f64::total_cmp);
        BurstReport {
            times_ms,
            refused_calls: self.refused_calls,
        }
    }

    fn take(&mut self, now: u64, event: Event) {
        match event {
            Event::Submitted => self.submit(now),
            Event::Reached(call) => self.reach(now, call),
            Event::Worked(target) => self.end_work(now, target),
            Event::Answered(call) => self.answer(now, call),
            Event::HandOver => {}
        }
        self.dispatch(now);
    }

    fn submit(&mut self, now: u64) {
        let batch = PieceBatch {
            number: 0,
            pool: PoolKey::whole(SERVICE),
            rank: Rank {
                account_priority: 0,
                route_priority: 0,
            },
            first: false,
            wanted_ms: 60_000,
            remaining_ms: 60_000,
            hall: None,
            homes: None,
            result_bytes: 6_000,
            key: RequestKey::default(),
            apart: false,
            work: StageWork {
                request: "request".to_owned(),
                stage: 2,
                input: PieceInput::Results(Vec::new()),
            },
            count: PIECES,
        };
        let times_ms = self.times_ms.clone();
        let clock = self.clock.clone();
        let reply: BatchReply = Box::new(move |outcomes| {
            assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
            times_ms
                .borrow_mut()
                .push((clock.get() - now) as f64 / 1_000.0);
        });
        let at = self.at(now);
        self.state.enqueue(batch, reply, at);
    }

    fn dispatch(&mut self, now: u64) {
        let at = self.at(now);
        for call in self.state.due_calls(&PoolKey::whole(SERVICE), at) {
            if let Some(handover) = call.handover {
                self.push(now, handover.as_secs_f64() * 1_000.0, Event::HandOver);
            }
            let number = self.calls.len();
            let pieces = call.pieces.len();
            self.calls.push(Some(call));
            self.sizes.push(pieces);
            let outward = OUTWARD_MS + OUTWARD_PIECE_MS * pieces as f64;
            self.push(now, outward, Event::Reached(number));
        }
    }

    fn target_of(&self, call: usize) -> usize {
        let due = self.calls[call].as_ref().expect("a call under way");
        due.target.parse().expect("a target's number")
    }

    fn reach(&mut self, now: u64, call: usize) {
        let target = self.target_of(call);
        if self.targets[target].calls.len() > self.queue {
            self.refused_calls += 1;
            self.finish(now, call, CallEnd::Busy);
            return;
        }
        self.targets[target].calls.push_back(call);
        if self.targets[target].calls.len() == 1 {
            self.begin_work(now, target, call);
        }
    }

    fn begin_work(&mut self, now: u64, target: usize, call: usize) {
        let work = CALL_MS + PIECE_MS * self.sizes[call] as f64;
        self.push(now, work, Event::Worked(target));
    }

    fn end_work(&mut self, now: u64, target: usize) {
        let call = self.targets[target]
            .calls
            .pop_front()
            .expect("a call at work");
        let back = RETURN_MS + RETURN_PIECE_MS * self.sizes[call] as f64;
        self.push(now, back, Event::Answered(call));
        if let Some(next) = self.targets[target].calls.front().copied() {
            self.begin_work(now, target, next);
        }
    }

    fn answer(&mut self, now: u64, call: usize) {
        let target = self.target_of(call);
        let made =
            (0..self.sizes[call]).map(|piece| Ok(format!("127.0.0.1:{target}/{call}.{piece}")));
        let end = CallEnd::Answered(made.collect(), None);
        self.finish(now, call, end);
    }

    fn finish(&mut self, now: u64, call: usize, end: CallEnd) {
        let at = self.at(now);
        let due = self.calls[call].take().expect("a call under way");
        let finished = self.state.finish_call(due, end, false, at);
        self.clock.set(now);
        for (reply, outcomes) in finished.replies {
            reply(outcomes);
        }
    }
}

/// 365 requests of 16 pieces a second are 5,840 pieces, 88% of what the targets make when they never
/// idle, and 113% of what they make when each waits for its next call while the answer to the last
/// one and the call travel.
#[test]
fn targets_work_on_while_calls_travel() {
    let waiting = BurstPlay::new(0).play(365.0, 6_000.0);
    let ahead = BurstPlay::new(2).play(365.0, 6_000.0);
    let (before, after) = (waiting.quantile_ms(0.9), ahead.quantile_ms(0.9));
    println!(
        "p90 of the requests: {before:.0} ms without calls sent ahead, {after:.0} ms with them"
    );
    assert!(before > 1_000.0, "{before}");
    assert!(after < 600.0, "{after}");
    assert_eq!(ahead.refused_calls, 0);
}

/// At half of that load a call that is sent ahead must not make requests wait longer.
#[test]
fn calls_sent_ahead_cost_nothing_where_targets_are_free() {
    let waiting = BurstPlay::new(0).play(180.0, 6_000.0);
    let ahead = BurstPlay::new(2).play(180.0, 6_000.0);
    let (before, after) = (waiting.quantile_ms(0.5), ahead.quantile_ms(0.5));
    println!(
        "p50 of the requests: {before:.0} ms without calls sent ahead, {after:.0} ms with them"
    );
    assert!(after < before * 1.03, "{before} {after}");
}
