//! The page on which an entry host tells what targets asked of it.

use http::StatusCode;
use linnet_gateway::Gateway;

use crate::http_door::DoorAnswer;

/// Answers with what targets asked of a host, as JSON.
pub(crate) fn answer_notices(gateway: &Gateway) -> DoorAnswer {
    match serde_json::to_vec(&gateway.notice_lines()) {
        Ok(body) => DoorAnswer::json(StatusCode::OK, body),
        Err(error) => DoorAnswer::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
