//! How a replica's state is laid down in the journal and read back.

use linnet_journal::{JournalError, JournalStep, RecoveredJournal};
use serde::{Deserialize, Serialize};

use crate::log::ReplicaLog;
use crate::{LogEntry, LogPosition, Members, NodeId};

/// A record of the journal.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum StoredRecord {
    /// Term and vote; the newest counts.
    Ballot { term: u64, vote: Option<NodeId> },
    /// An entry. Where an entry of this index or a later one stands, it takes their place.
    Entry(LogEntry),
    /// Entries from this index on are gone.
    Truncate { from: u64 },
}

/// A snapshot of the journal.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct StoredSnapshot {
    /// The last entry whose effect is in `state`.
    pub(crate) last: LogPosition,
    /// The members at that entry.
    pub(crate) members: Members,
    /// The position that the entries kept beside the snapshot follow.
    pub(crate) log_base: LogPosition,
    /// The members at that position.
    pub(crate) base_members: Members,
    /// The state machine.
    #[serde(with = "serde_bytes")]
    pub(crate) state: Vec<u8>,
}

/// What a replica had when it stopped.
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

/// Reads back what a journal holds.
///
/// # Errors
///
/// [`JournalError::Corrupt`] when a record is none of ours or does not follow the one before.
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
            let due = state.log.last().index + 1;
            if entry.index != due {
                let reason = format!("entry {} where {due} is due", entry.index);
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
