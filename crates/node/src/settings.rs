//! The settings file of a node, in TOML. Validation reports all errors at once, each with its key.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct NodeSettings {
    /// Name of this host.
    pub name: String,
    /// Data hall of this host.
    pub hall: String,
    /// Addresses on which it listens.
    pub listen: ListenSettings,
    /// Region of each data hall. Evacuation orders for a hall that is not listed are refused; if
    /// none is listed, any hall is accepted.
    #[serde(default)]
    pub halls: BTreeMap<String, String>,
    /// The cluster of control hosts.
    pub cluster: ClusterSettings,
    /// Time settings.
    #[serde(default)]
    pub times: TimeSettings,
    /// The retry budget.
    #[serde(default)]
    pub retry: RetrySettings,
    /// Limits of the policies of entry hosts.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Policies for overloaded stage pools; entry hosts only.
    #[serde(default)]
    pub overload: OverloadSettings,
    /// Processor time of this host; entry hosts only.
    #[serde(default)]
    pub processor: ProcessorSettings,
    /// Limits on the requests to a version during its roll-out; control hosts only.
    #[serde(default)]
    pub rollout: RolloutSettings,
    /// Connections to targets; entry hosts only.
    #[serde(default)]
    pub targets: TargetSettings,
}

/// Processor time of a host. Entry hosts choose those with more of it to coordinate pools.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct ProcessorSettings {
    /// Share of a core, or a number of cores; 0 if it is not known.
    pub share: f64,
    /// Speed of a core, relative to the other hosts.
    pub speed: f64,
}

impl Default for ProcessorSettings {
    fn default() -> Self {
        Self {
            share: 0.0,
            speed: 1.0,
        }
    }
}

impl ProcessorSettings {
    /// Returns the capacity in thousandths of a core; 0 if it is not known.
    pub(crate) fn capacity(&self) -> u32 {
        (self.share * self.speed * 1_000.0).round() as u32
    }
}

/// Connections to targets.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct TargetSettings {
    /// The address to connect to in place of the registered one, as behind a relay or network
    /// address translation. The port stays the same.
    pub address_map: BTreeMap<IpAddr, IpAddr>,
}

/// Limits on the requests that a version may receive during its roll-out, before it is known to be
/// good.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct RolloutSettings {
    /// Maximum share of the requests of the service that the version receives until the duration of
    /// the roll-out has elapsed.
    pub exposure_share: f64,
    /// Number of requests that it may receive in addition to that share.
    pub exposure_slack: f64,
    /// Maximum time in milliseconds for which a version may still receive requests after it is
    /// found to be bad. At least the time in which entry hosts notice that no control host is
    /// connected.
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

/// Minimum of `rollback_ms`: the time for which an entry host may keep using the last received
/// state of a roll-out after it loses all control hosts.
const MIN_ROLLBACK_MS: u64 = 2_000;

/// Addresses on which a node listens. An address that its role does not use may be omitted.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct ListenSettings {
    /// Address for callers; entry hosts only.
    pub callers: Option<SocketAddr>,
    /// Address for the load balancer's readiness checks; entry hosts only.
    pub readiness: Option<SocketAddr>,
    /// Address for operators and heartbeats; control hosts only.
    pub operators: Option<SocketAddr>,
    /// Address for other processes of the system, as announced to them.
    pub peers: Option<SocketAddr>,
    /// Address to bind for other processes if it differs from the announced one, as behind a relay
    /// or network address translation.
    pub peers_bind: Option<SocketAddr>,
    /// Address for the metrics page.
    pub metrics: Option<SocketAddr>,
}

impl ListenSettings {
    /// Returns the address to bind for peers that connect to the `announced` address.
    pub(crate) fn peer_bind_address(&self, announced: SocketAddr) -> SocketAddr {
        self.peers_bind.unwrap_or(announced)
    }
}

/// The cluster of control hosts.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ClusterSettings {
    /// Addresses of some control hosts. Their ports are ignored: the port of this host's
    /// `listen.peers` is used for all of them.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the complete system.
    #[serde(default)]
    pub first_start: bool,
    /// Data directory; control hosts only.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Authentication between processes: `none`, or the path of a key file.
    pub peer_keys: String,
}

/// Time settings, in milliseconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct TimeSettings {
    /// Interval between heartbeats of a target.
    pub heartbeat_ms: u64,
    /// Maximum time from the request of a planned stop to the end of the process.
    pub stop_ms: u64,
    /// Time from the request of a planned stop until connections are closed; longer than the load
    /// balancer needs to detect that the host is not ready.
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

/// The fleet-wide retry budget, for each service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct RetrySettings {
    /// Maximum retries as a share of the requests.
    pub ratio: f64,
    /// Number of retries allowed in addition to that share.
    pub slack: f64,
    /// Window in which requests and retries are counted, in milliseconds.
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

/// Limits of the policies of entry hosts.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default)]
pub struct PolicySettings {
    /// Maximum bytes per second of calls to stage targets that a coordinator sends itself; it
    /// delegates calls beyond that to other hosts. The default is a fifth of a link of 10 Mbit/s,
    /// the slowest that the system is designed for.
    pub shared_bytes_per_s: f64,
    /// Maximum time in milliseconds for which a request on a host that has just started waits for
    /// the first configuration and the first targets. When a complete fleet starts, the
    /// configuration arrives within 0.7 s, and each target with its next heartbeat, after 1.2 s at
    /// most. When 94 hosts lost power, 340 callers were refused in that time and 107 more for lack
    /// of targets, which used up their only retry.
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

/// Policies for overloaded stage pools. Without a policy, decisions and messages are those of
/// builds that lack it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct OverloadSettings {
    /// Whether waits are forecast from the measured call times and drain rates of the pools, instead
    /// of from their configured times.
    pub measured_waits: bool,
    /// Whether the time since a caller's first attempt counts toward the objective of its request,
    /// and `retry-after` times follow from queues and refusals.
    pub planned_returns: bool,
    /// Whether client accounts that ask for more than their share of an overloaded pool are limited.
    pub fair_shares: bool,
    /// Whether a batch whose coordinator is lost goes to the next live host in succession order
    /// instead of running at the host that submitted it.
    pub ordered_succession: bool,
    /// Whether a host returns the queue of a pool when a better coordinator is reachable.
    pub queue_returns: bool,
    /// Whether a stage target counts as slow only after two late calls in a row.
    pub confirm_slow_targets: bool,
    /// Number of client accounts in the configuration from which on the policies apply. Few accounts
    /// compete little, and a small deployment measures coarsely: with five targets a pool, too many
    /// requests were refused in calm.
    pub min_accounts: usize,
}

/// Errors of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the file.
    pub path: String,
    /// All errors, each with its key.
    pub errors: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings file {}: {}", self.path, self.errors.join("; "))
    }
}

impl std::error::Error for SettingsError {}

/// The role of a node, which determines its required settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NodeRole {
    Control,
    Entry,
}

impl NodeSettings {
    /// Reads and validates a settings file. Each of `overrides` is `PLACE=VALUE` and replaces a
    /// value of the file, as in `listen.metrics=127.0.0.1:9000`.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with all errors found.
    pub(crate) fn load(
        path: &Path,
        overrides: &[String],
        role: NodeRole,
    ) -> Result<Self, SettingsError> {
        let settings_error = |errors| SettingsError {
            path: path.display().to_string(),
            errors,
        };
        let text = std::fs::read_to_string(path)
            .map_err(|error| settings_error(vec![error.to_string()]))?;
        let settings =
            Self::parse(&text, overrides).map_err(|error| settings_error(vec![error]))?;
        let errors = settings.check(role);
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(settings_error(errors))
        }
    }

    fn parse(text: &str, overrides: &[String]) -> Result<Self, String> {
        let mut table: toml::Table = text.parse().map_err(|error| format!("{error}"))?;
        for text in overrides {
            override_value(&mut table, text)?;
        }
        // Unknown fields are ignored, so that files for newer versions can be read.
        table.try_into().map_err(|error| format!("{error}"))
    }

    fn check(&self, role: NodeRole) -> Vec<String> {
        let mut errors = Vec::new();
        let mut require = |is_valid: bool, error: &str| {
            if !is_valid {
                errors.push(error.to_owned());
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
        require(
            self.processor.share >= 0.0 && self.processor.speed >= 0.0,
            "processor.share, processor.speed: below 0",
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
            "rollout.rollback_ms: below 2000, the time in which entry hosts detect the loss of all control hosts",
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
        errors
    }

    /// Returns the peer addresses of the seeds.
    pub(crate) fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.map_or(0, |peers| peers.port());
        let seeds = self.cluster.seeds.iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

fn override_value(table: &mut toml::Table, text: &str) -> Result<(), String> {
    let malformed = || format!("{text}: expected PLACE=VALUE");
    let (place, value) = text.split_once('=').ok_or_else(malformed)?;
    let mut names: Vec<&str> = place.split('.').collect();
    let last = names.pop().ok_or_else(malformed)?;
    let mut inner = table;
    for name in names {
        let next = inner
            .entry(name)
            .or_insert_with(|| toml::Value::Table(toml::Table::new()));
        inner = next.as_table_mut().ok_or_else(malformed)?;
    }
    // A value that is not valid TOML is used as a string, so that overrides need no quotes.
    let value = format!("v = {value}")
        .parse::<toml::Table>()
        .ok()
        .and_then(|mut parsed| parsed.remove("v"))
        .unwrap_or_else(|| toml::Value::String(value.to_owned()));
    inner.insert(last.to_owned(), value);
    Ok(())
}

#[cfg(test)]
mod tests;
