//! The pages that callers reach.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use linnet_table::RouteKind;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Path, Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use super::check::wants_deferred;
use super::deferred::{accept_deferred, acknowledge_deferred, show_deferred};
use super::{CheckedHead, check_head, read_limited};
use crate::adapter::service::ServiceCall;
use crate::context::{FlightGuard, WorkerContext};
use crate::run::{RequestPlan, RunAnswer, RunTarget, run_request};
use crate::{CallerError, ErrorCode};

/// Lines of a stream that wait for a slow caller; the engine is held up past them.
const STREAM_BUFFER: usize = 64;

/// When a caller of a host that is not ready is told to come back.
const NOT_READY_WAIT: Duration = Duration::from_millis(500);

/// Adds the callers' pages.
pub(crate) fn caller_routes(config: &mut web::ServiceConfig) {
    config
        .route("/ready", web::get().to(show_ready))
        .service(
            web::resource("/v1/pipelines/{pipeline}")
                .route(web::post().to(take_pipeline))
                .route(web::route().to(refuse_method)),
        )
        .service(
            web::resource("/v1/deferred/{handle}")
                .route(web::get().to(show_deferred))
                .route(web::delete().to(acknowledge_deferred))
                .route(web::route().to(refuse_method)),
        )
        .service(web::resource("/v1/services/{service}/{path}*").route(web::route().to(take_call)));
}

async fn show_ready(worker: State<WorkerContext>) -> HttpResponse {
    if worker.entry.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

/// Answers what no other page takes.
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

async fn take_pipeline(
    request: HttpRequest,
    pipeline: Path<String>,
    payload: Payload,
    worker: State<WorkerContext>,
) -> HttpResponse {
    let worker = worker.get_ref().clone();
    let id = worker.entry.name_request();
    let begun = begin_request(&worker, &request, &pipeline, true, payload).await;
    let (head, body, flight) = match begun {
        Ok(begun) => begun,
        Err(error) => return refuse(&worker, &request, &pipeline, &id, error),
    };
    let input: Value = match serde_json::from_slice(&body) {
        Ok(input) => input,
        Err(error) => {
            let error = CallerError::new(ErrorCode::BadBody, "check", error.to_string());
            return refuse(&worker, &request, &pipeline, &id, error);
        }
    };
    match wants_deferred(request.headers()) {
        Ok(false) => {}
        Ok(true) => return accept_deferred(&worker, &id, &head, &body).await,
        Err(error) => return refuse(&worker, &request, &pipeline, &id, error),
    }
    let Some(target) = pipeline_target(&worker, &head, input) else {
        let error = CallerError::new(ErrorCode::UnknownRoute, "check", "the pipeline is gone");
        return refuse(&worker, &request, &pipeline, &id, error);
    };
    let plan = build_plan(&worker, id, head, target, &body);
    // An answer under a request key is recorded, so it is given in one piece.
    if plan.streams() && plan.claim.is_none() {
        stream_answer(worker, request, plan, flight).await
    } else {
        whole_answer(worker, request, plan, flight).await
    }
}

async fn take_call(
    request: HttpRequest,
    path: Path<(String, String)>,
    payload: Payload,
    worker: State<WorkerContext>,
) -> HttpResponse {
    let worker = worker.get_ref().clone();
    let id = worker.entry.name_request();
    let (service, tail) = path.into_inner();
    let begun = begin_request(&worker, &request, &service, false, payload).await;
    let (head, body, flight) = match begun {
        Ok(begun) => begun,
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
    let plan = build_plan(&worker, id, head, RunTarget::Service { pool, call }, &body);
    whole_answer(worker, request, plan, flight).await
}

async fn begin_request(
    worker: &WorkerContext,
    request: &HttpRequest,
    route: &str,
    wants_pipeline: bool,
    payload: Payload,
) -> Result<(CheckedHead, Bytes, FlightGuard), CallerError> {
    let entry = &worker.entry;
    let not_ready = |message: &str| {
        let error = CallerError::new(ErrorCode::NotReady, "check", message);
        error.with_retry_after(NOT_READY_WAIT)
    };
    if entry.flow.is_closed() {
        return Err(not_ready("this host is stopping"));
    }
    if !entry.can_serve() {
        return Err(not_ready("this host has no table or no host list yet"));
    }
    let flight = entry.begin_flight();
    let head = check_head(&entry.feed.read(), request.headers(), route, wants_pipeline)?;
    let body = read_limited(payload).await?;
    Ok((head, body, flight))
}

fn pipeline_target(worker: &WorkerContext, head: &CheckedHead, input: Value) -> Option<RunTarget> {
    match &worker.entry.feed.read().route(head.route).kind {
        RouteKind::Pipeline(stages) if !stages.is_empty() => Some(RunTarget::Pipeline {
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
    if !is_plain_path(tail) {
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

// The path is judged as the service may decode it: an encoded dot, slash or line end must not pass
// where a plain one would not.
fn is_plain_path(tail: &str) -> bool {
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

/// Decodes `%XX`; nothing where a `%` is not followed by two hexadecimal digits.
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
    target: RunTarget,
    body: &[u8],
) -> RequestPlan {
    let table = worker.entry.feed.read();
    RequestPlan::new(&table, id, head, target, body, Instant::now())
}

/// Runs a request and answers it in one piece.
async fn whole_answer(
    worker: WorkerContext,
    request: HttpRequest,
    plan: RequestPlan,
    flight: FlightGuard,
) -> HttpResponse {
    let id = plan.id.clone();
    let route = plan.route_name.clone();
    let stop_with_caller = plan.repeatable;
    let (answer, mut answered) = oneshot::channel();
    let (gone, stopped) = oneshot::channel::<()>();
    let runner = worker.clone();
    ntex::rt::spawn(async move {
        let _flight = flight;
        let running = run_request(&runner, plan, None);
        // A request that may run only once goes on without its caller, so that its end is
        // recorded; any other stops, and its target is let go.
        tokio::select! {
            result = running => { let _ = answer.send(result); }
            Ok(()) = stopped => {}
        }
    });
    let result = match request.io().map(|io| io.on_disconnect()) {
        Some(disconnect) => tokio::select! {
            result = &mut answered => result,
            () = disconnect => {
                if stop_with_caller {
                    let _ = gone.send(());
                }
                note_cancelled(&worker, &route, &id);
                return HttpResponse::new(StatusCode::BAD_REQUEST);
            }
        },
        None => answered.await,
    };
    match result {
        Ok(Ok(answer)) => answer_response(&id, answer),
        Ok(Err(error)) => error.to_response(&id),
        Err(_) => given_up_error().to_response(&id),
    }
}

/// Runs a request and streams its tokens as they come. Errors before the first token have a
/// status of their own; later ones are the last line of the stream, in place of the end mark.
async fn stream_answer(
    worker: WorkerContext,
    request: HttpRequest,
    plan: RequestPlan,
    flight: FlightGuard,
) -> HttpResponse {
    let id = plan.id.clone();
    let route = plan.route_name.clone();
    let (lines, mut incoming) = mpsc::channel::<Bytes>(STREAM_BUFFER);
    let (ended, mut end) = oneshot::channel();
    let runner = worker.clone();
    let stream_id = id.clone();
    ntex::rt::spawn(async move {
        let _flight = flight;
        let caller_gone = lines.clone();
        tokio::select! {
            result = run_request(&runner, plan, Some(lines.clone())) => {
                if let Err(error) = result
                    && let Err(error) = ended.send(error)
                {
                    let line = format!("{}\n", error.body(&stream_id));
                    let _ = lines.send(Bytes::from(line)).await;
                }
            }
            () = caller_gone.closed() => note_cancelled(&runner, &route, &stream_id),
        }
    });
    let disconnect = async {
        match request.io().map(|io| io.on_disconnect()) {
            Some(disconnect) => disconnect.await,
            None => std::future::pending().await,
        }
    };
    // An error that comes before any line is answered with its own status.
    let first = tokio::select! {
        first = incoming.recv() => first,
        () = disconnect => return HttpResponse::new(StatusCode::BAD_REQUEST),
    };
    let Some(first) = first else {
        return match end.try_recv() {
            Ok(error) => error.to_response(&id),
            Err(_) => given_up_error().to_response(&id),
        };
    };
    // From here on an error must go into the stream; one that came just before goes there too.
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

/// Returns the error of a request whose task ended without a result.
fn given_up_error() -> CallerError {
    CallerError::new(ErrorCode::TargetFailed, "run", "the request was given up")
        .with_ran(crate::RanState::Unknown)
}

fn answer_response(id: &str, answer: RunAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    HttpResponse::build(status)
        .header("x-request-id", id)
        .content_type(answer.content_type)
        .body(answer.body)
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
    // Unknown names are counted together: a caller must not be able to make metrics grow.
    let label = if known { route } else { "unknown" };
    worker.entry.stats.count_request(label, error.code.text());
    let code = linnet_telemetry::EventCode::RequestRefused;
    worker
        .entry
        .recorder
        .record_request(code, id, "", error.code.text());
    error.to_response(id)
}

fn note_cancelled(worker: &WorkerContext, route: &str, id: &str) {
    worker.entry.stats.count_request(route, "cancelled");
    let code = linnet_telemetry::EventCode::RequestCancelled;
    worker
        .entry
        .recorder
        .record_request(code, id, "", "the caller went away");
}
