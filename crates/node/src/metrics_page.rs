//! The metrics page.

use std::sync::{Arc, Mutex, PoisonError};

use http::StatusCode;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

use crate::http_server::{HttpRequest, HttpResponse, serve_http};

/// Path of the page.
const METRICS_PATH: &str = "/metrics";

const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers the path of another page on the port; nothing at any other.
pub(crate) type ExtraPages = Box<dyn Fn(&str) -> Option<HttpResponse>>;

/// Serves the metrics of a registry, and `more` pages beside them, until the process ends.
pub(crate) async fn serve_metrics(
    listener: TcpListener,
    registry: Arc<Mutex<Registry>>,
    more: ExtraPages,
) {
    let answer = move |request: HttpRequest| {
        let given = match request.path.as_str() {
            METRICS_PATH => encode_metrics(&registry),
            path => more(path).unwrap_or_else(not_found),
        };
        async move { given }
    };
    serve_http(listener, 0, answer).await;
}

fn not_found() -> HttpResponse {
    HttpResponse::text(StatusCode::NOT_FOUND, "nothing at this path\n")
}

fn encode_metrics(registry: &Mutex<Registry>) -> HttpResponse {
    let registry = registry.lock().unwrap_or_else(PoisonError::into_inner);
    let mut text = String::new();
    match prometheus_client::encoding::text::encode(&mut text, &registry) {
        Ok(()) => HttpResponse {
            status: StatusCode::OK,
            content_type: CONTENT_TYPE,
            body: text.into(),
        },
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
