//! A validated request with its settings from the table.

use std::time::{Duration, Instant};

use cranelift_entity::EntityRef;
use linnet_claim::{ClaimCommand, ClaimKey};
use linnet_table::{RowLimits, StageRow, TableStore};
use ntex::util::Bytes;
use serde_json::Value;

use crate::adapter::service::ServiceCall;
use crate::caller::CheckedHead;

/// The work of a request.
pub(crate) enum RequestWork {
    Pipeline { stages: Vec<StageRow>, input: Value },
    Service { pool: String, call: ServiceCall },
}

/// The claim that a request needs before its first byte is sent to a target.
#[derive(Debug, Clone)]
pub(crate) struct PlannedClaim {
    pub(crate) key: ClaimKey,
    pub(crate) content: [u8; 16],
}

/// The plan of one request.
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
    pub(crate) work: RequestWork,
}

/// The complete response of a request.
#[derive(Debug, Clone)]
pub(crate) struct RunResponse {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

impl RequestPlan {
    /// Creates a plan from a validated request. Later changes of the table do not affect it.
    pub(crate) fn new(
        table: &TableStore,
        id: String,
        head: CheckedHead,
        work: RequestWork,
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
                content: ClaimCommand::content_digest(&content_scope(&route.name, &work), body),
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
            work,
        }
    }

    /// Returns whether the last stage streams its output.
    pub(crate) fn is_streaming(&self) -> bool {
        match &self.work {
            RequestWork::Pipeline { stages, .. } => {
                stages.last().is_some_and(|stage| stage.streams)
            }
            RequestWork::Service { .. } => false,
        }
    }

    /// Returns the pools that the request needs, in order.
    pub(crate) fn pools(&self) -> Vec<&str> {
        match &self.work {
            RequestWork::Pipeline { stages, .. } => {
                stages.iter().map(|stage| stage.pool.as_str()).collect()
            }
            RequestWork::Service { pool, .. } => vec![pool],
        }
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

// Includes method and path of a service call, so that calls to other paths are different requests.
fn content_scope(route: &str, work: &RequestWork) -> String {
    match work {
        RequestWork::Pipeline { .. } => route.to_owned(),
        RequestWork::Service { call, .. } => format!("{route} {} {}", call.method, call.path),
    }
}
