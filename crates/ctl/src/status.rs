//! Shows hosts and targets.

use std::collections::BTreeMap;

use linnet_control::ControlStatus;
use linnet_entry::EntryStatus;
use linnet_feed::HostReport;

use crate::CtlError;
use crate::client::OpsClient;

/// Shows control and entry hosts, each with its table version and lag.
pub(crate) async fn show_status(client: &OpsClient, json: bool) -> Result<(), CtlError> {
    let statuses = client.all_statuses().await?;
    if json {
        let received: Vec<_> = statuses
            .into_iter()
            .filter_map(|(_, status)| status.ok())
            .collect();
        println!(
            "{}",
            serde_json::to_string_pretty(&received).unwrap_or_default()
        );
        return Ok(());
    }
    let newest = statuses
        .iter()
        .filter_map(|(_, status)| status.as_ref().ok())
        .map(|status| status.table_version)
        .max()
        .unwrap_or(0);
    for (host, status) in &statuses {
        match status {
            Ok(status) => print_control(status, newest),
            Err(error) => println!("control {host} unreachable: {error}"),
        }
    }
    for report in newest_of(statuses.into_iter().filter_map(|(_, status)| status.ok())) {
        println!(
            "entry   {:<16} hall={} version={} lag={} heard_ms_ago={}",
            report.name,
            report.hall,
            report.version,
            newest.saturating_sub(report.version),
            report.age_ms
        );
    }
    Ok(())
}

fn print_control(status: &ControlStatus, newest: u64) {
    let replica = &status.replica;
    println!(
        "control {:<16} hall={} {} term={} commit={} version={} lag={} rows={} lease={} id={}",
        status.name,
        status.hall,
        replica.role,
        replica.term,
        replica.commit,
        status.table_version,
        newest.saturating_sub(status.table_version),
        status.table_rows,
        replica.lease_lasts,
        replica.id
    );
}

/// Returns the most recent report on each entry host among all control hosts that respond.
pub(crate) async fn newest_reports(client: &OpsClient) -> Result<Vec<HostReport>, CtlError> {
    let statuses = client.all_statuses().await?;
    Ok(newest_of(
        statuses.into_iter().filter_map(|(_, status)| status.ok()),
    ))
}

fn newest_of(statuses: impl Iterator<Item = ControlStatus>) -> Vec<HostReport> {
    let mut newest: BTreeMap<String, HostReport> = BTreeMap::new();
    for report in statuses.flat_map(|status| status.hosts) {
        let is_newer = newest
            .get(&report.name)
            .is_none_or(|known| report.age_ms < known.age_ms);
        if is_newer {
            newest.insert(report.name.clone(), report);
        }
    }
    newest.into_values().collect()
}

/// Shows the targets as each entry host sees them.
pub(crate) async fn show_targets(client: &OpsClient) -> Result<(), CtlError> {
    for report in newest_reports(client).await? {
        let Ok(ops) = report.ops.parse() else {
            continue;
        };
        match client.get::<EntryStatus>(ops, "/v1/status").await {
            Ok(status) => print_targets(&status),
            Err(error) => println!("{} unreachable: {error}", report.name),
        }
    }
    Ok(())
}

fn print_targets(status: &EntryStatus) {
    println!(
        "{} ready={} in_flight={}",
        status.name, status.ready, status.in_flight
    );
    for pool in &status.pools {
        println!(
            "  pool {} waiting={} usual_us={}",
            pool.name, pool.waiting, pool.usual_us
        );
    }
    for target in &status.targets {
        println!(
            "  target {:<20} pool={} hall={} {} in_flight={}/{}",
            target.name, target.pool, target.hall, target.state, target.in_flight, target.window
        );
    }
}
