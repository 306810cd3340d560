//! Plain services: a call is forwarded, and the response is returned unchanged.

use linnet_dispatch::LoadReport;
use ntex::http::Method;
use ntex::util::Bytes;

use super::client::{parse_load_report, read_delimited_body};
use super::{AttemptCall, AttemptCause, AttemptError, TargetClients};

/// The maximum size of a response body of a service.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A call to a service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: Method,
    /// The path at the service, starting with `/`, with its query.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// The response of a service with any status: error responses of a service are returned to the
/// caller too.
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
    /// The load that the target reported, if any.
    pub load: Option<LoadReport>,
}

/// Forwards a call to one target.
///
/// # Errors
///
/// Returns an [`AttemptError`] if there is no valid response in time.
pub async fn call_service(
    clients: &TargetClients,
    call: &AttemptCall,
    request: &ServiceCall,
) -> Result<ServiceResponse, AttemptError> {
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
        Ok(ServiceResponse {
            status: response.status().as_u16(),
            content_type,
            load: parse_load_report(&response),
            body: read_delimited_body(&response, &request.method, MAX_RESPONSE_BYTES).await?,
        })
    };
    match tokio::time::timeout(call.time_left, work).await {
        Ok(result) => result,
        Err(_) => Err(AttemptError::new(AttemptCause::TimedOut)),
    }
}

#[cfg(test)]
mod tests;
