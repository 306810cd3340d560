//! Contents of responses, computed from the input of a request.

use serde_json::{Value, json};

/// The number of tokens that an engine generates if the input does not state one.
const DEFAULT_TOKEN_COUNT: u64 = 8;

/// Returns the output of a stage: the input with the name of the stage appended to its `trace`.
pub fn stage_output(stage: &str, input: &Value) -> Value {
    let mut output = input.clone();
    let trace = input
        .get("trace")
        .and_then(Value::as_str)
        .unwrap_or_default();
    let trace = if trace.is_empty() {
        stage.to_owned()
    } else {
        format!("{trace}>{stage}")
    };
    match output.as_object_mut() {
        Some(fields) => {
            fields.insert("trace".to_owned(), json!(trace));
            output
        }
        None => json!({ "value": input, "trace": trace }),
    }
}

/// Returns the tokens that an engine generates for an input. Equal inputs give equal tokens, so
/// that another engine can resume an interrupted stream.
pub fn engine_tokens(input: &Value) -> Vec<String> {
    let count = input
        .get("tokens")
        .and_then(Value::as_u64)
        .unwrap_or(DEFAULT_TOKEN_COUNT);
    let seed = blake3::hash(input.to_string().as_bytes()).to_hex();
    (0..count)
        .map(|index| format!("{index}-{}", &seed[..12]))
        .collect()
}

/// Returns the tokens that a pipeline must return for an input: the stages run in order, then one
/// engine.
pub fn expected_tokens(stages: &[&str], input: &Value) -> Vec<String> {
    let mut value = input.clone();
    for stage in stages {
        value = stage_output(stage, &value);
    }
    engine_tokens(&value)
}
