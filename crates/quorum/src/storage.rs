//! Storage of a replica's state in the journal, and its recovery.

use linnet_journal::{JournalError, JournalStep, RecoveredJournal};
use serde::{Deserialize, Serialize};

use crate::log::ReplicaLog;
use crate::{LogEntry, LogPosition, Members, NodeId};

/// A journal record.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum StoredRecord {
    /// Term and vote; the newest record counts.
    Ballot { term: u64, vote: Option<NodeId> },
    /// An entry; it replaces any entry at its index and all later ones.
    Entry(LogEntry),
    /// The entries from this index on are removed.
    Truncate { from: u64 },
}

/// A journal snapshot.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct StoredSnapshot {
    /// The last entry applied to `state`.
    pub(crate) last: LogPosition,
    /// The members at that entry.
    pub(crate) members: Members,
    /// The position before the first entry retained alongside the snapshot.
    pub(crate) log_base: LogPosition,
    /// The members at that position.
    pub(crate) base_members: Members,
    /// The encoded state machine.
    #[serde(with = "serde_bytes")]
    pub(crate) state: Vec<u8>,
}

/// The recovered state of a replica.
#[derive(Debug, Default)]
pub(crate) struct StoredState {
    pub(crate) term: u64,
    pub(crate) vote: Option<NodeId>,
    pub(crate) log: ReplicaLog,
    pub(crate) base_members: Members,
    pub(crate) snapshot: Option<StoredSnapshot>,
}

/// Encodes a record or snapshot.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding into memory cannot fail for these types.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Restores the state from a recovered journal.
///
/// # Errors
///
/// [`JournalError::Corrupt`] if a record cannot be decoded or does not follow the previous one.
pub(crate) fn restore_state(recovered: RecoveredJournal) -> Result<StoredState, JournalError> {
    let mut state = StoredState::default();
    if let Some(bytes) = recovered.snapshot {
        let snapshot: StoredSnapshot =
            postcard::from_bytes(&bytes).map_err(|error| corrupt(0, error.to_string()))?;
        state.log = ReplicaLog::with_base(snapshot.log_base);
        state.base_members = snapshot.base_members.clone();
        state.snapshot = Some(snapshot);
    }
    for (number, bytes) in recovered.records.iter().enumerate() {
        let record = postcard::from_bytes(bytes)
            .map_err(|error| corrupt(number as u64, error.to_string()))?;
        apply_record(&mut state, record, number as u64)?;
    }
    Ok(state)
}

fn apply_record(
    state: &mut StoredState,
    record: StoredRecord,
    number: u64,
) -> Result<(), JournalError> {
    match record {
        StoredRecord::Ballot { term, vote } => {
            state.term = term;
            state.vote = vote;
        }
        StoredRecord::Truncate { from } => state.log.truncate_from(from),
        StoredRecord::Entry(entry) => {
            if entry.index <= state.log.base().index {
                return Ok(());
            }
            state.log.truncate_from(entry.index);
            let expected = state.log.last().index + 1;
            if entry.index != expected {
                let reason = format!("found entry {}, expected entry {expected}", entry.index);
                return Err(corrupt(number, reason));
            }
            state.log.push(entry);
        }
    }
    Ok(())
}

fn corrupt(record: u64, reason: String) -> JournalError {
    JournalError::Corrupt {
        step: JournalStep::Recover,
        path: format!("record {record}").into(),
        offset: 0,
        reason,
    }
}
