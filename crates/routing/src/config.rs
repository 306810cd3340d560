//! The parts of a routing configuration.

use serde::{Deserialize, Serialize};

/// One whole configuration. The one with the highest version is in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// The version that the operator gave it.
    pub version: u64,
    /// Routes by host and path prefix.
    pub routes: Vec<Route>,
    /// Services that routes and stages name.
    pub services: Vec<Service>,
    /// Client accounts; where there are none, requests need no key.
    pub accounts: Vec<Account>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

/// How often a request of a route may run, and how it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// Answers with a stream of events; runs once at most unless it is resumable.
    Streaming,
}

/// Requests of one host under one path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// The longest time that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer is wanted, in milliseconds.
    pub objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// The services that share the requests, by weight.
    pub split: Vec<Split>,
    /// The most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Work that is done before a request can run.
    pub stages: Vec<StageSpec>,
    /// Whether requests need no account key.
    pub public: bool,
    /// Whether requests carry a prompt whose parts targets cache.
    pub prefix_cached: bool,
    /// Whether a stream may go on at another target from its last event.
    pub resumable: bool,
    /// The longest wanted pause between two events of a stream, in milliseconds.
    pub event_gap_ms: u64,
    /// Regions in which its requests may run; all where there are none.
    pub regions: Vec<String>,
}

impl Route {
    /// Says whether a request of this route may run more than once.
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
    /// Share of the requests, against the other weights.
    pub weight: u32,
}

/// One stage in front of a route's service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageSpec {
    /// The service that runs the stage.
    pub service: String,
    /// Earlier stages whose results it takes.
    pub depends_on: Vec<usize>,
    /// About how large one result is, in bytes.
    pub result_bytes: u64,
}

/// A service: targets that take the same work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// The most connections that one target takes from all callers.
    pub max_connections: u32,
    /// Requests a second that a target bears from all hosts while it is cold; 0 where it bears as many as
    /// others.
    pub cold_per_s: f64,
    /// Set where the targets are model engines.
    pub engine: Option<EngineSpec>,
    /// Set where the targets run stages.
    pub stage_pool: Option<StagePool>,
}

/// A model engine, as every target of its service is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that run at one time.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
}

/// A target that runs pieces of stages, as every target of its service is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StagePool {
    /// Calls that are worked on at one time.
    pub slots: u32,
    /// Calls that may wait at a target for a slot.
    pub queue: u32,
    /// Pieces that one call takes.
    pub batch: u32,
    /// Time of a call without its pieces, in milliseconds.
    pub call_ms: f64,
    /// About how long one piece takes, in milliseconds.
    pub piece_ms: f64,
    /// Memory for results, in bytes.
    pub result_memory_bytes: u64,
    /// How long a result is kept after its call, in milliseconds.
    pub result_ttl_ms: u64,
    /// Calls a second that a target bears while it is cold; 0 where it bears as many as others.
    pub cold_per_s: f64,
}

impl StagePool {
    /// Returns about how long a call with `pieces` pieces takes, in milliseconds.
    pub fn call_time_ms(&self, pieces: usize) -> f64 {
        self.call_ms + self.piece_ms * pieces as f64
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account.
    pub name: String,
    /// Keys that its callers show.
    pub keys: Vec<String>,
    /// Rank that takes the place of the route's.
    pub priority: Option<u8>,
    /// Regions in which its requests may run, beside what the route allows; all where there are none.
    pub regions: Vec<String>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may rest between requests, in milliseconds.
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
