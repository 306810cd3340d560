//! Runs fake targets and a fake host list.

use std::process::ExitCode;

use clap::Parser;

#[ntex::main]
async fn main() -> ExitCode {
    linnetdale::fakes::run_fakes(linnetdale::fakes::FakeSettings::parse()).await
}
