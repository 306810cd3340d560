//! Collects the events of all processes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use linnet_telemetry::{Event, format_event, merge_events};

use crate::client::OpsClient;
use crate::settings::TimelineArgs;
use crate::timeline_svg::render_svg;
use crate::{CtlError, CtlStep};

/// Prints the events of all reachable processes in causal order.
pub(crate) async fn show_timeline(client: &OpsClient, args: TimelineArgs) -> Result<(), CtlError> {
    let path = timeline_path(&args);
    let mut event_lists: Vec<Vec<Event>> = Vec::new();
    for host in known_hosts(client, &args).await? {
        match client.get(host, &path).await {
            Ok(events) => event_lists.push(events),
            Err(error) => eprintln!("omitted: {error}"),
        }
    }
    let mut events = merge_events(event_lists);
    if let Some(host) = &args.host {
        events.retain(|event| event.host == *host);
    }
    if let Some(path) = &args.svg {
        std::fs::write(path, render_svg(&events)).map_err(|error| {
            CtlError::failed(CtlStep::Read, path.display().to_string(), error.to_string())
        })?;
    }
    if args.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&events).unwrap_or_default()
        );
    } else {
        for event in &events {
            println!("{}", format_event(event));
        }
    }
    Ok(())
}

fn timeline_path(args: &TimelineArgs) -> String {
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64);
    let since_ms = args
        .since_s
        .map_or(0, |seconds| now_ms.saturating_sub(seconds * 1_000));
    match &args.request {
        Some(request) => format!("/v1/timeline?since_ms={since_ms}&request={request}"),
        None => format!("/v1/timeline?since_ms={since_ms}"),
    }
}

async fn known_hosts(
    client: &OpsClient,
    args: &TimelineArgs,
) -> Result<BTreeSet<SocketAddr>, CtlError> {
    let mut hosts: BTreeSet<SocketAddr> = client.control_hosts()?.iter().copied().collect();
    hosts.extend(&args.entries);
    let reports = crate::status::newest_reports(client).await?;
    hosts.extend(
        reports
            .iter()
            .filter_map(|report| report.ops.parse::<SocketAddr>().ok()),
    );
    Ok(hosts)
}
