//! The load that targets report with their responses.

use http::{HeaderMap, HeaderName};
use serde::{Deserialize, Serialize};

/// The running and waiting requests of a target, from all hosts together, when it sends a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReportedLoad {
    pub(crate) running: u32,
    /// Requests that wait for a slot.
    pub(crate) waiting: u32,
}

impl ReportedLoad {
    /// Returns the number of running and waiting requests.
    pub(crate) fn calls(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Parses `RUNNING,WAITING,SLOTS` from a header; returns `None` if the target does not report
    /// its load.
    pub(crate) fn read(headers: &HeaderMap, name: &HeaderName) -> Option<Self> {
        let text = headers.get(name)?.to_str().ok()?;
        let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
        let load = Self {
            running: numbers.next()??,
            waiting: numbers.next()??,
        };
        numbers.next()??;
        Some(load)
    }
}

#[cfg(test)]
mod tests;
