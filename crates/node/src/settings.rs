//! The settings file of a node: TOML, checked whole, every fault told by its place.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeSettings {
    /// Name of this host.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// Where it listens.
    pub listen: ListenSettings,
    /// The region of each data hall. Orders for a hall that is not named are refused; where none is
    /// named, any may be.
    #[serde(default)]
    pub halls: BTreeMap<String, String>,
    /// The cluster of control hosts.
    pub cluster: ClusterSettings,
    /// Spans of time.
    #[serde(default)]
    pub times: TimeSettings,
    /// The budget of repeated sendings.
    #[serde(default)]
    pub retry: RetrySettings,
    /// Switches and bounds of the policies by which entry hosts decide.
    #[serde(default)]
    pub policy: PolicySettings,
    /// What a version that is rolled out may harm; control hosts only.
    #[serde(default)]
    pub rollout: RolloutSettings,
}

/// What a version that is rolled out may harm before it is known to be good.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct RolloutSettings {
    /// The part of the requests of its service that it may get, until the time of the roll-out is over.
    pub exposure_share: f64,
    /// Requests that it may get beyond that.
    pub exposure_slack: f64,
    /// How long it may go on to get requests once it is known to be bad, in milliseconds: not less than entry hosts
    /// need to notice that they hear no control host.
    pub rollback_ms: u64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            exposure_slack: 50.0,
            rollback_ms: 5_000,
        }
    }
}

/// How long an entry host may go on by what it was told of a roll-out once it hears no control host, in
/// milliseconds.
const MIN_ROLLBACK_MS: u64 = 2_000;

/// Where a node listens. An address that its role does not use may be left out.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct ListenSettings {
    /// For callers; entry hosts only.
    pub callers: Option<SocketAddr>,
    /// For the load balancer's question whether the host is ready; entry hosts only.
    pub readiness: Option<SocketAddr>,
    /// For operators and heartbeats; control hosts only.
    pub operators: Option<SocketAddr>,
    /// For other processes of the system, as it is told to them.
    pub peers: Option<SocketAddr>,
    /// Where this process takes them, where that is another address: behind a relay or a translation
    /// of addresses.
    pub peers_bind: Option<SocketAddr>,
    /// For the metrics page.
    pub metrics: Option<SocketAddr>,
}

impl ListenSettings {
    /// Returns where this process takes peers that call it at `told`.
    pub(crate) fn peer_bind_address(&self, told: SocketAddr) -> SocketAddr {
        self.peers_bind.unwrap_or(told)
    }
}

/// The cluster of control hosts.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ClusterSettings {
    /// Addresses of some control hosts. Their port is not used: processes reach each other at the
    /// peer port of this host.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the very first start of the whole system.
    #[serde(default)]
    pub first_start: bool,
    /// Data folder; control hosts only.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// How processes prove themselves to each other: `none`, or the path of a key file.
    pub peer_keys: String,
}

/// Spans of time, in milliseconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct TimeSettings {
    /// Between two heartbeats of a target.
    pub heartbeat_ms: u64,
    /// From the request of a planned stop to the end of the process, at most.
    pub stop_ms: u64,
    /// From the request of a planned stop until connections are closed; longer than the load
    /// balancer needs to see it.
    pub leave_ms: u64,
}

impl Default for TimeSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_200,
            stop_ms: 8_000,
            leave_ms: 2_600,
        }
    }
}

/// The budget of repeated sendings of the whole fleet, for each service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct RetrySettings {
    /// Repeats as a part of the requests.
    pub ratio: f64,
    /// Repeats beyond that.
    pub slack: f64,
    /// The window in which both are counted, in milliseconds.
    pub window_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window_ms: 10_000,
        }
    }
}

/// Switches and bounds of the policies by which entry hosts decide.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct PolicySettings {
    /// Bytes of calls to stage targets that a host which gathers them sends in a second by itself; what
    /// is more goes through other hosts. The default is a fifth of a link of 10 Mbit/s, the slowest
    /// that the system is designed for.
    pub shared_bytes_per_s: f64,
    /// How long a request waits at most, on a host that has just started, for the first configuration and
    /// the first targets, in milliseconds. A configuration comes within 0.7 s of the start of a whole
    /// fleet, each target with its next heartbeat, 1.2 s at most. When 94 hosts lost their power, 340
    /// callers were sent away in that time and 107 more for want of targets, and used up the one
    /// return that they had.
    pub start_patience_ms: u64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            shared_bytes_per_s: 250_000.0,
            start_patience_ms: 1_200,
        }
    }
}

/// What is wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub path: String,
    /// Every fault, by its place.
    pub errors: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings file {}: {}", self.path, self.errors.join("; "))
    }
}

impl std::error::Error for SettingsError {}

/// What a node does, which decides what it needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NodeRole {
    Control,
    Entry,
}

impl NodeSettings {
    /// Reads and checks a settings file. `overrides` are `PLACE=VALUE`, each taking the place of
    /// what the file says, as in `listen.metrics=127.0.0.1:9000`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every fault.
    pub(crate) fn load(
        path: &Path,
        overrides: &[String],
        role: NodeRole,
    ) -> Result<Self, SettingsError> {
        let fault = |errors| SettingsError {
            path: path.display().to_string(),
            errors,
        };
        let text = std::fs::read_to_string(path).map_err(|error| fault(vec![error.to_string()]))?;
        let settings = Self::parse(&text, overrides).map_err(|error| fault(vec![error]))?;
        let faults = settings.check(role);
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(fault(faults))
        }
    }

    fn parse(text: &str, overrides: &[String]) -> Result<Self, String> {
        let mut table: toml::Table = text.parse().map_err(|error| format!("{error}"))?;
        for one in overrides {
            override_value(&mut table, one)?;
        }
        // Fields of a newer form are passed over.
        table.try_into().map_err(|error| format!("{error}"))
    }

    fn check(&self, role: NodeRole) -> Vec<String> {
        let mut faults = Vec::new();
        let mut require = |holds: bool, fault: &str| {
            if !holds {
                faults.push(fault.to_owned());
            }
        };
        require(!self.name.is_empty(), "name: empty");
        require(!self.hall.is_empty(), "hall: empty");
        require(!self.cluster.seeds.is_empty(), "cluster.seeds: empty");
        require(self.listen.peers.is_some(), "listen.peers: missing");
        require(self.times.heartbeat_ms > 0, "times.heartbeat_ms: 0");
        require(
            self.times.leave_ms < self.times.stop_ms,
            "times.leave_ms: not below times.stop_ms",
        );
        require(
            self.retry.ratio >= 0.0 && self.retry.slack >= 0.0,
            "retry.ratio, retry.slack: below 0",
        );
        require(
            self.policy.shared_bytes_per_s >= 0.0,
            "policy.shared_bytes_per_s: below 0",
        );
        let rollout = &self.rollout;
        require(
            rollout.exposure_share > 0.0 && rollout.exposure_share <= 1.0,
            "rollout.exposure_share: not above 0 and at most 1",
        );
        require(
            rollout.exposure_slack >= 0.0,
            "rollout.exposure_slack: below 0",
        );
        require(
            rollout.rollback_ms >= MIN_ROLLBACK_MS,
            "rollout.rollback_ms: below 2000, in which entry hosts notice that they hear no control host",
        );
        match role {
            NodeRole::Control => {
                require(self.listen.operators.is_some(), "listen.operators: missing");
                require(self.cluster.data.is_some(), "cluster.data: missing");
            }
            NodeRole::Entry => {
                require(self.listen.callers.is_some(), "listen.callers: missing");
                require(self.listen.readiness.is_some(), "listen.readiness: missing");
            }
        }
        faults
    }

    /// Returns the peer addresses of the seeds.
    pub(crate) fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.map_or(0, |peers| peers.port());
        let seeds = self.cluster.seeds.iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

fn override_value(table: &mut toml::Table, text: &str) -> Result<(), String> {
    let wrong = || format!("{text}: wanted PLACE=VALUE");
    let (place, value) = text.split_once('=').ok_or_else(wrong)?;
    let mut names: Vec<&str> = place.split('.').collect();
    let last = names.pop().ok_or_else(wrong)?;
    let mut inner = table;
    for name in names {
        let next = inner
            .entry(name)
            .or_insert_with(|| toml::Value::Table(toml::Table::new()));
        inner = next.as_table_mut().ok_or_else(wrong)?;
    }
    // A value that is no TOML by itself is a text.
    let value = format!("v = {value}")
        .parse::<toml::Table>()
        .ok()
        .and_then(|mut parsed| parsed.remove("v"))
        .unwrap_or_else(|| toml::Value::String(value.to_owned()));
    inner.insert(last.to_owned(), value);
    Ok(())
}
