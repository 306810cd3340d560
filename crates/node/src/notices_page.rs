//! The page on which an entry host lists what targets requested of it: back-offs, rate limits and
//! departures.

use http::StatusCode;
use linnet_gateway::Gateway;

use crate::http_server::HttpResponse;

/// Returns the target notices of an entry host as JSON.
pub(crate) fn notices_response(gateway: &Gateway) -> HttpResponse {
    match serde_json::to_vec(&gateway.notice_lines()) {
        Ok(body) => HttpResponse::json(StatusCode::OK, body),
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
