//! The keys of the parts of prompts.

use linnet_quarantine::{PartKey, PartScope, PartSubject};

use crate::prompt::Prompt;

/// Number of parts of one prompt that are considered: the first ones, which many prompts share, and
/// the last ones. The bound keeps the work for one request small.
const FIRST_PARTS: usize = 16;
const LAST_PARTS: usize = 48;

/// Returns the identifiers of the parts of a prompt that are considered.
fn considered_ids(prompt: &Prompt) -> impl Iterator<Item = &str> {
    let parts = &prompt.shared_parts;
    let last = parts.len().saturating_sub(LAST_PARTS).max(FIRST_PARTS);
    let first = &parts[..parts.len().min(FIRST_PARTS)];
    let last = parts.get(last..).unwrap_or_default();
    first.iter().chain(last).map(|part| part.id.as_str())
}

fn scopes(account: &str) -> [PartScope<'_>; 2] {
    [PartScope::Account(account), PartScope::AllAccounts]
}

pub(super) fn part_subjects(service: &str, account: &str, prompt: &Prompt) -> Vec<PartSubject> {
    let ids = considered_ids(prompt);
    let subjects =
        ids.flat_map(|id| scopes(account).map(|scope| PartSubject::new(service, scope, id)));
    subjects.collect()
}

pub(super) fn part_keys(service: &str, account: &str, prompt: &Prompt) -> Vec<PartKey> {
    let ids = considered_ids(prompt);
    let keys = ids.flat_map(|id| scopes(account).map(|scope| PartKey::new(service, scope, id)));
    keys.collect()
}

#[cfg(test)]
mod tests;
