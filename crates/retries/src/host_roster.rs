//! The entry hosts that may send retries, and this host's part of the slack.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use linnet_clock::BootInstant;

use crate::BudgetRule;

/// Part of the slack that is divided. The rest covers hosts that are added while control hosts with a
/// leader do not hear of each other's entry hosts.
const DIVIDED_SLACK: f64 = 0.9;

/// Lease on slack, as a part of the window: without a sign of a control host that is in contact with
/// the leader, a host uses slack for that long.
const LEASE_FACTOR: f64 = 0.2;

/// Shortest lease. Control hosts send such a sign every 0.4 s.
const MIN_LEASE: Duration = Duration::from_secs(1);

/// Number of leases beyond a window for which a starting host waits: what an earlier process of this
/// host spent has left the window by then, and so has what others spent before they heard of this
/// host.
const START_LEASES: f64 = 2.0;

/// Number of leases beyond a window for which a host counts that is no longer listed: its own lease
/// has ended by then, and what it spent has left the window.
const RETENTION_LEASES: f64 = 2.5;

/// The times of a roster, which follow from the window of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterTimes {
    /// How long slack may be used without a sign of a control host with a leader.
    pub lease: Duration,
    /// Time without slack after the start.
    pub start_wait: Duration,
    /// How long a host counts that is no longer listed.
    pub retention: Duration,
}

impl RosterTimes {
    /// Returns the times for a budget.
    pub fn new(rule: &BudgetRule) -> Self {
        let lease = rule.window.mul_f64(LEASE_FACTOR).max(MIN_LEASE);
        Self {
            lease,
            start_wait: rule.window + lease.mul_f64(START_LEASES),
            retention: rule.window + lease.mul_f64(RETENTION_LEASES),
        }
    }
}

/// Why this host has its part of the slack, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum SlackState {
    /// It has its part.
    #[display("granted")]
    Granted,
    /// It has started recently.
    #[display("starting")]
    Starting,
    /// It hears no control host that is in contact with the leader.
    #[display("no-leader")]
    NoLeader,
}

/// This host's part of the slack of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlackShare {
    /// Retries in each window.
    pub retries: u64,
    /// Number of hosts among which the slack is divided.
    pub hosts: usize,
    /// Why it is this many.
    pub state: SlackState,
}

/// The entry hosts that may send retries.
///
/// A host uses slack only while it holds a lease, which a control host in contact with the leader
/// renews. Such a control host lists each entry host that holds one, and goes on listing one that it
/// lost for longer than that one's lease. A host that starts waits until all others have heard of it.
/// So the roster of each host that uses slack includes all hosts whose retries are in the window. A
/// host that knows more hosts than another takes no larger part.
pub struct HostRoster {
    name: String,
    slack: f64,
    times: RosterTimes,
    started: BootInstant,
    listed: BTreeSet<String>,
    /// Hosts that are no longer listed, with the time when they were last.
    unlisted: BTreeMap<String, BootInstant>,
    lease_renewed: Option<BootInstant>,
    /// Ranks a host for a service; all hosts use the same function.
    score: fn(&str, &str) -> u64,
}

impl HostRoster {
    /// Creates the roster of the host `name`, which starts at `now`. `score` ranks a host for a
    /// service.
    pub fn new(
        name: &str,
        rule: &BudgetRule,
        score: fn(&str, &str) -> u64,
        now: BootInstant,
    ) -> Self {
        Self {
            name: name.to_owned(),
            slack: rule.slack,
            times: RosterTimes::new(rule),
            started: now,
            listed: BTreeSet::new(),
            unlisted: BTreeMap::new(),
            lease_renewed: None,
            score,
        }
    }

    /// Applies the list of entry hosts.
    pub fn set_listed<'a>(&mut self, hosts: impl Iterator<Item = &'a str>, now: BootInstant) {
        let others = hosts.filter(|host| *host != self.name);
        let listed: BTreeSet<String> = others.map(str::to_owned).collect();
        for host in std::mem::take(&mut self.listed) {
            if !listed.contains(&host) {
                self.unlisted.insert(host, now);
            }
        }
        self.unlisted.retain(|host, _| !listed.contains(host));
        self.listed = listed;
    }

    /// Renews the lease: a control host in contact with the leader was heard.
    pub fn renew_lease(&mut self, now: BootInstant) {
        self.lease_renewed = Some(now);
    }

    /// Returns this host's part of the slack of a service.
    pub fn slack_share(&mut self, service: &str, now: BootInstant) -> SlackShare {
        let retention = self.times.retention;
        self.unlisted.retain(|_, since| now - *since < retention);
        let hosts = 1 + self.listed.len() + self.unlisted.len();
        let state = self.state(now);
        let retries = match state {
            SlackState::Granted => self.part_of(service, hosts as u64),
            SlackState::Starting | SlackState::NoLeader => 0,
        };
        SlackShare {
            retries,
            hosts,
            state,
        }
    }

    /// Returns whether this host has its part of the slack, or why not.
    pub fn state(&self, now: BootInstant) -> SlackState {
        let is_leased = |renewed: BootInstant| now - renewed < self.times.lease;
        if now - self.started < self.times.start_wait {
            SlackState::Starting
        } else if self.lease_renewed.is_some_and(is_leased) {
            SlackState::Granted
        } else {
            SlackState::NoLeader
        }
    }

    /// Returns this host's part of the slack: the retries are dealt out one by one in the order of the
    /// ranks.
    fn part_of(&self, service: &str, hosts: u64) -> u64 {
        let own = (self.score)(service, &self.name);
        let others = self.listed.iter().chain(self.unlisted.keys());
        let better =
            others.filter(|host| ((self.score)(service, host), host.as_str()) > (own, &self.name));
        let rank = better.count() as u64;
        let divided = (self.slack * DIVIDED_SLACK) as u64;
        divided.saturating_sub(rank).div_ceil(hosts)
    }
}
