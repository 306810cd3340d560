//! The restrictions that one incarnation of a target has asked this host to observe.

use std::time::{Duration, SystemTime};

use linnet_clock::BootInstant;
use linnet_telemetry::{NoticeLine, NoticeState};

/// Random extension of a back-off, as a fraction of its duration and as an upper bound, so that
/// hosts which were refused at the same time do not return at the same time.
const JITTER_FRACTION: f64 = 0.1;
const MAX_JITTER: Duration = Duration::from_millis(250);

/// How long the response to the first request after a back-off is awaited before a second one may
/// be sent. Until a response arrives, the target receives one request at a time.
pub(crate) const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an elapsed back-off is retained if no request arrives that could try the target.
pub(crate) const UNTRIED_RETENTION: Duration = Duration::from_secs(2);

/// How long the leaving mark of a target is retained after the target was last listed as accepting
/// work. A late heartbeat may list the target again.
pub(crate) const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// How long a leaving mark is applied to a listed incarnation that may not be the one that is
/// leaving, see [`TargetRestriction::applies_to_incarnation`]. A leaving target repeats that it
/// leaves in its next response.
pub(crate) const UNCERTAIN_RETENTION: Duration = Duration::from_secs(30);

/// Whether a target may receive requests of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetAvailability {
    /// The target may receive requests.
    Open,
    /// The target asked for a back-off, which lasts this much longer.
    BackedOff(Duration),
    /// The rate limit of the target leaves no send permit for this long.
    RateLimited(Duration),
    /// The target is leaving, and receives no new work.
    Leaving,
}

/// A period in which a target accepts no requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BackOff {
    since: BootInstant,
    until: BootInstant,
    /// Number of requests that were withheld.
    pub(crate) withheld: u64,
    /// When the trial request was sent that finds out whether the target accepts requests again.
    trial_sent: Option<BootInstant>,
}

impl BackOff {
    /// Returns how much longer the back-off lasts for requests other than the trial.
    fn left(&self, now: BootInstant) -> Duration {
        let trial_ends = self.trial_sent.map(|at| at + TRIAL_TIMEOUT);
        self.until.max(trial_ends.unwrap_or_default()) - now
    }

    /// Returns whether the period that the target asked for has elapsed.
    pub(crate) fn has_elapsed(&self, now: BootInstant) -> bool {
        self.until <= now
    }

    /// Returns the time since the back-off began.
    pub(crate) fn elapsed(&self, now: BootInstant) -> Duration {
        now - self.since
    }

    /// Records that the trial request is sent.
    pub(crate) fn begin_trial(&mut self, now: BootInstant) {
        self.trial_sent = Some(now);
    }
}

/// The restrictions that one incarnation of a target has asked for.
#[derive(Debug, Clone)]
pub(crate) struct TargetRestriction {
    /// The service of the target; empty if the target is not listed.
    pub(crate) service: String,
    /// Start time of that incarnation, see [`linnet_directory::TargetRecord::born`]; `None` until
    /// the target is listed.
    born: Option<u64>,
    pub(crate) back_off: Option<BackOff>,
    pub(crate) leaving: bool,
    /// When the target was last known to be listed as accepting work.
    last_listed: BootInstant,
    /// When the target last asked for a restriction, in Unix milliseconds.
    last_asked_ms: u64,
    /// If set, the listed incarnation may not be the one that asked, and it is taken for leaving
    /// only until this time.
    uncertain_until: Option<BootInstant>,
}

impl TargetRestriction {
    pub(crate) fn new(service: &str, born: Option<u64>, now: BootInstant) -> Self {
        Self {
            service: service.to_owned(),
            born,
            back_off: None,
            leaving: false,
            last_listed: now,
            last_asked_ms: unix_ms(),
            uncertain_until: None,
        }
    }

    /// Records that the target asks for a restriction now.
    pub(crate) fn mark_asked(&mut self) {
        self.last_asked_ms = unix_ms();
        self.uncertain_until = None;
    }

    /// Extends the back-off; returns how much of the previous one was left. Each response asks for
    /// a period of its own, and the latest end applies.
    pub(crate) fn extend_back_off(&mut self, wait: Duration, now: BootInstant) -> Duration {
        let jitter = wait.mul_f64(JITTER_FRACTION).min(MAX_JITTER);
        let until = now + wait + jitter.mul_f64(fastrand::f64());
        let Some(back_off) = &mut self.back_off else {
            self.back_off = Some(BackOff {
                since: now,
                until,
                withheld: 0,
                trial_sent: None,
            });
            return Duration::ZERO;
        };
        let previous_left = back_off.until - now;
        back_off.until = back_off.until.max(until);
        back_off.trial_sent = None;
        previous_left
    }

    /// Returns whether the restrictions apply to the listed incarnation, which started at `born`.
    ///
    /// A target may respond before this host receives the registration of its new incarnation, and
    /// the response is then taken for one of the previous incarnation. With responses 90 ms ahead
    /// of the registration, hosts dropped the restrictions of the new incarnation and sent it more
    /// requests. So a restriction is retained if the listed incarnation started before the target
    /// asked for it. Since clocks differ, a leaving mark is retained for [`UNCERTAIN_RETENTION`]
    /// only.
    pub(crate) fn applies_to_incarnation(&mut self, born: u64, now: BootInstant) -> bool {
        self.last_listed = now;
        if born <= *self.born.get_or_insert(born) {
            return true;
        }
        self.born = Some(born);
        self.uncertain_until = Some(now + UNCERTAIN_RETENTION);
        born <= self.last_asked_ms
    }

    /// Clears the leaving mark if it is old, or uncertain for too long.
    pub(crate) fn expire_leaving(&mut self, is_listed: bool, now: BootInstant) {
        let recent = is_listed || now - self.last_listed < LEAVING_RETENTION;
        let certain = self.uncertain_until.is_none_or(|until| until > now);
        self.leaving &= recent && certain;
    }

    /// Removes and returns the back-off if it elapsed more than [`UNTRIED_RETENTION`] ago and no
    /// trial request awaits a response.
    pub(crate) fn take_untried(&mut self, now: BootInstant) -> Option<BackOff> {
        let is_old =
            |one: &mut BackOff| one.left(now).is_zero() && now - one.until > UNTRIED_RETENTION;
        self.back_off.take_if(is_old)
    }

    /// Returns whether the target may receive requests of this host.
    pub(crate) fn availability(&self, now: BootInstant) -> TargetAvailability {
        if self.leaving {
            return TargetAvailability::Leaving;
        }
        let left = self.back_off.map_or(Duration::ZERO, |one| one.left(now));
        if left.is_zero() {
            TargetAvailability::Open
        } else {
            TargetAvailability::BackedOff(left)
        }
    }

    /// Describes the restrictions for operators.
    pub(crate) fn line(&self, target: &str, now: BootInstant) -> NoticeLine {
        let (standing, left) = match self.availability(now) {
            TargetAvailability::Open | TargetAvailability::RateLimited(_) => {
                (NoticeState::Reopening, Duration::ZERO)
            }
            TargetAvailability::BackedOff(left) => (NoticeState::BackedOff, left),
            TargetAvailability::Leaving => (NoticeState::Leaving, Duration::ZERO),
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

/// Returns the current time in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
