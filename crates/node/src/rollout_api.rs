//! Operators' API for roll-outs, in linnetdale's own format rather than the deployment's.

use http::{Method, StatusCode};
use linnet_directory::DirectoryNode;
use linnet_rollout::{ROLLOUTS_PATH, RolloutOrder};

use crate::control::error_response;
use crate::http_server::{HttpRequest, HttpResponse};

/// Handles a request to the roll-outs API; returns `None` for any other path.
pub(crate) async fn handle_rollout_request(
    node: &DirectoryNode,
    request: &HttpRequest,
) -> Option<HttpResponse> {
    let service = request.path.strip_prefix(ROLLOUTS_PATH)?;
    Some(match (service, &request.method) {
        ("", &Method::GET) => list_rollouts(node),
        ("", &Method::POST) => order_rollout(node, request).await,
        (service, &Method::DELETE) => abort_rollout(node, service.trim_start_matches('/')).await,
        _ => HttpResponse::text(StatusCode::NOT_FOUND, "nothing at this path\n"),
    })
}

fn list_rollouts(node: &DirectoryNode) -> HttpResponse {
    match serde_json::to_vec(&node.rollout_lines()) {
        Ok(body) => HttpResponse::json(StatusCode::OK, body),
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

async fn order_rollout(node: &DirectoryNode, request: &HttpRequest) -> HttpResponse {
    let order: RolloutOrder = match serde_json::from_slice(&request.body) {
        Ok(order) => order,
        Err(error) => return HttpResponse::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    match node.order_rollout(order).await {
        Ok(_) => HttpResponse::json(StatusCode::OK, "{}"),
        Err(error) => error_response(&error),
    }
}

async fn abort_rollout(node: &DirectoryNode, service: &str) -> HttpResponse {
    match node.abort_rollout(service).await {
        Ok(true) => HttpResponse::json(StatusCode::OK, "{}"),
        Ok(false) => HttpResponse::text(
            StatusCode::NOT_FOUND,
            "no roll-out of this service is under way\n",
        ),
        Err(error) => error_response(&error),
    }
}
