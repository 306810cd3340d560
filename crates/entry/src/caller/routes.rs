//! The HTTP handlers for callers.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use linnet_table::RouteKind;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Path, Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use super::check::is_deferred;
use super::deferred::{accept_deferred, acknowledge_deferred, show_deferred};
use super::{CheckedHead, check_head, read_limited_body};
use crate::adapter::service::ServiceCall;
use crate::context::{InFlightGuard, WorkerContext};
use crate::run::{RequestPlan, RequestWork, RunResponse, run_request};
use crate::{CallerError, ErrorCode};

/// The number of stream lines buffered for a slow caller. A full buffer delays the engine.
const STREAM_BUFFER_LINES: usize = 64;

/// The retry delay announced by a host that is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Registers the routes for callers.
pub(crate) fn caller_routes(config: &mut web::ServiceConfig) {
    config
        .route("/ready", web::get().to(show_ready))
        .service(
            web::resource("/v1/pipelines/{pipeline}")
                .route(web::post().to(handle_pipeline))
                .route(web::route().to(refuse_method)),
        )
        .service(
            web::resource("/v1/deferred/{handle}")
                .route(web::get().to(show_deferred))
                .route(web::delete().to(acknowledge_deferred))
                .route(web::route().to(refuse_method)),
        )
        .service(
            web::resource("/v1/services/{service}/{path}*").route(web::route().to(handle_call)),
        );
}

async fn show_ready(worker: State<WorkerContext>) -> HttpResponse {
    if worker.entry.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

/// Responds to requests for unknown paths.
pub(crate) async fn refuse_path() -> HttpResponse {
    CallerError::new(ErrorCode::BadPath, "check", "there is nothing at this path").to_response("")
}

async fn refuse_method() -> HttpResponse {
    CallerError::new(
        ErrorCode::BadMethod,
        "check",
        "the path takes another method",
    )
    .to_response("")
}

async fn handle_pipeline(
    request: HttpRequest,
    pipeline: Path<String>,
    payload: Payload,
    worker: State<WorkerContext>,
) -> HttpResponse {
    let worker = worker.get_ref().clone();
    let id = worker.entry.next_request_id();
    let received = receive_request(&worker, &request, &pipeline, true, payload).await;
    let (head, body, flight) = match received {
        Ok(received) => received,
        Err(error) => return refuse(&worker, &request, &pipeline, &id, error),
    };
    let input: Value = match serde_json::from_slice(&body) {
        Ok(input) => input,
        Err(error) => {
            let error = CallerError::new(ErrorCode::BadBody, "check", error.to_string());
            return refuse(&worker, &request, &pipeline, &id, error);
        }
    };
    match is_deferred(request.headers()) {
        Ok(false) => {}
        Ok(true) => return accept_deferred(&worker, &id, &head, &body).await,
        Err(error) => return refuse(&worker, &request, &pipeline, &id, error),
    }
    let Some(work) = pipeline_work(&worker, &head, input) else {
        let error = CallerError::new(ErrorCode::UnknownRoute, "check", "the pipeline was removed");
        return refuse(&worker, &request, &pipeline, &id, error);
    };
    let plan = build_plan(&worker, id, head, work, &body);
    // The response to a request with a claim is recorded, so it is not streamed.
    if plan.is_streaming() && plan.claim.is_none() {
        respond_streaming(worker, request, plan, flight).await
    } else {
        respond_complete(worker, request, plan, flight).await
    }
}

async fn handle_call(
    request: HttpRequest,
    path: Path<(String, String)>,
    payload: Payload,
    worker: State<WorkerContext>,
) -> HttpResponse {
    let worker = worker.get_ref().clone();
    let id = worker.entry.next_request_id();
    let (service, tail) = path.into_inner();
    let received = receive_request(&worker, &request, &service, false, payload).await;
    let (head, body, flight) = match received {
        Ok(received) => received,
        Err(error) => return refuse(&worker, &request, &service, &id, error),
    };
    let call = match service_call(&request, &tail, body.clone()) {
        Ok(call) => call,
        Err(error) => return refuse(&worker, &request, &service, &id, error),
    };
    let pool = match &worker.entry.feed.read().route(head.route).kind {
        RouteKind::Service(pool) => pool.clone(),
        RouteKind::Pipeline(_) => String::new(),
    };
    let work = RequestWork::Service { pool, call };
    let plan = build_plan(&worker, id, head, work, &body);
    respond_complete(worker, request, plan, flight).await
}

async fn receive_request(
    worker: &WorkerContext,
    request: &HttpRequest,
    route: &str,
    wants_pipeline: bool,
    payload: Payload,
) -> Result<(CheckedHead, Bytes, InFlightGuard), CallerError> {
    let entry = &worker.entry;
    let not_ready = |message: &str| {
        let error = CallerError::new(ErrorCode::NotReady, "check", message);
        error.with_retry_after(NOT_READY_RETRY_AFTER)
    };
    if entry.flow.is_closed() {
        return Err(not_ready("this host is stopping"));
    }
    if !entry.can_serve() {
        return Err(not_ready("this host has no table or no host list yet"));
    }
    let flight = entry.track_in_flight();
    let head = check_head(&entry.feed.read(), request.headers(), route, wants_pipeline)?;
    let body = read_limited_body(payload).await?;
    Ok((head, body, flight))
}

fn pipeline_work(worker: &WorkerContext, head: &CheckedHead, input: Value) -> Option<RequestWork> {
    match &worker.entry.feed.read().route(head.route).kind {
        RouteKind::Pipeline(stages) if !stages.is_empty() => Some(RequestWork::Pipeline {
            stages: stages.clone(),
            input,
        }),
        _ => None,
    }
}

fn service_call(
    request: &HttpRequest,
    tail: &str,
    body: Bytes,
) -> Result<ServiceCall, CallerError> {
    if !is_safe_path(tail) {
        return Err(CallerError::new(
            ErrorCode::BadPath,
            "check",
            "the path has a part that is not allowed",
        ));
    }
    let query = request.query_string();
    let path = if query.is_empty() {
        format!("/{tail}")
    } else {
        format!("/{tail}?{query}")
    };
    let content_type = request
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    Ok(ServiceCall {
        method: request.method().clone(),
        path,
        content_type: content_type.to_owned(),
        body,
    })
}

// Checks the path as the service may decode it: an encoded dot, slash or line end must not pass
// where the plain character would not.
fn is_safe_path(tail: &str) -> bool {
    let Some(decoded) = decode_percent(tail) else {
        return false;
    };
    let climbs = decoded
        .split(|byte| *byte == b'/')
        .any(|part| part == b".." || part == b".");
    let printable = decoded
        .iter()
        .all(|byte| byte.is_ascii_graphic() || *byte >= 0x80 || *byte == b' ');
    let encoded_slash = tail.to_ascii_lowercase().contains("%2f");
    !climbs && printable && !encoded_slash && !decoded.contains(&b'\\')
}

/// Decodes `%XX` sequences. Returns `None` if a `%` is not followed by two hexadecimal digits.
fn decode_percent(text: &str) -> Option<Vec<u8>> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let mut digit = || char::from(bytes.next()?).to_digit(16);
        let (high, low) = (digit()?, digit()?);
        decoded.push((high * 16 + low) as u8);
    }
    Some(decoded)
}

fn build_plan(
    worker: &WorkerContext,
    id: String,
    head: CheckedHead,
    work: RequestWork,
    body: &[u8],
) -> RequestPlan {
    let table = worker.entry.feed.read();
    RequestPlan::new(&table, id, head, work, body, Instant::now())
}

/// Runs a request and returns its complete response.
async fn respond_complete(
    worker: WorkerContext,
    request: HttpRequest,
    plan: RequestPlan,
    flight: InFlightGuard,
) -> HttpResponse {
    let id = plan.id.clone();
    let route = plan.route_name.clone();
    let stop_with_caller = plan.repeatable;
    let (result_sender, mut result_receiver) = oneshot::channel();
    let (stop, stopped) = oneshot::channel::<()>();
    let runner = worker.clone();
    ntex::rt::spawn(async move {
        let _flight = flight;
        let running = run_request(&runner, plan, None);
        // A request that may run only once continues after its caller disconnects, so that its
        // outcome is recorded. Any other request stops, which releases its target.
        tokio::select! {
            result = running => { let _ = result_sender.send(result); }
            Ok(()) = stopped => {}
        }
    });
    let result = match request.io().map(|io| io.on_disconnect()) {
        Some(disconnect) => tokio::select! {
            result = &mut result_receiver => result,
            () = disconnect => {
                if stop_with_caller {
                    let _ = stop.send(());
                }
                record_cancelled(&worker, &route, &id);
                return HttpResponse::new(StatusCode::BAD_REQUEST);
            }
        },
        None => result_receiver.await,
    };
    match result {
        Ok(Ok(response)) => build_response(&id, response),
        Ok(Err(error)) => error.to_response(&id),
        Err(_) => aborted_error().to_response(&id),
    }
}

/// Runs a request and streams its tokens as they are received. An error before the first token sets
/// the response status; a later one is the last line of the stream, in place of the end mark.
async fn respond_streaming(
    worker: WorkerContext,
    request: HttpRequest,
    plan: RequestPlan,
    flight: InFlightGuard,
) -> HttpResponse {
    let id = plan.id.clone();
    let route = plan.route_name.clone();
    let (lines, mut incoming) = mpsc::channel::<Bytes>(STREAM_BUFFER_LINES);
    let (ended, mut end) = oneshot::channel();
    let runner = worker.clone();
    let stream_id = id.clone();
    ntex::rt::spawn(async move {
        let _flight = flight;
        let caller_lines = lines.clone();
        tokio::select! {
            result = run_request(&runner, plan, Some(lines.clone())) => {
                if let Err(error) = result
                    && let Err(error) = ended.send(error)
                {
                    let line = format!("{}\n", error.body(&stream_id));
                    let _ = lines.send(Bytes::from(line)).await;
                }
            }
            () = caller_lines.closed() => record_cancelled(&runner, &route, &stream_id),
        }
    });
    let disconnect = async {
        match request.io().map(|io| io.on_disconnect()) {
            Some(disconnect) => disconnect.await,
            None => std::future::pending().await,
        }
    };
    // An error before the first line sets the response status.
    let first = tokio::select! {
        first = incoming.recv() => first,
        () = disconnect => return HttpResponse::new(StatusCode::BAD_REQUEST),
    };
    let Some(first) = first else {
        return match end.try_recv() {
            Ok(error) => error.to_response(&id),
            Err(_) => aborted_error().to_response(&id),
        };
    };
    // From here on an error must be written to the stream, including one that has just occurred.
    end.close();
    let early_error = end
        .try_recv()
        .ok()
        .map(|error| Bytes::from(format!("{}\n", error.body(&id))));
    let rest = futures_util::stream::unfold(incoming, async |mut incoming| {
        incoming.recv().await.map(|line| (line, incoming))
    });
    let body = futures_util::stream::once(async { first })
        .chain(rest)
        .chain(futures_util::stream::iter(early_error));
    let body = body.map(Ok::<_, std::io::Error>);
    HttpResponse::Ok()
        .header("x-request-id", id)
        .content_type("application/x-ndjson")
        .streaming(Box::pin(body))
}

/// Returns the error for a request whose task ended without a result.
fn aborted_error() -> CallerError {
    CallerError::new(
        ErrorCode::TargetFailed,
        "run",
        "the request was aborted on this host",
    )
    .with_ran(crate::RanState::Unknown)
}

fn build_response(id: &str, response: RunResponse) -> HttpResponse {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK);
    HttpResponse::build(status)
        .header("x-request-id", id)
        .content_type(response.content_type)
        .body(response.body)
}

fn refuse(
    worker: &WorkerContext,
    request: &HttpRequest,
    route: &str,
    id: &str,
    error: CallerError,
) -> HttpResponse {
    let has_key = request.headers().contains_key("x-request-key");
    let error = error.with_earlier_unknown(has_key);
    let known = worker.entry.feed.read().route_id(route).is_some();
    // Unknown routes share one label, so that callers cannot create metric series.
    let label = if known { route } else { "unknown" };
    worker.entry.stats.count_request(label, error.code.text());
    let code = linnet_telemetry::EventCode::RequestRefused;
    worker
        .entry
        .recorder
        .record_request(code, id, "", error.code.text());
    error.to_response(id)
}

fn record_cancelled(worker: &WorkerContext, route: &str, id: &str) {
    worker.entry.stats.count_request(route, "cancelled");
    let code = linnet_telemetry::EventCode::RequestCancelled;
    worker
        .entry
        .recorder
        .record_request(code, id, "", "the caller disconnected");
}
