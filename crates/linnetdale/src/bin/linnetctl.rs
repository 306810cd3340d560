//! Runs the command-line tool for operators.

use std::process::ExitCode;

use clap::Parser;

#[ntex::main]
async fn main() -> ExitCode {
    linnetdale::ctl::run_ctl(linnetdale::ctl::CtlSettings::parse()).await
}
