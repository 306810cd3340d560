//! Stage pools: encoders, retrievers, rerankers, and engines without a streamed response.

use linnet_dispatch::LoadReport;
use ntex::http::Method;
use ntex::util::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::client::{parse_load_report, read_body};
use super::{AttemptCall, AttemptCause, AttemptError, TargetClients};

/// The maximum size of the output of a stage.
pub const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

#[derive(Serialize)]
struct StageBody<'a> {
    stage: &'a str,
    input: &'a Value,
}

#[derive(Deserialize)]
struct StageResponse {
    output: Value,
}

/// Runs one stage at a target and returns its output.
///
/// # Errors
///
/// Returns an [`AttemptError`] if there is no valid output in time.
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
        let load = parse_load_report(&response);
        if !response.status().is_success() {
            let cause = AttemptCause::Status(response.status().as_u16());
            return Err(AttemptError { cause, load });
        }
        let bytes = read_body(&response, MAX_OUTPUT_BYTES).await?;
        let response: StageResponse = serde_json::from_slice(&bytes)
            .map_err(|_| AttemptError::new(AttemptCause::Malformed))?;
        Ok((response.output, load))
    };
    match tokio::time::timeout(call.time_left, work).await {
        Ok(result) => result,
        Err(_) => Err(AttemptError::new(AttemptCause::TimedOut)),
    }
}
