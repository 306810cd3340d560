//! Model engines, which stream one JSON line for each token and a final end mark.

use std::time::Duration;

use futures_util::StreamExt;
use linnet_dispatch::LoadReport;
use ntex::client::ClientResponse;
use ntex::http::{Method, Payload};
use ntex::util::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::client::parse_load_report;
use super::{AttemptCall, AttemptCause, AttemptError, TargetClients};

/// The longest line of a stream.
const MAX_LINE_BYTES: usize = 64 * 1024;

#[derive(Serialize)]
struct GenerateBody<'a> {
    stage: &'a str,
    input: &'a Value,
    resume_from: u64,
}

#[derive(Deserialize)]
struct StreamLine {
    attempt: String,
    index: Option<u64>,
    token: Option<String>,
    end: Option<bool>,
    count: Option<u64>,
}

/// The next item of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamStep {
    /// The next token.
    Token(String),
    /// The end mark; all tokens have been received.
    End,
}

/// An open stream of tokens. Yields each token once and in order, or an error.
pub struct TokenStream {
    attempt: String,
    payload: Payload,
    buffer: BytesMut,
    next: u64,
    load: Option<LoadReport>,
}

/// Starts a generation at an engine, from the token with index `resume_from`.
///
/// # Errors
///
/// Returns an [`AttemptError`] if the engine does not start the stream in time.
pub async fn open_stream(
    clients: &TargetClients,
    call: &AttemptCall,
    stage: &str,
    input: &Value,
    resume_from: u64,
) -> Result<TokenStream, AttemptError> {
    let body = GenerateBody {
        stage,
        input,
        resume_from,
    };
    let body = serde_json::to_vec(&body).map_err(|_| AttemptError::new(AttemptCause::Malformed))?;
    let sending = clients.send(
        call,
        Method::POST,
        "/v1/generate",
        "application/json",
        Bytes::from(body),
    );
    let response: ClientResponse = match tokio::time::timeout(call.time_left, sending).await {
        Ok(response) => response?,
        Err(_) => return Err(AttemptError::new(AttemptCause::TimedOut)),
    };
    let load = parse_load_report(&response);
    if !response.status().is_success() {
        let cause = AttemptCause::Status(response.status().as_u16());
        return Err(AttemptError { cause, load });
    }
    Ok(TokenStream {
        attempt: call.attempt.clone(),
        payload: response.take_payload(),
        buffer: BytesMut::new(),
        next: resume_from,
        load,
    })
}

impl TokenStream {
    /// Returns the load that the engine reported.
    pub fn load(&self) -> Option<LoadReport> {
        self.load
    }

    /// Returns the next step, waiting at most `timeout`.
    ///
    /// A repeated token is skipped. A missing token, a line of another attempt, or a stream that
    /// ends without the end mark is an error.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptError`]; the stream cannot be used afterwards.
    pub async fn next_step(&mut self, timeout: Duration) -> Result<StreamStep, AttemptError> {
        loop {
            let line = match tokio::time::timeout(timeout, self.next_line()).await {
                Ok(line) => line?,
                Err(_) => return Err(AttemptError::new(AttemptCause::TimedOut)),
            };
            if let Some(step) = self.apply_line(line)? {
                return Ok(step);
            }
        }
    }

    fn apply_line(&mut self, line: StreamLine) -> Result<Option<StreamStep>, AttemptError> {
        if line.attempt != self.attempt {
            return Err(AttemptError::new(AttemptCause::OtherAttempt));
        }
        if line.end == Some(true) {
            return if line.count == Some(self.next) {
                Ok(Some(StreamStep::End))
            } else {
                Err(AttemptError::new(AttemptCause::MissingToken))
            };
        }
        let (Some(index), Some(token)) = (line.index, line.token) else {
            return Err(AttemptError::new(AttemptCause::Malformed));
        };
        if index < self.next {
            return Ok(None);
        }
        if index > self.next {
            return Err(AttemptError::new(AttemptCause::MissingToken));
        }
        self.next += 1;
        Ok(Some(StreamStep::Token(token)))
    }

    async fn next_line(&mut self) -> Result<StreamLine, AttemptError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return serde_json::from_slice(&line[..end])
                    .map_err(|_| AttemptError::new(AttemptCause::Malformed));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(AttemptError::new(AttemptCause::TooLarge));
            }
            match self.payload.next().await {
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
                // Without the end mark the stream is incomplete, even if it was closed regularly.
                Some(Err(_)) | None => return Err(AttemptError::new(AttemptCause::CutShort)),
            }
        }
    }
}
