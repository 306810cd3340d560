//! The difference between two tables.

use std::collections::HashMap;

use crate::{RowKey, TableRow};

/// Rows that turn one table into another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowDiff {
    /// Rows that are new or changed.
    pub upserts: Vec<TableRow>,
    /// Keys of the rows that are removed.
    pub deletes: Vec<RowKey>,
}

impl RowDiff {
    /// Returns whether both tables are the same.
    pub fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.deletes.is_empty()
    }
}

/// Returns the rows that turn `old` into `new`.
pub fn diff_rows(old: &[TableRow], new: &[TableRow]) -> RowDiff {
    let old_by_key: HashMap<RowKey, &TableRow> = old.iter().map(|row| (row.key(), row)).collect();
    let new_by_key: HashMap<RowKey, &TableRow> = new.iter().map(|row| (row.key(), row)).collect();
    let upserts = new
        .iter()
        .filter(|row| old_by_key.get(&row.key()) != Some(row))
        .cloned()
        .collect();
    let deletes = old
        .iter()
        .map(TableRow::key)
        .filter(|key| !new_by_key.contains_key(key))
        .collect();
    RowDiff { upserts, deletes }
}
