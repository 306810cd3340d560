//! Whether the stream of a request has begun, or went on.

use http::Response;

use crate::caller_request::CallerRequest;
use crate::takeup_trace::{StartOutcome, TakeupEnd, count_stream_start};
use crate::{Gateway, Refusal, ResponseBody};

/// Counts whether a stream has begun, and records the end of one that was taken up and did not go on.
pub(super) fn record_start(
    gateway: &Gateway,
    request: &CallerRequest,
    outcome: &Result<Response<ResponseBody>, Refusal>,
) {
    let is_begun = outcome.as_ref().is_ok_and(|one| one.status().is_success());
    let start = match is_begun {
        true => StartOutcome::Begun,
        false => StartOutcome::NotBegun,
    };
    count_stream_start(gateway, request, start);
    if !is_begun {
        let is_refused = outcome
            .as_ref()
            .is_err_and(|one| one.reason.promises_not_run());
        request.end_takeup(match is_refused {
            true => TakeupEnd::Refused,
            false => TakeupEnd::Failed,
        });
    }
}
