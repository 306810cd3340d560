//! What a process tells a control host of itself, again and again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use linnet_wire::{PeerWriter, WireError};
use tokio::sync::watch;
use tokio::time::sleep;

use super::Following;
use crate::change_reports::ChangeReports;
use crate::document_follower::DocumentFollower;
use crate::fetch::FetchProgress;
use crate::message::ReportTail;
use crate::serve::{RATES_AT_ONCE, SUSPECTS_AT_ONCE, UPDATE_PERIOD};
use crate::{GatewayRecord, SubscriberReport};

/// Between two reports while a roll-out is under way: how long a bad version goes on to get its share.
const COUNT_PERIOD: Duration = Duration::from_millis(100);

pub(super) async fn send_reports(
    following: &Following,
    address: SocketAddr,
    mut writer: PeerWriter,
    mut acknowledged: watch::Receiver<u64>,
) -> Result<(), WireError> {
    let mut gateway = following.config.gateway.clone();
    let documents = following.documents.as_ref();
    let mut wanted = documents.map(DocumentFollower::changes);
    let mut tellers = following.tellers.subscribe();
    let mut suspects = ChangeReports::new(following.config.suspects.as_ref(), SUSPECTS_AT_ONCE);
    let mut rates = ChangeReports::new(following.config.rates.as_ref(), RATES_AT_ONCE);
    loop {
        // Read before the report is made: what changes while it is sent is told by the next one.
        let told = wanted.as_ref().and_then(|wanted| *wanted.borrow());
        let counts = following.config.counts.as_ref();
        let report = SubscriberReport {
            start: following.start,
            counted: counts.map_or_else(Vec::new, |counts| counts()),
            document_version: following.held_version(),
            want: documents.and_then(|documents| documents.want_of(address)),
            gateway: gateway.borrow_and_update().clone(),
            acknowledged: *acknowledged.borrow_and_update(),
            lists: tellers.borrow_and_update().contains(&address),
            suspects: suspects.next(),
            rates: rates.next(),
        };
        send_report(&mut writer, &report).await?;
        if report.suspects.len() == SUSPECTS_AT_ONCE || report.rates.len() == RATES_AT_ONCE {
            continue;
        }
        tokio::select! {
            changed = acknowledged.changed() => if changed.is_err() { return Ok(()) },
            () = record_changed(&mut gateway) => {}
            () = want_changed(&mut wanted, told, address) => {}
            () = teller_changed(&mut tellers, report.lists, address) => {}
            () = suspects.changed() => {}
            () = rates.changed() => {}
            () = sleep(report_period(&report)) => {}
        }
    }
}

/// Sends a report, and behind it what was counted for roll-outs and what targets named.
async fn send_report(writer: &mut PeerWriter, report: &SubscriberReport) -> Result<(), WireError> {
    if report.counted.is_empty() && report.rates.is_empty() {
        return writer.send(report).await;
    }
    let tail = ReportTail {
        start: report.start,
        counted: report.counted.clone(),
    };
    if report.rates.is_empty() {
        return writer.send(&(report, tail)).await;
    }
    writer.send(&(report, tail, &report.rates)).await
}

fn report_period(last: &SubscriberReport) -> Duration {
    match last.counted.is_empty() {
        true => UPDATE_PERIOD,
        false => COUNT_PERIOD,
    }
}

// Only what concerns this control host is told to it.
async fn want_changed(
    wanted: &mut Option<watch::Receiver<Option<FetchProgress>>>,
    told: Option<FetchProgress>,
    address: SocketAddr,
) {
    let Some(wanted) = wanted else {
        return std::future::pending().await;
    };
    let is_of_this = |progress: &FetchProgress| progress.source == address;
    let concerns = |now: &Option<FetchProgress>| {
        *now != told
            && (told.as_ref().is_some_and(is_of_this) || now.as_ref().is_some_and(is_of_this))
    };
    if wanted.wait_for(concerns).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn teller_changed(
    tellers: &mut watch::Receiver<BTreeSet<SocketAddr>>,
    told: bool,
    address: SocketAddr,
) {
    let differs = |now: &BTreeSet<SocketAddr>| now.contains(&address) != told;
    if tellers.wait_for(differs).await.is_err() {
        std::future::pending::<()>().await;
    }
}

// Where nobody can change the record any more there is nothing to wait for.
async fn record_changed(gateway: &mut watch::Receiver<Option<GatewayRecord>>) {
    if gateway.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
