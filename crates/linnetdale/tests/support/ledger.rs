//! Compares the responses to callers with the runs recorded by targets.

use linnetdale::fakes::expected_tokens;
use serde_json::{Value, json};

use super::http::{CallerRequest, CallerResponse};
use super::testbed::{STAGES, Testbed};

/// One request of a test with its response; `None` if the caller lost its connection.
pub struct RequestRecord {
    pub marker: String,
    pub once: bool,
    pub response: Option<CallerResponse>,
}

/// Returns an input with a marker that identifies its runs.
pub fn marked_input(marker: &str) -> Value {
    json!({ "marker": marker, "tokens": 6 })
}

/// Returns a request with a marker to the pipeline of the tests.
pub fn marked_request(marker: &str) -> CallerRequest {
    CallerRequest::to_pipeline("yard-desk", &marked_input(marker))
}

/// Returns all contradictions between a response and the recorded runs.
pub fn differences(testbed: &Testbed, record: &RequestRecord) -> Vec<String> {
    let mut found = Vec::new();
    let runs: Vec<_> = STAGES[..4]
        .iter()
        .map(|(_, stage, _)| (*stage, testbed.runs(&format!("{stage}-"), &record.marker)))
        .collect();
    let mut add = |text: String| found.push(format!("{}: {text}; ran {runs:?}", record.marker));
    if record.once && runs.iter().any(|(_, count)| *count > 1) {
        add("ran more than once".to_owned());
    }
    let Some(response) = &record.response else {
        return found;
    };
    match response.ran().as_str() {
        "complete" => {
            let stages = ["encode", "retrieve", "rerank"];
            let expected = expected_tokens(&stages, &marked_input(&record.marker));
            if response.tokens().as_ref() != Some(&expected) {
                add(format!(
                    "not the complete response of its request: {response:?}"
                ));
            }
            if runs.iter().any(|(_, count)| *count == 0) {
                add("a complete response without a run of every stage".to_owned());
            }
        }
        "no" => {
            let own = testbed.runs_of_request(&response.request);
            if own > 0 {
                add(format!(
                    "ran despite a response that states otherwise: {response:?}"
                ));
            }
            // Another attempt with the same key ran, so the response must not exclude it.
            let others = runs.iter().any(|(_, count)| *count > own);
            if others && !response.earlier_unknown() {
                add(format!(
                    "an earlier attempt ran despite a response that excludes it: {response:?}"
                ));
            }
        }
        _ => {}
    }
    found
}
