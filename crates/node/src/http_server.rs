//! A small HTTP server for ports that take a request and give a whole answer.

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

/// How long a connection may rest, and how long a head may take.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with its whole body.
pub(crate) struct HttpRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

/// A whole answer.
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

/// Serves a port until the process ends; bodies over `most` bytes are answered 413.
pub(crate) async fn serve_http<F, A>(listener: TcpListener, most: usize, answer: F)
where
    F: Fn(HttpRequest) -> A + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    let answer = Rc::new(answer);
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                ntex::rt::spawn(serve_connection(socket, most, answer.clone()));
            }
            // Out of descriptors: waiting lets others end.
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn serve_connection<F, A>(socket: TcpStream, most: usize, answer: Rc<F>)
where
    F: Fn(HttpRequest) -> A + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer.clone();
        async move {
            let given = match read_request(request, most).await {
                Ok(request) => answer(request).await,
                Err(refused) => refused,
            };
            Ok::<_, Infallible>(write_answer(given))
        }
    });
    // A caller that left or broke a rule of the protocol ends its connection only.
    let _ = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

async fn read_request(
    request: Request<Incoming>,
    most: usize,
) -> Result<HttpRequest, HttpResponse> {
    let (head, body) = request.into_parts();
    match timeout(BODY_TIMEOUT, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(HttpRequest {
            method: head.method,
            path: head.uri.path().to_owned(),
            body: body.to_bytes(),
        }),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(HttpResponse::text(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("body over {most} bytes\n"),
            ))
        }
        Ok(Err(error)) => Err(HttpResponse::text(
            StatusCode::BAD_REQUEST,
            format!("body cut short: {error}\n"),
        )),
        Err(_) => Err(HttpResponse::text(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not come in time\n",
        )),
    }
}

fn write_answer(given: HttpResponse) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(given.body));
    *answer.status_mut() = given.status;
    let content_type = http::HeaderValue::from_static(given.content_type);
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    answer
}
