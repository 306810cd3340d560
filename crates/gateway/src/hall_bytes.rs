//! Bytes of stored results by data hall.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Bytes of results by the data hall that stores them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HallBytes(BTreeMap<String, u64>);

impl HallBytes {
    /// Adds bytes that are stored in a data hall.
    pub(crate) fn add(&mut self, hall: &str, bytes: u64) {
        *self.0.entry(hall.to_owned()).or_default() += bytes;
    }

    /// Returns the data hall with the most bytes, and their number.
    pub(crate) fn heaviest(&self) -> Option<(&str, u64)> {
        let halls = self.0.iter().map(|(hall, bytes)| (hall.as_str(), *bytes));
        halls.max_by_key(|(_, bytes)| *bytes)
    }

    /// Returns the bytes that cross data halls when they are fetched from a target in `hall`.
    pub(crate) fn bytes_crossing_to(&self, hall: &str) -> u64 {
        let others = self.0.iter().filter(|(other, _)| *other != hall);
        others.map(|(_, bytes)| bytes).sum()
    }
}

#[cfg(test)]
mod tests;
