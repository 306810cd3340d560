//! What one start of a target has asked of this host.

use std::time::{Duration, SystemTime};

use linnet_clock::BootInstant;
use linnet_telemetry::{NoticeLine, NoticeState};

/// By how much longer than it asked a target is left alone, drawn anew each time, as a part of the time and
/// at most: hosts that were answered in one moment should not all come back in one.
const SPREAD_PART: f64 = 0.1;
const SPREAD_MOST: Duration = Duration::from_millis(250);

/// How long the answer to the first request after a back-off is waited for before a second one may go. Until
/// one has come, the target gets one at a time.
pub(crate) const TRIAL_PATIENCE: Duration = Duration::from_millis(500);

/// How long after its end a back-off is remembered where no request comes that could try the target.
pub(crate) const UNTRIED_KEPT: Duration = Duration::from_secs(2);

/// How long it is remembered that a target leaves after it was last in the list of those that take work. A
/// heartbeat that comes late may put it there again.
pub(crate) const LEAVING_KEPT: Duration = Duration::from_secs(600);

/// How long a leaving target that may be a former start is taken for the one in the list, see
/// [`TargetAsk::outlasts`]. One that leaves says so again in its next answer.
pub(crate) const DOUBT_KEPT: Duration = Duration::from_secs(30);

/// Whether a target gets requests of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetStanding {
    /// It does.
    Open,
    /// Not for so long.
    BackedOff(Duration),
    /// It names a rate, by which there is no leave for so long.
    Paced(Duration),
    /// No new work any more.
    Leaving,
}

/// The time for which a target wants no requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BackOff {
    since: BootInstant,
    until: BootInstant,
    /// Sendings that were held back.
    pub(crate) withheld: u64,
    /// When the request was sent that tries whether the target takes requests again.
    tried: Option<BootInstant>,
}

impl BackOff {
    /// Returns how much longer it lasts for others than the request that tries.
    fn left(&self, now: BootInstant) -> Duration {
        let trial_ends = self.tried.map(|at| at + TRIAL_PATIENCE);
        self.until.max(trial_ends.unwrap_or_default()) - now
    }

    /// Says whether the time that the target asked for is over.
    pub(crate) fn is_past(&self, now: BootInstant) -> bool {
        self.until <= now
    }

    /// Returns how long it has lasted.
    pub(crate) fn lasted(&self, now: BootInstant) -> Duration {
        now - self.since
    }

    /// Counts the request that tries the target.
    pub(crate) fn begin_trial(&mut self, now: BootInstant) {
        self.tried = Some(now);
    }
}

/// What one start of a target has asked.
#[derive(Debug, Clone)]
pub(crate) struct TargetAsk {
    /// Its service; empty where it is in no list of targets.
    pub(crate) service: String,
    /// When that start began, see [`linnet_directory::TargetRecord::born`]; nothing until the target is in a list.
    born: Option<u64>,
    pub(crate) back_off: Option<BackOff>,
    pub(crate) leaving: bool,
    /// When it was last known to be in the list of targets that take work.
    listed: BootInstant,
    /// The Unix millisecond at which it asked last.
    asked_at: u64,
    /// Until when it is taken for the start in the list where that is not sure.
    doubted_until: Option<BootInstant>,
}

impl TargetAsk {
    pub(crate) fn new(service: &str, born: Option<u64>, now: BootInstant) -> Self {
        Self {
            service: service.to_owned(),
            born,
            back_off: None,
            leaving: false,
            listed: now,
            asked_at: unix_ms(),
            doubted_until: None,
        }
    }

    /// Notes that the target asks for something now.
    pub(crate) fn note_asked(&mut self) {
        self.asked_at = unix_ms();
        self.doubted_until = None;
    }

    /// Takes a time without requests; returns how much of the former one was left. Each answer asks for a time
    /// of its own, and the latest end counts.
    pub(crate) fn extend_back_off(&mut self, wait: Duration, now: BootInstant) -> Duration {
        let spread = wait.mul_f64(SPREAD_PART).min(SPREAD_MOST);
        let until = now + wait + spread.mul_f64(fastrand::f64());
        let Some(back_off) = &mut self.back_off else {
            self.back_off = Some(BackOff {
                since: now,
                until,
                withheld: 0,
                tried: None,
            });
            return Duration::ZERO;
        };
        let former_left = back_off.until - now;
        back_off.until = back_off.until.max(until);
        back_off.tried = None;
        former_left
    }

    /// Says whether what was asked holds for the start in the list, which began at `born`.
    ///
    /// A target answers before its registration has reached this host, which then takes it for the start before:
    /// with starts 90 ms ahead of their registration, hosts forgot what the new one had said and sent it more. A
    /// start that began before the word was said may be the one that said it. Clocks differ, so this is not
    /// believed for long.
    pub(crate) fn outlasts(&mut self, born: u64, now: BootInstant) -> bool {
        self.listed = now;
        if born <= *self.born.get_or_insert(born) {
            return true;
        }
        self.born = Some(born);
        self.doubted_until = Some(now + DOUBT_KEPT);
        born <= self.asked_at
    }

    /// Forgets that it leaves where that is old or in doubt.
    pub(crate) fn expire_leaving(&mut self, is_listed: bool, now: BootInstant) {
        let recent = is_listed || now - self.listed < LEAVING_KEPT;
        let sure = self.doubted_until.is_none_or(|until| until > now);
        self.leaving &= recent && sure;
    }

    /// Takes the back-off out where it is over and nothing has tried the target.
    pub(crate) fn take_untried(&mut self, now: BootInstant) -> Option<BackOff> {
        let is_old = |one: &mut BackOff| one.left(now).is_zero() && now - one.until > UNTRIED_KEPT;
        self.back_off.take_if(is_old)
    }

    /// Says whether the target gets requests of this host.
    pub(crate) fn standing(&self, now: BootInstant) -> TargetStanding {
        if self.leaving {
            return TargetStanding::Leaving;
        }
        let left = self.back_off.map_or(Duration::ZERO, |one| one.left(now));
        if left.is_zero() {
            TargetStanding::Open
        } else {
            TargetStanding::BackedOff(left)
        }
    }

    /// Returns what operators are told of it.
    pub(crate) fn line(&self, target: &str, now: BootInstant) -> NoticeLine {
        let (standing, left) = match self.standing(now) {
            TargetStanding::Open | TargetStanding::Paced(_) => {
                (NoticeState::Reopening, Duration::ZERO)
            }
            TargetStanding::BackedOff(left) => (NoticeState::BackedOff, left),
            TargetStanding::Leaving => (NoticeState::Leaving, Duration::ZERO),
        };
        NoticeLine {
            target: target.to_owned(),
            service: self.service.clone(),
            state: standing,
            remaining_ms: left.as_millis() as u64,
            withheld: self.back_off.map_or(0, |one| one.withheld),
            per_second: None,
            sent: 0,
        }
    }
}

/// Returns the milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
