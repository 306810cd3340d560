//! What fakes answer, as functions of what they are asked.

use serde_json::{Value, json};

/// Tokens that an engine generates where the request does not say.
const DEFAULT_TOKENS: u64 = 8;

/// Returns the output of a stage for an input: the input with the stage's name around it.
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
/// another engine can go on where one stopped.
pub fn engine_tokens(input: &Value) -> Vec<String> {
    let count = input
        .get("tokens")
        .and_then(Value::as_u64)
        .unwrap_or(DEFAULT_TOKENS);
    let seed = blake3::hash(input.to_string().as_bytes()).to_hex();
    (0..count)
        .map(|index| format!("{index}-{}", &seed[..12]))
        .collect()
}

/// Returns the tokens that a pipeline of stages before one engine must give for an input.
pub fn expected_tokens(stages: &[&str], input: &Value) -> Vec<String> {
    let mut value = input.clone();
    for stage in stages {
        value = stage_output(stage, &value);
    }
    engine_tokens(&value)
}
