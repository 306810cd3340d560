//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use linnet_logbook::LossGroup;

/// Operates a linnetdale system.
#[derive(Debug, Clone, Parser)]
#[command(name = "linnetctl", version)]
pub struct CtlSettings {
    /// Operators' addresses of the control hosts, separated by commas
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
    /// Maximum wait for a response, in milliseconds
    #[arg(
        long,
        env = "LINNET_CTL_TIMEOUT_MS",
        global = true,
        default_value_t = 8_000
    )]
    pub timeout_ms: u64,
    /// The command to run
    #[command(subcommand)]
    pub(crate) command: CtlCommand,
}

/// A command of `linnetctl`.
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
    /// Show and change the members of the quorum
    #[command(subcommand)]
    Member(MemberCommand),
    /// Show and release requests that are refused because they crash their targets
    #[command(subcommand)]
    Held(HeldCommand),
    /// Move the requests of a service to another version of its software
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// Show what targets requested of entry hosts: a back-off, a rate limit, or no new work
    Notices(EntryHostArgs),
    /// Show what client accounts ask of stage pools beside their shares, the most above it first
    Shares(EntryHostArgs),
    /// Show the pieces that wait for stage pools, by rank, the longest queue first
    Queues(EntryHostArgs),
    /// Count the outcomes of requests in collected logs, with planned and actual times
    Losses(LossesArgs),
    /// Collect what the logs contain about one request
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
        /// Take the newest copy of any reachable control host, which may be outdated
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
    /// Replace the table with the content of a CSV file
    Apply(ApplyArgs),
}

/// Commands on held requests.
#[derive(Debug, Clone, Subcommand)]
pub(crate) enum HeldCommand {
    /// List held and suspect requests and parts of prompts, by key
    List,
    /// Let a request, or requests with a part, run again
    Release {
        /// Its key
        key: String,
    },
}

/// Commands on roll-outs.
#[derive(Debug, Clone, Subcommand)]
pub(crate) enum RolloutCommand {
    /// Start a roll-out; targets of the version must be running, or start within the duration
    Start {
        /// The service
        service: String,
        /// The version, as reported by its targets
        version: String,
        /// Duration within which all requests move to the version, in seconds
        #[arg(long, default_value_t = 600)]
        seconds: u64,
    },
    /// Show the roll-outs in progress, with their counts
    Status,
    /// Show all recorded roll-outs
    History,
    /// Abort a roll-out; no more requests are sent to the version
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
    /// Accept a later version than --base too, if no row of the change was changed since then
    #[arg(long, requires = "base_file")]
    pub(crate) rebase: bool,
    /// The change key; sending the same change again under it is safe
    #[arg(long)]
    pub(crate) key: Option<String>,
    /// Wait until the change is in force on every reachable host
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
    /// Only events of the last SINCE_S seconds
    #[arg(long)]
    pub(crate) since_s: Option<u64>,
    /// Only events of this host
    #[arg(long)]
    pub(crate) host: Option<String>,
    /// Print JSON
    #[arg(long)]
    pub(crate) json: bool,
    /// Write an SVG file with one lane per host
    #[arg(long)]
    pub(crate) svg: Option<PathBuf>,
    /// Operators' addresses of entry hosts to query in addition to those known to the control hosts
    #[arg(long, env = "LINNET_ENTRY_OPS", value_delimiter = ',')]
    pub(crate) entries: Vec<SocketAddr>,
}

/// Arguments of the commands that read pages of entry hosts.
#[derive(Debug, Clone, Args)]
pub(crate) struct EntryHostArgs {
    /// Addresses of the metrics ports of entry hosts, separated by commas
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
    /// Log files or directories of them; standard input if none is given
    pub(crate) logs: Vec<PathBuf>,
    /// Attribute by which requests are grouped
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
    /// Log files or directories of them; standard input if none is given
    pub(crate) logs: Vec<PathBuf>,
}

/// Commands on members.
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
    /// Remove a member by name
    Remove {
        /// Its name
        name: String,
    },
    /// Restore a host that lost its disk as a member, under its new identity
    Repair {
        /// Its operators' address
        ops: SocketAddr,
    },
}
