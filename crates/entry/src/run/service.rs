//! Passes a call on to a plain service.

use super::RunAnswer;
use super::attempt::StageTrial;
use crate::adapter::service::{ServiceCall, call_service};
use crate::{CallerError, RanState};

/// Tries a call until the service has answered or no attempt may follow.
pub(crate) async fn try_call(
    trial: &mut StageTrial<'_>,
    request: &ServiceCall,
    ran: &mut RanState,
) -> Result<RunAnswer, CallerError> {
    loop {
        let permit = trial.next_permit(*ran).await?;
        let call = trial.begin(&permit);
        match call_service(&trial.worker.clients, &call, request).await {
            Ok(answer) => {
                *ran = RanState::Yes;
                trial.succeed(permit, answer.load);
                return Ok(RunAnswer {
                    status: answer.status,
                    content_type: answer.content_type,
                    body: answer.body,
                });
            }
            Err(error) => {
                *ran = (*ran).max(error.ran());
                trial.fail(permit, &error, *ran)?;
            }
        }
    }
}
