//! One target of a stage pool: its calls, its memory, and its health.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnet_directory::TargetRecord;
use linnet_routing::StagePool;

use super::result_memory::{MemoryKey, ResultMemory};
use crate::cold::{ColdRate, SendWindow};
use crate::piece::TargetUsage;
use crate::reported_load::ReportedLoad;
use crate::target_restriction::TargetAvailability;

/// Cooldown of a target after a call that failed or was late.
const FAILURE_COOLDOWN: Duration = Duration::from_millis(400);

/// Cooldown of a target after it refused a call as busy. It doubles with each such call in a row,
/// since many hosts may be sending it calls at the same time.
const BUSY_COOLDOWN: Duration = Duration::from_millis(40);
const MAX_BUSY_DOUBLINGS: u32 = 4;

/// How long an estimate of the memory used by unreported results of other hosts is valid.
const UNREPORTED_TTL: Duration = Duration::from_millis(400);

/// Time after which the pieces of a call are also sent to other targets: a factor of the typical
/// duration plus a fixed slack. Calls of healthy targets end within 1.2 times the typical duration.
const LATE_FACTOR: f64 = 1.3;
const LATE_SLACK: Duration = Duration::from_millis(40);

/// How long the load that a target reported is valid.
const LOAD_TTL: Duration = Duration::from_millis(1_500);

/// Bounds of the time by which a call is sent before the end of the running one. The overhead of a
/// call beside its work is 20 ms with few pieces and 85 ms with 96 pieces that name eight results
/// each (measured on links of 10 Mbit/s). A lead below the minimum is not worth a timer. An
/// overhead above the maximum means that the target itself is slow, and no call should wait at a
/// slow target.
const MIN_LEAD: Duration = Duration::from_millis(8);
const MAX_LEAD: Duration = Duration::from_millis(120);

/// Weight of a new sample of a target's time ratio, and the bounds to which a sample is clamped.
const TIME_RATIO_GAIN: f64 = 0.2;
const MIN_TIME_RATIO: f64 = 0.7;
const MAX_TIME_RATIO: f64 = 1.6;

/// The outcome of a call as far as it concerns the state of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallVerdict {
    /// A response arrived in time.
    InTime,
    /// A response arrived after the call had counted as late.
    Late,
    /// The target was busy and did not run the call.
    Busy,
    /// Another target incarnation has the address.
    OtherTarget,
    /// There was no usable response.
    Failed,
}

pub(super) struct StageTarget {
    /// Start time of this incarnation of the target.
    pub(super) born: u64,
    pub(super) address: SocketAddr,
    pub(super) hall: String,
    /// The version of its software; empty if unknown.
    pub(super) version: String,
    /// Calls of this host that are running there.
    pub(super) running: u32,
    /// Bytes that the results of those calls will take.
    pub(super) reserved_bytes: u64,
    pub(super) results: ResultMemory,
    cooldown_until: Option<Instant>,
    /// When the target accepts requests of this host again, after a back-off or because of its rate
    /// limit.
    backed_off_until: Option<Instant>,
    /// Whether the target announced in a response that it is shutting down.
    leaving: bool,
    /// When the calls of this host at the target are expected to end.
    pub(super) busy_until: Instant,
    /// When the next call may be sent although one is running.
    next_call_at: Option<Instant>,
    /// Expected duration of the overlapping call once it runs.
    overlapping_duration: Duration,
    /// When the call of another coordinator of the pool is expected to end.
    peer_busy_until: Option<Instant>,
    /// Number of calls in a row that the target refused as busy.
    busy_streak: u32,
    /// Number of calls in a row that were late.
    late_streak: u32,
    /// Whether the last call failed or was late. Until the target responds to a call in time, it
    /// gets only copies of pieces that other targets run as well.
    pub(super) unhealthy: bool,
    /// Number of calls of other hosts at the target's last response, and the time of that response.
    peer_calls: Option<(u32, Instant)>,
    /// Ratio of the typical duration of calls at the target to the expected one.
    time_ratio: f64,
    /// Whether the target is in the list of targets that accept work. An unlisted target is removed
    /// once its running calls have ended. It may be listed again meanwhile: restarted control hosts
    /// know no target until its next heartbeat.
    pub(super) listed: bool,
    /// Whether another target incarnation has taken over the address. Once set, this stays set.
    replaced: bool,
    cold_until: Option<Instant>,
    /// Calls that the target got recently, to limit them while it is cold.
    cold_window: SendWindow,
}

impl StageTarget {
    pub(super) fn new(record: &TargetRecord) -> Self {
        Self {
            born: record.born,
            address: record.address,
            hall: record.hall.clone(),
            version: record.version.clone(),
            running: 0,
            reserved_bytes: 0,
            results: ResultMemory::default(),
            cooldown_until: None,
            backed_off_until: None,
            leaving: false,
            busy_until: Instant::now(),
            next_call_at: None,
            overlapping_duration: Duration::ZERO,
            peer_busy_until: None,
            busy_streak: 0,
            late_streak: 0,
            unhealthy: false,
            peer_calls: None,
            time_ratio: 1.0,
            listed: true,
            replaced: false,
            cold_until: None,
            cold_window: SendWindow::default(),
        }
    }

    /// Sets for how much longer the target is cold.
    pub(super) fn set_cold(&mut self, cold_ms: u32, now: Instant) {
        self.cold_until = (cold_ms > 0).then(|| now + Duration::from_millis(u64::from(cold_ms)));
    }

    fn is_cold_limited(&self, spec: &StagePool, now: Instant) -> bool {
        let is_cold = self.cold_until.is_some_and(|until| until > now);
        let rate = ColdRate::new(spec.cold_per_s).filter(|_| is_cold);
        rate.is_some_and(|rate| !self.cold_window.allows_send(rate, now))
    }

    pub(super) fn used_bytes(&self) -> u64 {
        self.results.bytes() + self.reserved_bytes
    }

    /// Records bytes that results of other hosts take. They are released at an unknown time, so the
    /// record is kept for a short time only.
    pub(super) fn set_unreported(&mut self, bytes: u64, now: Instant) {
        self.results
            .insert(MemoryKey::Unreported, bytes, now + UNREPORTED_TTL);
    }

    pub(super) fn is_paused(&self, now: Instant) -> bool {
        let is_in_future = |until: Option<Instant>| until.is_some_and(|until| until > now);
        is_in_future(self.cooldown_until) || self.is_backed_off(now)
    }

    /// Returns whether the target accepts no requests of this host now, because of a back-off or
    /// its rate limit.
    pub(super) fn is_backed_off(&self, now: Instant) -> bool {
        self.backed_off_until.is_some_and(|until| until > now)
    }

    /// Returns the time until the target accepts requests of this host again.
    pub(super) fn remaining_back_off(&self, now: Instant) -> Duration {
        let until = self.backed_off_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Applies the availability of the target for requests of this host.
    pub(super) fn set_standing(&mut self, standing: TargetAvailability, now: Instant) {
        self.leaving = standing == TargetAvailability::Leaving;
        self.backed_off_until = match standing {
            TargetAvailability::BackedOff(left) | TargetAvailability::RateLimited(left) => {
                Some(now + left)
            }
            TargetAvailability::Open | TargetAvailability::Leaving => None,
        };
    }

    /// Returns whether the target can get a call now: one of its slots is free, or will be when the
    /// call arrives.
    pub(super) fn is_free(&self, spec: &StagePool, now: Instant) -> bool {
        let peer_busy = self.peer_busy_until.is_some_and(|until| until > now);
        let has_slot = self.running < spec.slots || self.accepts_early_call(spec, now);
        let cold_limited = self.is_cold_limited(spec, now);
        self.accepts_calls() && !self.is_paused(now) && !peer_busy && has_slot && !cold_limited
    }

    /// Returns whether the running call ends soon enough for the next one to be sent. Only one call
    /// is sent early, and only to a target with one slot: with more slots it is unknown which call
    /// ends first.
    fn accepts_early_call(&self, spec: &StagePool, now: Instant) -> bool {
        let is_due = self.next_call_at.is_some_and(|at| at <= now);
        is_due && spec.slots == 1 && spec.queue > 0 && self.running == 1 && !self.unhealthy
    }

    /// Counts a call that is sent now and should take `expected`. Returns the time after which the
    /// next call may be sent, if that is before the end of this one.
    pub(super) fn begin_call(
        &mut self,
        expected: Duration,
        spec: &StagePool,
        now: Instant,
    ) -> Option<Duration> {
        if let Some(rate) = ColdRate::new(spec.cold_per_s) {
            self.cold_window.record_send(rate, now);
        }
        self.running += 1;
        if self.running > 1 {
            // Its transfer time overlaps with the work of the call before it.
            self.overlapping_duration = expected;
            self.busy_until = self.busy_until.max(now) + expected;
        } else {
            self.busy_until = now + self.typical_duration(expected);
        }
        self.next_call_at = self.next_call_time(expected);
        let next_call_after = self.next_call_at?;
        Some(next_call_after.saturating_duration_since(now))
    }

    /// Returns when the next call may be sent after the last one, which should take `expected`;
    /// `None` if not before its end.
    fn next_call_time(&self, expected: Duration) -> Option<Instant> {
        let lead = self.typical_duration(expected).saturating_sub(expected);
        let lead = Some(lead.min(MAX_LEAD)).filter(|lead| *lead >= MIN_LEAD)?;
        self.busy_until.checked_sub(lead)
    }

    /// Returns whether the target accepts calls at all.
    pub(super) fn accepts_calls(&self) -> bool {
        self.listed && !self.replaced && !self.leaving
    }

    /// Returns the typical duration here of a call that should take `expected`.
    pub(super) fn typical_duration(&self, expected: Duration) -> Duration {
        expected.mul_f64(self.time_ratio)
    }

    /// Returns the time after which a call that should take `expected` counts as late, if it is
    /// sent now. The running call goes first. Recent calls of other hosts at the target go first as
    /// well, and each takes up to `longest`.
    pub(super) fn late_after(
        &self,
        expected: Duration,
        longest: Duration,
        now: Instant,
    ) -> Duration {
        let remaining = match self.running {
            0 => Duration::ZERO,
            _ => self.busy_until.saturating_duration_since(now),
        };
        let waits = self.typical_duration(longest) * self.recent_peer_calls(now) + remaining;
        (self.typical_duration(expected) + waits).mul_f64(LATE_FACTOR) + LATE_SLACK
    }

    fn recent_peer_calls(&self, now: Instant) -> u32 {
        let recent = self.peer_calls.filter(|(_, at)| *at + LOAD_TTL > now);
        recent.map_or(0, |(calls, _)| calls)
    }

    /// Records the load that the target reported with the response to a call, which is no longer
    /// counted as running.
    pub(super) fn record_load(&mut self, load: Option<ReportedLoad>, now: Instant) {
        let calls = load.map(|load| load.calls());
        self.peer_calls = calls.map(|calls| (calls.saturating_sub(self.running), now));
    }

    /// Returns whether other hosts had calls at the target when it responded to a call that is still
    /// counted as running.
    pub(super) fn serves_peers(&self, load: Option<ReportedLoad>) -> bool {
        let own = self.running.saturating_sub(1);
        load.is_some_and(|load| load.calls() > own)
    }

    /// Counts a call that got a response; returns how many in a row were late.
    pub(super) fn count_late(&mut self, late: bool) -> u32 {
        self.late_streak = if late { self.late_streak + 1 } else { 0 };
        self.late_streak
    }

    /// Marks the target as unhealthy since a call is late; the call is awaited until `until`.
    pub(super) fn mark_late(&mut self, until: Instant) {
        self.unhealthy = true;
        self.busy_until = until;
    }

    /// Applies the end of a call that had `reserved_bytes` reserved; returns the cooldown of the
    /// target. Without a verdict, the health and the cooldown of the target stay as they are.
    pub(super) fn end_call(
        &mut self,
        verdict: Option<CallVerdict>,
        reserved_bytes: u64,
        now: Instant,
    ) -> Option<Duration> {
        self.running = self.running.saturating_sub(1);
        self.reserved_bytes = self.reserved_bytes.saturating_sub(reserved_bytes);
        self.next_call_at = None;
        if self.running > 0 {
            // The overlapping call runs from now on.
            self.busy_until = now + self.overlapping_duration;
            self.next_call_at = self.next_call_time(self.overlapping_duration);
        }
        let verdict = verdict?;
        let cooldown = match verdict {
            CallVerdict::InTime | CallVerdict::OtherTarget => None,
            CallVerdict::Late | CallVerdict::Failed => Some(FAILURE_COOLDOWN),
            CallVerdict::Busy => {
                Some(BUSY_COOLDOWN * 2_u32.pow(self.busy_streak.min(MAX_BUSY_DOUBLINGS)))
            }
        };
        match verdict {
            CallVerdict::InTime => self.unhealthy = false,
            CallVerdict::Late | CallVerdict::Failed => self.unhealthy = true,
            CallVerdict::OtherTarget => self.replaced = true,
            CallVerdict::Busy => {}
        }
        self.busy_streak = match verdict {
            CallVerdict::Busy => self.busy_streak + 1,
            _ => 0,
        };
        if let Some(cooldown) = cooldown {
            self.cooldown_until = Some(now + cooldown);
        }
        cooldown
    }

    /// Updates the time ratio with the duration of a call that got a response.
    pub(super) fn update_time_ratio(&mut self, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let sample =
            (took.as_secs_f64() / expected.as_secs_f64()).clamp(MIN_TIME_RATIO, MAX_TIME_RATIO);
        self.time_ratio += (sample - self.time_ratio) * TIME_RATIO_GAIN;
    }

    /// Returns this host's usage of the target. Usage reported by other hosts is not included,
    /// since they report it themselves.
    pub(super) fn own_usage(&self, id: &str, ttl: Duration, now: Instant) -> TargetUsage {
        let (own_bytes, last) = self.results.own_usage();
        let mut until = last.unwrap_or(now).max(now);
        if self.reserved_bytes > 0 {
            until = until.max(now + ttl);
        }
        let busy = if self.running > 0 {
            self.busy_until.saturating_duration_since(now)
        } else {
            Duration::ZERO
        };
        TargetUsage {
            target: id.to_owned(),
            result_bytes: own_bytes + self.reserved_bytes,
            expires_in_ms: until.saturating_duration_since(now).as_millis() as u32,
            busy_for_ms: busy.as_millis() as u32,
        }
    }

    /// Replaces the usage of the target that another host reported before; `None` only removes it.
    pub(super) fn set_peer_usage(
        &mut self,
        peer: &str,
        reported: Option<&TargetUsage>,
        now: Instant,
    ) {
        let key = MemoryKey::Peer(peer.to_owned());
        self.results.remove(&key);
        self.peer_busy_until = None;
        let Some(reported) = reported else {
            return;
        };
        self.peer_busy_until = Some(now + Duration::from_millis(u64::from(reported.busy_for_ms)));
        if reported.result_bytes > 0 {
            let until = now + Duration::from_millis(u64::from(reported.expires_in_ms));
            self.results.insert(key, reported.result_bytes, until);
        }
    }
}
