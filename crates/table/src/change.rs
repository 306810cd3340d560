//! A change to the table, applied or refused atomically.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{RowFault, RowKey, TableRow};

/// Rows to insert or replace and rows to delete, based on a stated version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChange {
    /// Idempotency key of the change; a repeated key gets the same reply as the first time.
    pub change_key: String,
    /// The operator who sent the change, shown in the timeline.
    pub author: String,
    /// The version on which the operator based the change.
    pub base_version: u64,
    /// Whether the change may be applied to a later version if none of its rows has changed since.
    pub rebase: bool,
    /// Rows to insert, or to replace where a row with the same key exists.
    pub upserts: Vec<TableRow>,
    /// Keys of the rows to delete.
    pub deletes: Vec<RowKey>,
}

impl TableChange {
    /// Returns the keys of all rows that the change writes or deletes.
    pub fn touched_keys(&self) -> impl Iterator<Item = RowKey> + '_ {
        let upserted = self.upserts.iter().map(TableRow::key);
        upserted.chain(self.deletes.iter().cloned())
    }
}

/// A conflict: the change is based on a version that is not the current one.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("the table is at version {current}; rows changed on both sides: {}", clashing.len())]
pub struct ChangeConflict {
    /// The current version.
    pub current: u64,
    /// Rows of the change that other changes have modified since its base version.
    pub clashing: Vec<RowKey>,
}

/// Why a change was refused; no part of it was applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum ChangeRefusal {
    /// The base version is not the current one, and the change cannot be rebased.
    #[display("{_0}")]
    Conflict(ChangeConflict),
    /// Rows are invalid; all faults are listed.
    #[display("the change has {} invalid cells or rows", _0.len())]
    Faults(Vec<RowFault>),
    /// The change key was already used for another change.
    #[display("the change key was already used for another change, applied as version {_0}")]
    KeyReused(u64),
}
