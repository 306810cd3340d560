//! Planned stops.

use tokio::signal::unix::{SignalKind, signal};

/// Resolves when the process is asked to stop, by SIGTERM or SIGINT.
///
/// # Errors
///
/// The cause, where the system does not let the process wait for signals.
pub async fn stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
