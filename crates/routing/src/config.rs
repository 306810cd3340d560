//! The parts of a routing configuration.

use serde::{Deserialize, Serialize};

/// A complete configuration. The one with the highest version is in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// The version assigned by the operator.
    pub version: u64,
    /// Routes by host and path prefix.
    pub routes: Vec<Route>,
    /// Services that routes and stages refer to.
    pub services: Vec<Service>,
    /// Client accounts; if there are none, requests need no key.
    pub accounts: Vec<Account>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
}

/// How often a request of a route may run, and how its response is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// Responds with a stream of events; runs once at most unless it is resumable.
    Streaming,
}

/// A route: the requests for one host under one path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name in logs and metrics.
    pub name: String,
    /// The host named in requests.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Maximum time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Target response time, in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The services that share the requests, by weight.
    pub split: Vec<Split>,
    /// Maximum number of targets that a request may be sent to.
    pub max_attempts: u32,
    /// Stages that run before the request itself.
    pub stages: Vec<StageSpec>,
    /// Whether requests need no account key.
    pub public: bool,
    /// Whether requests carry a prompt whose prefixes are cached by targets.
    pub prefix_cached: bool,
    /// Whether a stream may be resumed at another target after its last event.
    pub resumable: bool,
    /// Target for the longest pause between two events of a stream, in milliseconds.
    pub event_gap_ms: u64,
    /// Regions in which its requests may run; empty for all.
    pub regions: Vec<String>,
}

impl Route {
    /// Returns whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// A service and its share of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// Name of the service.
    pub service: String,
    /// Weight of its share of the requests, relative to the other weights.
    pub weight: u32,
}

/// A stage that runs before a route's service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageSpec {
    /// The service that runs the stage.
    pub service: String,
    /// Indices of earlier stages whose results it uses.
    pub depends_on: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// A service: a set of targets that accept the same requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// The path of the health check.
    pub health_path: String,
    /// Maximum number of connections that one target accepts from all callers.
    pub max_connections: u32,
    /// Requests per second, from all hosts, that a cold target can handle; 0 if a cold target
    /// handles as many as others.
    pub cold_per_s: f64,
    /// Set if the targets are model engines.
    pub engine: Option<EngineSpec>,
    /// Set if the targets run stages.
    pub stage_pool: Option<StagePool>,
}

/// The parameters of a model engine, equal for all targets of its service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of its memory, in tokens.
    pub memory_tokens: u64,
}

/// The parameters of a target that runs pieces of stages, equal for all targets of its service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StagePool {
    /// Number of calls that run concurrently.
    pub slots: u32,
    /// Number of calls that may wait at a target for a slot.
    pub queue: u32,
    /// Maximum number of pieces in one call.
    pub batch: u32,
    /// Overhead of a call without its pieces, in milliseconds.
    pub call_ms: f64,
    /// Approximate time for one piece, in milliseconds.
    pub piece_ms: f64,
    /// Memory for results, in bytes.
    pub result_memory_bytes: u64,
    /// Time that a result is retained after its call, in milliseconds.
    pub result_ttl_ms: u64,
    /// Calls per second that a cold target can handle; 0 if a cold target handles as many as
    /// others.
    pub cold_per_s: f64,
}

impl StagePool {
    /// Returns the approximate time of a call with `pieces` pieces, in milliseconds.
    pub fn call_time_ms(&self, pieces: usize) -> f64 {
        self.call_ms + self.piece_ms * pieces as f64
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account.
    pub name: String,
    /// Keys that its callers authenticate with.
    pub keys: Vec<String>,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Regions in which its requests may run, in addition to the route's restriction; empty for
    /// all.
    pub regions: Vec<String>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request's headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may be idle between requests, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
