//! `linnetctl`: the operators' command line.
//!
//! - [`CtlSettings`] defines the arguments; [`run_ctl`] runs one command.
//! - `client` sends requests to the control hosts and finds the leader.
//! - `table`, `status`, `timeline`, `member`, `held`, `rollout`, `notices`, `pool_pages` and `form`
//!   implement one group of commands each.
//! - `logs` implements the commands on collected logs, which contact no host.

mod client;
mod error;
mod form;
mod held;
mod logs;
mod member;
mod notices;
mod pool_pages;
mod rollout;
mod settings;
mod status;
mod table;
mod text_table;
mod timeline;
mod timeline_svg;

pub use error::{CtlError, CtlStep};
pub use settings::CtlSettings;

use std::process::ExitCode;

use client::OpsClient;
use settings::CtlCommand;

/// Runs one command and prints its result; must run inside an ntex runtime.
///
/// The exit status is 0 if the command succeeded, 1 if it failed or was refused, 2 for invalid
/// arguments, and 3 if the outcome is unknown.
pub async fn run_ctl(settings: CtlSettings) -> ExitCode {
    let result = match OpsClient::new(&settings).await {
        Ok(client) => run_command(&client, settings.command).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linnetctl: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}

async fn run_command(client: &OpsClient, command: CtlCommand) -> Result<(), CtlError> {
    match command {
        CtlCommand::Init => form::form_cluster(client).await,
        CtlCommand::Table(command) => table::run_table(client, command).await,
        CtlCommand::Status { json } => status::show_status(client, json).await,
        CtlCommand::Targets => status::show_targets(client).await,
        CtlCommand::Timeline(query) => timeline::show_timeline(client, query).await,
        CtlCommand::Member(command) => member::run_member(client, command).await,
        CtlCommand::Held(command) => held::run_held(client, command).await,
        CtlCommand::Rollout(command) => rollout::run_rollout(client, command).await,
        CtlCommand::Notices(args) => notices::show_notices(client, &args).await,
        CtlCommand::Shares(args) => pool_pages::show_shares(client, &args).await,
        CtlCommand::Queues(args) => pool_pages::show_queues(client, &args).await,
        CtlCommand::Losses(args) => logs::show_losses(&args),
        CtlCommand::Explain(args) => logs::explain(&args),
        CtlCommand::Key { key } => {
            println!("{}", linnet_table::KeyDigest::of_key(key.as_bytes()));
            Ok(())
        }
    }
}
