//! The pages that an entry host serves for operators beside its metrics.

use http::StatusCode;
use serde::Serialize;

use crate::http_server::HttpResponse;

/// Returns the lines of a page as JSON.
pub(crate) fn json_response<T: Serialize>(lines: &[T]) -> HttpResponse {
    match serde_json::to_vec(lines) {
        Ok(body) => HttpResponse::json(StatusCode::OK, body),
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
