//! The protocol that operators, targets and the load balancer use with a node.

use derive_more::Display;
use linnet_directory::TargetRecord;
use linnet_gateway::Protocol;
use linnet_rollout::{RolloutOrder, RolloutRecord};
use linnet_routing::RoutingConfig;

/// A parsed request to a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// Propose the request body as the routing configuration.
    PutRouting,
    /// Return the newest routing configuration.
    ReadRouting,
    /// Apply the heartbeat of a target.
    Heartbeat(TargetRecord),
    /// Deregister the target with this id: the incarnation with this start time, or the newest one.
    Deregister(String, Option<u64>),
    /// Evacuate a data hall.
    Evacuate(String),
    /// End the evacuation of a data hall.
    EndEvacuation(String),
    /// Start the roll-out of a version of a service.
    StartRollout(RolloutOrder),
    /// Return the progress of the newest roll-out of a service.
    ReadRollout(String),
}

/// Error for a request to a control host that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ControlRequestError {
    /// The path is unknown.
    #[display("nothing at this path")]
    NotFound,
    /// The body is invalid.
    #[display("{_0}")]
    BadBody(String),
}

/// Protocol of the operators' port of a control host.
#[derive(Debug, Clone)]
pub struct ControlProtocol {
    /// Parses method, path and body of a request.
    pub parse_request:
        fn(&http::Method, &str, &[u8]) -> Result<ControlRequest, ControlRequestError>,
    /// Parses a routing configuration; the error lists every fault.
    pub read_config: fn(&[u8]) -> Result<RoutingConfig, String>,
    /// Encodes the progress of a roll-out.
    pub write_rollout: fn(&RolloutRecord) -> Vec<u8>,
    /// Body of the response to an order that succeeded.
    pub success_body: &'static str,
}

/// Protocols of the ports of a node.
#[derive(Debug, Clone)]
pub struct NodeProtocol {
    /// Protocol with callers and targets.
    pub data: Protocol,
    /// Protocol with operators and for heartbeats.
    pub control: ControlProtocol,
    /// Path of the load balancer's readiness check.
    pub readiness_path: &'static str,
}
