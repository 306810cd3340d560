//! Lists and releases requests, and parts of prompts, that are held because they crash their targets.

use std::net::SocketAddr;

use linnet_quarantine::{HELD_PARTS_PATH, HELD_PATH, HeldLine, PartLine};
use ntex::http::Method;
use ntex::util::Bytes;

use crate::client::OpsClient;
use crate::settings::HeldCommand;
use crate::{CtlError, CtlStep};

/// Runs a command on held requests at the first control host that succeeds; all have the same
/// records.
pub(crate) async fn run_held(client: &OpsClient, command: HeldCommand) -> Result<(), CtlError> {
    let mut last_error = None;
    for host in client.control_hosts()? {
        let outcome = match &command {
            HeldCommand::List => list_held(client, *host).await,
            HeldCommand::Release { key } => release_held(client, *host, key).await,
        };
        match outcome {
            Ok(()) => return Ok(()),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error
        .unwrap_or_else(|| CtlError::failed(CtlStep::Request, "", "no control host responded")))
}

async fn list_held(client: &OpsClient, host: SocketAddr) -> Result<(), CtlError> {
    let lines: Vec<HeldLine> = client.get(host, HELD_PATH).await?;
    for line in &lines {
        let state = if line.held { "held" } else { "suspect" };
        println!(
            "{} {state} ends={} trials={} age_s={} account={} {} {}",
            line.key,
            line.ends,
            line.trials,
            line.age_ms / 1_000,
            line.account,
            line.method,
            line.path
        );
    }
    list_held_parts(client, host).await
}

async fn list_held_parts(client: &OpsClient, host: SocketAddr) -> Result<(), CtlError> {
    let lines: Vec<PartLine> = client.get(host, HELD_PARTS_PATH).await?;
    for line in &lines {
        let state = if line.held { "held" } else { "suspect" };
        println!(
            "{} {state} part={} service={} account={} crashes={} origins={} runs={} trials={} age_s={}",
            line.key,
            line.part,
            line.service,
            line.account.as_deref().unwrap_or("*"),
            line.crashes,
            line.origins,
            line.runs,
            line.trials,
            line.age_ms / 1_000
        );
    }
    Ok(())
}

async fn release_held(client: &OpsClient, host: SocketAddr, key: &str) -> Result<(), CtlError> {
    let release = async |path| {
        let path = format!("{path}/{key}");
        client
            .execute(host, Method::DELETE, &path, Bytes::new())
            .await
    };
    // The key does not tell whether it is one of a request or of a part.
    if release(HELD_PATH).await.is_err() {
        release(HELD_PARTS_PATH).await?;
    }
    println!("released; all hosts accept it again");
    Ok(())
}
