//! Plain services: a call is passed on, and the answer comes back as it is.

use linnet_dispatch::LoadReport;
use ntex::http::Method;
use ntex::util::Bytes;

use super::client::{load_report, read_body};
use super::{AttemptCall, AttemptCause, AttemptError, TargetClients};

/// The largest answer of a service, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A call to a service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The method.
    pub method: Method,
    /// The path at the service, from `/` on, with its query.
    pub path: String,
    /// The type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// The answer of a service, whatever its status: a service's own errors are its answers.
#[derive(Debug, Clone)]
pub struct ServiceAnswer {
    /// The status.
    pub status: u16,
    /// The type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
    /// What the target told of its load.
    pub load: Option<LoadReport>,
}

/// Passes a call on to one target.
///
/// # Errors
///
/// [`AttemptError`].
pub async fn call_service(
    clients: &TargetClients,
    call: &AttemptCall,
    request: &ServiceCall,
) -> Result<ServiceAnswer, AttemptError> {
    let work = async {
        let response = clients
            .send(
                call,
                request.method.clone(),
                &request.path,
                &request.content_type,
                request.body.clone(),
            )
            .await?;
        let content_type = response
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        Ok(ServiceAnswer {
            status: response.status().as_u16(),
            content_type,
            load: load_report(&response),
            body: read_body(&response, MAX_ANSWER_BYTES).await?,
        })
    };
    match tokio::time::timeout(call.time_left, work).await {
        Ok(result) => result,
        Err(_) => Err(AttemptError::new(AttemptCause::TimedOut)),
    }
}
