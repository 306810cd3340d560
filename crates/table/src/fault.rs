//! Faults in rows of the table and their locations.

use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::RowKey;

/// Why a cell or a row is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum FaultCause {
    /// The file is not CSV, or does not have the columns of the table.
    #[display("{_0}")]
    NotCsv(String),
    /// The cell `kind` names no kind of row.
    #[display("{_0:?} is no kind; want pipeline, stage, service, account or limit")]
    UnknownKind(String),
    /// A cell that this kind of row requires is empty.
    #[display("the cell is empty, and this kind of row needs it")]
    #[serde(rename = "Missing")]
    EmptyCell,
    /// A cell that this kind of row does not use is not empty.
    #[display("this kind of row has no such cell, but it holds {_0:?}")]
    #[serde(rename = "Unused")]
    UnexpectedCell(String),
    /// A name contains characters that are not allowed, or is too long.
    #[display("{_0:?} is no name; want 1 to 64 of a-z, 0-9, '-', '_' and '.'")]
    BadName(String),
    /// A cell does not hold a whole number within the bounds.
    #[display("{given:?} is not a whole number from {low} to {high}")]
    BadNumber {
        /// The text of the cell.
        given: String,
        /// The minimum allowed.
        low: u32,
        /// The maximum allowed.
        high: u32,
    },
    /// A cell is neither yes nor no.
    #[display("{_0:?} is neither yes nor no")]
    BadFlag(String),
    /// A digest is not 64 hexadecimal digits.
    #[display("{_0:?} is no digest; want 64 hexadecimal digits, several parted by a space")]
    BadDigest(String),
    /// Two rows have the same key.
    #[display("the same row stands twice")]
    #[serde(rename = "Twice")]
    DuplicateRow,
    /// A row refers to a row that does not exist.
    #[display("there is no {_0}")]
    #[serde(rename = "NoSuch")]
    UnknownReference(String),
    /// A row to be deleted is still referenced by another row.
    #[display("{_0} still refers to it")]
    #[serde(rename = "StillUsed")]
    StillReferenced(String),
    /// The positions of a pipeline's stages are not 1, 2, 3 and so on.
    #[display("the stages of {_0} do not stand at 1, 2, 3 and so on")]
    BadPositions(String),
    /// A pipeline has no stages or too many.
    #[display("{pipeline} has {count} stages; expected 1 to {max}")]
    BadStageCount {
        /// The pipeline.
        pipeline: String,
        /// The number of stages after the change.
        count: usize,
        /// The maximum number of stages.
        #[serde(rename = "most")]
        max: usize,
    },
    /// A stage that is not the last one streams.
    #[display("only the last stage may stream")]
    #[serde(rename = "StreamsTooEarly")]
    StreamsBeforeLastStage,
    /// Another account has the same key.
    #[display("account {_0} has the same key")]
    SharedKey(String),
    /// A pipeline and a service have the same name.
    #[display("a pipeline and a service share this name")]
    SharedName,
    /// A row to be deleted does not exist.
    #[display("the row to be deleted does not exist")]
    NothingToDelete,
}

/// A fault and its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowFault {
    /// The line of the file, starting at 1, if the row comes from a file.
    pub line: Option<u64>,
    /// The key of the row, if it could be read.
    pub key: Option<RowKey>,
    /// The column of the invalid cell.
    pub column: String,
    /// Why it is invalid.
    pub cause: FaultCause,
}

impl RowFault {
    /// Creates a fault in a row whose key is known.
    pub fn new(key: RowKey, column: &str, cause: FaultCause) -> Self {
        Self {
            line: None,
            key: Some(key),
            column: column.to_owned(),
            cause,
        }
    }

    /// Sets the line of the file from which the row comes.
    pub fn with_line(mut self, line: Option<u64>) -> Self {
        self.line = line;
        self
    }
}

impl fmt::Display for RowFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}, ")?;
        }
        write!(f, "column {}", self.column)?;
        if let Some(key) = &self.key {
            write!(f, " ({key})")?;
        }
        write!(f, ": {}", self.cause)
    }
}
