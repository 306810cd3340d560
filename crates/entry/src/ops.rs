//! The operators' interface of the entry daemon.

use std::sync::Arc;

use linnet_daemon::{OpsContext, error_body, json_response};
use linnet_dispatch::{PoolReport, TargetReport};
use ntex::web::types::State;
use ntex::web::{self, HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::context::EntryContext;
use crate::hall::HallView;

/// What an entry daemon tells of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The name of the host.
    pub name: String,
    /// Its data hall.
    pub hall: String,
    /// A random number of the process; another after a restart.
    pub incarnation: u64,
    /// Whether the balancer should send requests here.
    pub ready: bool,
    /// The version of the table in force.
    pub table_version: u64,
    /// Rows of the table in force.
    pub table_rows: usize,
    /// Whether it hears a control host itself.
    pub linked: bool,
    /// The other entry hosts of the hall that it hears.
    pub hall_peers: Vec<String>,
    /// Requests in flight.
    pub in_flight: u64,
    /// Pools and their queues.
    pub pools: Vec<PoolReport>,
    /// Targets.
    pub targets: Vec<TargetReport>,
}

/// Adds the pages of the entry daemon.
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
