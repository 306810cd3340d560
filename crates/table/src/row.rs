//! Rows of the table and the keys that identify them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The digest of an account key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Computes the digest of an account key as a caller presents it.
    pub fn of_key(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }

    /// Parses a digest of 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(text).ok()?;
        Some(Self(*hash.as_bytes()))
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(other.0)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// Limits that apply across all entry hosts together; `None` sets no limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RowLimits {
    /// Requests per second.
    pub rate: Option<u32>,
    /// Concurrent requests.
    pub in_flight: Option<u32>,
    /// Generated tokens per second.
    pub tokens: Option<u32>,
}

/// A pipeline: a chain of stages under one deadline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PipelineRow {
    /// The name that callers use.
    pub pipeline: String,
    /// The longest deadline that a caller may request, in milliseconds.
    pub deadline_ms: u32,
    /// Whether a request may run more than once, unless the caller states otherwise.
    pub repeatable: bool,
}

/// One stage of a pipeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRow {
    /// The pipeline that the stage belongs to.
    pub pipeline: String,
    /// The name of the stage.
    pub stage: String,
    /// Its position in the chain, starting at 1.
    pub position: u32,
    /// The pool of targets that runs the stage.
    pub pool: String,
    /// Whether its response is a stream of tokens; only the last stage may stream.
    pub streams: bool,
}

/// A plain service to which requests are routed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// The name that callers use.
    pub service: String,
    /// The pool of targets that serves its requests.
    pub pool: String,
    /// The longest deadline that a caller may request, in milliseconds.
    pub deadline_ms: u32,
    /// Whether a request may run more than once, unless the caller states otherwise.
    pub repeatable: bool,
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRow {
    /// The name of the account.
    pub account: String,
    /// Its weight relative to other accounts when a stage is contended.
    pub weight: u32,
    /// Limits on all pipelines and services together.
    pub limits: RowLimits,
    /// Digests of the valid account keys; more than one during key rotation.
    pub key_digests: Vec<KeyDigest>,
}

/// Weight and limits of one account on one pipeline or plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRow {
    /// The account.
    pub account: String,
    /// The pipeline or plain service.
    pub pipeline: String,
    /// The weight on this route, in place of that of the account.
    pub weight: Option<u32>,
    /// Limits that apply in addition to those of the account.
    pub limits: RowLimits,
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableRow {
    /// A pipeline.
    Pipeline(PipelineRow),
    /// A stage of a pipeline.
    Stage(StageRow),
    /// A plain service.
    Service(ServiceRow),
    /// A client account.
    Account(AccountRow),
    /// Limits of one account on one pipeline or service.
    Limit(LimitRow),
}

/// The key of a row: its kind and its key cells.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RowKey {
    /// The name of a pipeline.
    Pipeline(String),
    /// The pipeline and name of a stage.
    Stage(String, String),
    /// The name of a plain service.
    Service(String),
    /// The name of a client account.
    Account(String),
    /// The account and the pipeline or service of a limit row.
    Limit(String, String),
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RowKey::Pipeline(pipeline) => write!(f, "pipeline {pipeline}"),
            RowKey::Stage(pipeline, stage) => write!(f, "stage {pipeline}/{stage}"),
            RowKey::Service(service) => write!(f, "service {service}"),
            RowKey::Account(account) => write!(f, "account {account}"),
            RowKey::Limit(account, pipeline) => write!(f, "limit {account} on {pipeline}"),
        }
    }
}

impl TableRow {
    /// Returns the key of the row.
    pub fn key(&self) -> RowKey {
        match self {
            TableRow::Pipeline(row) => RowKey::Pipeline(row.pipeline.clone()),
            TableRow::Stage(row) => RowKey::Stage(row.pipeline.clone(), row.stage.clone()),
            TableRow::Service(row) => RowKey::Service(row.service.clone()),
            TableRow::Account(row) => RowKey::Account(row.account.clone()),
            TableRow::Limit(row) => RowKey::Limit(row.account.clone(), row.pipeline.clone()),
        }
    }
}
