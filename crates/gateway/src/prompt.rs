//! Prompts of requests to model engines, as callers describe them in headers.

use std::fmt::Write;

use http::HeaderMap;
use serde::{Deserialize, Serialize};

use crate::Refusal;
use crate::caller_headers::{header_text, malformed_header};
use crate::protocol::HeaderNames;
use crate::rendezvous::ScoreKey;

/// Maximum number of parts of one prompt that a log line names.
const MAX_LOGGED_PARTS: usize = 8;

/// Sizes and cacheable parts of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Prompt {
    pub(crate) input_tokens: u64,
    pub(crate) max_output_tokens: u64,
    /// The parts that other requests share, in the order in which they stand in the prompt.
    pub(crate) shared_parts: Vec<PromptPart>,
}

/// A part of a prompt that engines cache for later prompts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// The identifier of the part.
    pub id: String,
    /// The number of its tokens.
    pub tokens: u64,
}

impl Prompt {
    /// Returns the key that sends prompts with the same last shared part to the same engines.
    /// Prompts without shared parts are distributed by their size.
    pub(crate) fn affinity_key(&self) -> ScoreKey {
        match self.last_shared_id() {
            "" => ScoreKey::new(&self.input_tokens.to_string()),
            shared_parts => ScoreKey::new(shared_parts),
        }
    }

    /// Returns the id of the last shared part; empty if there is none.
    pub(crate) fn last_shared_id(&self) -> &str {
        self.shared_parts.last().map_or("", |part| &part.id)
    }

    /// Returns the number of tokens in all shared parts.
    pub(crate) fn shared_tokens(&self) -> u64 {
        self.shared_parts.iter().map(|part| part.tokens).sum()
    }

    /// Returns the identifiers of the shared parts for the log: the last ones if there are many.
    pub(crate) fn describe_parts(&self) -> String {
        let skipped = self.shared_parts.len().saturating_sub(MAX_LOGGED_PARTS);
        let mut text = String::new();
        for part in &self.shared_parts[skipped..] {
            let separator = if text.is_empty() { "" } else { "," };
            let _ = write!(text, "{separator}{}", part.id);
        }
        text
    }

    /// Returns the number of tokens that no other request shares.
    pub(crate) fn unshared_tokens(&self) -> u64 {
        self.input_tokens.saturating_sub(self.shared_tokens())
    }
}

/// Returns the shared parts of a prompt for the log; `-` if there is no prompt.
pub(crate) fn describe_parts(prompt: Option<&Prompt>) -> String {
    prompt.map_or_else(|| "-".to_owned(), Prompt::describe_parts)
}

/// Parses the headers that describe a prompt; returns `None` if the request has none.
pub(crate) fn parse_prompt(
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Result<Option<Prompt>, Refusal> {
    let Some(tokens) = header_text(headers, &names.tokens) else {
        return Ok(None);
    };
    let expected = || malformed_header(headers, &names.tokens, "IN,OUT");
    let (input_tokens, max_output_tokens) = tokens.split_once(',').ok_or_else(expected)?;
    let input_tokens = input_tokens.trim().parse().map_err(|_| expected())?;
    let max_output_tokens = max_output_tokens.trim().parse().map_err(|_| expected())?;
    // A list may be split over several headers of the same name.
    let lines = headers.get_all(&names.prompt_parts).iter();
    let lines: Option<Vec<&str>> = lines.map(|line| line.to_str().ok()).collect();
    let parts = lines.and_then(|lines| lines.into_iter().flat_map(parse_parts).collect());
    let parts: Vec<PromptPart> =
        parts.ok_or_else(|| malformed_header(headers, &names.prompt_parts, "ID:TOKENS,..."))?;
    // The last part belongs to this request alone.
    let shared_parts = parts
        .split_last()
        .map_or(&[][..], |(_, shared_parts)| shared_parts);
    Ok(Some(Prompt {
        input_tokens,
        max_output_tokens,
        shared_parts: shared_parts.to_vec(),
    }))
}

/// Parses one header with parts; yields `None` for a malformed part.
fn parse_parts(line: &str) -> impl Iterator<Item = Option<PromptPart>> {
    let parts = line.split(',').map(str::trim);
    parts.filter(|part| !part.is_empty()).map(|part| {
        let (id, tokens) = part.split_once(':')?;
        Some(PromptPart {
            id: id.to_owned(),
            tokens: tokens.parse().ok()?,
        })
    })
}

#[cfg(test)]
mod tests;
