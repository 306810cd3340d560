//! Forwards a call to a plain service.

use super::RunResponse;
use super::attempt::StageExecution;
use crate::adapter::service::{ServiceCall, call_service};
use crate::{CallerError, RanState};

/// Attempts a call until the service responds or no retry is allowed.
pub(crate) async fn try_call(
    execution: &mut StageExecution<'_>,
    request: &ServiceCall,
    ran: &mut RanState,
) -> Result<RunResponse, CallerError> {
    loop {
        let permit = execution.acquire_target(*ran).await?;
        let call = execution.begin_attempt(&permit);
        match call_service(&execution.worker.clients, &call, request).await {
            Ok(response) => {
                *ran = RanState::Yes;
                execution.record_success(permit, response.load);
                return Ok(RunResponse {
                    status: response.status,
                    content_type: response.content_type,
                    body: response.body,
                });
            }
            Err(error) => {
                *ran = (*ran).max(error.ran());
                execution.record_failure(permit, &error, *ran)?;
            }
        }
    }
}
