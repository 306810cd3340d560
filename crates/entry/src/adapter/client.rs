//! HTTP clients for targets, and the headers common to all attempts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnet_dispatch::LoadReport;
use ntex::SharedCfg;
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::{Method, StatusCode};
use ntex::time::Seconds;
use ntex::util::Bytes;

use super::{AttemptCause, AttemptError};

/// Identifies the attempt, in requests and responses.
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Carries the time left, in milliseconds.
const TIME_LEFT_HEADER: &str = "x-time-left-ms";

/// How long an idle connection is kept open. Shorter than the keep-alive of targets, so that few
/// requests are sent on a connection that the target is closing.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(4);

/// The maximum number of connections of one thread to all targets. Not 0, which the library
/// documents as "no limit": with 0, a request that waits for a connection being opened is never
/// woken.
const MAX_CONNECTIONS: usize = 1_000_000;

/// The target, id and time limit of an attempt.
#[derive(Debug, Clone)]
pub struct AttemptCall {
    /// The address of the target.
    pub address: SocketAddr,
    /// The id of the attempt.
    pub attempt: String,
    /// The time limit of the attempt.
    pub time_left: Duration,
    /// Whether the request may be retried although the target may have run it.
    pub repeatable: bool,
}

/// The clients of one thread.
#[derive(Clone)]
pub struct TargetClients {
    pooled: Client,
    fresh: Client,
}

impl TargetClients {
    /// Creates the clients of this thread.
    ///
    /// # Errors
    ///
    /// Returns the error of the HTTP library if it cannot build a client.
    pub async fn new() -> std::io::Result<Self> {
        let build = || {
            let connector = Connector::new()
                .limit(MAX_CONNECTIONS)
                .keep_alive(KEEP_ALIVE_TIMEOUT);
            Client::builder()
                .connector::<()>(connector)
                .disable_timeout()
                .disable_redirects()
                .build(SharedCfg::new("targets"))
        };
        Ok(Self {
            pooled: build().await.map_err(std::io::Error::other)?,
            fresh: build().await.map_err(std::io::Error::other)?,
        })
    }

    /// Sends a request and returns the response, after checking that its head belongs to this
    /// attempt and is no refusal.
    ///
    /// A request that may run only once gets a new connection, so that a refused connection proves
    /// that it did not run.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptError`] if there is no valid response.
    pub async fn send(
        &self,
        call: &AttemptCall,
        method: Method,
        path: &str,
        content_type: &str,
        body: Bytes,
    ) -> Result<ClientResponse, AttemptError> {
        let request = self.prepare(call, method, path).content_type(content_type);
        let response = request.send_body(body).await?;
        check_response_head(call, &response)?;
        Ok(response)
    }

    /// Fetches a resource of a platform service, without the headers of an attempt.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptError`] if there is no successful response.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        path: &str,
        limit: usize,
    ) -> Result<Bytes, AttemptError> {
        let url = format!("http://{address}{path}");
        // The response has no identifier, so its connection is used once.
        let request = self.fresh.get(url).force_close();
        let response = request.send().await?;
        if !response.status().is_success() {
            return Err(AttemptError::new(AttemptCause::Status(
                response.status().as_u16(),
            )));
        }
        read_body(&response, limit).await
    }

    fn prepare(&self, call: &AttemptCall, method: Method, path: &str) -> ClientRequest {
        let url = format!("http://{}{path}", call.address);
        let request = if call.repeatable {
            self.pooled.request(method, url)
        } else {
            self.fresh.request(method, url).force_close()
        };
        let millis = call.time_left.as_millis().to_string();
        request
            .header(ATTEMPT_HEADER, call.attempt.as_str())
            .header(TIME_LEFT_HEADER, millis)
    }
}

/// Reads the body. A body shorter than announced is an error.
///
/// The end of a body that has neither length nor chunks is the close of its connection, which a
/// crashed target causes as well, so such a body may be truncated. The HTTP library returns it
/// only for HTTP/1.0, and otherwise an empty body in its place.
pub(super) async fn read_body(
    response: &ClientResponse,
    limit: usize,
) -> Result<Bytes, AttemptError> {
    let body = response.body().limit(limit).await;
    let body = body.map_err(|error| {
        let overflow = matches!(error, ntex::http::error::PayloadError::Overflow);
        AttemptError::new(if overflow {
            AttemptCause::TooLarge
        } else {
            AttemptCause::CutShort
        })
    })?;
    // The library takes the close of an HTTP/1.0 connection for the end of any body.
    match body_framing(response) {
        BodyFraming::Length(length) if length != body.len() as u64 => {
            Err(AttemptError::new(AttemptCause::CutShort))
        }
        _ => Ok(body),
    }
}

/// Reads the body of a response to a request with this method, which must be provably complete.
pub(super) async fn read_delimited_body(
    response: &ClientResponse,
    method: &Method,
    limit: usize,
) -> Result<Bytes, AttemptError> {
    if !may_have_body(response, method) {
        return Ok(Bytes::new());
    }
    if body_framing(response) == BodyFraming::Close {
        return Err(AttemptError::new(AttemptCause::CutShort));
    }
    read_body(response, limit).await
}

/// How a response delimits its body (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    /// By its length in bytes.
    Length(u64),
    /// By chunks, the last of which is empty.
    Chunks,
    /// By the close of its connection.
    Close,
}

/// Returns the framing of a response that may have a body. The HTTP library has rejected responses
/// with contradictory headers.
fn body_framing(response: &ClientResponse) -> BodyFraming {
    if let Some(codings) = header(response, "transfer-encoding") {
        let last = codings.rsplit(',').next().unwrap_or_default();
        return if last.trim().eq_ignore_ascii_case("chunked") {
            BodyFraming::Chunks
        } else {
            BodyFraming::Close
        };
    }
    let length = header(response, "content-length").and_then(|value| value.trim().parse().ok());
    length.map_or(BodyFraming::Close, BodyFraming::Length)
}

/// Returns whether a response to a request with this method may have a body.
fn may_have_body(response: &ClientResponse, method: &Method) -> bool {
    let status = response.status();
    *method != Method::HEAD
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

fn check_response_head(call: &AttemptCall, response: &ClientResponse) -> Result<(), AttemptError> {
    let error = |cause| AttemptError {
        cause,
        load: parse_load_report(response),
    };
    // The HTTP library returns an interim response and does not read the final one. Statuses from 600 on are
    // invalid by RFC 9110, 15.
    if !(200..600).contains(&response.status().as_u16()) {
        return Err(error(AttemptCause::Malformed));
    }
    if header(response, ATTEMPT_HEADER) != Some(&call.attempt) {
        return Err(error(AttemptCause::OtherAttempt));
    }
    if response.status().as_u16() == 503 && header(response, "x-not-run") == Some("yes") {
        let leaving = header(response, "x-leaving") == Some("yes");
        return Err(error(if leaving {
            AttemptCause::Leaving
        } else {
            AttemptCause::Busy
        }));
    }
    Ok(())
}

/// Parses the load that a target reported in the headers of a response.
pub(super) fn parse_load_report(response: &ClientResponse) -> Option<LoadReport> {
    let number = |name| header(response, name).and_then(|text| text.parse().ok());
    Some(LoadReport {
        in_flight: number("x-load-in-flight")?,
        slots: number("x-load-slots")?,
        received_at: Instant::now(),
    })
}

fn header<'a>(response: &'a ClientResponse, name: &str) -> Option<&'a str> {
    response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod tests;
