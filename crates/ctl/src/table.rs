//! Reads and changes the table.

use std::path::Path;
use std::time::Duration;

use linnet_control::ChangeResponse;
use linnet_table::{
    ChangeRefusal, RowDiff, RowFault, TableChange, TableRow, diff_rows, parse_csv, verify_rows,
};
use ntex::http::Method;
use tokio::time::{Instant, sleep};

use crate::client::{OpsClient, error_text};
use crate::settings::{ApplyArgs, TableCommand};
use crate::{CtlError, CtlStep};

/// Maximum time that `--wait` waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which `--wait` checks the hosts.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Age of the last report from which an entry host counts as unreachable.
const MAX_REPORT_AGE_MS: u64 = 5_000;

/// Maximum number of rows printed for a difference or conflict.
const MAX_PRINTED_ROWS: usize = 200;

/// Runs a command on the table.
pub(crate) async fn run_table(client: &OpsClient, command: TableCommand) -> Result<(), CtlError> {
    match command {
        TableCommand::Get { stale } => get_table(client, stale).await,
        TableCommand::Check { file } => {
            let rows = read_checked(&file)?;
            println!("{} rows, no fault", rows.len());
            Ok(())
        }
        TableCommand::Diff { file } => {
            let rows = read_checked(&file)?;
            let (version, current) = fetch_table(client, "/v1/table").await?;
            print_diff(version, &diff_rows(&current, &rows));
            Ok(())
        }
        TableCommand::Apply(args) => apply_table(client, args).await,
    }
}

async fn get_table(client: &OpsClient, stale: bool) -> Result<(), CtlError> {
    let (version, text) = if stale {
        fetch_newest_copy(client).await?
    } else {
        fetch_text(client, "/v1/table").await?
    };
    eprintln!("version {version}");
    print!("{text}");
    Ok(())
}

async fn fetch_text(client: &OpsClient, path: &str) -> Result<(u64, String), CtlError> {
    let response = client
        .send_to_leader(Method::GET, path, None::<&()>)
        .await?;
    match (response.status, response.version) {
        (200, Some(version)) => Ok((
            version,
            String::from_utf8_lossy(&response.body).into_owned(),
        )),
        _ => Err(CtlError::failed(
            CtlStep::Request,
            "",
            error_text(&response),
        )),
    }
}

/// Returns the newest table among the copies of all reachable control hosts.
async fn fetch_newest_copy(client: &OpsClient) -> Result<(u64, String), CtlError> {
    let mut newest: Option<(u64, String)> = None;
    for host in client.control_hosts()? {
        let result = client
            .send(*host, Method::GET, "/v1/table?stale=1", Default::default())
            .await;
        if let Ok(response) = result
            && let (200, Some(version)) = (response.status, response.version)
            && newest.as_ref().is_none_or(|(known, _)| *known < version)
        {
            newest = Some((
                version,
                String::from_utf8_lossy(&response.body).into_owned(),
            ));
        }
    }
    newest.ok_or_else(|| CtlError::failed(CtlStep::Request, "", "no control host responded"))
}

async fn fetch_table(client: &OpsClient, path: &str) -> Result<(u64, Vec<TableRow>), CtlError> {
    let (version, text) = fetch_text(client, path).await?;
    Ok((version, parse_csv(&text).rows))
}

/// Reads and checks a file; prints every fault in it.
fn read_checked(file: &Path) -> Result<Vec<TableRow>, CtlError> {
    let file_name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| CtlError::failed(CtlStep::Read, &file_name, error.to_string()))?;
    let parsed = parse_csv(&text);
    let mut faults = parsed.faults.clone();
    for fault in verify_rows(&parsed.rows) {
        let line = fault.key.as_ref().and_then(|key| parsed.line_of(key));
        faults.push(fault.with_line(line));
    }
    if faults.is_empty() {
        return Ok(parsed.rows);
    }
    print_faults(&faults);
    let message = format!("{} faults", faults.len());
    Err(CtlError::failed(CtlStep::Check, file_name, message))
}

fn print_faults(faults: &[RowFault]) {
    for fault in faults {
        eprintln!("{fault}");
    }
}

fn print_diff(version: u64, diff: &RowDiff) {
    println!(
        "against version {version}: {} rows put, {} rows deleted",
        diff.upserts.len(),
        diff.deletes.len()
    );
    for row in diff.upserts.iter().take(MAX_PRINTED_ROWS) {
        println!("put {}", row.key());
    }
    for key in diff.deletes.iter().take(MAX_PRINTED_ROWS) {
        println!("delete {key}");
    }
}

async fn apply_table(client: &OpsClient, args: ApplyArgs) -> Result<(), CtlError> {
    let rows = read_checked(&args.file)?;
    let (base_version, base_rows) = match (&args.base, &args.base_file) {
        (Some(base), Some(file)) => (*base, read_checked(file)?),
        (Some(base), None) => {
            let (version, current) = fetch_table(client, "/v1/table").await?;
            if version != *base {
                let message = format!(
                    "the table is at version {version}, not {base}; with --base-file and --rebase the change may still be accepted"
                );
                return Err(CtlError::failed(CtlStep::Apply, "", message));
            }
            (version, current)
        }
        _ => fetch_table(client, "/v1/table").await?,
    };
    let diff = diff_rows(&base_rows, &rows);
    // A repeated change is empty if it was applied before, but its outcome is still requested by
    // its key.
    if diff.is_empty() && args.key.is_none() {
        println!("no change; version {base_version}");
        return Ok(());
    }
    let change = TableChange {
        change_key: args.key.clone().unwrap_or_else(new_change_key),
        author: args.author.clone(),
        base_version,
        rebase: args.rebase,
        upserts: diff.upserts,
        deletes: diff.deletes,
    };
    let version = send_change(client, &change).await?;
    println!("version {version}");
    if args.wait {
        wait_in_force(client, version).await?;
    }
    Ok(())
}

fn new_change_key() -> String {
    format!("{:032x}", fastrand::u128(..))
}

/// Sends a change until a host responds; the change key makes repeated sending safe.
async fn send_change(client: &OpsClient, change: &TableChange) -> Result<u64, CtlError> {
    let unknown = || CtlError::Unknown {
        step: CtlStep::Apply,
        key: change.change_key.clone(),
    };
    let response = client
        .send_to_leader(Method::POST, "/v1/changes", Some(change))
        .await
        .map_err(|_| unknown())?;
    let reply: ChangeResponse = serde_json::from_slice(&response.body)
        .map_err(|_| CtlError::failed(CtlStep::Apply, "", error_text(&response)))?;
    match reply {
        ChangeResponse::Accepted { version } => Ok(version),
        ChangeResponse::Refused { refusal } => Err(show_refusal(refusal)),
        ChangeResponse::Busy { cause } => Err(CtlError::failed(CtlStep::Apply, "", cause)),
        ChangeResponse::Unknown | ChangeResponse::NotLeader { .. } => Err(unknown()),
    }
}

fn show_refusal(refusal: ChangeRefusal) -> CtlError {
    match &refusal {
        ChangeRefusal::Faults(faults) => print_faults(faults),
        ChangeRefusal::Conflict(conflict) => {
            for key in conflict.clashing.iter().take(MAX_PRINTED_ROWS) {
                eprintln!("changed on both sides: {key}");
            }
        }
        ChangeRefusal::KeyReused(_) => {}
    }
    CtlError::failed(CtlStep::Apply, "", refusal.to_string())
}

/// Waits until a version is in force on every reachable host; prints the unreachable ones.
async fn wait_in_force(client: &OpsClient, version: u64) -> Result<(), CtlError> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let (outdated, unreachable) = outdated_hosts(client, version).await?;
        if outdated.is_empty() {
            println!("in force on every host that can be reached");
            if !unreachable.is_empty() {
                println!("not reached: {}", unreachable.join(", "));
            }
            return Ok(());
        }
        if Instant::now() >= deadline {
            let message = format!("not in force yet on {}", outdated.join(", "));
            return Err(CtlError::failed(CtlStep::Wait, "", message));
        }
        sleep(WAIT_POLL_INTERVAL).await;
    }
}

/// Returns the hosts with an older version, and the unreachable hosts.
async fn outdated_hosts(
    client: &OpsClient,
    version: u64,
) -> Result<(Vec<String>, Vec<String>), CtlError> {
    let mut outdated = Vec::new();
    let mut unreachable = Vec::new();
    for (host, status) in client.all_statuses().await? {
        match status {
            Ok(status) if status.table_version < version => outdated.push(status.name),
            Ok(_) => {}
            Err(_) => unreachable.push(host.to_string()),
        }
    }
    for report in crate::status::newest_reports(client).await? {
        if report.age_ms >= MAX_REPORT_AGE_MS {
            unreachable.push(report.name);
        } else if report.version < version {
            outdated.push(report.name);
        }
    }
    Ok((outdated, unreachable))
}
