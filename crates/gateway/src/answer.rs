//! Heads of requests to targets and of answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, Uri, header};
use http_body_util::Full;

use crate::ask::Ask;
use crate::dialect::{Dialect, HeaderNames};
use crate::{AnswerBody, Refusal};

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// What the gateway tells a target beside the caller's request.
pub(crate) struct Addition<'a> {
    pub(crate) target: &'a str,
    pub(crate) results: Option<String>,
    pub(crate) last_event: Option<&'a str>,
    pub(crate) ranked: bool,
}

/// Writes a caller's request for a target.
pub(crate) fn request_for(
    dialect: &Dialect,
    ask: &Ask,
    addition: &Addition<'_>,
    left: Duration,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let names = &dialect.headers;
    let mut headers = end_to_end(&ask.headers);
    for name in &dialect.callers.private {
        headers.remove(name);
    }
    if ask.account.is_some() {
        headers.remove(header::AUTHORIZATION);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    set(
        &mut headers,
        &names.deadline_ms,
        &left.as_millis().to_string(),
    );
    set(&mut headers, &names.expect_target, addition.target);
    if let Some(account) = &ask.account {
        set(&mut headers, &names.account, account);
    }
    if let Some(results) = &addition.results {
        set(&mut headers, &names.results, results);
    }
    if let Some(last_event) = addition.last_event {
        set(&mut headers, &names.last_event, last_event);
    }
    if addition.ranked {
        set(
            &mut headers,
            &names.priority,
            &ask.rank.engine_level().to_string(),
        );
    }
    // Only path and query: the host travels in its header, as the caller sent it.
    let path = ask.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(ask.method.clone())
        .uri(Uri::try_from(path)?)
        .body(Full::new(ask.body.clone()))?;
    *request.headers_mut() = headers;
    Ok(request)
}

fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns the headers that are passed on.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        passed.remove(name);
    }
    passed
}

/// Writes the answer of a target for the caller.
pub(crate) fn answer_of(
    status: http::StatusCode,
    headers: &HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let mut passed = end_to_end(headers);
    // The length of a whole body is known again; that of a stream may change when it goes on at
    // another target.
    passed.remove(header::CONTENT_LENGTH);
    *answer.headers_mut() = passed;
    answer
}

/// Writes a refusal for the caller.
pub(crate) fn refusal_answer(
    dialect: &Dialect,
    id: &str,
    refusal: &Refusal,
) -> Response<AnswerBody> {
    let body = serde_json::json!({
        "error": refusal.reason.to_string(),
        "ran": if refusal.reason.promises_not_run() { "no" } else { "unknown" },
        "detail": refusal.detail,
    });
    let mut answer = Response::new(AnswerBody::whole(body.to_string()));
    *answer.status_mut() = (dialect.callers.status)(refusal.reason);
    let headers = answer.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if let Some(wait) = refusal.retry_after {
        set(
            headers,
            &header::RETRY_AFTER,
            &format!("{:.3}", wait.as_secs_f64()),
        );
    }
    if !id.is_empty() {
        set(headers, &dialect.headers.request_id, id);
    }
    answer
}

/// Says whether an answer tells where its body ends, other than by the end of the connection.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Says whether an answer names the request that it belongs to.
pub(crate) fn belongs_to(names: &HeaderNames, headers: &HeaderMap, id: &str) -> bool {
    let echoed = headers
        .get(&names.request_id)
        .and_then(|value| value.to_str().ok());
    echoed == Some(id)
}
