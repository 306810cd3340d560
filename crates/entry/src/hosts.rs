//! Follows the platform's host list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use linnet_telemetry::EventCode;
use ntex::util::Bytes;
use tokio::time::sleep;

use crate::adapter::TargetClients;
use crate::adapter::host_list::{HostListRead, parse_list, read_list};
use crate::context::EntryContext;

/// Between two reads of the list.
const READ_PERIOD: Duration = Duration::from_millis(500);

/// Reads the list again and again. A failed or partial read takes no target out.
pub(crate) async fn follow_host_list(
    entry: Arc<EntryContext>,
    clients: TargetClients,
    address: SocketAddr,
) {
    let mut failing = false;
    let mut last = Bytes::new();
    loop {
        let fault = match read_list(&clients, address).await {
            // The usual read: nothing is to be taken in, whatever the number of targets.
            Ok(bytes) if bytes == last => {
                entry.dispatcher.refresh();
                None
            }
            Ok(bytes) => match parse_list(&bytes) {
                Ok(read) => {
                    take_read(&entry, &read);
                    if read.whole {
                        last = bytes;
                    }
                    (!read.whole).then(|| "the list is partial".to_owned())
                }
                Err(error) => Some(error.to_string()),
            },
            Err(error) => Some(error.to_string()),
        };
        // One event when it begins to fail; the log would drown in one a read.
        if let Some(fault) = &fault
            && !failing
        {
            let peer = address.to_string();
            entry
                .recorder
                .record(EventCode::HostListFailed, &peer, fault.clone());
        }
        failing = fault.is_some();
        sleep(READ_PERIOD).await;
    }
}

fn take_read(entry: &EntryContext, read: &HostListRead) {
    let change = entry.dispatcher.take_listing(&read.listings, read.whole);
    note_targets(entry, EventCode::TargetListed, &change.listed);
    note_targets(entry, EventCode::TargetLeaving, &change.leaving);
    note_targets(entry, EventCode::TargetGone, &change.gone);
    if !change.leaving.is_empty() {
        entry.hall_news.notify_one();
    }
    entry.flow.note_host_list();
}

fn note_targets(entry: &EntryContext, code: EventCode, names: &[String]) {
    for name in names {
        entry.recorder.record(code, name, "host list");
    }
}
