//! Shows the shares of client accounts and the queues of stage pools, as their coordinators report
//! them.

use std::net::SocketAddr;

use linnet_telemetry::{ACCOUNT_SHARES_PATH, AccountShareLine, POOL_QUEUES_PATH, PoolQueueLine};
use ntex::http::Method;
use ntex::util::Bytes;
use serde::de::DeserializeOwned;

use crate::client::{OpsClient, error_text};
use crate::settings::EntryHostArgs;
use crate::text_table::{TextTable, printable_name, printable_number};
use crate::{CtlError, CtlStep};

/// Prints what client accounts ask of all pools of these hosts beside their shares, sorted by the
/// demand above the share.
pub(crate) async fn show_shares(client: &OpsClient, args: &EntryHostArgs) -> Result<(), CtlError> {
    let pages = read_pages::<AccountShareLine>(client, &args.entries, ACCOUNT_SHARES_PATH).await;
    print!("{}", share_table(pages.lines).to_text());
    pages.outcome
}

/// Prints the pieces that wait for all pools of these hosts, by rank, the longest queue first.
pub(crate) async fn show_queues(client: &OpsClient, args: &EntryHostArgs) -> Result<(), CtlError> {
    let pages = read_pages::<PoolQueueLine>(client, &args.entries, POOL_QUEUES_PATH).await;
    print!("{}", queue_table(pages.lines).to_text());
    pages.outcome
}

/// The lines of one page of several hosts, and an error that names the hosts without a usable page.
struct HostPages<T> {
    lines: Vec<(SocketAddr, T)>,
    outcome: Result<(), CtlError>,
}

/// Reads a page of each host. Hosts without a usable page are reported, and the lines of the others
/// are still returned.
async fn read_pages<T: DeserializeOwned>(
    client: &OpsClient,
    hosts: &[SocketAddr],
    path: &str,
) -> HostPages<T> {
    let mut lines = Vec::new();
    let mut failed = Vec::new();
    for host in hosts {
        match read_page::<T>(client, *host, path).await {
            Ok(page) => lines.extend(page.into_iter().map(|line| (*host, line))),
            Err(error) => {
                eprintln!("linnetctl: {error}");
                failed.push(host.to_string());
            }
        }
    }
    let outcome = if failed.is_empty() {
        Ok(())
    } else {
        let message = "the table lacks these hosts";
        Err(CtlError::failed(CtlStep::Read, failed.join(","), message))
    };
    HostPages { lines, outcome }
}

async fn read_page<T: DeserializeOwned>(
    client: &OpsClient,
    host: SocketAddr,
    path: &str,
) -> Result<Vec<T>, CtlError> {
    let response = client.send(host, Method::GET, path, Bytes::new()).await?;
    let unreadable = |cause: &str| {
        let message = format!("{path}: {}", printable_name(cause));
        CtlError::failed(CtlStep::Read, host.to_string(), message)
    };
    if response.status != 200 {
        return Err(unreadable(&error_text(&response)));
    }
    serde_json::from_slice(&response.body).map_err(|error| unreadable(&error.to_string()))
}

fn share_table(mut lines: Vec<(SocketAddr, AccountShareLine)>) -> TextTable {
    lines.sort_by(|(_, a), (_, b)| {
        let by_above = b.above_per_s().total_cmp(&a.above_per_s());
        by_above.then(b.demand_per_s.total_cmp(&a.demand_per_s))
    });
    let mut table = TextTable::new(&[
        "ACCOUNT",
        "SERVICE",
        "RANK",
        "ABOVE/S",
        "DEMAND/S",
        "ADMITTED/S",
        "USUAL/S",
        "PERMILLE",
        "HOST",
    ]);
    for (host, line) in &lines {
        table.add(vec![
            line.account
                .as_deref()
                .map_or("-".to_owned(), printable_name),
            printable_name(&line.service),
            format!("{}.{}", line.account_priority, line.route_priority),
            printable_number(line.above_per_s()),
            printable_number(line.demand_per_s),
            printable_number(line.admitted_per_s()),
            printable_number(line.usual_per_s),
            line.admit_permille.to_string(),
            host.to_string(),
        ]);
    }
    table
}

fn queue_table(mut lines: Vec<(SocketAddr, PoolQueueLine)>) -> TextTable {
    lines.sort_by_key(|(_, line)| std::cmp::Reverse(line.pieces));
    let mut table = TextTable::new(&["SERVICE", "RANK", "WAITING", "TARGETS", "FREE", "HOST"]);
    for (host, line) in &lines {
        table.add(vec![
            printable_name(&line.service),
            format!("{}.{}", line.account_priority, line.route_priority),
            line.pieces.to_string(),
            line.targets.to_string(),
            line.free.to_string(),
            host.to_string(),
        ]);
    }
    table
}
