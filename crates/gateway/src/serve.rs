//! The callers' port.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use linnet_telemetry::EventCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::caller_request::{CallerRequest, parse_millis_header, parse_request};
use crate::forward::forward;
use crate::message_heads::refusal_response;
use crate::open_request::OpenRequest;
use crate::{Gateway, Refusal, RefusalReason, ResponseBody};

/// The least buffer that the HTTP library takes for a head, in bytes.
const LEAST_HEAD_BUFFER: usize = 8 * 1024;

/// When a caller should come back to a host that has no configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves callers until `stop` says that connections should end, and then until they have ended.
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
                // Out of descriptors: waiting lets others end.
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
    let serving = gateway.clone();
    let service = service_fn(move |request| {
        let gateway = serving.clone();
        async move { Ok::<_, Infallible>(handle(gateway, request).await) }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(LEAST_HEAD_BUFFER))
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        tokio::select! {
            // A caller that left or broke a rule of the protocol ends its connection only.
            _ = connection.as_mut() => return,
            changed = stop.changed() => {
                if changed.is_err() || *stop.borrow() {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.as_mut().await;
                    return;
                }
            }
        }
    }
}

async fn handle(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<ResponseBody> {
    let open = OpenRequest::new(&gateway.open_requests);
    match take_request(&gateway, request).await {
        Ok(mut ask) => {
            ask.in_flight_guard = Some(open);
            forward(gateway, ask).await
        }
        Err((id, refusal)) => {
            let code = EventCode::RequestRefused;
            gateway
                .metrics
                .count_request(&refusal.reason.to_string(), 0);
            gateway.record_request_event(code, &id, "", format!("outcome={refusal}"));
            refusal_response(&gateway.config.protocol, &id, &refusal)
        }
    }
}

async fn take_request(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> Result<CallerRequest, (String, Refusal)> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let names = &gateway.config.protocol.headers;
    let id = head.headers.get(&names.request_id);
    let id = id
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let patience = gateway.startup_wait(parse_millis_header(&head.headers, &names.deadline_ms));
    let Some(table) = gateway.wait_for_route_table(patience).await else {
        let refusal = Refusal::new(RefusalReason::NotReady, "no configuration yet")
            .with_retry_after(NOT_READY_RETRY_AFTER);
        return Err((id, refusal));
    };
    let mut ask = parse_request(&table, names, &gateway.config.hall_regions, head, arrived)
        .map_err(|refusal| (id.clone(), refusal))?;
    ask.body = read_body(body, table.config().limits.max_body_bytes, &ask)
        .await
        .map_err(|refusal| (id, refusal))?;
    Ok(ask)
}

async fn read_body(body: Incoming, most: usize, ask: &CallerRequest) -> Result<Bytes, Refusal> {
    match timeout(ask.time_left(), Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("body over {most} bytes");
            Err(Refusal::new(RefusalReason::BodyTooLarge, detail))
        }
        Ok(Err(error)) => Err(Refusal::new(RefusalReason::BadRequest, error.to_string())),
        Err(_) => Err(Refusal::new(
            RefusalReason::Overloaded,
            "the body did not come in time",
        )),
    }
}
