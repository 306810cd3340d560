//! The first message on a peer connection, which says what it is for.

use serde::{Deserialize, Serialize};

/// What a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerGreeting {
    /// Agreement between voters.
    Quorum,
    /// An entry host follows the table.
    Follow,
    /// An entry host asks for claims and deferred requests to be committed.
    Calls,
    /// A process follows the directory of a control host.
    Directory,
    /// A process asks a control host one thing.
    DirectoryCall,
    /// An entry host hands pieces of stages to another.
    Pieces,
}
