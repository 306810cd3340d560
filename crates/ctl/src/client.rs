//! Asks control hosts over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use linnet_control::{ChangeReply, ControlStatus};
use ntex::SharedCfg;
use ntex::client::{Client, ClientResponse};
use ntex::http::Method;
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep};

use crate::{CtlError, CtlSettings, CtlStep};

/// The largest answer that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 128 * 1024 * 1024;

/// Wait before the leader is looked for again.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// A client with the operator's key.
pub(crate) struct OpsClient {
    http: Client,
    control: Vec<SocketAddr>,
    key: String,
    timeout: Duration,
}

/// An answer with its status.
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

    /// Returns the control hosts that were named.
    pub(crate) fn control_hosts(&self) -> Result<&[SocketAddr], CtlError> {
        if self.control.is_empty() {
            let message = "no control host is named; use --control or LINNET_CONTROL_OPS";
            return Err(CtlError::failed(CtlStep::Request, "", message));
        }
        Ok(&self.control)
    }

    /// Asks one host.
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
        let work = async {
            let response = request
                .send_body(body)
                .await
                .map_err(|error| failed(error.to_string()))?;
            read_response(response).await.map_err(failed)
        };
        match tokio::time::timeout(self.timeout, work).await {
            Ok(answer) => answer,
            Err(_) => Err(failed("no answer in time".to_owned())),
        }
    }

    /// Has a host do something that has no answer but that it is done.
    ///
    /// # Errors
    ///
    /// [`CtlStep::Apply`] with what the host says, where it does not do it.
    pub(crate) async fn execute(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(), CtlError> {
        let answer = self.send(host, method, path, body).await?;
        if answer.status != 200 {
            let peer = host.to_string();
            return Err(CtlError::failed(CtlStep::Apply, peer, error_text(&answer)));
        }
        Ok(())
    }

    /// Reads a JSON page of one host.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
    ) -> Result<T, CtlError> {
        let answer = self.send(host, Method::GET, path, Bytes::new()).await?;
        parse_ok(host, &answer)
    }

    /// Returns the status of every control host, or why it could not be had.
    pub(crate) async fn all_statuses(
        &self,
    ) -> Result<Vec<(SocketAddr, Result<ControlStatus, CtlError>)>, CtlError> {
        let mut all = Vec::new();
        for host in self.control_hosts()? {
            all.push((*host, self.get(*host, "/v1/status").await));
        }
        Ok(all)
    }

    /// Asks the leader, looking for it until the time is up.
    ///
    /// A connection lost after the request was sent leaves the outcome open; the caller decides
    /// whether sending it again is safe.
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
        let until = Instant::now() + self.timeout;
        let mut hint: Option<SocketAddr> = None;
        let mut turn = 0;
        loop {
            let control = self.control_hosts()?;
            let host = hint.take().unwrap_or(control[turn % control.len()]);
            turn += 1;
            let failure = match self.send(host, method.clone(), path, bytes.clone()).await {
                Ok(answer) if answer.status == 421 => {
                    hint = leader_hint(&answer);
                    CtlError::failed(CtlStep::Request, host.to_string(), "no host leads")
                }
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if Instant::now() >= until {
                return Err(failure);
            }
            if hint.is_none() {
                sleep(LEADER_RETRY_INTERVAL).await;
            }
        }
    }
}

fn leader_hint(answer: &OpsResponse) -> Option<SocketAddr> {
    match serde_json::from_slice(&answer.body) {
        Ok(ChangeReply::NotLeader { leader }) => leader.map(|leader| leader.ops),
        _ => None,
    }
}

/// Parses the body of an answer that must be a success.
pub(crate) fn parse_ok<T: DeserializeOwned>(
    host: SocketAddr,
    answer: &OpsResponse,
) -> Result<T, CtlError> {
    let refused = |message: String| CtlError::failed(CtlStep::Request, host.to_string(), message);
    if answer.status != 200 {
        return Err(refused(error_text(answer)));
    }
    serde_json::from_slice(&answer.body).map_err(|error| refused(error.to_string()))
}

/// Returns what an answer that is no success says.
pub(crate) fn error_text(answer: &OpsResponse) -> String {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let message = body.get("message").and_then(|message| message.as_str());
    match message {
        Some(message) => message.to_owned(),
        None => format!("status {}", answer.status),
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
