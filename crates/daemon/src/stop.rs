//! Planned stops and exit codes.

use std::error::Error;
use std::process::ExitCode;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that request a planned stop: SIGTERM and SIGINT.
///
/// To be created before anything else is set up: otherwise a signal that arrives while the journal is read or
/// sockets are opened ends the process at once, with the exit status of a crash.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the signal handlers; must run inside a runtime.
    ///
    /// # Errors
    ///
    /// The error of the system if a handler cannot be installed.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for a signal; also returns if one arrived before the call.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Returns the exit code of a daemon that has ended, logs its error and flushes the log.
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
