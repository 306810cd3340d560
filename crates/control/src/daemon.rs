//! Runs the control daemon.

use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use linnet_daemon::{OpsContext, StopSignals, accept_peers, exit_code, ops_routes, watch_key_file};
use linnet_feed::{TableFeed, serve_follower};
use linnet_journal::DiskOps;
use linnet_quorum::{QuorumTiming, Replica, ReplicaConfig, serve_peer};
use linnet_telemetry::{EventCode, EventRecorder, HybridClock};
use linnet_wire::{PeerGreeting, PeerIdentity};
use ntex::web::{App, HttpServer};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;

use crate::calls::serve_calls;
use crate::host_reports::HostReportStore;
use crate::machine::ControlMachine;
use crate::ops::{ControlContext, control_routes};
use crate::settings::{CheckedControlSettings, ControlSettings};

/// Interval at which the gauges are updated.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the daemon until a planned stop; must run inside an ntex runtime.
pub async fn run_control(settings: ControlSettings) -> ExitCode {
    match settings.check() {
        Ok(checked) => exit_code(serve(checked).await),
        Err(check) => check.report().unwrap_or(ExitCode::FAILURE),
    }
}

async fn serve(checked: CheckedControlSettings) -> Result<(), Box<dyn std::error::Error>> {
    let mut signals = StopSignals::new()?;
    let settings = checked.settings;
    let clock = Arc::new(HybridClock::new());
    let recorder = Arc::new(EventRecorder::new(settings.name.clone(), clock.clone()));
    let identity = PeerIdentity {
        name: settings.name.clone(),
        keys: checked.keys.clone(),
        clock,
    };
    let feed = Arc::new(TableFeed::new());
    let machine = ControlMachine::new(feed.clone(), recorder.clone());
    let config = ReplicaConfig {
        identity: identity.clone(),
        recorder: recorder.clone(),
        timing: QuorumTiming::new(),
        disk: DiskOps::new(),
        on_fatal: Box::new(|error| {
            log::error!(target: "linnetdale", "{error}");
            std::process::exit(1);
        }),
    };
    let replica = Replica::start(&settings.data, machine.hooks(), config)?;
    let host_reports = Arc::new(HostReportStore::default());
    watch_key_file(checked.keys, settings.peer_keys.clone());

    let listener = TcpListener::bind(settings.peer_listen).await?;
    let context = ControlContext {
        name: settings.name.clone(),
        hall: settings.hall.clone(),
        peer: settings.peer_advertise.unwrap_or(settings.peer_listen),
        ops: settings.ops_listen,
        replica,
        machine,
        feed,
        host_reports,
    };
    let peer_context = context.clone();
    let peer_recorder = recorder.clone();
    let serve_connection = move |greeting, reader, writer| {
        let (context, recorder) = (peer_context.clone(), peer_recorder.clone());
        async move {
            match greeting {
                PeerGreeting::Quorum => serve_peer(&context.replica, reader, writer).await,
                PeerGreeting::Calls => {
                    serve_calls(
                        &context.replica,
                        &context.machine,
                        &recorder,
                        reader,
                        writer,
                    )
                    .await
                }
                PeerGreeting::Follow => {
                    let host_reports = context.host_reports.clone();
                    let on_report = move |report: linnet_feed::FollowReport| {
                        host_reports.merge_reports(report.hosts);
                    };
                    serve_follower(&context.feed, reader, writer, on_report).await
                }
                // Connections for hosts of other roles.
                _ => Ok(()),
            }
        }
    };
    ntex::rt::spawn(accept_peers(
        listener,
        identity,
        recorder.clone(),
        serve_connection,
    ));

    let registry = Arc::new(Mutex::new(Registry::with_prefix("linnet_control")));
    ntex::rt::spawn(update_gauges(context.clone(), registry.clone()));
    let ops = OpsContext {
        keys: checked.operators,
        recorder: recorder.clone(),
        registry,
    };
    let server = HttpServer::new(async move || {
        App::new()
            .state(ops.clone())
            .state(context.clone())
            .configure(ops_routes)
            .configure(control_routes)
    })
    .workers(1)
    .disable_signals()
    .bind(settings.ops_listen)?
    .run();
    let detail = format!(
        "hall={} peer={} ops={}",
        settings.hall, settings.peer_listen, settings.ops_listen
    );
    recorder.record(EventCode::ProcessStarted, "", detail);

    signals.wait().await;
    recorder.record(EventCode::StopRequested, "", "");
    // Pending operator requests that wait for a commit get their response before the port closes.
    server.stop(true).await;
    recorder.record(EventCode::ProcessStopped, "", "");
    Ok(())
}

async fn update_gauges(context: ControlContext, registry: Arc<Mutex<Registry>>) {
    let gauges: [(&str, &str, Gauge); 7] = [
        ("term", "Current term of the replica", Gauge::default()),
        ("commit_index", "Last committed log index", Gauge::default()),
        (
            "is_leader",
            "1 while this replica holds a valid lease",
            Gauge::default(),
        ),
        ("table_version", "Version of the table", Gauge::default()),
        ("claims", "Number of stored claims", Gauge::default()),
        (
            "deferred",
            "Number of stored deferred requests",
            Gauge::default(),
        ),
        (
            "hosts_behind",
            "Entry hosts with an older table version than this host",
            Gauge::default(),
        ),
    ];
    if let Ok(mut registry) = registry.lock() {
        for (name, help, gauge) in &gauges {
            registry.register(*name, *help, gauge.clone());
        }
    }
    loop {
        let status = context.replica.status();
        let version = context.feed.version();
        context
            .feed
            .set_entry_host_count(context.host_reports.count_live());
        let hosts = context.host_reports.list_hosts();
        let behind = hosts.iter().filter(|host| host.version < version).count();
        let values = [
            status.term as i64,
            status.commit as i64,
            i64::from(status.lease_lasts),
            version as i64,
            context.machine.claim_count() as i64,
            context.machine.deferred_count() as i64,
            behind as i64,
        ];
        for ((_, _, gauge), value) in gauges.iter().zip(values) {
            gauge.set(value);
        }
        tokio::time::sleep(GAUGE_INTERVAL).await;
    }
}
