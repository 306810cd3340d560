//! What is wrong with a row, and where.

use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::RowKey;

/// What is wrong with a cell or a row.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum FaultCause {
    /// The file is not CSV with the columns of the table.
    #[display("{_0}")]
    NotCsv(String),
    /// The kind is none of the table's.
    #[display("{_0:?} is no kind; want pipeline, stage, service, account or limit")]
    UnknownKind(String),
    /// A cell that the kind needs is empty.
    #[display("the cell is empty, and this kind of row needs it")]
    #[serde(rename = "Missing")]
    EmptyCell,
    /// A cell that the kind does not have is filled.
    #[display("this kind of row has no such cell, but it holds {_0:?}")]
    #[serde(rename = "Unused")]
    UnexpectedCell(String),
    /// A name has other than the allowed characters or length.
    #[display("{_0:?} is no name; want 1 to 64 of a-z, 0-9, '-', '_' and '.'")]
    BadName(String),
    /// A number is none, or outside its bounds.
    #[display("{given:?} is not a whole number from {low} to {high}")]
    BadNumber {
        /// What the cell holds.
        given: String,
        /// The least allowed.
        low: u32,
        /// The greatest allowed.
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
    /// A row refers to another that is not there.
    #[display("there is no {_0}")]
    #[serde(rename = "NoSuch")]
    UnknownReference(String),
    /// A row is to be deleted while others refer to it.
    #[display("{_0} still refers to it")]
    #[serde(rename = "StillUsed")]
    StillReferenced(String),
    /// The positions of a pipeline's stages are not 1, 2, 3 and so on.
    #[display("the stages of {_0} do not stand at 1, 2, 3 and so on")]
    BadPositions(String),
    /// A pipeline has no stage, or more than the limit.
    #[display("{pipeline} has {count} stages; want 1 to {max}")]
    BadStageCount {
        /// The pipeline.
        pipeline: String,
        /// The stages that it would have.
        count: usize,
        /// The most it may have.
        #[serde(rename = "most")]
        max: usize,
    },
    /// A stage streams although another stage follows it.
    #[display("only the last stage may stream")]
    #[serde(rename = "StreamsTooEarly")]
    StreamsBeforeLastStage,
    /// Two accounts would share a key.
    #[display("account {_0} has the same key")]
    SharedKey(String),
    /// A pipeline and a service would share a name.
    #[display("a pipeline and a service share this name")]
    SharedName,
    /// A row to be deleted is not there.
    #[display("there is no such row to delete")]
    NothingToDelete,
}

/// A fault with its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowFault {
    /// The line of the file, from 1, where the row came from a file.
    pub line: Option<u64>,
    /// The row, where its key could be read.
    pub key: Option<RowKey>,
    /// The column at fault.
    pub column: String,
    /// What is wrong.
    pub cause: FaultCause,
}

impl RowFault {
    /// Creates a fault of a row whose key is known.
    pub fn new(key: RowKey, column: &str, cause: FaultCause) -> Self {
        Self {
            line: None,
            key: Some(key),
            column: column.to_owned(),
            cause,
        }
    }

    /// Sets the line of the file.
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
