//! Planned stops.

use std::error::Error;
use std::process::ExitCode;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that ask for a planned stop: SIGTERM and SIGINT.
///
/// Created before anything else is set up: one that comes while the journal is read or sockets are
/// opened would end the process at once otherwise, with the status of a crash.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Takes the signals from now on; must run inside a runtime.
    ///
    /// # Errors
    ///
    /// The cause, where the system does not let the process wait for signals.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Resolves when one has come, also before this call.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
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
