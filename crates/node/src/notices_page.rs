//! The page on which an entry host tells what targets asked of it.

use http::StatusCode;
use linnet_gateway::Gateway;

use crate::http_server::HttpResponse;

/// Answers with what targets asked of a host, as JSON.
pub(crate) fn notices_response(gateway: &Gateway) -> HttpResponse {
    match serde_json::to_vec(&gateway.notice_lines()) {
        Ok(body) => HttpResponse::json(StatusCode::OK, body),
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
