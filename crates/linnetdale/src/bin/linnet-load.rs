//! Runs the load generator.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    linnetdale::daemon::start_logging();
    linnetdale::load::run_load(linnetdale::load::LoadSettings::parse())
}
