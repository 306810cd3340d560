//! The replicated log as a replica holds it in memory.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{LogPosition, Members};

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogPayload {
    /// Nothing; a new leader commits it to commit what stands before it.
    Noop,
    /// The members from this entry on.
    Members(Members),
    /// A command for the state machine. Written as one block, which gives the same bytes as a list of
    /// numbers does: taking them one by one held up heartbeats, and without optimisation no command
    /// of 4 MB was ever committed.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its index, from 1.
    pub index: u64,
    /// The term of the leader that made it.
    pub term: u64,
    /// What it carries.
    pub payload: LogPayload,
}

impl LogEntry {
    /// Returns about how many bytes the entry takes in a message.
    pub(crate) fn estimated_bytes(&self) -> usize {
        match &self.payload {
            LogPayload::Command(command) => command.len() + 24,
            LogPayload::Members(members) => members.all().count() * 96 + 24,
            LogPayload::Noop => 24,
        }
    }
}

/// Entries after a base position; what stands before the base is in a snapshot.
#[derive(Debug, Default)]
pub(crate) struct ReplicaLog {
    base: LogPosition,
    entries: VecDeque<LogEntry>,
    /// Weight of all entries.
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

    /// Returns about how many bytes the entries take.
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

    /// Returns the term at an index, where the log still knows it.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Appends the entry that is due next.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.bytes += entry.estimated_bytes();
        self.entries.push_back(entry);
    }

    /// Drops every entry from an index on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1);
        let dropped = self.entries.iter().skip(keep as usize);
        self.bytes -= dropped.map(LogEntry::estimated_bytes).sum::<usize>();
        self.entries.truncate(keep as usize);
    }

    /// Moves the base up to an index that the log holds, and drops what stands before it.
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

    /// Returns the newest members that the log names, with their index.
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
