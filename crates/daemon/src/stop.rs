//! Planned stops.

use std::error::Error;
use std::process::ExitCode;

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

/// Returns the exit code of a daemon that has ended, and logs why it failed.
pub fn exit_code(result: Result<(), Box<dyn Error>>) -> ExitCode {
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "linnetdale", "{error}");
            ExitCode::FAILURE
        }
    };
    crate::flush_logs();
    code
}
