//! What a control host does for its directory without being asked.

use std::time::{Duration, Instant};

use linnet_telemetry::EventCode;
use tokio::time::{sleep, timeout};

use super::DirectoryNode;

/// How often targets are checked for silence.
const EXPIRY_TICK: Duration = Duration::from_millis(250);

pub(super) async fn expire_targets(node: DirectoryNode) {
    loop {
        sleep(EXPIRY_TICK).await;
        let span = node.shared.timing.silence;
        let silent = node.lock().registry.expire(Instant::now(), span);
        for id in &silent {
            let detail = format!("silent_ms={}", span.as_millis());
            node.shared
                .recorder
                .record(EventCode::TargetSilent, id, detail);
        }
        if !silent.is_empty() {
            node.wake();
        }
        node.keep_suspects(Instant::now());
        node.keep_rates();
    }
}

/// Wakes the pushes once what this host holds by agreement may be told.
pub(super) async fn announce_state(node: DirectoryNode) {
    let mut changes = node.shared.replica.changes();
    while !node.tells_state() {
        // Also looks by itself, since the wait for a leader ends without a change.
        let _ = timeout(EXPIRY_TICK, changes.changed()).await;
    }
    node.wake();
}

pub(super) async fn announce_documents(node: DirectoryNode) {
    let mut changes = node.shared.machine.changes();
    while changes.changed().await.is_ok() {
        node.wake();
    }
}
