//! The first message on a peer connection, which states the purpose of the connection.

use serde::{Deserialize, Serialize};

/// Purpose of a peer connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerGreeting {
    /// Consensus between voters.
    Quorum,
    /// An entry host replicates the table.
    Follow,
    /// An entry host requests commits of claims and deferred requests.
    Calls,
    /// A process subscribes to the directory of a control host.
    Directory,
    /// A process sends one request to a control host.
    DirectoryCall,
    /// An entry host sends pieces of stages to another one.
    Pieces,
    /// An entry host opens a connection to a target through another one.
    Tunnel,
}
