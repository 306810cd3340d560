//! The HTTP protocol of a deployment towards callers and targets, as plain data and functions.

use http::HeaderName;
use http::StatusCode;

use crate::{PieceFault, RefusalReason, StageWork};

/// Names of the headers that the gateway reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; echoed by the target.
    pub request_id: HeaderName,
    /// Milliseconds until the deadline.
    pub deadline_ms: HeaderName,
    /// Proof by which a target marks a response as its own.
    pub seal: HeaderName,
    /// Name of the account, sent to the target.
    pub account: HeaderName,
    /// The incarnation of a target that the request is meant for.
    pub expect_target: HeaderName,
    /// Set by a target that did not run the request.
    pub not_run: HeaderName,
    /// Set to anything but 0 by a target that is leaving.
    pub leaving: HeaderName,
    /// Rate limit of a target: requests per second from all entry hosts together. It applies as
    /// long as responses carry it.
    pub rate: HeaderName,
    /// Load that a target reports with its responses.
    pub load: HeaderName,
    /// Priority of a request at an engine.
    pub priority: HeaderName,
    /// Parts of a prompt, as `ID:TOKENS` separated by commas.
    pub prompt_parts: HeaderName,
    /// Number of input tokens and maximum number of output tokens, as `IN,OUT`.
    pub tokens: HeaderName,
    /// Number of pieces of each stage, separated by commas.
    pub piece_counts: HeaderName,
    /// Key of the pieces of stages that take no results as input.
    pub piece_key: HeaderName,
    /// Handles of the stage results that the request takes as input, separated by commas.
    pub results: HeaderName,
    /// Id of the last event of a stream that the caller has received.
    pub last_event: HeaderName,
    /// Id of the attempt that brought the first event of the stream that the caller takes up.
    pub resumes: HeaderName,
}

/// The protocol towards callers.
#[derive(Debug, Clone)]
pub struct CallerProtocol {
    /// Headers that only the gateway may set; they are removed from callers' requests.
    pub private: Vec<HeaderName>,
    /// Maps the reason of a refusal to a status code.
    pub status: fn(RefusalReason) -> StatusCode,
}

/// One piece in a call to a stage target.
#[derive(Debug, Clone, Copy)]
pub struct StageItem<'a> {
    /// The work that all pieces of the stage share.
    pub work: &'a StageWork,
    /// Index of the piece within the stage, from 0.
    pub number: u32,
    /// Milliseconds until its deadline.
    pub remaining_ms: u64,
}

/// The results of a call to a stage target: for each piece the handle of its result, or the fault.
pub type StageResponse = Vec<Result<String, PieceFault>>;

/// The protocol towards targets.
#[derive(Debug, Clone)]
pub struct TargetProtocol {
    /// Path of calls to stage targets.
    pub stage_run_path: &'static str,
    /// Path at which results of stage targets are released.
    pub stage_free_path: &'static str,
    /// Encodes the body of a call.
    pub encode_stage_run: fn(&[StageItem<'_>]) -> Vec<u8>,
    /// Decodes the response to a call; returns `None` if it is malformed.
    pub decode_stage_run: fn(&[u8]) -> Option<StageResponse>,
    /// Encodes the body of a release of results.
    pub encode_stage_free: fn(&[String]) -> Vec<u8>,
    /// Path at which a target reports its resources and its start.
    pub report_path: &'static str,
    /// Decodes how many bytes a stage target has free for results.
    pub decode_free_bytes: fn(&[u8]) -> Option<u64>,
    /// Decodes when a target started, in Unix milliseconds; `None` if its report does not say.
    pub decode_born: fn(&[u8]) -> Option<u64>,
    /// Status of a target whose incarnation is not the one that the request was meant for.
    pub other_target: StatusCode,
    /// Status with which a target refuses a request; the response may carry a `retry-after` time.
    pub turned_away: StatusCode,
    /// Status with which a target that did not run a request reports that its input results are
    /// gone.
    pub inputs_gone: StatusCode,
}

/// The HTTP protocol of a deployment.
#[derive(Debug, Clone)]
pub struct Protocol {
    /// Header names, common to callers and targets.
    pub headers: HeaderNames,
    /// The protocol towards callers.
    pub callers: CallerProtocol,
    /// The protocol towards targets.
    pub targets: TargetProtocol,
}
