//! Background tasks of the directory on a control host.

use std::time::{Duration, Instant};

use linnet_telemetry::EventCode;
use tokio::time::{sleep, timeout};

use super::DirectoryNode;

/// How often targets are checked for missed heartbeats.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

pub(super) async fn expire_targets(node: DirectoryNode) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let silence_timeout = node.shared.timing.silence_timeout;
        let silent = node.lock().registry.expire(Instant::now(), silence_timeout);
        for id in &silent {
            let detail = format!("silent_ms={}", silence_timeout.as_millis());
            node.shared
                .recorder
                .record(EventCode::TargetSilent, id, detail);
        }
        if !silent.is_empty() {
            node.notify_subscribers();
        }
        node.update_suspects(Instant::now());
        node.expire_rate_limits();
    }
}

/// Wakes the pushes once replicated state may be sent.
pub(super) async fn announce_state(node: DirectoryNode) {
    let mut changes = node.shared.replica.changes();
    while !node.may_announce_state() {
        // Also wakes periodically, since the end of the wait for a leader does not change the
        // replica.
        let _ = timeout(EXPIRY_INTERVAL, changes.changed()).await;
    }
    node.notify_subscribers();
}

pub(super) async fn announce_documents(node: DirectoryNode) {
    let mut changes = node.shared.machine.changes();
    while changes.changed().await.is_ok() {
        node.notify_subscribers();
    }
}
