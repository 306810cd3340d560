//! What a request asks for, with all that the table says about it.

use std::time::{Duration, Instant};

use cranelift_entity::EntityRef;
use linnet_claim::{ClaimCommand, ClaimKey};
use linnet_table::{RowLimits, StageRow, TableStore};
use ntex::util::Bytes;
use serde_json::Value;

use crate::adapter::service::ServiceCall;
use crate::caller::CheckedHead;

/// What a request runs on.
pub(crate) enum RunTarget {
    Pipeline { stages: Vec<StageRow>, input: Value },
    Service { pool: String, call: ServiceCall },
}

/// The claim that a request needs before its first byte goes out.
#[derive(Debug, Clone)]
pub(crate) struct PlannedClaim {
    pub(crate) key: ClaimKey,
    pub(crate) content: [u8; 16],
}

/// One request.
pub(crate) struct RequestPlan {
    pub(crate) id: String,
    pub(crate) account: u32,
    pub(crate) account_name: String,
    pub(crate) account_limits: RowLimits,
    pub(crate) weight: u32,
    pub(crate) route: u32,
    pub(crate) route_name: String,
    pub(crate) route_limits: RowLimits,
    pub(crate) deadline: Instant,
    pub(crate) repeatable: bool,
    pub(crate) claim: Option<PlannedClaim>,
    pub(crate) target: RunTarget,
}

/// The whole answer of a request.
#[derive(Debug, Clone)]
pub(crate) struct RunAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

impl RequestPlan {
    /// Creates a plan from a checked request. Later changes of the table do not touch it.
    pub(crate) fn new(
        table: &TableStore,
        id: String,
        head: CheckedHead,
        target: RunTarget,
        body: &[u8],
        now: Instant,
    ) -> Self {
        let account = table.account(head.account);
        let route = table.route(head.route);
        let claim = head
            .request_key
            .filter(|_| !head.repeatable)
            .map(|key| PlannedClaim {
                key: ClaimKey::new(&account.name, &key),
                content: ClaimCommand::content_digest(&content_scope(&route.name, &target), body),
            });
        Self {
            id,
            account: head.account.index() as u32,
            account_name: account.name.clone(),
            account_limits: account.limits,
            weight: table.weight(head.account, head.route),
            route: head.route.index() as u32,
            route_name: route.name.clone(),
            route_limits: table.route_limits(head.account, head.route),
            deadline: now + head.deadline,
            repeatable: head.repeatable,
            claim,
            target,
        }
    }

    /// Says whether the last stage gives a stream.
    pub(crate) fn streams(&self) -> bool {
        match &self.target {
            RunTarget::Pipeline { stages, .. } => stages.last().is_some_and(|stage| stage.streams),
            RunTarget::Service { .. } => false,
        }
    }

    /// Returns the pools that the request needs, in order.
    pub(crate) fn pools(&self) -> Vec<&str> {
        match &self.target {
            RunTarget::Pipeline { stages, .. } => {
                stages.iter().map(|stage| stage.pool.as_str()).collect()
            }
            RunTarget::Service { pool, .. } => vec![pool],
        }
    }

    /// Returns the time left.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

// A call is the same request only with the same method and path.
fn content_scope(route: &str, target: &RunTarget) -> String {
    match target {
        RunTarget::Pipeline { .. } => route.to_owned(),
        RunTarget::Service { call, .. } => format!("{route} {} {}", call.method, call.path),
    }
}
