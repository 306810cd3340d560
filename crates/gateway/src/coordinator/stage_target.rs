//! One target of a stage pool: its calls, its memory, and whether it answers in time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_routing::StagePool;

use super::held::{HeldKey, HeldResults};
use crate::cold::{ColdRate, SendWindow};
use crate::load::ReportedLoad;
use crate::piece::TargetUse;
use crate::target_restriction::TargetAvailability;

/// How long a target rests after a call that failed or was late.
const FAILED_REST: Duration = Duration::from_millis(400);

/// How long a target rests after it was too busy for a call; doubled with each in a row, since it may
/// be that many hosts gather pieces at the same time.
const BUSY_REST: Duration = Duration::from_millis(40);
const MAX_BUSY_DOUBLINGS: u32 = 4;

/// How long bytes that results of others take are taken into account.
const OTHERS_SPAN: Duration = Duration::from_millis(400);

/// How much longer than usual a call may take before its pieces are also given to other targets, as
/// a factor and a span. Calls of sound targets end within 1.2 times.
const LATE_FACTOR: f64 = 1.3;
const LATE_SLACK: Duration = Duration::from_millis(40);

/// How long a load that a target told counts.
const LOAD_KEPT: Duration = Duration::from_millis(1_500);

/// Bounds of the time by which a call is sent ahead of the end of the one at work. What a call takes beside
/// its work is 20 ms with few pieces and 85 ms with 96 that name eight results each (measured on
/// links of 10 Mbit/s); less is not worth a timer, and what a target takes longer than that is
/// slowness of its own, in which nothing should wait.
const LEAST_LEAD: Duration = Duration::from_millis(8);
const MOST_LEAD: Duration = Duration::from_millis(120);

/// Weight of a new observation of a target's pace, and the bounds of what one says.
const PACE_GAIN: f64 = 0.2;
const LEAST_PACE: f64 = 0.7;
const MOST_PACE: f64 = 1.6;

/// How a call ended, as its target's state takes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallVerdict {
    /// It was answered within the time that the call was given.
    InTime,
    /// It was answered later than that.
    Late,
    /// The target did not run it and is busy.
    Busy,
    /// Another start of a target is at the address.
    OtherTarget,
    /// There is no usable answer.
    Failed,
}

/// A target of a stage pool.
pub(super) struct StageTarget {
    /// When this start of it began.
    pub(super) born: u64,
    pub(super) address: SocketAddr,
    pub(super) hall: String,
    /// The version of its software; empty where it is not known.
    pub(super) version: String,
    /// Calls of this host that are at work there.
    pub(super) busy: u32,
    /// Bytes that the results of those calls will take.
    pub(super) reserved: u64,
    pub(super) results: HeldResults,
    rest_until: Option<Instant>,
    /// Until when it wants nothing from this host.
    backed_off_until: Option<Instant>,
    /// Whether it said in an answer that it leaves.
    leaving: bool,
    /// When its calls are expected to end.
    pub(super) busy_until: Instant,
    /// When the next call may be sent although one is at work.
    handover_at: Option<Instant>,
    /// How long the call that was sent ahead takes once it is at work.
    next_work: Duration,
    /// When the call of another host that gathers for the pool is expected to end.
    taken_until: Option<Instant>,
    /// Calls in a row for which it was too busy.
    refusals: u32,
    /// Whether its last call failed or was late. Until one is answered in time it gets only copies of
    /// pieces that other targets run as well.
    pub(super) suspect: bool,
    /// Calls of other hosts that it had when it answered last, and when that was.
    others: Option<(u32, Instant)>,
    /// How long its calls take against what the pool's settings say.
    pace: f64,
    /// Whether it is in the list of targets that take work. One that is not stays until its calls at
    /// work have ended. It may be listed again meanwhile: control hosts that were started anew know
    /// no target until its next heartbeat.
    pub(super) listed: bool,
    /// Whether another start is at its address, which is for good.
    replaced: bool,
    cold_until: Option<Instant>,
    /// Calls that it got lately while it was cold.
    cold_sent: SendWindow,
}

impl StageTarget {
    pub(super) fn new(record: &TargetRecord) -> Self {
        Self {
            born: record.born,
            address: record.address,
            hall: record.hall.clone(),
            version: record.version.clone(),
            busy: 0,
            reserved: 0,
            results: HeldResults::default(),
            rest_until: None,
            backed_off_until: None,
            leaving: false,
            busy_until: Instant::now(),
            handover_at: None,
            next_work: Duration::ZERO,
            taken_until: None,
            refusals: 0,
            suspect: false,
            others: None,
            pace: 1.0,
            listed: true,
            replaced: false,
            cold_until: None,
            cold_sent: SendWindow::default(),
        }
    }

    /// Takes how much longer it is cold.
    pub(super) fn set_cold(&mut self, cold_ms: u32, now: Instant) {
        self.cold_until = (cold_ms > 0).then(|| now + Duration::from_millis(u64::from(cold_ms)));
    }

    fn is_closed_by_cold(&self, spec: &StagePool, now: Instant) -> bool {
        let is_cold = self.cold_until.is_some_and(|until| until > now);
        let rate = ColdRate::new(spec.cold_per_s).filter(|_| is_cold);
        rate.is_some_and(|rate| !self.cold_sent.has_room(rate, now))
    }

    pub(super) fn used_bytes(&self) -> u64 {
        self.results.bytes() + self.reserved
    }

    /// Notes bytes that results of others take. They go at a time that is not known, so what is
    /// noted lasts a short while only.
    pub(super) fn set_others(&mut self, bytes: u64, now: Instant) {
        self.results
            .insert(HeldKey::Others, bytes, now + OTHERS_SPAN);
    }

    pub(super) fn rests(&self, now: Instant) -> bool {
        let lasts = |until: Option<Instant>| until.is_some_and(|until| until > now);
        lasts(self.rest_until) || self.wants_nothing(now)
    }

    /// Says whether it has asked this host for a time without requests.
    pub(super) fn wants_nothing(&self, now: Instant) -> bool {
        self.backed_off_until.is_some_and(|until| until > now)
    }

    /// Returns how long it wants nothing more from this host.
    pub(super) fn back_off_left(&self, now: Instant) -> Duration {
        let until = self.backed_off_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Takes what it asked of this host.
    pub(super) fn set_standing(&mut self, standing: TargetAvailability, now: Instant) {
        self.leaving = standing == TargetAvailability::Leaving;
        self.backed_off_until = match standing {
            TargetAvailability::BackedOff(left) | TargetAvailability::RateLimited(left) => {
                Some(now + left)
            }
            TargetAvailability::Open | TargetAvailability::Leaving => None,
        };
    }

    /// Says whether it takes a call now: one of its slots is free, or will be when the call is there.
    pub(super) fn is_free(&self, spec: &StagePool, now: Instant) -> bool {
        let taken = self.taken_until.is_some_and(|until| until > now);
        let has_place = self.busy < spec.slots || self.takes_next(spec, now);
        let closed = self.is_closed_by_cold(spec, now);
        self.takes_calls() && !self.rests(now) && !taken && has_place && !closed
    }

    /// Says whether the call at work ends soon enough for the next one to be sent. Only one call is sent
    /// ahead, and only to a target with one slot: with more it is not known which call ends first.
    fn takes_next(&self, spec: &StagePool, now: Instant) -> bool {
        let is_due = self.handover_at.is_some_and(|at| at <= now);
        is_due && spec.slots == 1 && spec.queue > 0 && self.busy == 1 && !self.suspect
    }

    /// Counts a call that is sent now and should take `expected`; says after which time the next one may
    /// follow, where that is before its end.
    pub(super) fn begin_call(
        &mut self,
        expected: Duration,
        spec: &StagePool,
        now: Instant,
    ) -> Option<Duration> {
        if let Some(rate) = ColdRate::new(spec.cold_per_s) {
            self.cold_sent.note(rate, now);
        }
        self.busy += 1;
        if self.busy > 1 {
            // Its way is covered by the work of the call before.
            self.next_work = expected;
            self.busy_until = self.busy_until.max(now) + expected;
        } else {
            self.busy_until = now + self.usual(expected);
        }
        self.handover_at = self.handover_of(expected);
        let handover = self.handover_at?;
        Some(handover.saturating_duration_since(now))
    }

    /// Returns when the call after one that should take `expected`, and ends last, may be sent.
    fn handover_of(&self, expected: Duration) -> Option<Instant> {
        let lead = self.usual(expected).saturating_sub(expected);
        let lead = Some(lead.min(MOST_LEAD)).filter(|lead| *lead >= LEAST_LEAD)?;
        self.busy_until.checked_sub(lead)
    }

    /// Says whether it may get calls at all.
    pub(super) fn takes_calls(&self) -> bool {
        self.listed && !self.replaced && !self.leaving
    }

    /// Returns how long a call that should take `expected` usually takes here.
    pub(super) fn usual(&self, expected: Duration) -> Duration {
        expected.mul_f64(self.pace)
    }

    /// Returns how long such a call may take before it counts as late, if it is sent now. The call at work
    /// goes first. Where another host calls the target as well, its calls do too; each takes up to
    /// `longest`.
    pub(super) fn patience(&self, expected: Duration, longest: Duration, now: Instant) -> Duration {
        let at_work = match self.busy {
            0 => Duration::ZERO,
            _ => self.busy_until.saturating_duration_since(now),
        };
        let waits = self.usual(longest) * self.calls_of_others(now) + at_work;
        (self.usual(expected) + waits).mul_f64(LATE_FACTOR) + LATE_SLACK
    }

    fn calls_of_others(&self, now: Instant) -> u32 {
        let lately = self.others.filter(|(_, at)| *at + LOAD_KEPT > now);
        lately.map_or(0, |(calls, _)| calls)
    }

    /// Takes the load that the target told with the answer to a call which has ended.
    pub(super) fn note_load(&mut self, load: Option<ReportedLoad>, now: Instant) {
        let calls = load.map(|load| load.running + load.waiting);
        self.others = calls.map(|calls| (calls.saturating_sub(self.busy), now));
    }

    /// Notes that a call is late; it is waited for until `until`.
    pub(super) fn note_late(&mut self, until: Instant) {
        self.suspect = true;
        self.busy_until = until;
    }

    /// Takes the end of a call for which `reserved` bytes were kept; says how long the target rests.
    /// Without a verdict nothing is learned of it.
    pub(super) fn end_call(
        &mut self,
        verdict: Option<CallVerdict>,
        reserved: u64,
        now: Instant,
    ) -> Option<Duration> {
        self.busy = self.busy.saturating_sub(1);
        self.reserved = self.reserved.saturating_sub(reserved);
        self.handover_at = None;
        if self.busy > 0 {
            // The call that was sent ahead is at work from now on.
            self.busy_until = now + self.next_work;
            self.handover_at = self.handover_of(self.next_work);
        }
        let verdict = verdict?;
        let rest = match verdict {
            CallVerdict::InTime | CallVerdict::OtherTarget => None,
            CallVerdict::Late | CallVerdict::Failed => Some(FAILED_REST),
            CallVerdict::Busy => Some(BUSY_REST * 2_u32.pow(self.refusals.min(MAX_BUSY_DOUBLINGS))),
        };
        match verdict {
            CallVerdict::InTime => self.suspect = false,
            CallVerdict::Late | CallVerdict::Failed => self.suspect = true,
            CallVerdict::OtherTarget => self.replaced = true,
            CallVerdict::Busy => {}
        }
        self.refusals = match verdict {
            CallVerdict::Busy => self.refusals + 1,
            _ => 0,
        };
        if let Some(rest) = rest {
            self.rest_until = Some(now + rest);
        }
        rest
    }

    /// Learns from the time that an answered call took.
    pub(super) fn learn_pace(&mut self, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let seen = (took.as_secs_f64() / expected.as_secs_f64()).clamp(LEAST_PACE, MOST_PACE);
        self.pace += (seen - self.pace) * PACE_GAIN;
    }

    /// Returns what this host uses here. What it was told of others is theirs to tell.
    pub(super) fn own_use(&self, id: &str, ttl: Duration, now: Instant) -> TargetUse {
        let (held, last) = self.results.own();
        let mut until = last.unwrap_or(now).max(now);
        if self.reserved > 0 {
            until = until.max(now + ttl);
        }
        let busy = if self.busy > 0 {
            self.busy_until.saturating_duration_since(now)
        } else {
            Duration::ZERO
        };
        TargetUse {
            target: id.to_owned(),
            bytes: held + self.reserved,
            lasts_ms: until.saturating_duration_since(now).as_millis() as u32,
            busy_ms: busy.as_millis() as u32,
        }
    }

    /// Takes what another host uses here, in place of what it told before.
    pub(super) fn set_use(&mut self, teller: &str, told: Option<&TargetUse>, now: Instant) {
        let key = HeldKey::Told(teller.to_owned());
        self.results.remove(&key);
        self.taken_until = None;
        let Some(told) = told else {
            return;
        };
        self.taken_until = Some(now + Duration::from_millis(u64::from(told.busy_ms)));
        if told.bytes > 0 {
            let until = now + Duration::from_millis(u64::from(told.lasts_ms));
            self.results.insert(key, told.bytes, until);
        }
    }
}
