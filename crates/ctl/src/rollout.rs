//! Starts, shows and aborts roll-outs of versions.

use std::net::SocketAddr;

use linnet_rollout::{ROLLOUTS_PATH, RolloutLine, RolloutOrder, RolloutState};
use ntex::http::Method;
use ntex::util::Bytes;

use crate::client::OpsClient;
use crate::settings::RolloutCommand;
use crate::{CtlError, CtlStep};

/// Runs a command on roll-outs at the first control host that succeeds.
pub(crate) async fn run_rollout(client: &OpsClient, verb: RolloutCommand) -> Result<(), CtlError> {
    let mut last_error = None;
    for host in client.control_hosts()? {
        let outcome = match &verb {
            RolloutCommand::Start {
                service,
                version,
                seconds,
            } => start(client, *host, service, version, *seconds).await,
            RolloutCommand::Status => show(client, *host, is_in_progress).await,
            RolloutCommand::History => show(client, *host, |_| true).await,
            RolloutCommand::Abort { service } => abort(client, *host, service).await,
        };
        match outcome {
            Ok(()) => return Ok(()),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error
        .unwrap_or_else(|| CtlError::failed(CtlStep::Request, "", "no control host responded")))
}

fn is_in_progress(line: &RolloutLine) -> bool {
    line.state == RolloutState::InProgress.to_string()
}

async fn start(
    client: &OpsClient,
    host: SocketAddr,
    service: &str,
    version: &str,
    seconds: u64,
) -> Result<(), CtlError> {
    let order = RolloutOrder {
        service: service.to_owned(),
        version: version.to_owned(),
        duration_ms: seconds.saturating_mul(1_000),
    };
    let peer = host.to_string();
    let body = serde_json::to_vec(&order)
        .map_err(|error| CtlError::failed(CtlStep::Apply, peer, error.to_string()))?;
    client
        .execute(host, Method::POST, ROLLOUTS_PATH, Bytes::from(body))
        .await?;
    println!("started; `linnetctl rollout status` shows the progress");
    Ok(())
}

async fn show(
    client: &OpsClient,
    host: SocketAddr,
    filter: fn(&RolloutLine) -> bool,
) -> Result<(), CtlError> {
    let lines: Vec<RolloutLine> = client.get(host, ROLLOUTS_PATH).await?;
    for line in lines.iter().filter(|line| filter(line)) {
        println!(
            "{} {} {} share={:.1}% cause={:?} answers={} failures={} former_answers={} former_failures={} against={:.2} former={}",
            line.service,
            line.version,
            line.state,
            f64::from(line.permille) / 10.0,
            line.cause,
            line.answers,
            line.failures,
            line.former_answers,
            line.former_failures,
            line.against,
            line.former.join(",")
        );
    }
    Ok(())
}

async fn abort(client: &OpsClient, host: SocketAddr, service: &str) -> Result<(), CtlError> {
    let path = format!("{ROLLOUTS_PATH}/{service}");
    client
        .execute(host, Method::DELETE, &path, Bytes::new())
        .await?;
    println!("aborted; no more requests are sent to the version");
    Ok(())
}
