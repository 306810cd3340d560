//! Keys that identify a part of prompts, and the evidence about it, across hosts.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::RequestKey;
use crate::key::{KEY_BYTES, first_bytes, hash_texts};

/// The requests whose evidence about a part is taken together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartScope<'a> {
    /// Those of one account. Crashes under its requests do not restrict other accounts.
    Account(&'a str),
    /// Those of all accounts. Only crashes under requests of several accounts restrict them all.
    AllAccounts,
}

/// Identifies a part of prompts: a hash of the service, the scope and the identifier that callers
/// give the part. Its place in the prompt, the model and the rest of the request are not included,
/// since the part crashes targets whatever they are.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartKey([u8; KEY_BYTES]);

impl PartKey {
    /// Creates the key of a part.
    pub fn new(service: &str, scope: PartScope<'_>, id: &str) -> Self {
        let (scope, account) = match scope {
            PartScope::Account(account) => ("account", account),
            PartScope::AllAccounts => ("all", ""),
        };
        Self(first_bytes(&hash_texts(&[service, scope, account, id])))
    }

    /// Returns the key under which trials of the part are permitted.
    pub fn permit_key(self) -> RequestKey {
        RequestKey::from_bytes(self.0)
    }
}

impl From<RequestKey> for PartKey {
    fn from(key: RequestKey) -> Self {
        Self(key.bytes())
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.permit_key().fmt(f)
    }
}

impl fmt::Debug for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Distinguishes the origins of crashes under one part: requests within the scope of an account,
/// accounts within the scope of all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OriginTag(u32);

impl OriginTag {
    /// Creates the tag of a request.
    pub fn of_request(key: RequestKey) -> Self {
        let [a, b, c, d, ..] = key.bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }

    /// Creates the tag of an account.
    pub fn of_account(account: &str) -> Self {
        Self(u32::from_le_bytes(first_bytes(&hash_texts(&[account]))))
    }
}

/// Distinguishes completed runs.
///
/// A long answer counts before its end, and its target may crash after all. Records only grow, so a second
/// tag then retracts the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunTag(u64);

impl RunTag {
    /// Creates the tag of a run from a random number.
    pub fn new(number: u64) -> Self {
        Self(number << 1)
    }

    /// Returns the tag that retracts this run.
    pub(super) fn retraction(self) -> Self {
        Self(self.0 | 1)
    }

    /// Returns the run that this tag retracts, if it is in a record with that run. Hosts of earlier builds
    /// have runs with such tags.
    pub(super) fn retracted_run(self) -> Option<Self> {
        (self.0 & 1 == 1).then(|| Self(self.0 - 1))
    }
}
