//! Where results lie: bytes by data hall.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Bytes of results by the data hall in which they lie.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HallBytes(BTreeMap<String, u64>);

impl HallBytes {
    /// Adds bytes that lie in a hall.
    pub(crate) fn add(&mut self, hall: &str, bytes: u64) {
        *self.0.entry(hall.to_owned()).or_default() += bytes;
    }

    /// Returns the hall with the most bytes, and how many they are.
    pub(crate) fn heaviest(&self) -> Option<(&str, u64)> {
        let halls = self.0.iter().map(|(hall, bytes)| (hall.as_str(), *bytes));
        halls.max_by_key(|(_, bytes)| *bytes)
    }

    /// Returns the bytes that cross halls when they are fetched from a target in `hall`.
    pub(crate) fn bytes_crossing_to(&self, hall: &str) -> u64 {
        let others = self.0.iter().filter(|(other, _)| *other != hall);
        others.map(|(_, bytes)| bytes).sum()
    }
}

#[cfg(test)]
mod tests;
