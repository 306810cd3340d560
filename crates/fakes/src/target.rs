//! A fake stage target, model engine or plain service.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::http::{
    chunked_response_head, encode_chunk, fixed_length_response, unframed_response_head,
};
use crate::response::{engine_tokens, stage_output};
use crate::{FakeRequest, FaultInjection, FaultKind, read_request};

/// The additional delay of a response with [`FaultKind::Late`].
const LATE_RESPONSE_DELAY: Duration = Duration::from_secs(1);

/// The time after which the connection of a request with [`FaultKind::Freeze`] is closed.
const FREEZE_DURATION: Duration = Duration::from_secs(600);

/// The number of tokens that an engine sends before [`FaultKind::CutStream`] and
/// [`FaultKind::UnframedShort`] close the stream.
const TOKENS_BEFORE_CUT: usize = 2;

/// The kind of target that a fake replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A stage target, such as an encoder, retriever or reranker.
    Stage,
    /// A model engine that streams tokens.
    Engine,
    /// A plain service.
    Service,
}

/// The speed and capacity of a fake target.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TargetBehaviour {
    /// The mean duration of a request, in milliseconds; for an engine, until the first token.
    pub service_ms: f64,
    /// The time between two tokens, in milliseconds.
    pub token_ms: f64,
    /// The number of requests that run at the same time; further ones wait in the target.
    pub slots: u32,
    /// The fraction by which each other running request prolongs a request.
    pub batch_cost: f64,
    /// The fraction of the duration that is random, with an exponential distribution.
    pub spread: f64,
}

impl Default for TargetBehaviour {
    fn default() -> Self {
        Self {
            service_ms: 2.0,
            token_ms: 1.0,
            slots: 16,
            batch_cost: 0.0,
            spread: 0.0,
        }
    }
}

/// One run of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The attempt id that the request states.
    pub attempt: String,
    /// The `marker` of the input, or the path of the request if the input has none.
    pub marker: String,
    /// How long the run occupied its slot, in microseconds; 0 while it runs.
    pub held_us: u64,
}

struct TargetState {
    behaviour: TargetBehaviour,
    fault: Option<FaultInjection>,
    running: u32,
    ledger: Vec<RunRecord>,
}

/// A fake target; clones share its state.
#[derive(Clone)]
pub struct FakeTarget {
    kind: TargetKind,
    name: String,
    state: Arc<Mutex<TargetState>>,
    slots: Arc<Semaphore>,
}

impl FakeTarget {
    /// Creates a target.
    pub fn new(kind: TargetKind, name: impl Into<String>, behaviour: TargetBehaviour) -> Self {
        Self {
            kind,
            name: name.into(),
            state: Arc::new(Mutex::new(TargetState {
                behaviour,
                fault: None,
                running: 0,
                ledger: Vec::new(),
            })),
            slots: Arc::new(Semaphore::new(behaviour.slots as usize)),
        }
    }

    /// Injects a fault into the next requests, in place of any fault that is active.
    pub fn inject_fault(&self, injection: FaultInjection) {
        self.lock().fault = (injection.count > 0).then_some(injection);
    }

    /// Changes the speed of the target, but not the number of requests that run at the same time.
    pub fn set_behaviour(&self, behaviour: TargetBehaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Returns the records of all runs so far.
    pub fn ledger(&self) -> Vec<RunRecord> {
        self.lock().ledger.clone()
    }

    /// Serves connections until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        while let Ok((socket, _)) = listener.accept().await {
            let target = self.clone();
            let _ = socket.set_nodelay(true);
            tokio::spawn(async move {
                let _ = target.serve_connection(socket).await;
            });
        }
    }

    /// Binds an address, serves the target on this runtime and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn spawn(self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        tokio::spawn(self.serve(listener));
        Ok(bound)
    }

    async fn serve_connection(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            let mut peek = [0; 1];
            if socket.peek(&mut peek).await? == 0 {
                return Ok(());
            }
            if self.next_fault_is(FaultKind::CloseBefore) {
                self.consume_fault();
                return Ok(());
            }
            let Some(request) = read_request(&mut socket, &mut buffer).await? else {
                return Ok(());
            };
            match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/ledger") => {
                    let body = json!({ "runs": self.ledger() });
                    let bytes = fixed_length_response(200, &[], body.to_string().as_bytes());
                    socket.write_all(&bytes).await?;
                }
                ("POST", "/control") => {
                    let response = self.apply_control_request(&request.body);
                    socket.write_all(&response).await?;
                }
                _ => {
                    let (mut incoming, mut outgoing) = socket.split();
                    // Like engines, a fake frees the slot when the client closes the connection.
                    tokio::select! {
                        keep_open = self.respond(&mut outgoing, &request) => {
                            if !keep_open? {
                                return Ok(());
                            }
                        }
                        () = wait_until_closed(&mut incoming, &mut buffer) => return Ok(()),
                    }
                }
            }
        }
    }

    fn apply_control_request(&self, body: &[u8]) -> Vec<u8> {
        if let Ok(injection) = serde_json::from_slice::<FaultInjection>(body) {
            self.inject_fault(injection);
        } else if let Ok(behaviour) = serde_json::from_slice::<TargetBehaviour>(body) {
            self.set_behaviour(behaviour);
        } else {
            return fixed_length_response(400, &[], b"expected a fault injection or a behaviour\n");
        }
        fixed_length_response(200, &[], b"ok\n")
    }

    /// Responds to one request; returns whether to keep the connection open.
    async fn respond(&self, socket: &mut WriteHalf<'_>, request: &FakeRequest) -> io::Result<bool> {
        let fault = self.consume_fault();
        let attempt = request.header("x-attempt-id").to_owned();
        let response_attempt = if fault == Some(FaultKind::Foreign) {
            "somebody-else/0/0".to_owned()
        } else {
            attempt.clone()
        };
        if let Some(refusal) = refusal_response(fault, &response_attempt) {
            socket.write_all(&refusal).await?;
            return Ok(true);
        }
        let input: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        // A foreign response also has the result of another input.
        let response_input = match fault {
            Some(FaultKind::Foreign) => {
                json!({ "stage": "foreign", "input": { "marker": "somebody-else" } })
            }
            _ => input.clone(),
        };
        let _run = self.begin_run(&attempt, &input, request).await;
        match fault {
            Some(FaultKind::CloseAfterRun) => return Ok(false),
            Some(FaultKind::Freeze) => {
                sleep(FREEZE_DURATION).await;
                return Ok(false);
            }
            Some(FaultKind::Late) => sleep(LATE_RESPONSE_DELAY).await,
            Some(FaultKind::Garbage) => {
                socket
                    .write_all(b"\x00\x01 this is no http\r\n\r\n")
                    .await?;
                return Ok(false);
            }
            Some(FaultKind::Error) => {
                let bytes =
                    fixed_length_response(500, &[("x-attempt-id", &response_attempt)], b"{}");
                socket.write_all(&bytes).await?;
                return Ok(true);
            }
            _ => {}
        }
        match self.kind {
            TargetKind::Engine => {
                self.stream_tokens(socket, &response_attempt, &response_input, fault)
                    .await
            }
            TargetKind::Stage => {
                let inner = response_input.get("input").cloned().unwrap_or(Value::Null);
                let stage = response_input
                    .get("stage")
                    .and_then(Value::as_str)
                    .unwrap_or_default();
                let body = json!({ "output": stage_output(stage, &inner) });
                self.send_body(
                    socket,
                    &response_attempt,
                    body.to_string().as_bytes(),
                    fault,
                )
                .await
            }
            TargetKind::Service => {
                let text = format!("{} {} {}", request.method, request.path, self.name);
                let mut body = text.into_bytes();
                body.push(b'\n');
                body.extend_from_slice(&request.body);
                self.send_body(socket, &response_attempt, &body, fault)
                    .await
            }
        }
    }

    /// Waits for a slot, records the run and sleeps for its duration.
    async fn begin_run(&self, attempt: &str, input: &Value, request: &FakeRequest) -> RunGuard {
        let slot = self.slots.clone().acquire_owned().await.ok();
        let marker = input
            .pointer("/input/marker")
            .and_then(Value::as_str)
            .unwrap_or(request.path.as_str());
        let (duration, index) = {
            let mut state = self.lock();
            state.running += 1;
            state.ledger.push(RunRecord {
                attempt: attempt.to_owned(),
                marker: marker.to_owned(),
                held_us: 0,
            });
            let index = state.ledger.len() - 1;
            (sample_duration(&state.behaviour, state.running), index)
        };
        let guard = RunGuard {
            state: self.state.clone(),
            index,
            started: Instant::now(),
            _slot: slot,
        };
        if duration > Duration::ZERO {
            sleep(duration).await;
        }
        guard
    }

    async fn send_body(
        &self,
        socket: &mut WriteHalf<'_>,
        attempt: &str,
        body: &[u8],
        fault: Option<FaultKind>,
    ) -> io::Result<bool> {
        let body = if fault == Some(FaultKind::BadBody) {
            &b"{ this is no json"[..]
        } else {
            body
        };
        let (running, slots) = self.load();
        let headers = [
            ("x-attempt-id", attempt),
            ("x-load-in-flight", &running),
            ("x-load-slots", &slots),
        ];
        let mut response = fixed_length_response(200, &headers, body);
        match fault {
            Some(FaultKind::Short) => {
                response.truncate(response.len() - body.len().div_ceil(2));
                socket.write_all(&response).await?;
                Ok(false)
            }
            Some(FaultKind::Unframed | FaultKind::UnframedShort) => {
                let mut response = unframed_response_head(&headers);
                let sent = match fault {
                    Some(FaultKind::UnframedShort) => body.len() / 2,
                    _ => body.len(),
                };
                response.extend_from_slice(&body[..sent]);
                socket.write_all(&response).await?;
                Ok(false)
            }
            Some(FaultKind::Twice) => {
                let copy = response.clone();
                response.extend(copy);
                socket.write_all(&response).await?;
                Ok(true)
            }
            _ => {
                socket.write_all(&response).await?;
                Ok(true)
            }
        }
    }

    async fn stream_tokens(
        &self,
        socket: &mut WriteHalf<'_>,
        attempt: &str,
        input: &Value,
        fault: Option<FaultKind>,
    ) -> io::Result<bool> {
        let inner = input.get("input").cloned().unwrap_or(Value::Null);
        let resume_from = input
            .get("resume_from")
            .and_then(Value::as_u64)
            .unwrap_or(0) as usize;
        let tokens = engine_tokens(&inner);
        let (running, slots) = self.load();
        let headers = [
            ("x-attempt-id", attempt),
            ("x-load-in-flight", &running),
            ("x-load-slots", &slots),
        ];
        let is_unframed = fault.is_some_and(FaultKind::omits_framing);
        let head = if is_unframed {
            unframed_response_head(&headers)
        } else {
            chunked_response_head(&headers)
        };
        let encode = |body: &[u8]| {
            if is_unframed {
                body.to_vec()
            } else {
                encode_chunk(body)
            }
        };
        socket.write_all(&head).await?;
        let token_ms = self.lock().behaviour.token_ms;
        for (index, token) in tokens.iter().enumerate().skip(resume_from) {
            let sent = index - resume_from;
            if fault == Some(FaultKind::CutStream) && sent == TOKENS_BEFORE_CUT {
                return Ok(false);
            }
            if fault == Some(FaultKind::SkipToken) && sent == 1 {
                continue;
            }
            if token_ms > 0.0 && sent > 0 {
                sleep(Duration::from_secs_f64(token_ms / 1_000.0)).await;
            }
            let line = format!(
                "{}\n",
                json!({ "attempt": attempt, "index": index, "token": token })
            );
            if fault == Some(FaultKind::UnframedShort) && sent == TOKENS_BEFORE_CUT {
                socket.write_all(&line.as_bytes()[..line.len() / 2]).await?;
                return Ok(false);
            }
            socket.write_all(&encode(line.as_bytes())).await?;
            if fault == Some(FaultKind::DoubleToken) && sent == 1 {
                socket.write_all(&encode(line.as_bytes())).await?;
            }
        }
        if fault != Some(FaultKind::NoEndMark) {
            let count = tokens.len();
            let line = format!(
                "{}\n",
                json!({ "attempt": attempt, "end": true, "count": count })
            );
            socket.write_all(&encode(line.as_bytes())).await?;
        }
        socket.write_all(&encode(b"")).await?;
        Ok(!is_unframed)
    }

    fn load(&self) -> (String, String) {
        let state = self.lock();
        (state.running.to_string(), state.behaviour.slots.to_string())
    }

    fn next_fault_is(&self, kind: FaultKind) -> bool {
        self.lock()
            .fault
            .is_some_and(|injection| injection.kind == kind)
    }

    fn consume_fault(&self) -> Option<FaultKind> {
        let mut state = self.lock();
        let injection = state.fault.as_mut()?;
        let kind = injection.kind;
        injection.count -= 1;
        if injection.count == 0 {
            state.fault = None;
        }
        Some(kind)
    }

    fn lock(&self) -> MutexGuard<'_, TargetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a run as running and, when dropped, records how long it occupied its slot.
struct RunGuard {
    state: Arc<Mutex<TargetState>>,
    index: usize,
    started: Instant,
    _slot: Option<tokio::sync::OwnedSemaphorePermit>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.running -= 1;
        let held_us = self.started.elapsed().as_micros() as u64;
        if let Some(run) = state.ledger.get_mut(self.index) {
            run.held_us = held_us.max(1);
        }
    }
}

async fn wait_until_closed(incoming: &mut ReadHalf<'_>, buffer: &mut Vec<u8>) {
    while incoming
        .read_buf(buffer)
        .await
        .is_ok_and(|length| length > 0)
    {}
}

fn refusal_response(fault: Option<FaultKind>, attempt: &str) -> Option<Vec<u8>> {
    let mut headers = vec![("x-attempt-id", attempt), ("x-not-run", "yes")];
    match fault {
        Some(FaultKind::Busy) => {}
        Some(FaultKind::Leaving) => headers.push(("x-leaving", "yes")),
        _ => return None,
    }
    Some(fixed_length_response(503, &headers, b"{}"))
}

fn sample_duration(behaviour: &TargetBehaviour, running: u32) -> Duration {
    let others = f64::from(running.saturating_sub(1));
    let mean = behaviour.service_ms * (1.0 + behaviour.batch_cost * others);
    let exponential = -(1.0 - fastrand::f64()).ln();
    let duration_ms = mean * (1.0 - behaviour.spread) + mean * behaviour.spread * exponential;
    Duration::from_secs_f64(duration_ms / 1_000.0)
}
