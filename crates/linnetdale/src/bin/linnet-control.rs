//! Runs a control host.

use std::process::ExitCode;

use clap::Parser;

#[ntex::main]
async fn main() -> ExitCode {
    linnetdale::daemon::start_logging();
    linnetdale::control::run_control(linnetdale::control::ControlSettings::parse()).await
}
