//! Runs a stage whose output comes in one piece.

use serde_json::Value;

use super::attempt::StageTrial;
use crate::adapter::stage::run_stage;
use crate::{CallerError, RanState};

/// Tries a stage until it has an output or no attempt may follow. `ran` is raised as targets take
/// the request.
pub(crate) async fn try_stage(
    trial: &mut StageTrial<'_>,
    input: &Value,
    ran: &mut RanState,
) -> Result<Value, CallerError> {
    loop {
        let permit = trial.next_permit(*ran).await?;
        let call = trial.begin(&permit);
        match run_stage(&trial.worker.clients, &call, trial.stage, input).await {
            Ok((output, load)) => {
                *ran = RanState::Yes;
                trial.succeed(permit, load);
                return Ok(output);
            }
            Err(error) => {
                *ran = (*ran).max(error.ran());
                trial.fail(permit, &error, *ran)?;
            }
        }
    }
}
