//! The metrics page.

use std::sync::{Arc, Mutex, PoisonError};

use http::StatusCode;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

use crate::http_door::{DoorAnswer, DoorRequest, serve_door};

/// Path of the page.
const METRICS_PATH: &str = "/metrics";

const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers the path of another page on the port; nothing at any other.
pub(crate) type MorePages = Box<dyn Fn(&str) -> Option<DoorAnswer>>;

/// Serves the metrics of a registry, and `more` pages beside them, until the process ends.
pub(crate) async fn serve_metrics(
    listener: TcpListener,
    registry: Arc<Mutex<Registry>>,
    more: MorePages,
) {
    let answer = move |request: DoorRequest| {
        let given = match request.path.as_str() {
            METRICS_PATH => write_page(&registry),
            path => more(path).unwrap_or_else(nothing_there),
        };
        async move { given }
    };
    serve_door(listener, 0, answer).await;
}

fn nothing_there() -> DoorAnswer {
    DoorAnswer::text(StatusCode::NOT_FOUND, "nothing at this path\n")
}

fn write_page(registry: &Mutex<Registry>) -> DoorAnswer {
    let registry = registry.lock().unwrap_or_else(PoisonError::into_inner);
    let mut text = String::new();
    match prometheus_client::encoding::text::encode(&mut text, &registry) {
        Ok(()) => DoorAnswer {
            status: StatusCode::OK,
            content_type: CONTENT_TYPE,
            body: text.into(),
        },
        Err(error) => DoorAnswer::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
