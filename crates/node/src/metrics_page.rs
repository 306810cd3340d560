//! The metrics page.

use std::sync::{Arc, Mutex, PoisonError};

use http::StatusCode;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

use crate::http_door::{DoorAnswer, serve_door};

/// Path of the page.
const METRICS_PATH: &str = "/metrics";

const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the metrics of a registry until the process ends.
pub(crate) async fn serve_metrics(listener: TcpListener, registry: Arc<Mutex<Registry>>) {
    let answer = move |request: crate::http_door::DoorRequest| {
        let registry = registry.clone();
        async move {
            if request.path != METRICS_PATH {
                return DoorAnswer::text(StatusCode::NOT_FOUND, "nothing at this path\n");
            }
            let registry = registry.lock().unwrap_or_else(PoisonError::into_inner);
            let mut text = String::new();
            match prometheus_client::encoding::text::encode(&mut text, &registry) {
                Ok(()) => DoorAnswer {
                    status: StatusCode::OK,
                    content_type: CONTENT_TYPE,
                    body: text.into(),
                },
                Err(error) => {
                    DoorAnswer::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
                }
            }
        }
    };
    serve_door(listener, 0, answer).await;
}
