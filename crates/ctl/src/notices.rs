//! Shows the notices of targets to entry hosts.

use std::net::SocketAddr;

use linnet_telemetry::{NOTICES_PATH, NoticeLine, NoticeState};

use crate::client::OpsClient;
use crate::settings::EntryHostArgs;
use crate::{CtlError, CtlStep};

/// Prints the notices of each entry host. Hosts that do not respond are reported, and the others
/// are still shown.
pub(crate) async fn show_notices(client: &OpsClient, args: &EntryHostArgs) -> Result<(), CtlError> {
    let mut unreachable = Vec::new();
    for host in &args.entries {
        match client.get::<Vec<NoticeLine>>(*host, NOTICES_PATH).await {
            Ok(lines) => lines.iter().for_each(|line| print_line(*host, line)),
            Err(error) => {
                eprintln!("linnetctl: {host}: {error}");
                unreachable.push(host.to_string());
            }
        }
    }
    if unreachable.is_empty() {
        return Ok(());
    }
    Err(CtlError::failed(
        CtlStep::Request,
        unreachable.join(","),
        "no response",
    ))
}

fn print_line(host: SocketAddr, line: &NoticeLine) {
    let standing = match line.state {
        NoticeState::Reopening if line.per_second.is_some() => "limited",
        NoticeState::Reopening => "reopening",
        NoticeState::BackedOff => "backed_off",
        NoticeState::Leaving => "leaving",
    };
    println!(
        "entry={host} target={} service={} standing={standing} left_ms={} withheld={} per_s={} sent={}",
        line.target,
        line.service,
        line.remaining_ms,
        line.withheld,
        line.per_second.as_deref().unwrap_or("any"),
        line.sent
    );
}
