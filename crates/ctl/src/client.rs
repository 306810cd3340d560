//! HTTP client for the operators' ports of hosts.

use std::net::SocketAddr;
use std::time::Duration;

use linnet_control::{ChangeResponse, ControlStatus};
use ntex::SharedCfg;
use ntex::client::{Client, ClientResponse};
use ntex::http::Method;
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};

use crate::{CtlError, CtlSettings, CtlStep};

/// Maximum body of a response.
const MAX_RESPONSE_BYTES: usize = 128 * 1024 * 1024;

/// Pause before the search for the leader continues at the next control host.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// A client that authenticates with the operator's key.
pub(crate) struct OpsClient {
    http: Client,
    control: Vec<SocketAddr>,
    key: String,
    timeout: Duration,
}

/// A response with its status and table version.
pub(crate) struct OpsResponse {
    pub(crate) status: u16,
    pub(crate) version: Option<u64>,
    pub(crate) body: Bytes,
}

impl OpsClient {
    /// Creates a client from the arguments.
    pub(crate) async fn new(settings: &CtlSettings) -> Result<Self, CtlError> {
        let http = Client::builder()
            .disable_timeout()
            .build(SharedCfg::new("linnetctl"))
            .await
            .map_err(|error| CtlError::failed(CtlStep::Request, "", error.to_string()))?;
        Ok(Self {
            http,
            control: settings.control.clone(),
            key: settings.operator_key.clone(),
            timeout: Duration::from_millis(settings.timeout_ms),
        })
    }

    /// Returns the addresses of the control hosts from the arguments.
    pub(crate) fn control_hosts(&self) -> Result<&[SocketAddr], CtlError> {
        if self.control.is_empty() {
            let message = "no control host is named; use --control or LINNET_CONTROL_OPS";
            return Err(CtlError::failed(CtlStep::Request, "", message));
        }
        Ok(&self.control)
    }

    /// Sends a request to one host and returns the response, whatever its status.
    pub(crate) async fn send(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<OpsResponse, CtlError> {
        let failed =
            |message: String| CtlError::failed(CtlStep::Request, host.to_string(), message);
        let request = self
            .http
            .request(method, format!("http://{host}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .content_type("application/json")
            .force_close();
        let exchange = async {
            let response = request
                .send_body(body)
                .await
                .map_err(|error| failed(error.to_string()))?;
            read_response(response).await.map_err(failed)
        };
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(response) => response,
            Err(_) => Err(failed(format!(
                "no response within {} ms",
                self.timeout.as_millis()
            ))),
        }
    }

    /// Sends an order to a host whose response has no content beyond success.
    ///
    /// # Errors
    ///
    /// An error of the step [`CtlStep::Apply`] with the message of the host if it refuses the
    /// order.
    pub(crate) async fn execute(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(), CtlError> {
        let response = self.send(host, method, path, body).await?;
        if response.status != 200 {
            let peer = host.to_string();
            return Err(CtlError::failed(
                CtlStep::Apply,
                peer,
                error_text(&response),
            ));
        }
        Ok(())
    }

    /// Gets a path of one host and parses its JSON body.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
    ) -> Result<T, CtlError> {
        let response = self.send(host, Method::GET, path, Bytes::new()).await?;
        parse_ok(host, &response)
    }

    /// Returns the status of every control host, or the error of the request to it.
    pub(crate) async fn all_statuses(
        &self,
    ) -> Result<Vec<(SocketAddr, Result<ControlStatus, CtlError>)>, CtlError> {
        let mut statuses = Vec::new();
        for host in self.control_hosts()? {
            statuses.push((*host, self.get(*host, "/v1/status").await));
        }
        Ok(statuses)
    }

    /// Sends a request to the leader and searches for the leader until the timeout.
    ///
    /// If a connection is lost after the request was sent, its outcome is unknown; the caller
    /// decides whether sending it again is safe.
    pub(crate) async fn send_to_leader<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&T>,
    ) -> Result<OpsResponse, CtlError> {
        let bytes = match body {
            Some(body) => serde_json::to_vec(body)
                .map_err(|error| CtlError::failed(CtlStep::Request, "", error.to_string()))?,
            None => Vec::new(),
        };
        let bytes = Bytes::from(bytes);
        let deadline = Instant::now() + self.timeout;
        let mut hint: Option<SocketAddr> = None;
        let mut attempt = 0;
        loop {
            let control = self.control_hosts()?;
            let host = hint.take().unwrap_or(control[attempt % control.len()]);
            attempt += 1;
            let last_error = match self.send(host, method.clone(), path, bytes.clone()).await {
                Ok(response) if response.status == 421 => {
                    hint = leader_hint(&response);
                    CtlError::failed(CtlStep::Request, host.to_string(), "no host leads")
                }
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            if Instant::now() >= deadline {
                return Err(last_error);
            }
            if hint.is_none() {
                sleep(LEADER_RETRY_INTERVAL).await;
            }
        }
    }
}

fn leader_hint(response: &OpsResponse) -> Option<SocketAddr> {
    match serde_json::from_slice(&response.body) {
        Ok(ChangeResponse::NotLeader { leader }) => leader.map(|leader| leader.ops),
        _ => None,
    }
}

/// Parses the JSON body of a response; fails unless its status is 200.
pub(crate) fn parse_ok<T: DeserializeOwned>(
    host: SocketAddr,
    response: &OpsResponse,
) -> Result<T, CtlError> {
    let failed = |message: String| CtlError::failed(CtlStep::Request, host.to_string(), message);
    if response.status != 200 {
        return Err(failed(error_text(response)));
    }
    serde_json::from_slice(&response.body).map_err(|error| failed(error.to_string()))
}

/// Returns the message of an error response, or its status if it has none.
pub(crate) fn error_text(response: &OpsResponse) -> String {
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let message = body.get("message").and_then(|message| message.as_str());
    match message {
        Some(message) => message.to_owned(),
        None => format!("status {}", response.status),
    }
}

async fn read_response(response: ClientResponse) -> Result<OpsResponse, String> {
    let version = response
        .headers()
        .get("x-table-version")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    let status = response.status().as_u16();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    Ok(OpsResponse {
        status,
        version,
        body: body.map_err(|error| error.to_string())?,
    })
}
