//! Reloads the settings file when it changes or on SIGHUP.

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

/// Interval at which the file is checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// The source of the settings.
#[derive(Debug, Clone)]
pub(crate) struct SettingsSource {
    pub(crate) path: PathBuf,
    pub(crate) overrides: Vec<String>,
    pub(crate) role: NodeRole,
}

/// Updates the seeds from the settings file until the process ends. An invalid file is logged once
/// per change or signal, and the previous settings stay in force. Settings that apply only at start
/// are not reloaded.
pub(crate) async fn reload_settings(
    source: SettingsSource,
    seeds: watch::Sender<Vec<SocketAddr>>,
    recorder: Arc<EventRecorder>,
) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut last = std::fs::read_to_string(&source.path).unwrap_or_default();
    loop {
        let by_signal = timeout(RELOAD_INTERVAL, hangup.recv()).await.is_ok();
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
                seeds
                    .send_if_modified(|current| std::mem::replace(current, peers.clone()) != peers);
            }
            Err(error) => {
                log::error!(target: "linnetdale", "{error}; keeping the previous settings")
            }
        }
    }
}
