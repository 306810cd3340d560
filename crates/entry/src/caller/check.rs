//! Validates callers' requests before any other processing.

use std::time::Duration;

use futures_util::StreamExt;
use linnet_table::{AccountId, KeyDigest, RouteEntry, RouteId, TableStore};
use ntex::http::HeaderMap;
use ntex::util::{Bytes, BytesMut};
use ntex::web::types::Payload;

use crate::{CallerError, ErrorCode};

/// The maximum size of a request body.
pub(crate) const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// The maximum total size of the request headers.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// The maximum length of a request key.
const MAX_REQUEST_KEY_BYTES: usize = 256;

/// The timeout for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The `step` of errors of these checks.
const STEP: &str = "check";

/// The validated head of a request.
#[derive(Debug, Clone)]
pub(crate) struct CheckedHead {
    pub(crate) account: AccountId,
    pub(crate) route: RouteId,
    pub(crate) deadline: Duration,
    pub(crate) repeatable: bool,
    pub(crate) request_key: Option<String>,
}

/// Validates key, route and headers against the active table.
///
/// # Errors
///
/// Returns a [`CallerError`] with `ran: no`.
pub(crate) fn check_head(
    table: &TableStore,
    headers: &HeaderMap,
    route_name: &str,
    wants_pipeline: bool,
) -> Result<CheckedHead, CallerError> {
    check_header_size(headers)?;
    let account = check_account(table, headers)?;
    let kind_fits = |route: &RouteEntry| {
        matches!(route.kind, linnet_table::RouteKind::Pipeline(_)) == wants_pipeline
    };
    let route = table
        .route_id(route_name)
        .filter(|id| kind_fits(table.route(*id)))
        .ok_or_else(|| {
            let message = format!("the table has no {route_name:?} of this kind");
            CallerError::new(ErrorCode::UnknownRoute, STEP, message)
        })?;
    let entry = table.route(route);
    Ok(CheckedHead {
        account,
        route,
        deadline: parse_deadline(headers, entry.deadline_ms)?,
        repeatable: parse_repeatable(headers)?.unwrap_or(entry.repeatable),
        request_key: parse_request_key(headers)?,
    })
}

fn check_header_size(headers: &HeaderMap) -> Result<(), CallerError> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if size > MAX_HEADER_BYTES {
        let message = format!("{size} bytes of headers; at most {MAX_HEADER_BYTES}");
        return Err(CallerError::new(ErrorCode::HeaderTooLarge, STEP, message));
    }
    Ok(())
}

/// Finds the account of the key in the headers. A missing, a malformed and a wrong key get the same
/// response, so that a caller cannot distinguish them.
pub(crate) fn check_account(
    table: &TableStore,
    headers: &HeaderMap,
) -> Result<AccountId, CallerError> {
    let key = headers
        .get("authorization")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    key.and_then(|key| table.find_account(&KeyDigest::of_key(key.as_bytes())))
        .ok_or_else(|| CallerError::new(ErrorCode::Unauthorized, STEP, "no account has this key"))
}

fn parse_deadline(headers: &HeaderMap, max_ms: u32) -> Result<Duration, CallerError> {
    let text = header_text(headers, "x-deadline-ms", ErrorCode::BadDeadline)?;
    let millis = text.and_then(|text| text.parse::<u32>().ok());
    match millis {
        Some(millis) if (1..=max_ms).contains(&millis) => Ok(Duration::from_millis(millis.into())),
        _ => {
            let given = text.unwrap_or_default();
            let message = format!("x-deadline-ms is {given:?}; want 1 to {max_ms}");
            Err(CallerError::new(ErrorCode::BadDeadline, STEP, message))
        }
    }
}

fn parse_repeatable(headers: &HeaderMap) -> Result<Option<bool>, CallerError> {
    match header_text(headers, "x-repeatable", ErrorCode::BadHeader)? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(other) => {
            let message = format!("x-repeatable is {other:?}; want yes or no");
            Err(CallerError::new(ErrorCode::BadHeader, STEP, message))
        }
    }
}

fn parse_request_key(headers: &HeaderMap) -> Result<Option<String>, CallerError> {
    match header_text(headers, "x-request-key", ErrorCode::BadHeader)? {
        None => Ok(None),
        Some(key) if (1..=MAX_REQUEST_KEY_BYTES).contains(&key.len()) => Ok(Some(key.to_owned())),
        Some(key) => {
            let message = format!(
                "x-request-key has {} bytes; want 1 to {MAX_REQUEST_KEY_BYTES}",
                key.len()
            );
            Err(CallerError::new(ErrorCode::BadHeader, STEP, message))
        }
    }
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
    code: ErrorCode,
) -> Result<Option<&'a str>, CallerError> {
    if headers.get_all(name).count() > 1 {
        let message = format!("{name} stands twice");
        return Err(CallerError::new(code, STEP, message));
    }
    match headers.get(name).map(|value| value.to_str()) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => {
            let message = format!("{name} contains characters other than printable ASCII");
            Err(CallerError::new(code, STEP, message))
        }
    }
}

/// Returns whether the caller requests deferred execution.
pub(crate) fn is_deferred(headers: &HeaderMap) -> Result<bool, CallerError> {
    match header_text(headers, "x-mode", ErrorCode::BadHeader)? {
        None => Ok(false),
        Some("deferred") => Ok(true),
        Some(other) => {
            let message = format!("x-mode is {other:?}; want deferred, or no such header");
            Err(CallerError::new(ErrorCode::BadHeader, STEP, message))
        }
    }
}

/// Reads a request body up to the size limit.
///
/// # Errors
///
/// Returns a [`CallerError`] with `ran: no`.
pub(crate) async fn read_limited_body(mut payload: Payload) -> Result<Bytes, CallerError> {
    let reading = async {
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|error| {
                CallerError::new(
                    ErrorCode::BadBody,
                    STEP,
                    format!("the body is incomplete: {error}"),
                )
            })?;
            if body.len() + part.len() > MAX_BODY_BYTES {
                let message = format!("the body is over {MAX_BODY_BYTES} bytes");
                return Err(CallerError::new(ErrorCode::BodyTooLarge, STEP, message));
            }
            body.extend_from_slice(&part);
        }
        Ok(body.freeze())
    };
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(body) => body,
        Err(_) => Err(CallerError::new(
            ErrorCode::BadBody,
            STEP,
            "the body did not come in time",
        )),
    }
}
