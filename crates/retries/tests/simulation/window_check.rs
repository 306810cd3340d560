//! What the targets of a fleet received, compared with the budget in every window.

use std::time::Duration;

use linnet_clock::BootInstant;

use super::{RULE, SERVICES, STEP};

/// Counts of one service in each step of a simulation.
#[derive(Default)]
struct ServiceRecord {
    requests: Vec<u32>,
    retries: Vec<u32>,
    denials: Vec<u32>,
}

/// Requests, and retries that reached targets, by service and step.
pub struct FleetRecord {
    started: BootInstant,
    services: [ServiceRecord; SERVICES.len()],
}

/// The window in which most of the budget was used.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorstWindow {
    pub retries: u32,
    pub allowed: f64,
    pub at_s: f64,
}

impl WorstWindow {
    pub fn used(&self) -> f64 {
        f64::from(self.retries) / self.allowed.max(1.0)
    }
}

fn add(counts: &mut Vec<u32>, step: usize) {
    if counts.len() <= step {
        counts.resize(step + 1, 0);
    }
    counts[step] += 1;
}

/// Returns the sums of the counts before each step, for `steps` steps.
fn sums(counts: &[u32], steps: usize) -> Vec<u32> {
    let mut sums = vec![0];
    for step in 0..steps {
        sums.push(sums[step] + counts.get(step).copied().unwrap_or(0));
    }
    sums
}

impl FleetRecord {
    pub fn new(started: BootInstant) -> Self {
        Self {
            started,
            services: Default::default(),
        }
    }

    fn step(&self, now: BootInstant) -> usize {
        ((now - self.started).as_millis() / STEP.as_millis()) as usize
    }

    pub fn add_request(&mut self, service: usize, now: BootInstant) {
        let step = self.step(now);
        add(&mut self.services[service].requests, step);
    }

    pub fn add_retry(&mut self, service: usize, now: BootInstant) {
        let step = self.step(now);
        add(&mut self.services[service].retries, step);
    }

    pub fn add_denial(&mut self, service: usize, now: BootInstant) {
        let step = self.step(now);
        add(&mut self.services[service].denials, step);
    }

    pub fn retries(&self, service: usize) -> u32 {
        self.services[service].retries.iter().sum()
    }

    /// Returns retries, allowed retries and denials of each window, with its start.
    fn windows(&self, service: usize) -> impl Iterator<Item = (Duration, u32, f64, u32)> {
        let record = &self.services[service];
        let steps = record.requests.len().max(record.retries.len());
        let requests = sums(&record.requests, steps);
        let retries = sums(&record.retries, steps);
        let denials = sums(&record.denials, steps);
        let length = (RULE.window.as_millis() / STEP.as_millis()) as i64;
        let between = move |sums: &[u32], from: i64, to: i64| {
            let at = |step: i64| sums[step.clamp(0, steps as i64) as usize];
            at(to) - at(from)
        };
        (0..steps as i64).map(move |from| {
            let to = from + length;
            let counted = [from, from - length / 2, from - length];
            let most = counted.map(|start| between(&requests, start, start + length));
            let most = f64::from(most.into_iter().max().unwrap_or(0));
            let allowed = RULE.ratio * most + RULE.slack;
            (
                STEP * from as u32,
                between(&retries, from, to),
                allowed,
                between(&denials, from, to),
            )
        })
    }

    pub fn worst_window(&self, service: usize) -> WorstWindow {
        let windows = self
            .windows(service)
            .map(|(at, retries, allowed, _)| WorstWindow {
                retries,
                allowed,
                at_s: at.as_secs_f64(),
            });
        let worst = windows.max_by(|one, other| one.used().total_cmp(&other.used()));
        worst.unwrap_or_default()
    }

    /// Returns the used part of the budget in the windows that start from `from` on and in which
    /// retries were denied; `None` if there is none.
    pub fn used_in_need(&self, service: usize, from: Duration) -> Option<f64> {
        let length = self.services[service].requests.len();
        let end = STEP * length as u32;
        let needy = self
            .windows(service)
            .filter(|(at, _, _, denials)| *at >= from && *at + RULE.window <= end && *denials > 0);
        let (retries, allowed) = needy.fold((0.0, 0.0), |(retries, allowed), window| {
            (retries + f64::from(window.1), allowed + window.2)
        });
        (allowed > 0.0).then(|| retries / allowed)
    }
}
