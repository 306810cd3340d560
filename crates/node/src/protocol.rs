//! How operators, targets and the load balancer speak to a node.

use derive_more::Display;
use linnet_directory::TargetRecord;
use linnet_gateway::Protocol;
use linnet_rollout::{RolloutOrder, RolloutRecord};
use linnet_routing::RoutingConfig;

/// What a caller of a control host asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// Take the body as the routing configuration.
    PutRouting,
    /// Answer the newest routing configuration.
    ReadRouting,
    /// Take the heartbeat of a target.
    Heartbeat(TargetRecord),
    /// The target of this identity leaves: the start with this birth, or the newest.
    Deregister(String, Option<u64>),
    /// Take a data hall out of work.
    Evacuate(String),
    /// Take a data hall back.
    EndEvacuation(String),
    /// Roll a version of a service out.
    StartRollout(RolloutOrder),
    /// Answer how far the newest roll-out of a service is.
    ReadRollout(String),
}

/// Why a control host does not know what is asked.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ControlRequestError {
    /// There is nothing at this path.
    #[display("nothing at this path")]
    NotFound,
    /// The body is not what it must be.
    #[display("{_0}")]
    BadBody(String),
}

/// How a control host is spoken to.
#[derive(Debug, Clone)]
pub struct ControlProtocol {
    /// Reads method, path and body.
    pub parse_request:
        fn(&http::Method, &str, &[u8]) -> Result<ControlRequest, ControlRequestError>,
    /// Reads a routing configuration; the error tells every fault.
    pub read_config: fn(&[u8]) -> Result<RoutingConfig, String>,
    /// Writes how far a roll-out is.
    pub write_rollout: fn(&RolloutRecord) -> Vec<u8>,
    /// The answer to what was done.
    pub success_body: &'static str,
}

/// How a node is spoken to.
#[derive(Debug, Clone)]
pub struct NodeProtocol {
    /// Callers and targets.
    pub data: Protocol,
    /// Operators and heartbeats.
    pub control: ControlProtocol,
    /// Path at which the load balancer asks whether the host is ready.
    pub readiness_path: &'static str,
}
