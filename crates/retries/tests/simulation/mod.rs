//! A fleet of entry hosts that retry failed requests, with callers, targets and control hosts, in
//! simulated time.

pub mod scenario;
pub mod window_check;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use linnet_clock::BootInstant;
use linnet_retries::{BudgetRule, HostRoster, RetryLedger, ServiceKey};

use scenario::{FleetEvent, Scenario};
use window_check::FleetRecord;

pub const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

pub const SERVICES: [&str; 2] = ["busy", "quiet"];

/// Length of a step of the simulation.
pub const STEP: Duration = Duration::from_millis(50);

/// Steps between two updates of the lists of entry hosts.
const LIST_STEPS: u64 = 8;

/// How long a control host lists an entry host that it lost.
const LISTED_AFTER_LOSS: Duration = Duration::from_secs(15);

/// Longest time that a retry waits for a target after it was allowed.
const MAX_WAIT: Duration = Duration::from_secs(3);

const HALLS: usize = 3;

const BALANCER_TRIES: u32 = 4;

/// An entry host. `ledger` and `roster` live as long as its process.
struct SimHost {
    name: String,
    hall: usize,
    is_up: bool,
    is_frozen: bool,
    reaches_control: bool,
    reaches_targets: bool,
    ledger: RetryLedger,
    roster: HostRoster,
    /// Retries that were allowed, and when each is sent.
    waiting: Vec<(ServiceKey, usize, BootInstant)>,
    /// Requests that arrived while the process was frozen.
    unread: Vec<usize>,
    /// Revision of the list that was received last.
    listed: Option<u64>,
}

impl SimHost {
    fn new(number: usize, now: BootInstant) -> Self {
        let name = format!("entry-{number}");
        Self {
            hall: number % HALLS,
            is_up: true,
            is_frozen: false,
            reaches_control: true,
            reaches_targets: true,
            ledger: RetryLedger::new(RULE, now),
            roster: HostRoster::new(&name, &RULE, score, now),
            waiting: Vec::new(),
            unread: Vec::new(),
            listed: None,
            name,
        }
    }

    fn restart(&mut self, now: BootInstant) {
        self.ledger = RetryLedger::new(RULE, now);
        self.roster = HostRoster::new(&self.name, &RULE, score, now);
        self.waiting.clear();
        self.unread.clear();
        self.listed = None;
        self.is_up = true;
        self.is_frozen = false;
    }

    fn runs(&self) -> bool {
        self.is_up && !self.is_frozen
    }
}

fn score(service: &str, host: &str) -> u64 {
    let bytes = service.bytes().chain([0]).chain(host.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// What the control host of a hall knows.
#[derive(Default)]
struct SimControl {
    /// When each entry host was last connected to a control host of this side.
    seen: BTreeMap<String, BootInstant>,
    /// Changes with the names in `seen`.
    revision: u64,
}

/// A fleet in the course of a scenario.
pub struct Fleet {
    now: BootInstant,
    rng: Rng,
    hosts: Vec<SimHost>,
    controls: [SimControl; HALLS],
    /// Halls that are cut off from the other halls' control hosts.
    cut_halls: [bool; HALLS],
    scenario: Scenario,
    record: FleetRecord,
}

impl Fleet {
    pub fn new(hosts: usize, scenario: Scenario, seed: u64) -> Self {
        let now = BootInstant::default() + Duration::from_secs(1_000);
        Self {
            now,
            rng: Rng::with_seed(seed),
            hosts: (0..hosts).map(|number| SimHost::new(number, now)).collect(),
            controls: Default::default(),
            cut_halls: [false; HALLS],
            scenario,
            record: FleetRecord::new(now),
        }
    }

    /// Plays the scenario to its end and returns what the targets received.
    pub fn play(mut self) -> FleetRecord {
        let steps = (self.scenario.length.as_secs_f64() / STEP.as_secs_f64()) as u64;
        for step in 0..steps {
            let at = STEP * step as u32;
            for event in self.scenario.events_at(at, &mut self.rng) {
                self.apply(event);
            }
            if step % LIST_STEPS == 0 {
                self.update_lists();
            }
            self.send_requests(at);
            self.send_waiting();
            self.now = self.now + STEP;
        }
        self.record
    }

    fn share(&mut self, fraction: f64) -> Vec<usize> {
        let mut numbers: Vec<usize> = (0..self.hosts.len()).collect();
        self.rng.shuffle(&mut numbers);
        let count = (fraction * numbers.len() as f64).ceil() as usize;
        numbers.truncate(count);
        numbers
    }

    fn apply(&mut self, event: FleetEvent) {
        let now = self.now;
        match event {
            FleetEvent::Kill(fraction) => {
                for number in self.share(fraction) {
                    self.hosts[number].is_up = false;
                }
            }
            FleetEvent::StartAll => {
                for host in self.hosts.iter_mut().filter(|host| !host.is_up) {
                    host.restart(now);
                }
            }
            FleetEvent::Restart(fraction) => {
                for number in self.share(fraction) {
                    self.hosts[number].restart(now);
                }
            }
            FleetEvent::Freeze(fraction) => {
                for number in self.share(fraction) {
                    self.hosts[number].is_frozen = true;
                }
            }
            FleetEvent::Thaw => self
                .hosts
                .iter_mut()
                .for_each(|host| host.is_frozen = false),
            FleetEvent::Add(fraction) => {
                let count = (fraction * self.hosts.len() as f64).ceil() as usize;
                for _ in 0..count {
                    let number = self.hosts.len();
                    self.hosts.push(SimHost::new(number, now));
                }
            }
            FleetEvent::CutFromControl(fraction) => {
                for number in self.share(fraction) {
                    self.hosts[number].reaches_control = false;
                }
            }
            FleetEvent::CutFromTargets(fraction) => {
                for number in self.share(fraction) {
                    self.hosts[number].reaches_targets = false;
                }
            }
            FleetEvent::CutHall(hall) => self.cut_halls[hall] = true,
            FleetEvent::RestartControls => {
                for control in &mut self.controls {
                    control.seen.clear();
                    control.revision += 1;
                }
            }
            FleetEvent::Heal => {
                self.cut_halls = [false; HALLS];
                for host in &mut self.hosts {
                    host.reaches_control = true;
                    host.reaches_targets = true;
                }
            }
        }
    }

    /// Returns the halls whose control hosts are connected to that of `hall`.
    fn side_of(&self, hall: usize) -> Vec<usize> {
        if self.cut_halls[hall] {
            return vec![hall];
        }
        (0..HALLS).filter(|other| !self.cut_halls[*other]).collect()
    }

    /// Lets control hosts list the entry hosts, and entry hosts receive these lists.
    fn update_lists(&mut self) {
        let now = self.now;
        let connected = self
            .hosts
            .iter()
            .filter(|host| host.runs() && host.reaches_control);
        let connected: Vec<(String, usize)> = connected
            .map(|host| (host.name.clone(), host.hall))
            .collect();
        for (name, hall) in connected {
            for other in self.side_of(hall) {
                let control = &mut self.controls[other];
                if control.seen.insert(name.clone(), now).is_none() {
                    control.revision += 1;
                }
            }
        }
        for control in &mut self.controls {
            control
                .seen
                .retain(|_, seen| now - *seen < LISTED_AFTER_LOSS);
        }
        for number in 0..self.hosts.len() {
            let hall = self.hosts[number].hall;
            let has_leader = self.side_of(hall).len() > HALLS / 2;
            let host = &mut self.hosts[number];
            if host.runs() && host.reaches_control {
                let control = &self.controls[hall];
                if host.listed != Some(control.revision) {
                    host.listed = Some(control.revision);
                    let listed = control.seen.keys().map(String::as_str);
                    host.roster.set_listed(listed, now);
                }
                if has_leader {
                    host.roster.renew_lease(now);
                }
            }
        }
    }

    /// Returns the host that receives a request. The balancer leaves out most hosts that are down.
    fn choose_receiver(&mut self, at: Duration) -> usize {
        let receivers = self.scenario.receivers(self.hosts.len(), at);
        let mut number = self.rng.usize(receivers.clone());
        for _ in 0..BALANCER_TRIES {
            if self.hosts[number].is_up {
                break;
            }
            number = self.rng.usize(receivers.clone());
        }
        number
    }

    fn send_requests(&mut self, at: Duration) {
        for service in 0..SERVICES.len() {
            let expected = self.scenario.rate(service, at) * STEP.as_secs_f64();
            let count = expected as usize + usize::from(self.rng.f64() < expected.fract());
            for _ in 0..count {
                self.record.add_request(service, self.now);
                let number = self.choose_receiver(at);
                let host = &mut self.hosts[number];
                match (host.is_up, host.is_frozen) {
                    (true, false) => self.run_request(number, service, at),
                    (true, true) => host.unread.push(service),
                    (false, _) => {}
                }
            }
        }
        for number in 0..self.hosts.len() {
            if self.hosts[number].runs() {
                for service in std::mem::take(&mut self.hosts[number].unread) {
                    self.run_request(number, service, at);
                }
            }
        }
    }

    /// Receives a request at a host and sends it to a target; a failed one is to be retried.
    fn run_request(&mut self, number: usize, service: usize, at: Duration) {
        let now = self.now;
        let host = &mut self.hosts[number];
        let key = host.ledger.service_key(SERVICES[service]);
        host.ledger.record_request(key, now);
        if !host.reaches_targets || self.rng.f64() >= self.scenario.failed_share(at) {
            return;
        }
        let slack = host.roster.slack_share(SERVICES[service], now);
        if host.ledger.reserve(key, slack, now) {
            let wait = MAX_WAIT.mul_f64(self.rng.f64() * self.scenario.wait_share(at));
            host.waiting.push((key, service, now + wait));
        } else {
            self.record.add_denial(service, now);
        }
    }

    /// Sends the retries that have waited for their targets. A retry fails as often as a first
    /// attempt, but there is none after it.
    fn send_waiting(&mut self) {
        let now = self.now;
        for host in self.hosts.iter_mut().filter(|host| host.runs()) {
            let due = |retry: &(ServiceKey, usize, BootInstant)| retry.2 <= now;
            let retries: Vec<_> = host.waiting.extract_if(.., |retry| due(retry)).collect();
            for (key, service, _) in retries {
                let slack = host.roster.slack_share(SERVICES[service], now);
                match host.ledger.spend(key, slack, now) {
                    Some(spent) if !host.reaches_targets => {
                        host.ledger.refund(spent);
                        host.ledger.release(key);
                    }
                    Some(_) => self.record.add_retry(service, now),
                    None => {
                        host.ledger.release(key);
                        self.record.add_denial(service, now);
                    }
                }
            }
        }
    }
}
