//! A small HTTP server for ports that read a complete request and write a complete response,
//! without streaming.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Maximum time that a connection may be idle and that the headers of a request may take.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time that the body of a request may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with its complete body.
pub(crate) struct HttpRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// A response with its complete body.
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) content_type: &'static str,
    pub(crate) body: Bytes,
}

impl HttpResponse {
    pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: body.into(),
        }
    }

    pub(crate) fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.into(),
        }
    }
}

/// Serves a port until the process ends; requests with bodies over `max_body_bytes` get status 413.
pub(crate) async fn serve_http<F, A>(listener: TcpListener, max_body_bytes: usize, handler: F)
where
    F: Fn(HttpRequest) -> A + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                ntex::rt::spawn(serve_connection(socket, max_body_bytes, handler.clone()));
            }
            // Out of file descriptors: the pause lets other connections close.
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn serve_connection<F, A>(socket: TcpStream, max_body_bytes: usize, handler: Rc<F>)
where
    F: Fn(HttpRequest) -> A + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let response = match read_request(request, max_body_bytes).await {
                Ok(request) => handler(request).await,
                Err(response) => response,
            };
            Ok::<_, Infallible>(into_hyper_response(response))
        }
    });
    // A client that disconnects or violates HTTP ends only its own connection.
    let _ = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

async fn read_request(
    request: Request<Incoming>,
    max_body_bytes: usize,
) -> Result<HttpRequest, HttpResponse> {
    let (head, body) = request.into_parts();
    match timeout(BODY_TIMEOUT, Limited::new(body, max_body_bytes).collect()).await {
        Ok(Ok(body)) => Ok(HttpRequest {
            method: head.method,
            path: head.uri.path().to_owned(),
            body: body.to_bytes(),
        }),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(HttpResponse::text(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("body over {max_body_bytes} bytes\n"),
            ))
        }
        Ok(Err(error)) => Err(HttpResponse::text(
            StatusCode::BAD_REQUEST,
            format!("body cut short: {error}\n"),
        )),
        Err(_) => Err(HttpResponse::text(
            StatusCode::REQUEST_TIMEOUT,
            "body not received in time\n",
        )),
    }
}

fn into_hyper_response(response: HttpResponse) -> Response<Full<Bytes>> {
    let mut converted = Response::new(Full::new(response.body));
    *converted.status_mut() = response.status;
    let content_type = http::HeaderValue::from_static(response.content_type);
    converted
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    converted
}
