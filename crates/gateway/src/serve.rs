//! The port for callers.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use linnet_telemetry::EventCode;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::caller_headers::parse_millis_header;
use crate::caller_request::{CallerRequest, parse_request};
use crate::forward::forward;
use crate::host_load::check_host_load;
use crate::message_heads::refusal_response;
use crate::open_request::OpenRequestGuard;
use crate::planned_stop::stop_refusal;
use crate::{Gateway, Refusal, RefusalReason, ResponseBody};

/// Minimum size of the head buffer that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Value of the retry-after header in responses of a host that has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Accepts connections of callers until `stop` becomes true. Open connections then complete their
/// current request and close, each in its own task.
pub async fn serve_callers(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    while !*stop.borrow_and_update() {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let _ = socket.set_nodelay(true);
                    ntex::rt::spawn(serve_connection(gateway.clone(), socket, stop.clone()));
                }
                // Out of file descriptors: wait for other connections to close.
                Err(_) => sleep(Duration::from_millis(20)).await,
            },
            _ = stop.changed() => {}
        }
    }
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    socket: TcpStream,
    mut stop: watch::Receiver<bool>,
) {
    let table = gateway.route_table();
    let limits = table.map_or_else(Default::default, |table| table.config().limits.clone());
    let service_gateway = gateway.clone();
    let is_unframed = Rc::new(Cell::new(false));
    let is_request_unframed = is_unframed.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = service_gateway.clone();
        is_request_unframed.set(request.version() < Version::HTTP_11);
        async move { Ok::<_, Infallible>(handle_request(gateway, request).await) }
    });
    let mut connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    // A disconnect or a protocol error of the caller ends only its own connection.
    let served = loop {
        tokio::select! {
            served = &mut connection => break served,
            changed = stop.changed() => {
                if changed.is_err() || *stop.borrow() {
                    Pin::new(&mut connection).graceful_shutdown();
                    break (&mut connection).await;
                }
            }
        }
    };
    if let Err(error) = &served
        && error.is_parse()
    {
        record_malformed_head(&gateway, error);
    }
    // A streamed response to HTTP/1.0 ends with its connection: only a reset tells the caller that
    // it was cut.
    if is_unframed.get() && served.is_err_and(|error| error.is_user()) {
        reset(connection.into_parts().io.into_inner());
    }
}

/// Records a request whose head the HTTP library could not parse, and which it refused itself.
fn record_malformed_head(gateway: &Gateway, error: &hyper::Error) {
    // The library answers a URI over 64 KiB with 414, which it does not report. Only configurations
    // that allow heads of that size accept one.
    let status = if error.is_parse_too_large() {
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
    } else {
        StatusCode::BAD_REQUEST
    };
    let reason = RefusalReason::BadRequest;
    gateway.metrics.count_own_response(reason, status);
    let refusal = Refusal::new(reason, format!("malformed head: {error}"));
    let code = EventCode::RequestRefused;
    gateway.record_request_event(code, "", "", refusal.log_keys());
}

/// Closes a connection with a reset.
fn reset(socket: TcpStream) {
    if let Err(error) = SockRef::from(&socket).set_linger(Some(Duration::ZERO)) {
        log::warn!("cannot reset the connection of a caller whose response was cut: {error}");
    }
}

async fn handle_request(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = respond(&gateway, request).await;
    if gateway.is_stopping() && response.status() == StatusCode::SERVICE_UNAVAILABLE {
        // The caller is to go on at another host.
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn respond(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
    let open_guard = OpenRequestGuard::new(&gateway.open_requests);
    match read_request(gateway, request).await {
        Ok(mut request) => match check_start(gateway, &request) {
            Ok(()) => {
                request.in_flight_guard = Some(open_guard);
                forward(gateway.clone(), request).await
            }
            Err(refusal) => {
                let keys = format!(
                    "route={} account={} rank={}.{} ",
                    request.route.name,
                    request.account.as_deref().unwrap_or("-"),
                    request.rank.account_priority,
                    request.rank.route_priority
                );
                let priority = request.rank.route_priority;
                refuse(gateway, &request.id, (priority, keys), &refusal)
            }
        },
        Err((id, refusal)) => refuse(gateway, &id, (0, String::new()), &refusal),
    }
}

/// Checks that this host can run a request.
fn check_start(gateway: &Gateway, request: &CallerRequest) -> Result<(), Refusal> {
    gateway.check_stop(request)?;
    check_host_load(gateway, request)
}

/// Records the refusal of a request that was not processed, with the priority of its route and what
/// the line says of it, and builds its response.
fn refuse(
    gateway: &Gateway,
    id: &str,
    (priority, keys): (u8, String),
    refusal: &Refusal,
) -> Response<ResponseBody> {
    let reason = refusal.reason.to_string();
    gateway.metrics.count_request(&reason, priority);
    let code = EventCode::RequestRefused;
    let evidence = config_evidence(gateway, refusal.reason);
    let detail = format!("{keys}{evidence}{}", refusal.log_keys());
    gateway.record_request_event(code, id, "", detail);
    refusal_response(&gateway.config.protocol, &gateway.metrics, id, refusal)
}

/// Returns the keys that state the version and the age of the configuration, for refusals that it
/// decides.
fn config_evidence(gateway: &Gateway, reason: RefusalReason) -> String {
    let is_decided_by_config = matches!(
        reason,
        RefusalReason::NoRoute | RefusalReason::Unauthorized | RefusalReason::BodyTooLarge
    );
    if !is_decided_by_config {
        return String::new();
    }
    format!(
        "version={} {} connected={} ",
        gateway.config_version(),
        gateway.config_age.log_keys(Instant::now()),
        gateway.directory.borrow().is_connected()
    )
}

/// Reads and checks a request; a refusal comes with the request's id.
async fn read_request(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> Result<CallerRequest, (String, Refusal)> {
    let arrived_at = Instant::now();
    let (head, body) = request.into_parts();
    let names = &gateway.config.protocol.headers;
    let id = head.headers.get(&names.request_id);
    let id = id
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let max_wait = gateway.startup_wait(parse_millis_header(&head.headers, &names.deadline_ms));
    let Some(table) = gateway.wait_for_route_table(max_wait).await else {
        let refusal = Refusal::new(RefusalReason::NotReady, "no configuration yet")
            .with_retry_after(NOT_READY_RETRY_AFTER);
        return Err((id, refusal));
    };
    let mut request = parse_request(
        &table,
        names,
        &gateway.config.hall_regions,
        head,
        arrived_at,
    )
    .map_err(|refusal| (id.clone(), refusal))?;
    if !request.takes_up_stream {
        request.age = gateway.overload.age_of(&request);
    }
    let max_bytes = table.config().limits.max_body_bytes;
    let read = tokio::select! {
        biased;
        read = read_body(body, max_bytes, &request) => read,
        () = gateway.wait_until_too_late(&request) => {
            Err(stop_refusal("this host is about to stop, and the body has not arrived"))
        }
    };
    request.body = read.map_err(|refusal| (id, refusal))?;
    request.read_at = Instant::now();
    Ok(request)
}

async fn read_body(
    body: Incoming,
    max_bytes: usize,
    request: &CallerRequest,
) -> Result<Bytes, Refusal> {
    match timeout(request.time_left(), Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("body over {max_bytes} bytes");
            Err(Refusal::new(RefusalReason::BodyTooLarge, detail))
        }
        Ok(Err(error)) => {
            let detail = format!("the body could not be read: {error}");
            Err(Refusal::new(RefusalReason::BadRequest, detail))
        }
        Err(_) => Err(Refusal::new(
            RefusalReason::Overloaded,
            "the body did not arrive before the deadline",
        )),
    }
}
