//! What happens to a fleet, and when.

use std::time::Duration;

use fastrand::Rng;

use super::STEP;

/// Something that happens to the fleet; fractions are of its hosts.
#[derive(Debug, Clone, Copy)]
pub enum FleetEvent {
    Kill(f64),
    StartAll,
    Restart(f64),
    Freeze(f64),
    Thaw,
    Add(f64),
    CutFromControl(f64),
    CutFromTargets(f64),
    CutHall(usize),
    RestartControls,
    Heal,
}

/// The course of a simulated day. Its functions take the time since its start.
pub struct Scenario {
    pub length: Duration,
    /// Events with their times.
    pub events: Vec<(Duration, FleetEvent)>,
    /// Requests a second for each service.
    pub rates: [f64; 2],
    /// Factor of the rates.
    pub load: fn(f64) -> f64,
    /// Share of the attempts that fail.
    pub failed_share: fn(f64) -> f64,
    /// Longest wait of a retry for a target, as a share of the longest of all.
    pub wait_share: fn(f64) -> f64,
    /// Part of the hosts that callers use, as a range of shares.
    pub receivers: fn(f64) -> (f64, f64),
    /// Mean number of random events a second.
    pub random_events: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(60),
            events: Vec::new(),
            rates: [57.0, 0.5],
            load: |_| 1.0,
            failed_share: |at| if at < 15.0 { 0.0 } else { 0.9 },
            wait_share: |_| 0.05,
            receivers: |_| (0.0, 1.0),
            random_events: 0.0,
        }
    }
}

impl Scenario {
    pub fn with_events(mut self, events: &[(f64, FleetEvent)]) -> Self {
        let timed = |(at, event): &(f64, FleetEvent)| (Duration::from_secs_f64(*at), *event);
        self.events = events.iter().map(timed).collect();
        self
    }

    pub fn events_at(&self, at: Duration, rng: &mut Rng) -> Vec<FleetEvent> {
        let due = self.events.iter();
        let due = due.filter(|(time, _)| *time >= at && *time < at + STEP);
        let mut events: Vec<FleetEvent> = due.map(|(_, event)| *event).collect();
        if rng.f64() < self.random_events * STEP.as_secs_f64() {
            events.push(random_event(rng));
        }
        events
    }

    pub fn rate(&self, service: usize, at: Duration) -> f64 {
        self.rates[service] * (self.load)(at.as_secs_f64())
    }

    pub fn failed_share(&self, at: Duration) -> f64 {
        (self.failed_share)(at.as_secs_f64())
    }

    pub fn wait_share(&self, at: Duration) -> f64 {
        (self.wait_share)(at.as_secs_f64())
    }

    /// Returns the numbers of the hosts that callers use.
    pub fn receivers(&self, hosts: usize, at: Duration) -> std::ops::Range<usize> {
        let (from, to) = (self.receivers)(at.as_secs_f64());
        let start = (from * hosts as f64) as usize;
        let end = (to * hosts as f64) as usize;
        start..end.max(start + 1)
    }
}

fn random_event(rng: &mut Rng) -> FleetEvent {
    let fraction = rng.f64();
    match rng.usize(0..11) {
        0 => FleetEvent::Kill(fraction),
        1 | 2 => FleetEvent::StartAll,
        3 => FleetEvent::Restart(fraction),
        4 => FleetEvent::Freeze(fraction * 0.5),
        5 => FleetEvent::Thaw,
        6 => FleetEvent::CutFromControl(fraction),
        7 => FleetEvent::CutFromTargets(fraction * 0.5),
        8 => FleetEvent::CutHall(rng.usize(0..3)),
        9 => FleetEvent::RestartControls,
        _ => FleetEvent::Heal,
    }
}
