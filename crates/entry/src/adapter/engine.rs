//! Model engines, which stream tokens one JSON line each and end with a mark.

use std::time::Duration;

use futures_util::StreamExt;
use linnet_dispatch::LoadReport;
use ntex::client::ClientResponse;
use ntex::http::{Method, Payload};
use ntex::util::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::client::load_report;
use super::{AttemptCall, AttemptCause, AttemptError, TargetClients};

/// The longest line of a stream, in bytes.
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

/// What a stream gives next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamStep {
    /// The token due next.
    Token(String),
    /// The end mark; all tokens have come.
    End,
}

/// An open stream of tokens. It gives each token once and in order, or an error.
pub struct TokenStream {
    attempt: String,
    payload: Payload,
    buffer: BytesMut,
    next: u64,
    load: Option<LoadReport>,
}

/// Starts a generation at an engine, from a token on.
///
/// # Errors
///
/// [`AttemptError`].
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
    let load = load_report(&response);
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
    /// Returns what the engine told of its load.
    pub fn load(&self) -> Option<LoadReport> {
        self.load
    }

    /// Returns the next step, waiting at most `patience`.
    ///
    /// A token that comes again is passed over; one left out, a line of another attempt, or an
    /// end without its mark is an error.
    ///
    /// # Errors
    ///
    /// [`AttemptError`]; the stream is of no use after it.
    pub async fn next_step(&mut self, patience: Duration) -> Result<StreamStep, AttemptError> {
        loop {
            let line = match tokio::time::timeout(patience, self.next_line()).await {
                Ok(line) => line?,
                Err(_) => return Err(AttemptError::new(AttemptCause::TimedOut)),
            };
            if let Some(step) = self.take_line(line)? {
                return Ok(step);
            }
        }
    }

    fn take_line(&mut self, line: StreamLine) -> Result<Option<StreamStep>, AttemptError> {
        if line.attempt != self.attempt {
            return Err(AttemptError::new(AttemptCause::Foreign));
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
                // Without the end mark the stream is not whole, however it ended.
                Some(Err(_)) | None => return Err(AttemptError::new(AttemptCause::CutShort)),
            }
        }
    }
}
