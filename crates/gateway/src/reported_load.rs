//! The load that targets tell with their answers.

use http::{HeaderMap, HeaderName};
use serde::{Deserialize, Serialize};

/// What a target has at work and waiting, of all hosts together, when it sends an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReportedLoad {
    /// Requests at work.
    pub(crate) running: u32,
    /// Requests that wait for a slot.
    pub(crate) waiting: u32,
}

impl ReportedLoad {
    /// Reads `RUNNING,WAITING,SLOTS` from a header; nothing where a target does not tell it.
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
