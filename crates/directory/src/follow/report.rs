//! Periodic reports of a process to a control host.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use linnet_wire::{PeerWriter, WireError};
use tokio::sync::watch;
use tokio::time::sleep;

use super::FollowState;
use crate::change_reports::ChangeReports;
use crate::document_follower::DocumentFollower;
use crate::fetch::FetchProgress;
use crate::message::ReportTail;
use crate::serve::{
    MAX_PARTS_PER_MESSAGE, MAX_RATE_LIMITS_PER_MESSAGE, MAX_SUSPECTS_PER_MESSAGE, UPDATE_INTERVAL,
};
use crate::{EntryHostRecord, RoleStatement, SubscriberReport};

/// Time between two reports during a roll-out. It bounds how long a bad version keeps its share of
/// requests.
const ROLLOUT_REPORT_INTERVAL: Duration = Duration::from_millis(100);

pub(super) async fn send_reports(
    state: &FollowState,
    address: SocketAddr,
    mut writer: PeerWriter,
    mut acknowledged: watch::Receiver<u64>,
) -> Result<(), WireError> {
    let mut entry_host = state.config.entry_host.clone();
    let documents = state.documents.as_ref();
    let mut requests = documents.map(DocumentFollower::changes);
    let mut list_sources = state.list_sources.subscribe();
    let mut suspects = ChangeReports::new(state.config.suspects.as_ref(), MAX_SUSPECTS_PER_MESSAGE);
    let mut parts = ChangeReports::new(state.config.parts.as_ref(), MAX_PARTS_PER_MESSAGE);
    let mut rate_limits = ChangeReports::new(
        state.config.rate_limits.as_ref(),
        MAX_RATE_LIMITS_PER_MESSAGE,
    );
    loop {
        // Read before the report is built: a change while the report is being sent goes into the
        // next one.
        let reported = requests.as_ref().and_then(|requests| *requests.borrow());
        let counts = state.config.counts.as_ref();
        let report = SubscriberReport {
            incarnation: state.incarnation,
            phase_counts: counts.map_or_else(Vec::new, |counts| counts()),
            document_version: state.document_version(),
            document_request: documents.and_then(|documents| documents.request_for(address)),
            entry_host: entry_host.borrow_and_update().clone(),
            acknowledged: *acknowledged.borrow_and_update(),
            wants_lists: list_sources.borrow_and_update().contains(&address),
            suspects: suspects.next(),
            rate_limits: rate_limits.next(),
            parts: parts.next(),
        };
        send_report(&mut writer, &report).await?;
        if report.suspects.len() == MAX_SUSPECTS_PER_MESSAGE
            || report.rate_limits.len() == MAX_RATE_LIMITS_PER_MESSAGE
            || report.parts.len() == MAX_PARTS_PER_MESSAGE
        {
            continue;
        }
        tokio::select! {
            changed = acknowledged.changed() => if changed.is_err() { return Ok(()) },
            () = record_changed(&mut entry_host) => {}
            () = request_changed(&mut requests, reported, address) => {}
            () = list_sources_changed(&mut list_sources, report.wants_lists, address) => {}
            () = suspects.changed() => {}
            () = rate_limits.changed() => {}
            () = parts.changed() => {}
            () = sleep(report_interval(&report)) => {}
        }
    }
}

/// Sends a report, followed by counts for roll-outs, rate limits, suspected parts and what this
/// host states for roles if there are any.
async fn send_report(writer: &mut PeerWriter, report: &SubscriberReport) -> Result<(), WireError> {
    let has_counts = !report.phase_counts.is_empty();
    let (has_rates, has_parts) = (!report.rate_limits.is_empty(), !report.parts.is_empty());
    let entry_host = report.entry_host.as_ref();
    let role = entry_host.map_or_else(RoleStatement::default, |host| host.role);
    let states_role = role != RoleStatement::default();
    if !has_counts && !has_rates && !has_parts && !states_role {
        return writer.send(report).await;
    }
    let tail = ReportTail {
        incarnation: report.incarnation,
        phase_counts: report.phase_counts.clone(),
    };
    if states_role {
        let tails = (tail, &report.rate_limits, &report.parts, role);
        return writer.send(&(report, tails)).await;
    }
    if has_parts {
        let tails = (tail, &report.rate_limits, &report.parts);
        return writer.send(&(report, tails)).await;
    }
    if has_rates {
        return writer.send(&(report, tail, &report.rate_limits)).await;
    }
    writer.send(&(report, tail)).await
}

fn report_interval(last: &SubscriberReport) -> Duration {
    match last.phase_counts.is_empty() {
        true => UPDATE_INTERVAL,
        false => ROLLOUT_REPORT_INTERVAL,
    }
}

// Resolves when the request to this control host has changed.
async fn request_changed(
    requests: &mut Option<watch::Receiver<Option<FetchProgress>>>,
    reported: Option<FetchProgress>,
    address: SocketAddr,
) {
    let Some(requests) = requests else {
        return std::future::pending().await;
    };
    let is_of_this = |progress: &FetchProgress| progress.source == address;
    let concerns = |now: &Option<FetchProgress>| {
        *now != reported
            && (reported.as_ref().is_some_and(is_of_this) || now.as_ref().is_some_and(is_of_this))
    };
    if requests.wait_for(concerns).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn list_sources_changed(
    list_sources: &mut watch::Receiver<BTreeSet<SocketAddr>>,
    reported: bool,
    address: SocketAddr,
) {
    let differs = |now: &BTreeSet<SocketAddr>| now.contains(&address) != reported;
    if list_sources.wait_for(differs).await.is_err() {
        std::future::pending::<()>().await;
    }
}

// Without a sender the record cannot change any more.
async fn record_changed(entry_host: &mut watch::Receiver<Option<EntryHostRecord>>) {
    if entry_host.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
