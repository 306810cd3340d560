//! Reads the settings file again when it changes or when SIGHUP asks for it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use linnet_telemetry::{EventCode, EventRecorder};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::NodeSettings;
use crate::settings::NodeRole;

/// How often the file is looked at.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Where the settings come from.
#[derive(Debug, Clone)]
pub(crate) struct SettingsSource {
    pub(crate) path: PathBuf,
    pub(crate) overrides: Vec<String>,
    pub(crate) role: NodeRole,
}

/// Keeps the seeds up to date until the process ends. A file with a fault is told once and what was
/// read before stays in force; what only counts at the start is left as it was.
pub(crate) async fn reload_settings(
    source: SettingsSource,
    seeds: watch::Sender<Vec<SocketAddr>>,
    recorder: Arc<EventRecorder>,
) {
    let Ok(mut asked) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut last = std::fs::read_to_string(&source.path).unwrap_or_default();
    loop {
        let by_signal = timeout(RELOAD_INTERVAL, asked.recv()).await.is_ok();
        let text = std::fs::read_to_string(&source.path).unwrap_or_default();
        if text == last && !by_signal {
            continue;
        }
        last = text;
        let cause = if by_signal { "signal" } else { "file changed" };
        match NodeSettings::load(&source.path, &source.overrides, source.role) {
            Ok(settings) => {
                let peers = settings.seed_peers();
                let detail = format!("cause={cause} seeds={peers:?}");
                recorder.record(EventCode::SettingsReloaded, "", detail);
                seeds.send_if_modified(|held| std::mem::replace(held, peers.clone()) != peers);
            }
            Err(fault) => {
                log::error!(target: "linnetdale", "{fault}; the settings stay as they were")
            }
        }
    }
}
