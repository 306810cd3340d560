//! Errors as returned to callers.

use std::time::Duration;

use linnet_dispatch::{DispatchRefusal, RefusalCause};
use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Whether any target ran any part of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// No target received any stage.
    #[default]
    No,
    /// A target may have received a stage.
    Unknown,
    /// A target finished at least one stage.
    Yes,
}

macro_rules! error_codes {
    ($($name:ident = $text:literal, $status:literal, $meaning:literal;)*) => {
        /// The machine-readable code of an error.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum ErrorCode {
            $(#[doc = $meaning] $name,)*
        }

        impl ErrorCode {
            /// Every code.
            pub const ALL: &'static [ErrorCode] = &[$(ErrorCode::$name,)*];

            /// Returns the code as written in a response.
            pub fn text(self) -> &'static str {
                match self { $(ErrorCode::$name => $text,)* }
            }

            /// Returns the HTTP status of the code.
            pub fn status(self) -> u16 {
                match self { $(ErrorCode::$name => $status,)* }
            }

            /// Returns the description of the code for people.
            pub fn meaning(self) -> &'static str {
                match self { $(ErrorCode::$name => $meaning,)* }
            }
        }
    };
}

error_codes! {
    BadPath = "bad_path", 404, "There is nothing at this path.";
    BadMethod = "bad_method", 405, "The path takes another method.";
    BadHeader = "bad_header", 400, "A header is missing or has no allowed value.";
    BadDeadline = "bad_deadline", 400, "The deadline is missing or outside what the table allows.";
    BadBody = "bad_body", 400, "The body is not valid JSON or is incomplete.";
    BodyTooLarge = "body_too_large", 413, "The body is over its limit.";
    HeaderTooLarge = "header_too_large", 431, "The headers are over their limit.";
    Unauthorized = "unauthorized", 401, "No account has this key.";
    UnknownRoute = "unknown_route", 404, "The table has no such pipeline or service.";
    NotReady = "not_ready", 503, "This host has no table or no host list yet, or is stopping.";
    AccountLimit = "account_limit", 429, "A limit of the account is used up.";
    Overloaded = "overloaded", 503, "The time left is too short for the expected work, or a queue is full.";
    NoTarget = "no_target", 503, "No target of a stage is usable.";
    NoQuorum = "no_quorum", 503, "The claim on the request key could not be committed.";
    StillRunning = "still_running", 409, "Another request with this request key is running.";
    MayHaveRun = "may_have_run", 409, "An earlier request with this request key may have run; its outcome is unknown.";
    KeyReused = "key_reused", 422, "The request key was used for another request.";
    NoSuchJob = "no_such_job", 404, "The account has no such deferred request, or acknowledged it.";
    ResultNotKept = "result_not_kept", 410, "The request has run; its response was too large to be stored.";
    DeadlinePassed = "deadline_passed", 504, "The deadline passed before the response was complete.";
    TargetFailed = "target_failed", 502, "A target failed and no attempt was left.";
}

/// An error as returned to a caller.
#[derive(Debug, Clone)]
pub struct CallerError {
    /// The error code.
    pub code: ErrorCode,
    /// The step of the request that failed: a stage, or a step such as `admission` or `claim`.
    pub step: String,
    /// The target or host at which the error occurred, or an empty string.
    pub peer: String,
    /// Whether any target ran any part of the request.
    pub ran: RanState,
    /// Whether an earlier request with the same request key may have run. `ran` is about this
    /// request alone; without a reply from the claim table this host does not know about others.
    pub earlier_unknown: bool,
    /// The delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Details for people.
    pub message: String,
}

impl CallerError {
    /// Creates an error of a request that did not run.
    pub fn new(code: ErrorCode, step: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            code,
            step: step.into(),
            peer: String::new(),
            ran: RanState::No,
            earlier_unknown: false,
            retry_after: None,
            message: message.into(),
        }
    }

    /// Sets the target or host at which the error occurred.
    pub fn with_peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = peer.into();
        self
    }

    /// Sets whether any target ran any part of the request.
    pub fn with_ran(mut self, ran: RanState) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Marks that an earlier request with the same request key may have run, if there is a key.
    pub fn with_earlier_unknown(mut self, has_key: bool) -> Self {
        self.earlier_unknown |= has_key;
        self
    }

    /// Creates an error from a refusal by the dispatcher or an account limit.
    pub fn refused(refusal: DispatchRefusal, step: &str, ran: RanState) -> Self {
        let code = match refusal.cause {
            RefusalCause::NoTime if ran != RanState::No => ErrorCode::DeadlinePassed,
            RefusalCause::NoTime | RefusalCause::QueueFull => ErrorCode::Overloaded,
            RefusalCause::NoTarget => ErrorCode::NoTarget,
            RefusalCause::AccountRate
            | RefusalCause::AccountInFlight
            | RefusalCause::AccountTokens => ErrorCode::AccountLimit,
        };
        Self::new(code, step, refusal.cause.to_string())
            .with_ran(ran)
            .with_retry_after(refusal.retry_after)
    }

    /// Returns the JSON body of the error response.
    pub fn body(&self, request: &str) -> Value {
        json!({ "error": {
            "code": self.code.text(),
            "step": self.step,
            "peer": self.peer,
            "ran": self.ran,
            "earlier_sendings": if self.earlier_unknown { "unknown" } else { "none" },
            "retry_after_ms": self.retry_after.map(|wait| wait.as_millis() as u64),
            "message": self.message,
            "request": request,
        }})
    }

    /// Returns the HTTP response for the error.
    pub fn to_response(&self, request: &str) -> HttpResponse {
        let status =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut builder = HttpResponse::build(status);
        builder.header("x-request-id", request);
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
            builder.header("retry-after", seconds.to_string());
        }
        builder.json(&self.body(request))
    }
}
