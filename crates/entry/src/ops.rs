//! The operators' interface of the entry daemon.

use std::sync::Arc;

use linnet_daemon::{OpsContext, error_body, json_response};
use linnet_dispatch::{PoolReport, TargetReport};
use ntex::web::types::State;
use ntex::web::{self, HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::context::EntryContext;
use crate::hall::HallView;

/// The status of an entry daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The name of the host.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// A random number of the process, which changes with each restart.
    pub incarnation: u64,
    /// Whether the load balancer should send requests to this host.
    pub ready: bool,
    /// The version of the active table.
    pub table_version: u64,
    /// The number of rows of the active table.
    pub table_rows: usize,
    /// Whether this host itself receives updates from a control host.
    pub linked: bool,
    /// The names of the live entry hosts of the hall, except this one.
    pub hall_peers: Vec<String>,
    /// The number of requests in flight.
    pub in_flight: u64,
    /// The pools and their queues.
    pub pools: Vec<PoolReport>,
    /// The targets.
    pub targets: Vec<TargetReport>,
}

/// Registers the operators' routes of the entry daemon.
pub(crate) fn entry_ops_routes(config: &mut web::ServiceConfig) {
    config.route("/v1/status", web::get().to(show_status));
}

async fn show_status(
    request: HttpRequest,
    ops: State<OpsContext>,
    entry: State<Arc<EntryContext>>,
    view: State<Arc<HallView>>,
) -> HttpResponse {
    if !ops.keys.authorizes(&request) {
        return json_response(
            401,
            &error_body("unauthorized", "an operator's key is needed"),
        );
    }
    let (pools, targets) = entry.dispatcher.report();
    let (table_version, table_rows) = {
        let table = entry.feed.read();
        (table.version(), table.row_count())
    };
    let status = EntryStatus {
        name: entry.name.clone(),
        hall: entry.hall.clone(),
        incarnation: entry.incarnation,
        ready: entry.is_ready(),
        table_version,
        table_rows,
        linked: view.is_linked(),
        hall_peers: view
            .live_peers()
            .into_iter()
            .map(|peer| peer.name)
            .collect(),
        in_flight: entry.flow.in_flight(),
        pools,
        targets,
    };
    json_response(200, &status)
}
