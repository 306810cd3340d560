//! Operators' API for requests that are held because they crash their targets.

use http::{Method, StatusCode};
use linnet_directory::DirectoryNode;
use linnet_quarantine::{HELD_PATH, HeldLine, RequestKey};

use crate::http_server::{HttpRequest, HttpResponse};

/// Handles a request to the held-requests API; returns `None` for any other path.
pub(crate) fn handle_held_request(
    node: &DirectoryNode,
    request: &HttpRequest,
) -> Option<HttpResponse> {
    let key = request.path.strip_prefix(HELD_PATH)?;
    Some(match (key, &request.method) {
        ("", &Method::GET) => list_held(node),
        (key, &Method::DELETE) => release_held(node, key.trim_start_matches('/')),
        _ => HttpResponse::text(StatusCode::NOT_FOUND, "nothing at this path\n"),
    })
}

fn list_held(node: &DirectoryNode) -> HttpResponse {
    let lines: Vec<HeldLine> = node.suspects().into_iter().map(HeldLine::new).collect();
    match serde_json::to_vec(&lines) {
        Ok(body) => HttpResponse::json(StatusCode::OK, body),
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn release_held(node: &DirectoryNode, key: &str) -> HttpResponse {
    let Some(key) = RequestKey::parse(key) else {
        return HttpResponse::text(StatusCode::BAD_REQUEST, "this is no key of a request\n");
    };
    if node.release_suspect(key) {
        HttpResponse::json(StatusCode::OK, "{}")
    } else {
        HttpResponse::text(
            StatusCode::NOT_FOUND,
            "nothing is held against this request\n",
        )
    }
}
