//! Arguments of the load program.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

/// Loads entry hosts and measures what callers get. For measuring, not for real targets.
#[derive(Debug, Clone, Parser)]
#[command(name = "linnet-load", version)]
pub struct LoadSettings {
    /// What to measure
    #[command(subcommand)]
    command: LoadCommand,
}

#[derive(Debug, Clone, Subcommand)]
enum LoadCommand {
    /// Run policies over the same seeded scenarios, interleaved
    Policy(PolicyArgs),
    /// Measure what an entry host adds to a stage, and how much it carries
    Rate(RateArgs),
}

/// Arguments of `policy`.
#[derive(Debug, Clone, Args)]
pub(crate) struct PolicyArgs {
    /// Folder for the results
    #[arg(long)]
    pub(crate) out: PathBuf,
    /// Scenarios, parted by commas; all of them where none is named
    #[arg(long, value_delimiter = ',')]
    pub(crate) scenarios: Vec<String>,
    /// Policies, parted by commas
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "linnetdale,random,least-in-flight,fifo"
    )]
    pub(crate) policies: Vec<String>,
    /// Measured seconds of each run; half as many go before it, unmeasured
    #[arg(long, default_value_t = 6)]
    pub(crate) seconds: u64,
    /// Seed of arrivals
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Rounds over all scenarios and policies
    #[arg(long, default_value_t = 1)]
    pub(crate) rounds: u64,
}

/// Arguments of `rate`.
#[derive(Debug, Clone, Args)]
pub(crate) struct RateArgs {
    /// Measured seconds of each part
    #[arg(long, default_value_t = 4)]
    pub(crate) seconds: u64,
}

/// Runs one measurement; starts threads with runtimes of their own.
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
