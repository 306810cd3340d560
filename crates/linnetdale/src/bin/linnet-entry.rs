//! Runs an entry host.

use std::process::ExitCode;

use clap::Parser;

#[ntex::main]
async fn main() -> ExitCode {
    linnetdale::daemon::start_logging();
    linnetdale::entry::run_entry(linnetdale::entry::EntrySettings::parse()).await
}
