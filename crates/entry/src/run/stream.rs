//! Runs a stage whose output is a stream of tokens.

use std::time::Duration;

use linnet_dispatch::{LoadReport, QuotaHold};
use linnet_telemetry::EventCode;
use ntex::util::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::attempt::StageTrial;
use crate::adapter::engine::{StreamStep, open_stream};
use crate::adapter::{AttemptCall, AttemptError};
use crate::{CallerError, ErrorCode, RanState};

/// How long the next token of a stream is waited for before another engine goes on.
const TOKEN_PATIENCE: Duration = Duration::from_millis(1_000);

/// Where the tokens of a request go.
pub(crate) struct TokenSink<'a> {
    /// The tokens so far.
    pub(crate) tokens: Vec<String>,
    /// Where each is sent as it comes, if anywhere.
    pub(crate) lines: Option<&'a mpsc::Sender<Bytes>>,
    /// What the tokens are charged to.
    pub(crate) hold: &'a QuotaHold,
}

impl TokenSink<'_> {
    async fn take(&mut self, token: String) -> Result<(), CallerError> {
        let line = json!({ "index": self.tokens.len(), "token": token });
        self.tokens.push(token);
        self.hold.charge_tokens(1);
        self.send(&line).await
    }

    /// Sends the end mark, which tells the caller that the answer is whole.
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
            CallerError::new(ErrorCode::TargetFailed, "answer", "the caller went away")
                .with_ran(RanState::Yes)
        })
    }
}

/// Tries a stream until its end mark has come or no attempt may follow. A stream that is lost
/// goes on at another engine from the token that it had reached.
pub(crate) async fn try_stream(
    trial: &mut StageTrial<'_>,
    input: &Value,
    ran: &mut RanState,
    sink: &mut TokenSink<'_>,
) -> Result<(), CallerError> {
    loop {
        let permit = trial.next_permit(*ran).await?;
        let call = trial.begin(&permit);
        let reached = sink.tokens.len();
        if reached > 0 {
            let detail = format!("from token {reached}");
            trial.note(EventCode::StreamResumed, permit.name(), detail);
        }
        match take_stream(trial, &call, input, ran, sink).await {
            Ok(load) => {
                trial.succeed(permit, load);
                return sink.end().await;
            }
            Err(StreamEnd::Attempt(error)) => {
                *ran = (*ran).max(error.ran());
                trial.fail(permit, &error, *ran)?;
            }
            Err(StreamEnd::Caller(error)) => return Err(error),
        }
    }
}

/// Why a stream ended before its end mark.
enum StreamEnd {
    Attempt(AttemptError),
    Caller(CallerError),
}

impl From<AttemptError> for StreamEnd {
    fn from(error: AttemptError) -> Self {
        StreamEnd::Attempt(error)
    }
}

async fn take_stream(
    trial: &StageTrial<'_>,
    call: &AttemptCall,
    input: &Value,
    ran: &mut RanState,
    sink: &mut TokenSink<'_>,
) -> Result<Option<LoadReport>, StreamEnd> {
    let resume_from = sink.tokens.len() as u64;
    let clients = &trial.worker.clients;
    let mut stream = open_stream(clients, call, trial.stage, input, resume_from).await?;
    *ran = (*ran).max(RanState::Unknown);
    // The first token is waited for as long as the attempt may take.
    let mut patience = call.time_left.max(TOKEN_PATIENCE);
    loop {
        let bounded = patience.min(trial.plan.time_left());
        match stream.next_step(bounded).await? {
            StreamStep::Token(token) => {
                *ran = RanState::Yes;
                sink.take(token).await.map_err(StreamEnd::Caller)?;
                patience = TOKEN_PATIENCE;
            }
            StreamStep::End => return Ok(stream.load()),
        }
    }
}
