//! Runs the entry daemon.

use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use linnet_daemon::{OpsContext, StopSignals, accept_peers, exit_code, ops_routes, watch_key_file};
use linnet_dispatch::{QuotaTable, RetryBudget, TargetDispatcher};
use linnet_feed::{TableFeed, serve_follower};
use linnet_telemetry::{EventCode, EventRecorder, HybridClock};
use linnet_wire::{PeerGreeting, PeerIdentity};
use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;
use ntex::web::{self, App, HttpServer};
use prometheus_client::registry::Registry;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{Instant, sleep};

use crate::adapter::TargetClients;
use crate::caller::{caller_routes, refuse_path};
use crate::context::{EntryContext, RequestFlow, WorkerContext};
use crate::control_link::{ControlLink, run_control_link};
use crate::deferred::take_over_expired_jobs;
use crate::hall::{HallView, receive_heartbeats, send_heartbeats};
use crate::hosts::follow_host_list;
use crate::ops::entry_ops_routes;
use crate::settings::{CheckedEntry, EntrySettings};
use crate::shares::update_shares;
use crate::source::follow_table;
use crate::stats::EntryStats;

/// The maximum number of concurrent connections of callers, for each thread.
const MAX_CALLER_CONNECTIONS: usize = 25_000;

/// How long an idle connection of a caller is kept open.
const CALLER_KEEP_ALIVE_TIMEOUT: Seconds = Seconds(30);

/// The interval at which gauges are updated.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// The interval at which a planned stop checks for requests in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the daemon until a planned stop. Must be called within an ntex runtime.
pub async fn run_entry(settings: EntrySettings) -> ExitCode {
    match settings.check() {
        Ok(checked) => exit_code(serve(checked).await),
        Err(check) => check.report().unwrap_or(ExitCode::FAILURE),
    }
}

async fn serve(checked: CheckedEntry) -> Result<(), Box<dyn std::error::Error>> {
    let mut signals = StopSignals::new()?;
    let settings = checked.settings.clone();
    let clock = Arc::new(HybridClock::new());
    let identity = PeerIdentity {
        name: settings.name.clone(),
        keys: checked.keys.clone(),
        clock: clock.clone(),
    };
    let registry = Arc::new(Mutex::new(Registry::with_prefix("linnet_entry")));
    let (link, call_queues) = ControlLink::new();
    let entry = Arc::new(build_context(&checked, clock, link.clone(), &registry)?);
    watch_key_file(checked.keys, settings.peer_keys.clone());

    let peers: Vec<_> = settings
        .hall_peers
        .iter()
        .copied()
        .filter(|peer| *peer != settings.peer_listen)
        .collect();
    let view = Arc::new(HallView::new(peers.len(), settings.ops_listen));
    let listener = TcpListener::bind(settings.peer_listen).await?;
    let socket = Arc::new(UdpSocket::bind(settings.peer_listen).await?);
    let clients = TargetClients::new().await?;

    start_peer_listener(&entry, listener, &identity);
    let control = settings.control.clone();
    ntex::rt::spawn(send_heartbeats(
        entry.clone(),
        view.clone(),
        identity.clone(),
        socket.clone(),
        peers,
    ));
    ntex::rt::spawn(receive_heartbeats(
        entry.clone(),
        view.clone(),
        identity.clone(),
        socket,
    ));
    ntex::rt::spawn(follow_table(
        entry.clone(),
        view.clone(),
        identity.clone(),
        control.clone(),
    ));
    ntex::rt::spawn(run_control_link(link, call_queues, identity, control));
    let takeover_worker = WorkerContext {
        entry: entry.clone(),
        clients: clients.clone(),
    };
    ntex::rt::spawn(take_over_expired_jobs(takeover_worker, view.clone()));
    ntex::rt::spawn(follow_host_list(entry.clone(), clients, settings.host_list));
    ntex::rt::spawn(update_metrics(entry.clone()));
    ntex::rt::spawn(update_shares(entry.clone(), view.clone()));

    let ops = OpsContext {
        keys: checked.operators,
        recorder: entry.recorder.clone(),
        registry,
    };
    let ops_server = start_ops_server(&settings, ops, &entry, &view)?;
    let caller_server = start_caller_server(&settings, &entry)?;
    let detail = format!(
        "hall={} callers={} peer={} ops={}",
        settings.hall, settings.caller_listen, settings.peer_listen, settings.ops_listen
    );
    entry.recorder.record(EventCode::ProcessStarted, "", detail);

    signals.wait().await;
    drain(&entry, &settings).await;
    caller_server.stop(true).await;
    ops_server.stop(true).await;
    Ok(())
}

fn build_context(
    checked: &CheckedEntry,
    clock: Arc<HybridClock>,
    link: ControlLink,
    registry: &Mutex<Registry>,
) -> Result<EntryContext, std::io::Error> {
    let settings = &checked.settings;
    let incarnation = getrandom::u32()
        .map_err(|_| std::io::Error::other("the system returned no random number"))?;
    Ok(EntryContext {
        name: settings.name.clone(),
        hall: settings.hall.clone(),
        incarnation: incarnation.into(),
        feed: Arc::new(TableFeed::new()),
        dispatcher: Arc::new(TargetDispatcher::new(checked.policy, settings.hall.clone())),
        quotas: Arc::new(QuotaTable::new()),
        retries: Mutex::new(RetryBudget::new()),
        recorder: Arc::new(EventRecorder::new(settings.name.clone(), clock)),
        control: link,
        stats: EntryStats::new(registry),
        claim_timeout: Duration::from_millis(settings.claim_ms),
        deferred_lease: Duration::from_millis(settings.deferred_lease_ms),
        flow: RequestFlow::default(),
        leaving_changed: tokio::sync::Notify::new(),
    })
}

fn start_peer_listener(entry: &Arc<EntryContext>, listener: TcpListener, identity: &PeerIdentity) {
    let feed = entry.feed.clone();
    let serve_one = move |greeting, reader, writer| {
        let feed = feed.clone();
        async move {
            match greeting {
                // Ignores the reports of followers: their state reaches the control hosts through
                // the heartbeats of the hall.
                PeerGreeting::Follow => serve_follower(&feed, reader, writer, |_| {}).await,
                // Other greetings are meant for hosts of other roles.
                _ => Ok(()),
            }
        }
    };
    let recorder = entry.recorder.clone();
    ntex::rt::spawn(accept_peers(
        listener,
        identity.clone(),
        recorder,
        serve_one,
    ));
}

fn start_ops_server(
    settings: &EntrySettings,
    ops: OpsContext,
    entry: &Arc<EntryContext>,
    view: &Arc<HallView>,
) -> std::io::Result<ntex::server::Server> {
    let (entry, view) = (entry.clone(), view.clone());
    let server = HttpServer::new(async move || {
        App::new()
            .state(ops.clone())
            .state(entry.clone())
            .state(view.clone())
            .configure(ops_routes)
            .configure(entry_ops_routes)
    });
    Ok(server
        .workers(1)
        .disable_signals()
        .bind(settings.ops_listen)?
        .run())
}

fn start_caller_server(
    settings: &EntrySettings,
    entry: &Arc<EntryContext>,
) -> std::io::Result<ntex::server::Server> {
    let entry = entry.clone();
    let server = HttpServer::new(async move || {
        let entry = entry.clone();
        App::new()
            .state_factory(async move || {
                let clients = TargetClients::new().await?;
                Ok::<_, std::io::Error>(WorkerContext { entry, clients })
            })
            .configure(caller_routes)
            .default_service(web::route().to(refuse_path))
    });
    let config = HttpServiceConfig::new().set_keepalive(CALLER_KEEP_ALIVE_TIMEOUT);
    let stop_time = Seconds((settings.stop_ms / 1_000).clamp(1, 600) as u16);
    Ok(server
        .workers(settings.workers)
        .maxconn(MAX_CALLER_CONNECTIONS)
        .disable_signals()
        .shutdown_timeout(stop_time)
        .config(SharedCfg::new("callers").add(config))
        .bind(settings.caller_listen)?
        .run())
}

/// Stops without interrupting requests: first the host reports that it is not ready, long enough
/// for the load balancer to notice, then it refuses new requests, then it waits for those in
/// flight.
async fn drain(entry: &Arc<EntryContext>, settings: &EntrySettings) {
    entry.recorder.record(EventCode::StopRequested, "", "");
    entry.flow.begin_draining();
    sleep(Duration::from_millis(settings.drain_ms)).await;
    entry.flow.close();
    let deadline = Instant::now() + Duration::from_millis(settings.stop_ms);
    while entry.flow.in_flight() > 0 && Instant::now() < deadline {
        sleep(STOP_POLL_INTERVAL).await;
    }
    match entry.flow.in_flight() {
        0 => entry.recorder.record(EventCode::ProcessStopped, "", ""),
        left => {
            let detail = format!("in_flight={left}");
            entry.recorder.record(EventCode::StopTimedOut, "", detail);
        }
    }
}

/// Updates gauges and records new table versions.
async fn update_metrics(entry: Arc<EntryContext>) {
    let mut versions = entry.feed.subscribe();
    loop {
        let changed = tokio::time::timeout(METRICS_INTERVAL, versions.changed()).await;
        let version = entry.feed.version();
        if changed.is_ok() {
            let detail = format!("version={version}");
            entry.recorder.record(EventCode::TableInForce, "", detail);
        }
        entry.stats.table_version.set(version as i64);
        entry.stats.in_flight.set(entry.flow.in_flight() as i64);
    }
}
