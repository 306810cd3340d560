//! Settings of the entry daemon.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use linnet_daemon::{OperatorKeys, SettingCheck};
use linnet_dispatch::PolicyChoice;
use linnet_wire::PeerKeyRing;

/// The maximum number of threads that serve callers.
const MAX_WORKERS: usize = 64;

/// An entry host of linnetdale: accepts callers' requests and sends each stage to a target.
///
/// Needs no disk. Serves requests once it has the operators' table and a host list.
#[derive(Debug, Clone, Parser)]
#[command(name = "linnet-entry", version)]
pub struct EntrySettings {
    /// Name of this host
    #[arg(long, env = "LINNET_NAME")]
    pub name: String,
    /// Data hall of this host
    #[arg(long, env = "LINNET_HALL")]
    pub hall: String,
    /// Address for callers, as IP:PORT
    #[arg(long, env = "LINNET_CALLER_LISTEN")]
    pub caller_listen: SocketAddr,
    /// Address for other linnetdale processes, TCP and UDP, as IP:PORT
    #[arg(long, env = "LINNET_PEER_LISTEN")]
    pub peer_listen: SocketAddr,
    /// Address for operators, as IP:PORT
    #[arg(long, env = "LINNET_OPS_LISTEN")]
    pub ops_listen: SocketAddr,
    /// Peer addresses of the control hosts, separated by commas, nearest first
    #[arg(long, env = "LINNET_CONTROL", value_delimiter = ',')]
    pub control: Vec<SocketAddr>,
    /// Peer addresses of the entry hosts of this hall, separated by commas; may include its own
    #[arg(long, env = "LINNET_HALL_PEERS", value_delimiter = ',')]
    pub hall_peers: Vec<SocketAddr>,
    /// Address of the platform's host list, as IP:PORT
    #[arg(long, env = "LINNET_HOST_LIST")]
    pub host_list: SocketAddr,
    /// File of shared keys, one `ID HEX` per line; the first is offered, all are accepted
    #[arg(long, env = "LINNET_PEER_KEYS")]
    pub peer_keys: PathBuf,
    /// Digests of operators' keys, separated by commas (see `linnetctl key`)
    #[arg(long, env = "LINNET_OPERATOR_DIGESTS")]
    pub operator_digests: String,
    /// Threads that serve callers
    #[arg(long, env = "LINNET_WORKERS", default_value_t = 1)]
    pub workers: usize,
    /// Dispatch policy: linnetdale, or a baseline for comparison
    #[arg(long, env = "LINNET_POLICY", default_value = "linnetdale")]
    pub policy: String,
    /// At a planned stop: how long the host reports that it is not ready before it refuses
    /// requests, in milliseconds; must exceed the time the load balancer needs to notice
    #[arg(long, env = "LINNET_DRAIN_MS", default_value_t = 3_000)]
    pub drain_ms: u64,
    /// At a planned stop: the maximum wait for requests in flight, in milliseconds
    #[arg(long, env = "LINNET_STOP_MS", default_value_t = 60_000)]
    pub stop_ms: u64,
    /// Timeout of a claim on a request key, after which the request is refused as not run, in
    /// milliseconds
    #[arg(long, env = "LINNET_CLAIM_MS", default_value_t = 400)]
    pub claim_ms: u64,
    /// How long a host that runs a deferred request may be silent before another host takes it
    /// over, in milliseconds
    #[arg(long, env = "LINNET_DEFERRED_LEASE_MS", default_value_t = 15_000)]
    pub deferred_lease_ms: u64,
}

/// Validated settings.
pub(crate) struct CheckedEntry {
    pub(crate) settings: EntrySettings,
    pub(crate) keys: PeerKeyRing,
    pub(crate) operators: OperatorKeys,
    pub(crate) policy: PolicyChoice,
}

impl EntrySettings {
    /// Validates all settings. The returned check lists every error.
    pub(crate) fn check(self) -> Result<CheckedEntry, SettingCheck> {
        let mut check = SettingCheck::new();
        check.require_name("--name", &self.name);
        check.require_name("--hall", &self.hall);
        let distinct =
            self.caller_listen != self.ops_listen && self.caller_listen != self.peer_listen;
        check.require(
            distinct,
            "--caller-listen",
            self.caller_listen,
            "another address than --ops-listen and --peer-listen",
        );
        check.require(
            !self.control.is_empty(),
            "--control",
            "",
            "at least one address",
        );
        let workers = (1..=MAX_WORKERS).contains(&self.workers);
        check.require(
            workers,
            "--workers",
            self.workers,
            format!("1 to {MAX_WORKERS}"),
        );
        let claim = (10..=10_000).contains(&self.claim_ms);
        check.require(claim, "--claim-ms", self.claim_ms, "10 to 10000");
        let lease = (500..=600_000).contains(&self.deferred_lease_ms);
        check.require(
            lease,
            "--deferred-lease-ms",
            self.deferred_lease_ms,
            "500 to 600000",
        );
        let keys = check.check_result(
            PeerKeyRing::load(&self.peer_keys),
            "--peer-keys",
            self.peer_keys.display(),
        );
        let operators = check.check_result(
            OperatorKeys::parse(&self.operator_digests),
            "--operator-digests",
            &self.operator_digests,
        );
        let policy = PolicyChoice::from_name(&self.policy)
            .ok_or_else(|| format!("one of {}", PolicyChoice::NAMES.join(", ")));
        let policy = check.check_result(policy, "--policy", &self.policy);
        match (keys, operators, policy) {
            (Some(keys), Some(operators), Some(policy)) if check.errors().is_empty() => {
                Ok(CheckedEntry {
                    settings: self,
                    keys,
                    operators,
                    policy,
                })
            }
            _ => Err(check),
        }
    }
}
