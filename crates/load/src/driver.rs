//! Sends the requests of a run at their scheduled times, independent of earlier responses.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::Arrival;
use crate::response::{has_complete_output, parse_response};
use crate::testbed::account_key;

/// The number of threads that send requests.
const SENDER_THREADS: usize = 2;

/// How long to wait for a response after the deadline of its request.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    /// A complete response arrived within the deadline.
    Complete,
    /// A complete response arrived after the deadline.
    Late,
    /// The request was refused, and no stage ran.
    Refused,
    /// An error after a stage may have run, or no response.
    Failed,
}

/// A request that was sent, and its outcome.
#[derive(Debug, Clone)]
pub(crate) struct SentRequest {
    pub(crate) arrival: Arrival,
    pub(crate) outcome: CallerOutcome,
    pub(crate) elapsed: Duration,
    /// Code and step of an error response, or what went wrong with the connection or the response;
    /// empty without an error.
    pub(crate) detail: String,
}

/// Sends all requests, distributed over the hosts and each on a new connection, and returns their
/// outcomes.
pub(crate) fn send_arrivals(
    hosts: &[SocketAddr],
    arrivals: Vec<Arrival>,
    run_start: Instant,
) -> io::Result<Vec<SentRequest>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(SENDER_THREADS)
        .enable_all()
        .build()?;
    let hosts = hosts.to_vec();
    runtime.block_on(async move {
        let mut tasks = Vec::with_capacity(arrivals.len());
        for (number, arrival) in arrivals.into_iter().enumerate() {
            tokio::time::sleep_until((run_start + arrival.at).into()).await;
            let host = hosts[number % hosts.len()];
            tasks.push(tokio::spawn(send_one(host, arrival)));
        }
        let mut results = Vec::with_capacity(tasks.len());
        for task in tasks {
            results.push(task.await.map_err(io::Error::other)?);
        }
        Ok(results)
    })
}

async fn send_one(host: SocketAddr, arrival: Arrival) -> SentRequest {
    let started = Instant::now();
    let deadline = Duration::from_millis(arrival.deadline_ms);
    let response = tokio::time::timeout(
        deadline + RESPONSE_GRACE_PERIOD,
        send_request(host, &arrival),
    )
    .await;
    let elapsed = started.elapsed();
    let (outcome, detail) = match response {
        Ok(Ok((CallerOutcome::Complete, detail))) if elapsed > deadline => {
            (CallerOutcome::Late, detail)
        }
        Ok(Ok(outcome)) => outcome,
        Ok(Err(error)) => (
            CallerOutcome::Failed,
            format!("connection: {}", error.kind()),
        ),
        Err(_) => (CallerOutcome::Failed, "no response".to_owned()),
    };
    SentRequest {
        arrival,
        outcome,
        elapsed,
        detail,
    }
}

/// Sends one request, reads the response to its end and returns outcome and error detail.
async fn send_request(host: SocketAddr, arrival: &Arrival) -> io::Result<(CallerOutcome, String)> {
    let input = json!({ "marker": arrival.marker, "tokens": arrival.tokens }).to_string();
    let request = format!(
        "POST /v1/pipelines/{} HTTP/1.1\r\nhost: load\r\nconnection: close\r\nauthorization: Bearer {}\r\nx-deadline-ms: {}\r\ncontent-length: {}\r\n\r\n{input}",
        arrival.pipeline,
        account_key(arrival.account),
        arrival.deadline_ms,
        input.len()
    );
    let mut socket = TcpStream::connect(host).await?;
    socket.set_nodelay(true)?;
    socket.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    socket.read_to_end(&mut response).await?;
    Ok(classify_response(&response))
}

/// Returns the outcome and the error detail of a response, as received.
fn classify_response(bytes: &[u8]) -> (CallerOutcome, String) {
    let Some(response) = parse_response(bytes) else {
        return (CallerOutcome::Failed, "truncated response".to_owned());
    };
    if response.status == 200 && has_complete_output(&response.body) {
        return (CallerOutcome::Complete, String::new());
    }
    let lines = response.body.rsplit(|byte| *byte == b'\n');
    let error = lines
        .filter(|line| line.starts_with(b"{"))
        .find_map(|line| serde_json::from_slice::<Value>(line).ok())
        .unwrap_or_default();
    let field = |name: &str| {
        let value = error
            .pointer(&format!("/error/{name}"))
            .and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let detail = format!("{}@{}", field("code"), field("step"));
    if field("ran") == "no" {
        (CallerOutcome::Refused, detail)
    } else {
        (CallerOutcome::Failed, detail)
    }
}

#[cfg(test)]
mod tests;
