//! The HTTP handlers of deferred requests.

use std::time::Duration;

use linnet_claim::DeferredQueryReply;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Path, State};
use ntex::web::{HttpRequest, HttpResponse};
use serde_json::json;

use super::check::check_account;
use super::{CheckedHead, ErrorCode};
use crate::CallerError;
use crate::context::WorkerContext;
use crate::deferred::{accept_job, acknowledge_job, fetch_job, run_leased_job};

/// The retry delay announced to a caller whose job is pending.
const PENDING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Accepts a request for deferred execution and responds with its handle.
pub(super) async fn accept_deferred(
    worker: &WorkerContext,
    id: &str,
    head: &CheckedHead,
    body: &Bytes,
) -> HttpResponse {
    match accept_job(worker, head, id, body).await {
        Ok((handle, leased)) => {
            if let Some(leased) = leased {
                ntex::rt::spawn(run_leased_job(worker.clone(), leased));
            }
            HttpResponse::Accepted()
                .header("x-request-id", id)
                .json(&json!({ "handle": handle, "request": id }))
        }
        Err(error) => error.to_response(id),
    }
}

/// Returns the state of a deferred request. Its response is retained until it is acknowledged.
pub(super) async fn show_deferred(
    request: HttpRequest,
    handle: Path<String>,
    worker: State<WorkerContext>,
) -> HttpResponse {
    let worker = worker.get_ref().clone();
    let account = match account_name(&worker, &request) {
        Ok(account) => account,
        Err(error) => return error.to_response(""),
    };
    match fetch_job(&worker, account, handle.into_inner()).await {
        Ok(DeferredQueryReply::Done(outcome)) => {
            let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
            HttpResponse::build(status)
                .header("x-deferred", "done")
                .content_type("application/json")
                .body(outcome.body)
        }
        Ok(DeferredQueryReply::Pending) => HttpResponse::Accepted()
            .header("x-deferred", "pending")
            .header("retry-after", PENDING_RETRY_AFTER.as_secs().to_string())
            .json(&json!({ "state": "pending" })),
        Ok(_) => no_such_job().to_response(""),
        Err(error) => error.to_response(""),
    }
}

/// Acknowledges the response of a deferred request, which is then removed.
pub(super) async fn acknowledge_deferred(
    request: HttpRequest,
    handle: Path<String>,
    worker: State<WorkerContext>,
) -> HttpResponse {
    let worker = worker.get_ref().clone();
    let account = match account_name(&worker, &request) {
        Ok(account) => account,
        Err(error) => return error.to_response(""),
    };
    match acknowledge_job(&worker, account, handle.into_inner()).await {
        Ok(true) => HttpResponse::NoContent().finish(),
        Ok(false) => no_such_job().to_response(""),
        Err(error) => error.to_response(""),
    }
}

fn account_name(worker: &WorkerContext, request: &HttpRequest) -> Result<String, CallerError> {
    let table = worker.entry.feed.read();
    let account = check_account(&table, request.headers())?;
    Ok(table.account(account).name.clone())
}

fn no_such_job() -> CallerError {
    CallerError::new(
        ErrorCode::NoSuchJob,
        "deferred",
        "the account has no such deferred request",
    )
}
