//! Settings of the control daemon.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use linnet_daemon::{OperatorKeys, SettingCheck};
use linnet_wire::PeerKeyRing;

/// A voter of linnetdale: keeps the operators' table and the claims on request keys.
///
/// Runs on hosts with a disk. Its identity is in the data folder; a blank folder is a new identity
/// and takes part in nothing until an operator forms a cluster or adds it as a member.
#[derive(Debug, Clone, Parser)]
#[command(name = "linnet-control", version)]
pub struct ControlSettings {
    /// Name of this host
    #[arg(long, env = "LINNET_NAME")]
    pub name: String,
    /// Data hall that this host stands in
    #[arg(long, env = "LINNET_HALL")]
    pub hall: String,
    /// Data folder; what is in it must survive
    #[arg(long, env = "LINNET_DATA")]
    pub data: PathBuf,
    /// Address for other linnetdale processes, as IP:PORT
    #[arg(long, env = "LINNET_PEER_LISTEN")]
    pub peer_listen: SocketAddr,
    /// Address at which other processes reach --peer-listen, where that is another
    #[arg(long, env = "LINNET_PEER_ADVERTISE")]
    pub peer_advertise: Option<SocketAddr>,
    /// Address for operators, as IP:PORT
    #[arg(long, env = "LINNET_OPS_LISTEN")]
    pub ops_listen: SocketAddr,
    /// File of shared keys, one `ID HEX` a line; the first is offered, all are accepted
    #[arg(long, env = "LINNET_PEER_KEYS")]
    pub peer_keys: PathBuf,
    /// Digests of operators' keys, parted by commas (see `linnetctl key`)
    #[arg(long, env = "LINNET_OPERATOR_DIGESTS")]
    pub operator_digests: String,
}

/// Settings that passed their checks.
pub(crate) struct CheckedControlSettings {
    pub(crate) settings: ControlSettings,
    pub(crate) keys: PeerKeyRing,
    pub(crate) operators: OperatorKeys,
}

impl ControlSettings {
    /// Checks every setting; all faults are in the check where anything is wrong.
    pub(crate) fn check(self) -> Result<CheckedControlSettings, SettingCheck> {
        let mut check = SettingCheck::new();
        check.require_name("--name", &self.name);
        check.require_name("--hall", &self.hall);
        check.require(
            self.peer_listen != self.ops_listen,
            "--ops-listen",
            self.ops_listen,
            "another address than --peer-listen",
        );
        let usable = !self.data.exists() || self.data.is_dir();
        check.require(
            usable,
            "--data",
            self.data.display(),
            "a folder, or a path to make one at",
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
            (Some(keys), Some(operators)) if check.faults().is_empty() => {
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
