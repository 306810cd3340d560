//! When a planned stop began, and until when it lets requests run.

use std::time::Instant;

/// The times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StopTime {
    pub(crate) began: Instant,
    /// When requests still in flight are aborted.
    pub(crate) deadline: Instant,
}
