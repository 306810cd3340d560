//! Shows what targets asked of entry hosts.

use std::net::SocketAddr;

use linnet_telemetry::{NOTICES_PATH, NoticeLine, NoticeStanding};

use crate::client::OpsClient;
use crate::settings::NoticesArgs;
use crate::{CtlError, CtlStep};

/// Asks each entry host; one that does not answer is named, and the others are shown all the same.
pub(crate) async fn show_notices(client: &OpsClient, args: &NoticesArgs) -> Result<(), CtlError> {
    let mut silent = Vec::new();
    for host in &args.entries {
        match client.get::<Vec<NoticeLine>>(*host, NOTICES_PATH).await {
            Ok(lines) => lines.iter().for_each(|line| print_line(*host, line)),
            Err(error) => {
                eprintln!("linnetctl: {host}: {error}");
                silent.push(host.to_string());
            }
        }
    }
    if silent.is_empty() {
        return Ok(());
    }
    Err(CtlError::failed(
        CtlStep::Request,
        silent.join(","),
        "no answer",
    ))
}

fn print_line(host: SocketAddr, line: &NoticeLine) {
    let standing = match line.standing {
        NoticeStanding::Reopening if line.per_second.is_some() => "limited",
        NoticeStanding::Reopening => "reopening",
        NoticeStanding::BackedOff => "backed_off",
        NoticeStanding::Leaving => "leaving",
    };
    println!(
        "entry={host} target={} service={} standing={standing} left_ms={} withheld={} per_s={} sent={}",
        line.target,
        line.service,
        line.left_ms,
        line.withheld,
        line.per_second.as_deref().unwrap_or("any"),
        line.sent
    );
}
