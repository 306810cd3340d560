//! The operators' interface of the control daemon, as JSON over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use linnet_daemon::{OpsContext, error_body, json_response};
use linnet_feed::{HostReport, TableFeed};
use linnet_quorum::{
    FormError, Member, MemberChange, Members, ProposeError, Replica, ReplicaStatus,
};
use linnet_table::{ChangeRefusal, TableChange, write_csv};
use ntex::util::Bytes;
use ntex::web::types::{Path, PayloadConfig, State};
use ntex::web::{self, HttpRequest, HttpResponse};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::host_reports::HostReportStore;
use crate::machine::{ControlCommand, ControlCommandReply, ControlMachine};

/// Maximum size of a change sent by an operator, as JSON.
pub const MAX_CHANGE_BYTES: usize = 96 * 1024 * 1024;

/// State that the operators' pages of a control daemon use.
#[derive(Clone)]
pub(crate) struct ControlContext {
    pub(crate) name: String,
    pub(crate) hall: String,
    pub(crate) peer: SocketAddr,
    pub(crate) ops: SocketAddr,
    pub(crate) replica: Replica,
    pub(crate) machine: ControlMachine,
    pub(crate) feed: Arc<TableFeed>,
    pub(crate) host_reports: Arc<HostReportStore>,
}

/// Status of a control daemon and of the entry hosts that were reported to it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Name of the host.
    pub name: String,
    /// Data hall of the host.
    pub hall: String,
    /// Address of its peer port.
    pub peer: SocketAddr,
    /// Address of its operators' port.
    pub ops: SocketAddr,
    /// Status of its consensus replica.
    pub replica: ReplicaStatus,
    /// Version of its table.
    pub table_version: u64,
    /// Number of rows of its table.
    pub table_rows: usize,
    /// Number of stored claims.
    pub claims: usize,
    /// Latest reports on entry hosts.
    pub hosts: Vec<HostReport>,
}

/// The response to a change.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum ChangeResponse {
    /// The change was accepted, now or when it was first sent.
    #[serde(rename = "taken")]
    Accepted {
        /// Table version that the change created.
        version: u64,
    },
    /// The change was refused completely.
    Refused {
        /// The reason.
        refusal: ChangeRefusal,
    },
    /// The change was not accepted because this host is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<Member>,
    },
    /// The outcome is not known yet. Sending the change again under the same key is safe and
    /// returns the outcome.
    Unknown,
    /// The change was not accepted; it can be sent again.
    Busy {
        /// The reason.
        cause: String,
    },
}

/// A request to form a cluster.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FormClusterRequest {
    /// Random identifier of the cluster.
    pub cluster: u64,
    /// The founding members, all of them voters.
    pub founders: Members,
}

/// Adds the pages of the control daemon.
pub(crate) fn control_routes(config: &mut web::ServiceConfig) {
    config
        .state(PayloadConfig::new(MAX_CHANGE_BYTES))
        .route("/v1/status", web::get().to(show_status))
        .route("/v1/table", web::get().to(show_table))
        .route("/v1/changes", web::post().to(submit_change))
        .route("/v1/changes/{key}", web::get().to(show_change))
        .route("/v1/form", web::post().to(form_cluster))
        .route("/v1/members", web::post().to(change_members));
}

async fn show_status(
    request: HttpRequest,
    ops: State<OpsContext>,
    context: State<ControlContext>,
) -> HttpResponse {
    if let Some(refused) = check_operator(&request, &ops) {
        return refused;
    }
    let (table_version, table_rows) = {
        let table = context.feed.read();
        (table.version(), table.row_count())
    };
    let status = ControlStatus {
        name: context.name.clone(),
        hall: context.hall.clone(),
        peer: context.peer,
        ops: context.ops,
        replica: context.replica.status(),
        table_version,
        table_rows,
        claims: context.machine.claim_count(),
        hosts: context.host_reports.list_hosts(),
    };
    json_response(200, &status)
}

async fn show_table(
    request: HttpRequest,
    ops: State<OpsContext>,
    context: State<ControlContext>,
) -> HttpResponse {
    if let Some(refused) = check_operator(&request, &ops) {
        return refused;
    }
    // The lease is checked after the request arrived, so no newer version had been accepted
    // elsewhere when the operator sent it. `?stale=1` returns the table of this host without that
    // check.
    let stale = request.query_string() == "stale=1";
    if !stale && !context.replica.has_valid_lease() {
        return not_leader_response(&context);
    }
    let (version, rows) = {
        let table = context.feed.read();
        (table.version(), table.rows())
    };
    HttpResponse::Ok()
        .header("x-table-version", version.to_string())
        .content_type("text/csv")
        .body(write_csv(&rows))
}

async fn submit_change(
    request: HttpRequest,
    body: Bytes,
    ops: State<OpsContext>,
    context: State<ControlContext>,
) -> HttpResponse {
    let change: TableChange = match parse_body(&request, &ops, &body) {
        Ok(change) => change,
        Err(refused) => return refused,
    };
    let is_valid_key = (1..=128).contains(&change.change_key.len());
    if !is_valid_key {
        return json_response(
            400,
            &error_body("malformed", "a change key must have 1 to 128 bytes"),
        );
    }
    let reply = propose_change(&context, change).await;
    json_response(change_status_code(&reply), &reply)
}

fn change_status_code(reply: &ChangeResponse) -> u16 {
    match reply {
        ChangeResponse::Accepted { .. } => 200,
        ChangeResponse::Refused {
            refusal: ChangeRefusal::Faults(_),
        } => 422,
        ChangeResponse::Refused { .. } => 409,
        ChangeResponse::NotLeader { .. } => 421,
        ChangeResponse::Unknown | ChangeResponse::Busy { .. } => 503,
    }
}

async fn propose_change(context: &ControlContext, change: TableChange) -> ChangeResponse {
    let command = ControlCommand::Change(change);
    let bytes = postcard::to_stdvec(&command).unwrap_or_default();
    match context.replica.propose(bytes).await {
        Ok(reply) => match postcard::from_bytes(&reply) {
            Ok(ControlCommandReply::Change(Ok(version))) => ChangeResponse::Accepted { version },
            Ok(ControlCommandReply::Change(Err(refusal))) => ChangeResponse::Refused { refusal },
            _ => ChangeResponse::Unknown,
        },
        Err(ProposeError::NotLeader { leader }) => ChangeResponse::NotLeader {
            leader: leader.map(|leader| *leader),
        },
        Err(ProposeError::Unknown) => ChangeResponse::Unknown,
        Err(other) => ChangeResponse::Busy {
            cause: other.to_string(),
        },
    }
}

async fn show_change(
    request: HttpRequest,
    key: Path<String>,
    ops: State<OpsContext>,
    context: State<ControlContext>,
) -> HttpResponse {
    if let Some(refused) = check_operator(&request, &ops) {
        return refused;
    }
    if !context.replica.has_valid_lease() {
        return not_leader_response(&context);
    }
    match context.machine.find_change(&key) {
        Some(record) => json_response(
            200,
            &ChangeResponse::Accepted {
                version: record.version,
            },
        ),
        // A change that still waits for its commit may be accepted later.
        None => json_response(404, &ChangeResponse::Unknown),
    }
}

async fn form_cluster(
    request: HttpRequest,
    body: Bytes,
    ops: State<OpsContext>,
    context: State<ControlContext>,
) -> HttpResponse {
    let cluster_request: FormClusterRequest = match parse_body(&request, &ops, &body) {
        Ok(cluster_request) => cluster_request,
        Err(refused) => return refused,
    };
    let FormClusterRequest { cluster, founders } = cluster_request;
    match context.replica.form_cluster(cluster, founders).await {
        Ok(()) => json_response(200, &serde_json::json!({ "result": "formed" })),
        Err(error @ FormError::Disk(_)) => {
            json_response(503, &error_body("disk", error.to_string()))
        }
        Err(error) => json_response(409, &error_body("refused", error.to_string())),
    }
}

async fn change_members(
    request: HttpRequest,
    body: Bytes,
    ops: State<OpsContext>,
    context: State<ControlContext>,
) -> HttpResponse {
    let change: MemberChange = match parse_body(&request, &ops, &body) {
        Ok(change) => change,
        Err(refused) => return refused,
    };
    match context.replica.change_members(&change).await {
        Ok(()) => json_response(200, &serde_json::json!({ "result": "taken" })),
        Err(ProposeError::NotLeader { .. }) => not_leader_response(&context),
        Err(ProposeError::Members(error)) => {
            json_response(409, &error_body("refused", error.to_string()))
        }
        Err(error) => json_response(503, &error_body("unknown", error.to_string())),
    }
}

/// Checks the operator's key and parses the request body.
fn parse_body<T: DeserializeOwned>(
    request: &HttpRequest,
    ops: &OpsContext,
    body: &[u8],
) -> Result<T, HttpResponse> {
    if let Some(refused) = check_operator(request, ops) {
        return Err(refused);
    }
    serde_json::from_slice(body)
        .map_err(|error| json_response(400, &error_body("malformed", error.to_string())))
}

/// Returns the response to a request without an operator's key; `None` if the key is valid.
fn check_operator(request: &HttpRequest, ops: &OpsContext) -> Option<HttpResponse> {
    let body = || error_body("unauthorized", "an operator's key is needed");
    (!ops.keys.authorizes(request)).then(|| json_response(401, &body()))
}

fn not_leader_response(context: &ControlContext) -> HttpResponse {
    let status = context.replica.status();
    let leader = status
        .leader
        .filter(|id| *id != status.id)
        .and_then(|id| status.members.find(id).cloned());
    json_response(421, &ChangeResponse::NotLeader { leader })
}
