//! Operators' API for requests, and parts of prompts, that are held because they crash their targets.

use http::{Method, StatusCode};
use linnet_directory::DirectoryNode;
use linnet_quarantine::{HELD_PARTS_PATH, HELD_PATH, HeldLine, RequestKey};
use serde::Serialize;

use crate::control::error_response;
use crate::http_server::{HttpRequest, HttpResponse};

/// What is held, by its path.
#[derive(Debug, Clone, Copy)]
enum HeldKind {
    Request,
    Part,
}

/// Handles a request to the API of what is held; returns `None` for any other path.
pub(crate) fn handle_held_request(
    node: &DirectoryNode,
    request: &HttpRequest,
) -> Option<HttpResponse> {
    let (kind, key) = split_path(&request.path)?;
    Some(match (key, &request.method, kind) {
        ("", &Method::GET, HeldKind::Request) => {
            let suspects = node.suspects().into_iter();
            list_held(suspects.map(HeldLine::new).collect())
        }
        ("", &Method::GET, HeldKind::Part) => list_held(node.part_lines()),
        (key, &Method::DELETE, kind) => release_held(node, kind, key.trim_start_matches('/')),
        _ => HttpResponse::text(StatusCode::NOT_FOUND, "nothing at this path\n"),
    })
}

fn split_path(path: &str) -> Option<(HeldKind, &str)> {
    let request = path.strip_prefix(HELD_PATH);
    let part = path.strip_prefix(HELD_PARTS_PATH);
    let request = request.map(|key| (HeldKind::Request, key));
    request.or(part.map(|key| (HeldKind::Part, key)))
}

fn list_held<L: Serialize>(lines: Vec<L>) -> HttpResponse {
    match serde_json::to_vec(&lines) {
        Ok(body) => HttpResponse::json(StatusCode::OK, body),
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn release_held(node: &DirectoryNode, kind: HeldKind, key: &str) -> HttpResponse {
    let Some(key) = RequestKey::parse(key) else {
        let detail = "this is no key of a request or a part\n";
        return HttpResponse::text(StatusCode::BAD_REQUEST, detail);
    };
    let was_held = match kind {
        HeldKind::Request => node.release_suspect(key),
        HeldKind::Part => node.release_part(key.into()),
    };
    match was_held {
        Err(error) => error_response(&error),
        Ok(true) => HttpResponse::json(StatusCode::OK, "{}"),
        Ok(false) => {
            HttpResponse::text(StatusCode::NOT_FOUND, "nothing is held against this key\n")
        }
    }
}
