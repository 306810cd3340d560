//! HTTP clients towards targets, and what every attempt has in common.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnet_dispatch::LoadReport;
use ntex::SharedCfg;
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::Method;
use ntex::time::Seconds;
use ntex::util::Bytes;

use super::{AttemptCause, AttemptError};

/// Names the attempt, both ways.
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Tells the time left, in milliseconds.
const TIME_LEFT_HEADER: &str = "x-time-left-ms";

/// How long an unused connection is kept; shorter than targets keep theirs, so that few requests
/// meet a connection that is being closed.
const KEEP_ALIVE: Seconds = Seconds(4);

/// Connections of one thread to all targets together. Not 0, which the library documents as "no
/// limit": with it a request that waits for a connection being opened is never woken.
const MOST_CONNECTIONS: usize = 1_000_000;

/// One attempt: where it goes, how it is named, what is left of its time.
#[derive(Debug, Clone)]
pub struct AttemptCall {
    /// Where the target is reached.
    pub address: SocketAddr,
    /// The name of the attempt.
    pub attempt: String,
    /// The time that the target has.
    pub time_left: Duration,
    /// Whether a failure may be tried elsewhere though the target may have run.
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
    /// The library's word that it cannot build a client.
    pub async fn new() -> std::io::Result<Self> {
        let build = || {
            let connector = Connector::new()
                .limit(MOST_CONNECTIONS)
                .keep_alive(KEEP_ALIVE);
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

    /// Sends a request and returns the answer's head, once it is known to be this attempt's.
    ///
    /// A request that may run only once gets a fresh connection, so that a refused connection
    /// proves that it did not run.
    ///
    /// # Errors
    ///
    /// [`AttemptError`].
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
        check_head(call, &response)?;
        Ok(response)
    }

    /// Reads a page of a platform service, without an attempt's name.
    ///
    /// # Errors
    ///
    /// [`AttemptError`].
    pub async fn fetch(
        &self,
        address: SocketAddr,
        path: &str,
        limit: usize,
    ) -> Result<Bytes, AttemptError> {
        let url = format!("http://{address}{path}");
        let response = self.pooled.get(url).send().await?;
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

/// Reads a whole body; a body shorter than announced is an error.
pub(super) async fn read_body(
    response: &ClientResponse,
    limit: usize,
) -> Result<Bytes, AttemptError> {
    let body = response.body().limit(limit).await;
    body.map_err(|error| {
        let overflow = matches!(error, ntex::http::error::PayloadError::Overflow);
        AttemptError::new(if overflow {
            AttemptCause::TooLarge
        } else {
            AttemptCause::CutShort
        })
    })
}

fn check_head(call: &AttemptCall, response: &ClientResponse) -> Result<(), AttemptError> {
    let error = |cause| AttemptError {
        cause,
        load: load_report(response),
    };
    if header(response, ATTEMPT_HEADER) != Some(&call.attempt) {
        return Err(error(AttemptCause::Foreign));
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

/// Returns what a target told of its load in the head of an answer.
pub(super) fn load_report(response: &ClientResponse) -> Option<LoadReport> {
    let number = |name| header(response, name).and_then(|text| text.parse().ok());
    Some(LoadReport {
        in_flight: number("x-load-in-flight")?,
        slots: number("x-load-slots")?,
        at: Instant::now(),
    })
}

fn header<'a>(response: &'a ClientResponse, name: &str) -> Option<&'a str> {
    response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}
