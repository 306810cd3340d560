//! A change of the table, taken as a whole or refused as a whole.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{RowFault, RowKey, TableRow};

/// Rows to put and rows to delete, from a stated version on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChange {
    /// Names the change; the same key sent again is answered as the first time.
    pub change_key: String,
    /// The operator that sent it, for the time line.
    pub author: String,
    /// The version that the operator saw.
    pub base_version: u64,
    /// Whether the change may be taken on a later version when none of its rows changed since.
    pub rebase: bool,
    /// Rows that are new or take the place of the one with the same key.
    pub upserts: Vec<TableRow>,
    /// Rows that go.
    pub deletes: Vec<RowKey>,
}

impl TableChange {
    /// Returns the keys of every row that the change touches.
    pub fn touched_keys(&self) -> impl Iterator<Item = RowKey> + '_ {
        let upserted = self.upserts.iter().map(TableRow::key);
        upserted.chain(self.deletes.iter().cloned())
    }
}

/// A change from a version that is no longer the newest.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("the table is at version {current}; rows changed on both sides: {}", clashing.len())]
pub struct ChangeConflict {
    /// The version in force.
    pub current: u64,
    /// Rows of the change that others changed since its base version.
    pub clashing: Vec<RowKey>,
}

/// Why a change was refused; nothing of it was taken.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum ChangeRefusal {
    /// It is from an older version and may not be rebased.
    #[display("{_0}")]
    Conflict(ChangeConflict),
    /// Rows are at fault; all of them are listed.
    #[display("{} rows are at fault", _0.len())]
    Faults(Vec<RowFault>),
    /// Another change was taken under the same key.
    #[display("the change key was used for another change, taken as version {_0}")]
    KeyReused(u64),
}
