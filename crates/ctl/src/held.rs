//! Shows and releases requests that are held since they end their targets.

use std::net::SocketAddr;

use linnet_quarantine::{HELD_PATH, HeldLine};
use ntex::http::Method;
use ntex::util::Bytes;

use crate::client::OpsClient;
use crate::settings::HeldCommand;
use crate::{CtlError, CtlStep};

/// Runs a command on held requests. Every control host knows the same, so the first that answers is asked.
pub(crate) async fn run_held(client: &OpsClient, command: HeldCommand) -> Result<(), CtlError> {
    let mut failure = None;
    for host in client.control_hosts()? {
        let outcome = match &command {
            HeldCommand::List => list_held(client, *host).await,
            HeldCommand::Release { key } => release_held(client, *host, key).await,
        };
        match outcome {
            Ok(()) => return Ok(()),
            Err(error) => failure = Some(error),
        }
    }
    Err(failure
        .unwrap_or_else(|| CtlError::failed(CtlStep::Request, "", "no control host answers")))
}

async fn list_held(client: &OpsClient, host: SocketAddr) -> Result<(), CtlError> {
    let lines: Vec<HeldLine> = client.get(host, HELD_PATH).await?;
    for line in &lines {
        let standing = if line.held { "held" } else { "suspect" };
        println!(
            "{} {standing} ends={} trials={} age_s={} account={} {} {}",
            line.key,
            line.ends,
            line.trials,
            line.age_ms / 1_000,
            line.account,
            line.method,
            line.path
        );
    }
    Ok(())
}

async fn release_held(client: &OpsClient, host: SocketAddr, key: &str) -> Result<(), CtlError> {
    let path = format!("{HELD_PATH}/{key}");
    client
        .execute(host, Method::DELETE, &path, Bytes::new())
        .await?;
    println!("released; every host lets it run again");
    Ok(())
}
