//! Which source this host follows for the table.
//!
//! One host of a hall, the first by name that can, follows a control host; the others follow it.
//! So control serves halls, not hosts. Without any control host each follows the hall's newest.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use linnet_feed::{FollowReport, follow_source};
use linnet_telemetry::EventCode;
use linnet_wire::PeerIdentity;
use tokio::time::sleep;

use crate::context::EntryContext;
use crate::hall::HallView;

/// How often the choice of source is looked at again.
const REVIEW_PERIOD: Duration = Duration::from_millis(500);

/// The longest wait after a source was lost; drawn by chance below it.
const MOST_RETRY_WAIT_MS: u64 = 400;

/// Where the table may come from.
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
        let heard = |_| view.set_linked(from_control);
        // Only control needs to know the hall; a relay hears the hall's own messages. Towards a
        // relay the report is a sign of life.
        let report = || FollowReport {
            hosts: if from_control {
                view.reports(&entry)
            } else {
                Vec::new()
            },
        };
        tokio::select! {
            _ = follow_source(&entry.feed, &identity, address, heard, report) => {
                turn += 1;
                if from_control {
                    view.note_control_lost();
                }
            }
            () = until_better(&entry, &view, &source) => {}
        }
        view.set_linked(false);
        sleep(Duration::from_millis(fastrand::u64(20..MOST_RETRY_WAIT_MS))).await;
    }
}

/// Resolves when another source should be followed than the current one.
async fn until_better(entry: &EntryContext, view: &HallView, current: &TableSource) {
    loop {
        sleep(REVIEW_PERIOD).await;
        if choose_source(entry, view) != *current {
            return;
        }
    }
}

fn choose_source(entry: &EntryContext, view: &HallView) -> TableSource {
    let peers = view.live_peers();
    let linked = peers.iter().find(|peer| peer.linked);
    if let Some(relay) = linked {
        // This host is before the relay by name: it takes its place, unless it cannot reach
        // control itself, as in a cut of some of the links.
        if entry.name < relay.name && !view.lost_control_lately() {
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
