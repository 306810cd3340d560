//! Runs a stage without streamed output.

use serde_json::Value;

use super::attempt::StageExecution;
use crate::adapter::stage::run_stage;
use crate::{CallerError, RanState};

/// Attempts a stage until it has an output or no retry is allowed. Raises `ran` as targets receive
/// the request.
pub(crate) async fn try_stage(
    execution: &mut StageExecution<'_>,
    input: &Value,
    ran: &mut RanState,
) -> Result<Value, CallerError> {
    loop {
        let permit = execution.acquire_target(*ran).await?;
        let call = execution.begin_attempt(&permit);
        match run_stage(&execution.worker.clients, &call, execution.stage, input).await {
            Ok((output, load)) => {
                *ran = RanState::Yes;
                execution.record_success(permit, load);
                return Ok(output);
            }
            Err(error) => {
                *ran = (*ran).max(error.ran());
                execution.record_failure(permit, &error, *ran)?;
            }
        }
    }
}
