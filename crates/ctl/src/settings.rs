//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use linnet_logbook::LossGroup;

/// Operates a linnetdale system.
#[derive(Debug, Clone, Parser)]
#[command(name = "linnetctl", version)]
pub struct CtlSettings {
    /// Operators' addresses of the control hosts, parted by commas
    #[arg(long, env = "LINNET_CONTROL_OPS", value_delimiter = ',', global = true)]
    pub control: Vec<SocketAddr>,
    /// The operator's key
    #[arg(
        long,
        env = "LINNET_OPERATOR_KEY",
        global = true,
        default_value = "",
        hide_env_values = true
    )]
    pub operator_key: String,
    /// How long one answer is waited for, in milliseconds
    #[arg(
        long,
        env = "LINNET_CTL_TIMEOUT_MS",
        global = true,
        default_value_t = 8_000
    )]
    pub timeout_ms: u64,
    /// What to do
    #[command(subcommand)]
    pub(crate) command: CtlCommand,
}

/// What to do.
#[derive(Debug, Clone, Subcommand)]
pub(crate) enum CtlCommand {
    /// Form a cluster of the blank control hosts named by --control
    Init,
    /// Read and change the table
    #[command(subcommand)]
    Table(TableCommand),
    /// Show control hosts, entry hosts and their versions
    Status {
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the targets as each entry host sees them
    Targets,
    /// Show the events of all processes in causal order
    Timeline(TimelineArgs),
    /// Show and change the voters
    #[command(subcommand)]
    Member(MemberCommand),
    /// Show and release requests that are refused since they end their targets
    #[command(subcommand)]
    Held(HeldCommand),
    /// Move the requests of a service to another version of its software
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// Show what targets asked of entry hosts: no requests for a while, or no new work
    Notices(NoticesArgs),
    /// Count what became of requests in collected logs, with planned against real times
    Losses(LossesArgs),
    /// Gather what collected logs tell of one request
    Explain(ExplainArgs),
    /// Print the digest of a key, for the table or for settings
    Key {
        /// The key
        key: String,
    },
}

/// Commands on the table.
#[derive(Debug, Clone, Subcommand)]
pub(crate) enum TableCommand {
    /// Print the table as CSV; its version goes to standard error
    Get {
        /// Take what any reachable control host holds, even if it may be old
        #[arg(long)]
        stale: bool,
    },
    /// Check a CSV file without any host
    Check {
        /// The file
        file: PathBuf,
    },
    /// Print what a CSV file would change
    Diff {
        /// The file
        file: PathBuf,
    },
    /// Make the table what a CSV file says
    Apply(ApplyArgs),
}

/// Commands on held requests.
#[derive(Debug, Clone, Subcommand)]
pub(crate) enum HeldCommand {
    /// List held and suspect requests, by key
    List,
    /// Let a request run again
    Release {
        /// Its key
        key: String,
    },
}

/// Commands on roll-outs.
#[derive(Debug, Clone, Subcommand)]
pub(crate) enum RolloutCommand {
    /// Begin one; its targets have to be up, or come up within the time
    Start {
        /// The service
        service: String,
        /// The version that its targets tell
        version: String,
        /// Time until all requests have to have moved, in seconds
        #[arg(long, default_value_t = 600)]
        seconds: u64,
    },
    /// Show those that are under way, with what was counted for them
    Status,
    /// Show all that are remembered
    History,
    /// End one; no request goes to the version any more
    Abort {
        /// The service
        service: String,
    },
}

/// Arguments of `table apply`.
#[derive(Debug, Clone, Args)]
pub(crate) struct ApplyArgs {
    /// The file
    pub(crate) file: PathBuf,
    /// The version that the file was made from; without it, the version in force now
    #[arg(long)]
    pub(crate) base: Option<u64>,
    /// The table as it was at --base, as CSV; needed to rebase onto a later version
    #[arg(long, requires = "base")]
    pub(crate) base_file: Option<PathBuf>,
    /// Take the change on a later version too, if no row of it changed since --base
    #[arg(long, requires = "base_file")]
    pub(crate) rebase: bool,
    /// The change key; sending the same change again under it is safe
    #[arg(long)]
    pub(crate) key: Option<String>,
    /// Wait until the change is in force on every host that can be reached
    #[arg(long)]
    pub(crate) wait: bool,
    /// The operator's name, for the time line
    #[arg(long, env = "USER", default_value = "operator")]
    pub(crate) author: String,
}

/// Arguments of `timeline`.
#[derive(Debug, Clone, Args)]
pub(crate) struct TimelineArgs {
    /// Only events of this request
    #[arg(long)]
    pub(crate) request: Option<String>,
    /// Only events of the last so many seconds
    #[arg(long)]
    pub(crate) since_s: Option<u64>,
    /// Only events of this host
    #[arg(long)]
    pub(crate) host: Option<String>,
    /// Print JSON
    #[arg(long)]
    pub(crate) json: bool,
    /// Write a picture, one lane a host, to this SVG file
    #[arg(long)]
    pub(crate) svg: Option<PathBuf>,
    /// Operators' addresses of entry hosts to ask beside those that control knows
    #[arg(long, env = "LINNET_ENTRY_OPS", value_delimiter = ',')]
    pub(crate) entries: Vec<SocketAddr>,
}

/// Arguments of `notices`.
#[derive(Debug, Clone, Args)]
pub(crate) struct NoticesArgs {
    /// Addresses of the metrics ports of entry hosts, parted by commas
    #[arg(
        long,
        env = "LINNET_ENTRY_METRICS",
        value_delimiter = ',',
        required = true
    )]
    pub(crate) entries: Vec<SocketAddr>,
}

/// Arguments of `losses`.
#[derive(Debug, Clone, Args)]
pub(crate) struct LossesArgs {
    /// Log files, or folders of them; standard input where there are none
    pub(crate) logs: Vec<PathBuf>,
    /// By what requests are counted
    #[arg(long, value_enum, default_value_t = LossGroup::Rank)]
    pub(crate) by: LossGroup,
    /// Print JSON
    #[arg(long)]
    pub(crate) json: bool,
}

/// Arguments of `explain`.
#[derive(Debug, Clone, Args)]
pub(crate) struct ExplainArgs {
    /// The request's id
    pub(crate) request: String,
    /// Log files, or folders of them; standard input where there are none
    pub(crate) logs: Vec<PathBuf>,
}

/// Commands on voters.
#[derive(Debug, Clone, Subcommand)]
pub(crate) enum MemberCommand {
    /// Show the members
    List,
    /// Add the blank control host at an operators' address
    Add {
        /// Its operators' address
        ops: SocketAddr,
        /// Its peer address
        peer: SocketAddr,
    },
    /// Take a member out, by name
    Remove {
        /// Its name
        name: String,
    },
    /// Put a host whose disk was lost back in, under its new identity
    Repair {
        /// Its operators' address
        ops: SocketAddr,
    },
}
