//! Polls the platform's host list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use linnet_telemetry::EventCode;
use ntex::util::Bytes;
use tokio::time::sleep;

use crate::adapter::TargetClients;
use crate::adapter::host_list::{HostListRead, parse_list, read_list};
use crate::context::EntryContext;

/// The interval between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the list periodically. A failed or partial read removes no target.
pub(crate) async fn follow_host_list(
    entry: Arc<EntryContext>,
    clients: TargetClients,
    address: SocketAddr,
) {
    let mut failing = false;
    let mut last = Bytes::new();
    loop {
        let fault = match read_list(&clients, address).await {
            // The common case: an unchanged list is not parsed again, whatever its size.
            Ok(bytes) if bytes == last => {
                entry.dispatcher.grant_waiting_requests();
                None
            }
            Ok(bytes) => match parse_list(&bytes) {
                Ok(read) => {
                    apply_list(&entry, &read);
                    if read.complete {
                        last = bytes;
                    }
                    (!read.complete).then(|| "the list is partial".to_owned())
                }
                Err(error) => Some(error.to_string()),
            },
            Err(error) => Some(error.to_string()),
        };
        // Records only the first of consecutive failures; an event for each read would flood the
        // log.
        if let Some(fault) = &fault
            && !failing
        {
            let peer = address.to_string();
            entry
                .recorder
                .record(EventCode::HostListFailed, &peer, fault.clone());
        }
        failing = fault.is_some();
        sleep(READ_INTERVAL).await;
    }
}

fn apply_list(entry: &EntryContext, read: &HostListRead) {
    let change = entry
        .dispatcher
        .apply_listing(&read.listings, read.complete);
    record_targets(entry, EventCode::TargetListed, &change.listed);
    record_targets(entry, EventCode::TargetLeaving, &change.leaving);
    record_targets(entry, EventCode::TargetGone, &change.gone);
    if !change.leaving.is_empty() {
        entry.leaving_changed.notify_one();
    }
    entry.flow.mark_host_list_read();
}

fn record_targets(entry: &EntryContext, code: EventCode, names: &[String]) {
    for name in names {
        entry.recorder.record(code, name, "host list");
    }
}
