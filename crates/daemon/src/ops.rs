//! The operators' port: keys, and the pages common to all daemons.

use std::sync::{Arc, Mutex, PoisonError};

use linnet_table::KeyDigest;
use linnet_telemetry::{EventQuery, EventRecorder};
use linnet_wire::PEER_TRAFFIC;
use ntex::web::{self, HttpRequest, HttpResponse, types::State};
use prometheus_client::registry::Registry;
use serde::{Deserialize, Serialize};

/// Digests of the accepted operators' keys.
#[derive(Debug, Clone)]
pub struct OperatorKeys {
    digests: Vec<KeyDigest>,
}

impl OperatorKeys {
    /// Parses digests in hexadecimal, separated by commas or spaces.
    ///
    /// # Errors
    ///
    /// A description of the expected format.
    pub fn parse(text: &str) -> Result<Self, String> {
        let parts = text.split([',', ' ']).filter(|part| !part.is_empty());
        let digests: Option<Vec<_>> = parts.map(KeyDigest::from_hex).collect();
        match digests {
            Some(digests) if !digests.is_empty() => Ok(Self { digests }),
            _ => Err("digests of 64 hexadecimal digits, parted by commas".to_owned()),
        }
    }

    /// Returns whether a request carries an operator's key as `Authorization: Bearer KEY`.
    pub fn authorizes(&self, request: &HttpRequest) -> bool {
        let header = request.headers().get("authorization");
        let key = header
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        key.is_some_and(|key| {
            let presented = KeyDigest::of_key(key.as_bytes());
            self.digests.iter().any(|digest| digest.matches(&presented))
        })
    }
}

/// State that the common pages use.
#[derive(Clone)]
pub struct OpsContext {
    /// The operators' keys.
    pub keys: OperatorKeys,
    /// The events of the process.
    pub recorder: Arc<EventRecorder>,
    /// The metrics of the process.
    pub registry: Arc<Mutex<Registry>>,
}

/// Adds the pages common to all daemons: `/metrics`, `/health` and `/v1/timeline`.
pub fn ops_routes(config: &mut web::ServiceConfig) {
    config
        .route(
            "/health",
            web::get().to(async || HttpResponse::Ok().body("ok\n")),
        )
        .route("/metrics", web::get().to(show_metrics))
        .route("/v1/timeline", web::get().to(show_timeline));
}

#[derive(Deserialize)]
struct TimelineQuery {
    request: Option<String>,
    #[serde(default)]
    since_ms: u64,
}

async fn show_timeline(
    request: HttpRequest,
    query: web::types::Query<TimelineQuery>,
    context: State<OpsContext>,
) -> HttpResponse {
    if !context.keys.authorizes(&request) {
        return unauthorized_response();
    }
    let query = EventQuery {
        request: query.request.clone(),
        since_millis: query.since_ms,
    };
    json_response(200, &context.recorder.select(&query))
}

/// Appends the counters of the traffic with peers, which precede the registered metrics.
pub fn write_traffic(text: &mut String) {
    let counters = [
        ("peer_sent_bytes", PEER_TRAFFIC.sent()),
        ("peer_received_bytes", PEER_TRAFFIC.received()),
        ("peer_messages", PEER_TRAFFIC.messages()),
    ];
    for (name, value) in counters {
        text.push_str(&format!(
            "# TYPE linnet_{name} counter\nlinnet_{name}_total {value}\n"
        ));
    }
}

async fn show_metrics(context: State<OpsContext>) -> HttpResponse {
    let mut text = String::new();
    write_traffic(&mut text);
    let registry = context
        .registry
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    match prometheus_client::encoding::text::encode(&mut text, &registry) {
        Ok(()) => HttpResponse::Ok()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

fn unauthorized_response() -> HttpResponse {
    json_response(
        401,
        &error_body("unauthorized", "an operator's key is needed"),
    )
}

/// Returns the JSON body of an error response on the operators' port.
pub fn error_body(code: &str, message: impl Into<String>) -> serde_json::Value {
    serde_json::json!({ "code": code, "message": message.into() })
}

/// Returns a JSON response.
pub fn json_response<T: Serialize>(status: u16, body: &T) -> HttpResponse {
    let status = ntex::http::StatusCode::from_u16(status)
        .unwrap_or(ntex::http::StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).json(body)
}
