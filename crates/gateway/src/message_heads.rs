//! Builds the heads of requests to targets and of responses to callers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, Uri, header};
use http_body_util::Full;

use crate::caller_request::CallerRequest;
use crate::metrics::GatewayMetrics;
use crate::protocol::Protocol;
use crate::{Refusal, ResponseBody};

/// Hop-by-hop headers, which are not forwarded.
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

/// Headers that the gateway adds to a caller's request for a target.
pub(crate) struct TargetHeaders<'a> {
    pub(crate) expected_target: &'a str,
    pub(crate) results: Option<String>,
    pub(crate) last_event: Option<HeaderValue>,
    pub(crate) with_priority: bool,
}

/// The deadline of a request to a target, an extension of the request. The header tells the time that
/// is left, so it is written when the request is sent.
#[derive(Clone)]
pub(crate) struct SendDeadline {
    header: HeaderName,
    deadline: Instant,
}

impl SendDeadline {
    /// Returns the time that is left for a request; zero if it has no deadline.
    pub(crate) fn time_left<B>(request: &Request<B>) -> Duration {
        let deadline: Option<&Self> = request.extensions().get();
        let left = |one: &Self| one.deadline.saturating_duration_since(Instant::now());
        deadline.map_or(Duration::ZERO, left)
    }

    /// Writes the time that is left now into the header of a request that has a deadline.
    pub(crate) fn refresh<B>(request: &mut Request<B>) {
        let Some(Self { header, deadline }) = request.extensions().get().cloned() else {
            return;
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let millis = time_left.as_millis().to_string();
        set_header(request.headers_mut(), &header, &millis);
    }
}

/// Builds the request that is sent to a target for a caller's request.
pub(crate) fn build_target_request(
    protocol: &Protocol,
    request: &CallerRequest,
    additions: &TargetHeaders<'_>,
    time_left: Duration,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let names = &protocol.headers;
    let mut headers = end_to_end_headers(&request.headers);
    for name in &protocol.callers.private {
        headers.remove(name);
    }
    if request.account.is_some() {
        headers.remove(header::AUTHORIZATION);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    set_header(
        &mut headers,
        &names.deadline_ms,
        &time_left.as_millis().to_string(),
    );
    set_header(
        &mut headers,
        &names.expect_target,
        additions.expected_target,
    );
    if let Some(account) = &request.account {
        set_header(&mut headers, &names.account, account);
    }
    if let Some(results) = &additions.results {
        set_header(&mut headers, &names.results, results);
    }
    if let Some(last_event) = &additions.last_event {
        headers.insert(&names.last_event, last_event.clone());
    }
    if additions.with_priority {
        set_header(
            &mut headers,
            &names.priority,
            &request.rank.engine_priority().to_string(),
        );
    }
    // The URI holds only path and query: the host stays in the `host` header, as the caller sent
    // it.
    let path = request
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut outgoing = Request::builder()
        .method(request.method.clone())
        .uri(Uri::try_from(path)?)
        .body(Full::new(request.body.clone()))?;
    *outgoing.headers_mut() = headers;
    outgoing.extensions_mut().insert(SendDeadline {
        header: names.deadline_ms.clone(),
        deadline: Instant::now() + time_left,
    });
    Ok(outgoing)
}

fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns the headers without hop-by-hop headers and those that `connection` lists.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&CONNECTION_HEADERS) {
        forwarded.remove(name);
    }
    forwarded
}

/// Builds the response to the caller from a target's response.
pub(crate) fn build_response(
    status: http::StatusCode,
    headers: &HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let mut forwarded = end_to_end_headers(headers);
    // Removes the length: that of a complete body is set again from the body, and that of a stream
    // may change when another target resumes it.
    forwarded.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = forwarded;
    response
}

/// Builds the response to the caller for a refusal, and counts it.
pub(crate) fn refusal_response(
    protocol: &Protocol,
    metrics: &GatewayMetrics,
    id: &str,
    refusal: &Refusal,
) -> Response<ResponseBody> {
    let body = serde_json::json!({
        "error": refusal.reason.to_string(),
        "ran": if refusal.reason.promises_not_run() { "no" } else { "unknown" },
        "detail": refusal.detail,
    });
    let mut response = Response::new(ResponseBody::full(body.to_string()));
    let status = (protocol.callers.status)(refusal.reason);
    *response.status_mut() = status;
    metrics.count_own_response(refusal.reason, status);
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert(header::CONTENT_TYPE, json);
    if let Some(retry_after) = refusal.retry_after {
        set_header(
            headers,
            &header::RETRY_AFTER,
            &format!("{:.3}", retry_after.as_secs_f64()),
        );
    }
    if !id.is_empty() {
        set_header(headers, &protocol.headers.request_id, id);
    }
    response
}

#[cfg(test)]
mod tests;
