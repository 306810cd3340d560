//! Settings of the control daemon.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use linnet_daemon::{OperatorKeys, SettingCheck};
use linnet_wire::PeerKeyRing;

/// A voter of linnetdale: replicates the operators' table and the claims on request keys.
///
/// Runs on hosts with a disk. Its identity is stored in the data folder; with an empty folder it has a
/// new identity and does not participate until an operator forms a cluster or adds it as a member.
#[derive(Debug, Clone, Parser)]
#[command(name = "linnet-control", version)]
pub struct ControlSettings {
    /// Name of this host
    #[arg(long, env = "LINNET_NAME")]
    pub name: String,
    /// Data hall in which this host is located
    #[arg(long, env = "LINNET_HALL")]
    pub hall: String,
    /// Data folder; its content must be durable
    #[arg(long, env = "LINNET_DATA")]
    pub data: PathBuf,
    /// Address for other linnetdale processes, as IP:PORT
    #[arg(long, env = "LINNET_PEER_LISTEN")]
    pub peer_listen: SocketAddr,
    /// Address at which other processes reach --peer-listen, if different
    #[arg(long, env = "LINNET_PEER_ADVERTISE")]
    pub peer_advertise: Option<SocketAddr>,
    /// Address for operators, as IP:PORT
    #[arg(long, env = "LINNET_OPS_LISTEN")]
    pub ops_listen: SocketAddr,
    /// File of shared keys, one `ID HEX` per line; the first is offered, all are accepted
    #[arg(long, env = "LINNET_PEER_KEYS")]
    pub peer_keys: PathBuf,
    /// Digests of operators' keys, separated by commas (see `linnetctl key`)
    #[arg(long, env = "LINNET_OPERATOR_DIGESTS")]
    pub operator_digests: String,
}

/// Validated settings.
pub(crate) struct CheckedControlSettings {
    pub(crate) settings: ControlSettings,
    pub(crate) keys: PeerKeyRing,
    pub(crate) operators: OperatorKeys,
}

impl ControlSettings {
    /// Checks all settings; if any is invalid, returns the check with all errors.
    pub(crate) fn check(self) -> Result<CheckedControlSettings, SettingCheck> {
        let mut check = SettingCheck::new();
        check.require_name("--name", &self.name);
        check.require_name("--hall", &self.hall);
        check.require(
            self.peer_listen != self.ops_listen,
            "--ops-listen",
            self.ops_listen,
            "an address other than --peer-listen",
        );
        let is_usable = !self.data.exists() || self.data.is_dir();
        check.require(
            is_usable,
            "--data",
            self.data.display(),
            "a folder, or a path at which one can be created",
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
        match (keys, operators) {
            (Some(keys), Some(operators)) if check.errors().is_empty() => {
                Ok(CheckedControlSettings {
                    settings: self,
                    keys,
                    operators,
                })
            }
            _ => Err(check),
        }
    }
}
