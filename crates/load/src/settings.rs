//! Command-line arguments of the load generator.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

/// Generates load on entry hosts with fake targets and measures the responses.
#[derive(Debug, Clone, Parser)]
#[command(name = "linnet-load", version)]
pub struct LoadSettings {
    /// The measurement to run
    #[command(subcommand)]
    command: LoadCommand,
}

#[derive(Debug, Clone, Subcommand)]
enum LoadCommand {
    /// Compare dispatch policies on the same seeded scenarios, in interleaved runs
    Policy(PolicyArgs),
    /// Measure the latency that an entry host adds to a stage, and its throughput
    Rate(RateArgs),
}

/// Arguments of `policy`.
#[derive(Debug, Clone, Args)]
pub(crate) struct PolicyArgs {
    /// Directory for the results
    #[arg(long)]
    pub(crate) out: PathBuf,
    /// Scenarios, separated by commas; default: all
    #[arg(long, value_delimiter = ',')]
    pub(crate) scenarios: Vec<String>,
    /// Policies, separated by commas
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "linnetdale,random,least-in-flight,fifo"
    )]
    pub(crate) policies: Vec<String>,
    /// Measured seconds of each run, after a warm-up of half that time
    #[arg(long, default_value_t = 6)]
    pub(crate) seconds: u64,
    /// Seed of the arrivals in the first round; each further round adds 1
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Number of rounds over all scenarios and policies
    #[arg(long, default_value_t = 1)]
    pub(crate) rounds: u64,
}

/// Arguments of `rate`.
#[derive(Debug, Clone, Args)]
pub(crate) struct RateArgs {
    /// Measured seconds of each phase
    #[arg(long, default_value_t = 4)]
    pub(crate) seconds: u64,
}

/// Runs one measurement; the threads that it starts have their own runtimes.
pub fn run_load(settings: LoadSettings) -> ExitCode {
    let result = match settings.command {
        LoadCommand::Policy(args) => crate::policy::run_policies(&args),
        LoadCommand::Rate(args) => crate::rate::run_rate(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linnet-load: {error}");
            ExitCode::FAILURE
        }
    }
}
