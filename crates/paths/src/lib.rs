//! Decides how an entry host reaches targets when a network partition separates it from some of
//! them while other entry hosts still reach them. No sockets and no clock: callers pass the time.
//!
//! - [`PathTable`] holds the path to each target: direct, lost at this host, or down for everyone.
//! - [`PeerTable`] holds the entry hosts that can open connections for this one, and chooses among
//!   them.
//! - [`AnswerTally`] concludes from the answers of peers whether a target is down.
//! - [`tunnel_limit`] bounds what a host opens for others.

mod answer_tally;
mod path_table;
mod peer_table;

pub use answer_tally::{AnswerTally, Certainty, MAX_ASKED, PathVerdict};
pub use path_table::{
    ConnectFailure, ConnectPlan, PathChange, PathTable, RESTORE_INTERVAL, SILENCE_BEFORE_CHECK,
};
pub use peer_table::{PeerAnswer, PeerHost, PeerTable};

/// Maximum number of tunnels that a host serves. Each uses two sockets and at most 96 KiB of
/// buffers.
const MAX_TUNNELS: usize = 256;

/// Number of tunnels that a host serves without connections of its own, as when it has just started.
const BASE_TUNNELS: usize = 32;

/// Tunnels that a host serves for each direct connection of its own. With two of three hosts cut
/// off, the others carry twice their own traffic.
const TUNNELS_PER_CONNECTION: usize = 4;

/// Returns how many tunnels a host serves that has this many direct connections of its own open.
pub fn tunnel_limit(open_connections: usize) -> usize {
    (BASE_TUNNELS + open_connections * TUNNELS_PER_CONNECTION).min(MAX_TUNNELS)
}
