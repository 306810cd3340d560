//! The in-memory part of the replicated log.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{LogPosition, Members};

/// The payload of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogPayload {
    /// No payload; a new leader commits such an entry in order to commit all entries before it.
    Noop,
    /// The members that are in force from this entry on.
    Members(Members),
    /// A command for the state machine. Serialized as a byte block, with the same encoding as a
    /// list of numbers: decoding byte by byte delayed heartbeats, and in unoptimized builds no
    /// command of 4 MB was ever committed.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The index of the entry, from 1.
    pub index: u64,
    /// The term of the leader that created it.
    pub term: u64,
    /// The payload.
    pub payload: LogPayload,
}

impl LogEntry {
    /// Returns the approximate size of the entry in a message, in bytes.
    pub(crate) fn estimated_bytes(&self) -> usize {
        match &self.payload {
            LogPayload::Command(command) => command.len() + 24,
            LogPayload::Members(members) => members.all().count() * 96 + 24,
            LogPayload::Noop => 24,
        }
    }
}

/// The entries after a base position; earlier ones are covered by a snapshot.
#[derive(Debug, Default)]
pub(crate) struct ReplicaLog {
    base: LogPosition,
    entries: VecDeque<LogEntry>,
    /// Estimated size of all entries.
    bytes: usize,
}

impl ReplicaLog {
    pub(crate) fn with_base(base: LogPosition) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Returns the approximate size of all entries, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn base(&self) -> LogPosition {
        self.base
    }

    pub(crate) fn last(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |entry| LogPosition {
            term: entry.term,
            index: entry.index,
        })
    }

    pub(crate) fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the term at an index, unless the log no longer or not yet has it.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Appends the entry with the next index.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.bytes += entry.estimated_bytes();
        self.entries.push_back(entry);
    }

    /// Removes all entries from an index on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1);
        let dropped = self.entries.iter().skip(keep as usize);
        self.bytes -= dropped.map(LogEntry::estimated_bytes).sum::<usize>();
        self.entries.truncate(keep as usize);
    }

    /// Advances the base to an index in the log and removes the entries through it.
    pub(crate) fn compact_through(&mut self, index: u64) {
        while let Some(first) = self.entries.front() {
            if first.index > index {
                return;
            }
            self.base = LogPosition {
                term: first.term,
                index: first.index,
            };
            self.bytes -= first.estimated_bytes();
            self.entries.pop_front();
        }
    }

    /// Returns the entries from an index on.
    pub(crate) fn from(&self, index: u64) -> impl DoubleEndedIterator<Item = &LogEntry> {
        let skip = index.saturating_sub(self.base.index + 1);
        self.entries.iter().skip(skip as usize)
    }

    /// Returns the most recent members in the log, with the index of their entry.
    pub(crate) fn latest_members(&self) -> Option<(u64, &Members)> {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                LogPayload::Members(members) => Some((entry.index, members)),
                _ => None,
            })
    }
}
