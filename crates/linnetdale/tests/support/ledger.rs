//! Compares what callers were told with what targets really ran.

use linnetdale::fakes::expected_tokens;
use serde_json::{Value, json};

use super::http::{CallerAnswer, CallerRequest};
use super::world::{STAGES, World};

/// One request of a test with its answer; no answer where the caller lost its connection.
pub struct Told {
    pub marker: String,
    pub once: bool,
    pub answer: Option<CallerAnswer>,
}

/// Returns an input whose marker nobody else uses.
pub fn marked_input(marker: &str) -> Value {
    json!({ "marker": marker, "tokens": 6 })
}

/// Returns a request to the tests' pipeline.
pub fn marked_request(marker: &str) -> CallerRequest {
    CallerRequest::to_pipeline("yard-desk", &marked_input(marker))
}

/// Returns every difference between what a caller was told and what ran; empty when all is well.
pub fn differences(world: &World, told: &Told) -> Vec<String> {
    let mut found = Vec::new();
    let runs: Vec<_> = STAGES[..4]
        .iter()
        .map(|(_, stage, _)| (*stage, world.runs(&format!("{stage}-"), &told.marker)))
        .collect();
    let mut note = |text: String| found.push(format!("{}: {text}; ran {runs:?}", told.marker));
    if told.once && runs.iter().any(|(_, count)| *count > 1) {
        note("ran more than once".to_owned());
    }
    let Some(answer) = &told.answer else {
        return found;
    };
    match answer.ran().as_str() {
        "whole" => {
            let stages = ["encode", "retrieve", "rerank"];
            let wanted = expected_tokens(&stages, &marked_input(&told.marker));
            if answer.tokens().as_ref() != Some(&wanted) {
                note(format!("not its own whole answer: {answer:?}"));
            }
            if runs.iter().any(|(_, count)| *count == 0) {
                note("an answer without a run".to_owned());
            }
        }
        "no" => {
            let own = world.runs_of_request(&answer.request);
            if own > 0 {
                note(format!("told that this sending did not run: {answer:?}"));
            }
            // Another sending under the key ran: then the answer must leave that open.
            let others = runs.iter().any(|(_, count)| *count > own);
            if others && !answer.earlier_unknown() {
                note(format!("told that no sending ran: {answer:?}"));
            }
        }
        _ => {}
    }
    found
}
