//! Stage pools: encoders, retrievers, rerankers, and engines whose answer is wanted in one piece.

use linnet_dispatch::LoadReport;
use ntex::http::Method;
use ntex::util::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::client::{load_report, read_body};
use super::{AttemptCall, AttemptCause, AttemptError, TargetClients};

/// The largest output of a stage, in bytes.
pub const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

#[derive(Serialize)]
struct StageBody<'a> {
    stage: &'a str,
    input: &'a Value,
}

#[derive(Deserialize)]
struct StageAnswer {
    output: Value,
}

/// Runs one stage at a target and returns its output.
///
/// # Errors
///
/// [`AttemptError`]; the output is never part of one.
pub async fn run_stage(
    clients: &TargetClients,
    call: &AttemptCall,
    stage: &str,
    input: &Value,
) -> Result<(Value, Option<LoadReport>), AttemptError> {
    let body = serde_json::to_vec(&StageBody { stage, input })
        .map_err(|_| AttemptError::new(AttemptCause::Malformed))?;
    let work = async {
        let response = clients
            .send(
                call,
                Method::POST,
                "/v1/stage",
                "application/json",
                Bytes::from(body),
            )
            .await?;
        let load = load_report(&response);
        if !response.status().is_success() {
            let cause = AttemptCause::Status(response.status().as_u16());
            return Err(AttemptError { cause, load });
        }
        let bytes = read_body(&response, MAX_OUTPUT_BYTES).await?;
        let answer: StageAnswer = serde_json::from_slice(&bytes)
            .map_err(|_| AttemptError::new(AttemptCause::Malformed))?;
        Ok((answer.output, load))
    };
    match tokio::time::timeout(call.time_left, work).await {
        Ok(result) => result,
        Err(_) => Err(AttemptError::new(AttemptCause::TimedOut)),
    }
}
