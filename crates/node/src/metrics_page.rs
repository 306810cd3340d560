//! The metrics page.

use std::sync::{Arc, Mutex, PoisonError};

use http::StatusCode;
use linnet_daemon::write_traffic;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

use crate::http_server::{HttpRequest, HttpResponse, serve_http};

const METRICS_PATH: &str = "/metrics";

const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Returns the response for the path of an extra page on the port; `None` for unknown paths.
pub(crate) type ExtraPages = Box<dyn Fn(&str) -> Option<HttpResponse>>;

/// Serves the metrics of a registry and `extra_pages` until the process ends.
pub(crate) async fn serve_metrics(
    listener: TcpListener,
    registry: Arc<Mutex<Registry>>,
    extra_pages: ExtraPages,
) {
    let handler = move |request: HttpRequest| {
        let response = match request.path.as_str() {
            METRICS_PATH => encode_metrics(&registry),
            path => extra_pages(path).unwrap_or_else(not_found),
        };
        async move { response }
    };
    serve_http(listener, 0, handler).await;
}

fn not_found() -> HttpResponse {
    HttpResponse::text(StatusCode::NOT_FOUND, "nothing at this path\n")
}

fn encode_metrics(registry: &Mutex<Registry>) -> HttpResponse {
    let registry = registry.lock().unwrap_or_else(PoisonError::into_inner);
    let mut text = String::new();
    write_traffic(&mut text);
    match prometheus_client::encoding::text::encode(&mut text, &registry) {
        Ok(()) => HttpResponse {
            status: StatusCode::OK,
            content_type: CONTENT_TYPE,
            body: text.into(),
        },
        Err(error) => HttpResponse::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
