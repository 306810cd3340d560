//! Sends the requests of a run at their times, whatever the system does.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::Arrival;
use crate::testbed::account_key;

/// Threads that send.
const SENDER_THREADS: usize = 2;

/// How long past its deadline an answer is waited for.
const GRACE: Duration = Duration::from_secs(3);

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    /// The whole answer within the deadline.
    Complete,
    /// The whole answer, too late.
    Late,
    /// Refused: nothing ran.
    Refused,
    /// An error after something ran, or no answer.
    Failed,
}

/// One request with what became of it.
#[derive(Debug, Clone)]
pub(crate) struct SentRequest {
    pub(crate) arrival: Arrival,
    pub(crate) outcome: CallerOutcome,
    pub(crate) elapsed: Duration,
    /// Code and step of an error, or an empty string.
    pub(crate) detail: String,
}

/// Sends every arrival, spread over the hosts, each on a connection of its own, and returns what
/// became of each.
pub(crate) fn send_arrivals(
    hosts: &[SocketAddr],
    arrivals: Vec<Arrival>,
    begin: Instant,
) -> io::Result<Vec<SentRequest>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(SENDER_THREADS)
        .enable_all()
        .build()?;
    let hosts = hosts.to_vec();
    runtime.block_on(async move {
        let mut tasks = Vec::with_capacity(arrivals.len());
        for (number, arrival) in arrivals.into_iter().enumerate() {
            tokio::time::sleep_until((begin + arrival.at).into()).await;
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
    let answer = tokio::time::timeout(deadline + GRACE, ask(host, &arrival)).await;
    let elapsed = started.elapsed();
    let (outcome, detail) = match answer {
        Ok(Ok((CallerOutcome::Complete, detail))) if elapsed > deadline => {
            (CallerOutcome::Late, detail)
        }
        Ok(Ok(answered)) => answered,
        Ok(Err(error)) => (
            CallerOutcome::Failed,
            format!("connection: {}", error.kind()),
        ),
        Err(_) => (CallerOutcome::Failed, "no answer".to_owned()),
    };
    SentRequest {
        arrival,
        outcome,
        elapsed,
        detail,
    }
}

/// Sends one request and reads its answer to the end.
async fn ask(host: SocketAddr, arrival: &Arrival) -> io::Result<(CallerOutcome, String)> {
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
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).await?;
    Ok(judge_answer(&String::from_utf8_lossy(&answer)))
}

/// Says what an answer means. Chunk sizes between the lines of a stream do no harm, since only
/// lines that are JSON count.
fn judge_answer(text: &str) -> (CallerOutcome, String) {
    let status = text.split_whitespace().nth(1).unwrap_or_default();
    if status == "200" && (text.contains("\"end\":true") || text.contains("\"output\":")) {
        return (CallerOutcome::Complete, String::new());
    }
    let lines = text.lines().rev();
    let error = lines
        .filter(|line| line.starts_with('{'))
        .find_map(|line| serde_json::from_str::<Value>(line).ok())
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
