//! How callers and targets speak, as plain data and functions.

use http::HeaderName;
use http::StatusCode;

use crate::{PieceFault, RefusalReason, StageWork};

/// Names of the headers that the gateway reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of one sending of a caller; echoed by the target.
    pub request_id: HeaderName,
    /// Milliseconds that are left.
    pub deadline_ms: HeaderName,
    /// The target's proof that an answer is its own.
    pub seal: HeaderName,
    /// Name of the account, for the target.
    pub account: HeaderName,
    /// The start of a target that the request is meant for.
    pub expect_target: HeaderName,
    /// Set by a target that did not run the request.
    pub not_run: HeaderName,
    /// Set, to anything but 0, by a target that leaves.
    pub leaving: HeaderName,
    /// Requests a second that a target takes from all hosts together, for as long as it names them.
    pub rate: HeaderName,
    /// Load that a target reports with its answers.
    pub load: HeaderName,
    /// Rank of a request at an engine.
    pub priority: HeaderName,
    /// Parts of a prompt, as `ID:TOKENS` separated by commas.
    pub prompt_parts: HeaderName,
    /// Tokens of the prompt, and the most that come out.
    pub tokens: HeaderName,
    /// How many pieces each stage has, separated by commas.
    pub piece_counts: HeaderName,
    /// Key of the pieces of stages that take no results.
    pub piece_key: HeaderName,
    /// Results that the request takes, separated by commas.
    pub results: HeaderName,
    /// The last event of a stream that the caller has.
    pub last_event: HeaderName,
}

/// How callers speak.
#[derive(Debug, Clone)]
pub struct CallerProtocol {
    /// Headers that callers may send and that are the gateway's to set.
    pub private: Vec<HeaderName>,
    /// The status of a refusal.
    pub status: fn(RefusalReason) -> StatusCode,
}

/// One piece in a call to a stage target.
#[derive(Debug, Clone, Copy)]
pub struct StageItem<'a> {
    /// What all pieces of the stage share.
    pub work: &'a StageWork,
    /// The piece of the stage, from 0.
    pub number: u32,
    /// Milliseconds that are left for it.
    pub remaining_ms: u64,
}

/// What a stage target answered for each piece: a handle of the result, or why there is none.
pub type StageResponse = Vec<Result<String, PieceFault>>;

/// How targets speak.
#[derive(Debug, Clone)]
pub struct TargetProtocol {
    /// Path at which stage targets take calls.
    pub stage_run_path: &'static str,
    /// Path at which stage targets are told that results are not needed any more.
    pub stage_free_path: &'static str,
    /// Writes the body of a call.
    pub encode_stage_run: fn(&[StageItem<'_>]) -> Vec<u8>,
    /// Reads the answer to a call; nothing where it is no answer.
    pub decode_stage_run: fn(&[u8]) -> Option<StageResponse>,
    /// Writes the body of a release of results.
    pub encode_stage_free: fn(&[String]) -> Vec<u8>,
    /// Path at which a stage target reports what it has.
    pub report_path: &'static str,
    /// Reads how many bytes a stage target has free for results.
    pub decode_free_bytes: fn(&[u8]) -> Option<u64>,
    /// The status with which a target says that it is another start than was meant.
    pub other_target: StatusCode,
    /// The status with which a target turns a request away; it may name a time to come back.
    pub turned_away: StatusCode,
    /// The status with which a target that did not run a request says that results it takes are gone.
    pub inputs_gone: StatusCode,
}

/// How callers and targets speak.
#[derive(Debug, Clone)]
pub struct Protocol {
    /// Header names, common to both.
    pub headers: HeaderNames,
    /// Callers.
    pub callers: CallerProtocol,
    /// Targets.
    pub targets: TargetProtocol,
}
