//! Runs a stage with streamed output.

use std::time::Duration;

use linnet_dispatch::{LoadReport, QuotaGuard};
use linnet_telemetry::EventCode;
use ntex::util::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::attempt::StageExecution;
use crate::adapter::engine::{StreamStep, open_stream};
use crate::adapter::{AttemptCall, AttemptError};
use crate::{CallerError, ErrorCode, RanState};

/// The timeout for the next token of a stream, after which another engine continues.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Collects the tokens of a request and forwards them to its caller.
pub(crate) struct TokenSink<'a> {
    /// The tokens received so far.
    pub(crate) tokens: Vec<String>,
    /// The channel to which each token is sent, if the response is streamed.
    pub(crate) lines: Option<&'a mpsc::Sender<Bytes>>,
    /// The quota to which the tokens are charged.
    pub(crate) quota: &'a QuotaGuard,
}

impl TokenSink<'_> {
    async fn push(&mut self, token: String) -> Result<(), CallerError> {
        let line = json!({ "index": self.tokens.len(), "token": token });
        self.tokens.push(token);
        self.quota.charge_tokens(1);
        self.send(&line).await
    }

    /// Sends the end mark, which shows the caller that the response is complete.
    pub(crate) async fn end(&self) -> Result<(), CallerError> {
        self.send(&json!({ "end": true, "count": self.tokens.len() }))
            .await
    }

    async fn send(&self, line: &Value) -> Result<(), CallerError> {
        let Some(lines) = self.lines else {
            return Ok(());
        };
        let sent = lines.send(Bytes::from(format!("{line}\n"))).await;
        sent.map_err(|_| {
            CallerError::new(ErrorCode::TargetFailed, "answer", "the caller disconnected")
                .with_ran(RanState::Yes)
        })
    }
}

/// Attempts a stream until its end mark is received or no retry is allowed. An interrupted stream
/// is resumed at another engine from the next token.
pub(crate) async fn try_stream(
    execution: &mut StageExecution<'_>,
    input: &Value,
    ran: &mut RanState,
    sink: &mut TokenSink<'_>,
) -> Result<(), CallerError> {
    loop {
        let permit = execution.acquire_target(*ran).await?;
        let call = execution.begin_attempt(&permit);
        let next_token = sink.tokens.len();
        if next_token > 0 {
            let detail = format!("from token {next_token}");
            execution.record(EventCode::StreamResumed, permit.name(), detail);
        }
        match receive_stream(execution, &call, input, ran, sink).await {
            Ok(load) => {
                execution.record_success(permit, load);
                return sink.end().await;
            }
            Err(StreamFailure::Attempt(error)) => {
                *ran = (*ran).max(error.ran());
                execution.record_failure(permit, &error, *ran)?;
            }
            Err(StreamFailure::Caller(error)) => return Err(error),
        }
    }
}

/// Why a stream failed before its end mark.
enum StreamFailure {
    Attempt(AttemptError),
    Caller(CallerError),
}

impl From<AttemptError> for StreamFailure {
    fn from(error: AttemptError) -> Self {
        StreamFailure::Attempt(error)
    }
}

async fn receive_stream(
    execution: &StageExecution<'_>,
    call: &AttemptCall,
    input: &Value,
    ran: &mut RanState,
    sink: &mut TokenSink<'_>,
) -> Result<Option<LoadReport>, StreamFailure> {
    let resume_from = sink.tokens.len() as u64;
    let clients = &execution.worker.clients;
    let mut stream = open_stream(clients, call, execution.stage, input, resume_from).await?;
    *ran = (*ran).max(RanState::Unknown);
    // The first token may take as long as the attempt.
    let mut timeout = call.time_left.max(TOKEN_TIMEOUT);
    loop {
        let bounded = timeout.min(execution.plan.time_left());
        match stream.next_step(bounded).await? {
            StreamStep::Token(token) => {
                *ran = RanState::Yes;
                sink.push(token).await.map_err(StreamFailure::Caller)?;
                timeout = TOKEN_TIMEOUT;
            }
            StreamStep::End => return Ok(stream.load()),
        }
    }
}
