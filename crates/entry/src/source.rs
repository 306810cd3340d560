//! Chooses the source from which this host receives the table.
//!
//! One host of a hall, the first by name that is able to, follows a control host; the others follow
//! that host. Control hosts thereby serve halls, not hosts. Without a control host, each host
//! follows the host of the hall with the newest table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use linnet_feed::{FollowReport, follow_source};
use linnet_telemetry::EventCode;
use linnet_wire::PeerIdentity;
use tokio::time::sleep;

use crate::context::EntryContext;
use crate::hall::HallView;

/// The interval at which the choice of source is reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// The upper bound of the random delay after a source is lost.
const MAX_RETRY_DELAY_MS: u64 = 400;

/// A source of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
enum TableSource {
    /// A control host.
    Control,
    /// Another entry host of the hall.
    Peer(String, SocketAddr),
}

/// Follows the best source until the process ends.
pub(crate) async fn follow_table(
    entry: Arc<EntryContext>,
    view: Arc<HallView>,
    identity: PeerIdentity,
    control: Vec<SocketAddr>,
) {
    let mut turn = 0;
    let mut last = None;
    loop {
        let source = choose_source(&entry, &view);
        let address = match &source {
            TableSource::Control => control[turn % control.len()],
            TableSource::Peer(_, address) => *address,
        };
        if last.as_ref() != Some(&source) {
            let detail = match &source {
                TableSource::Control => "control".to_owned(),
                TableSource::Peer(name, _) => format!("entry {name}"),
            };
            entry
                .recorder
                .record(EventCode::TableSourceChanged, &address.to_string(), detail);
            last = Some(source.clone());
        }
        let from_control = source == TableSource::Control;
        let on_received = |_| view.set_linked(from_control);
        // Only a control host needs reports about the hall; a relay receives the heartbeats of the
        // hall. To a relay the empty report only shows that this host is alive.
        let report = || FollowReport {
            hosts: if from_control {
                view.reports(&entry)
            } else {
                Vec::new()
            },
        };
        tokio::select! {
            _ = follow_source(&entry.feed, &identity, address, on_received, report) => {
                turn += 1;
                if from_control {
                    view.mark_control_lost();
                }
            }
            () = wait_for_other_source(&entry, &view, &source) => {}
        }
        view.set_linked(false);
        sleep(Duration::from_millis(fastrand::u64(20..MAX_RETRY_DELAY_MS))).await;
    }
}

/// Returns when a source other than the current one should be followed.
async fn wait_for_other_source(entry: &EntryContext, view: &HallView, current: &TableSource) {
    loop {
        sleep(REVIEW_INTERVAL).await;
        if choose_source(entry, view) != *current {
            return;
        }
    }
}

fn choose_source(entry: &EntryContext, view: &HallView) -> TableSource {
    let peers = view.live_peers();
    let linked = peers.iter().find(|peer| peer.linked);
    if let Some(relay) = linked {
        // This host precedes the relay by name and replaces it, unless it cannot reach control
        // itself, as in a partial network failure.
        if entry.name < relay.name && !view.lost_control_recently() {
            return TableSource::Control;
        }
        return TableSource::Peer(relay.name.clone(), relay.address);
    }
    if view.is_linked() {
        return TableSource::Control;
    }
    let newest = peers.iter().max_by_key(|peer| peer.version);
    match newest {
        Some(peer) if peer.version > entry.feed.version() => {
            TableSource::Peer(peer.name.clone(), peer.address)
        }
        _ => TableSource::Control,
    }
}
