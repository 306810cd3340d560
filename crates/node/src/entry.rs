//! The daemon of an entry host.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use linnet_daemon::{StopSignals, accept_peers, exit_code};
use linnet_directory::{DocumentSink, FollowConfig, follow_directory};
use linnet_gateway::{
    Gateway, GatewayConfig, OverloadPolicy, serve_callers, serve_pieces, serve_tunnel,
};
use linnet_telemetry::{
    ACCOUNT_SHARES_PATH, EventCode, EventRecorder, HybridClock, NOTICES_PATH, POOL_QUEUES_PATH,
};
use linnet_wire::{MessageVersion, PeerGreeting};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::http_server::{HttpRequest, HttpResponse, serve_http};
use crate::metrics_page::serve_metrics;
use crate::operator_pages::json_response;
use crate::peers::peer_identity;
use crate::reload::{SettingsSource, reload_settings};
use crate::settings::NodeRole;
use crate::{NodeProtocol, NodeSettings};

/// Interval at which a planned stop checks for requests in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the deadline of a planned stop at which the process ends even with requests in
/// flight.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Time before that end at which requests in flight are aborted, so that their final responses
/// still reach the callers.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(500);

/// Maximum share of the grace of a stop that each of these times takes: requests may run for five sixths
/// of a short one as well.
const MAX_MARGIN_SHARE: f64 = 0.08;

type AnyError = Box<dyn std::error::Error>;

/// Runs an entry host until a planned stop; must run inside an ntex runtime.
pub async fn run_entry_node(
    path: PathBuf,
    overrides: Vec<String>,
    protocol: NodeProtocol,
) -> ExitCode {
    let source = SettingsSource {
        path,
        overrides,
        role: NodeRole::Entry,
    };
    let signals = match StopSignals::new() {
        Ok(signals) => signals,
        Err(error) => return exit_code(Err(error.into())),
    };
    match NodeSettings::load(&source.path, &source.overrides, source.role) {
        Ok(settings) => exit_code(serve(settings, source, protocol, signals).await),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

async fn serve(
    settings: NodeSettings,
    source: SettingsSource,
    protocol: NodeProtocol,
    mut signals: StopSignals,
) -> Result<(), AnyError> {
    let clock = Arc::new(HybridClock::new());
    let recorder = Arc::new(EventRecorder::new(settings.name.clone(), clock.clone()));
    let identity = peer_identity(&settings, clock)?;
    let peers = settings.listen.peers.ok_or("listen.peers: missing")?;
    let callers = settings.listen.callers.ok_or("listen.callers: missing")?;
    let readiness = settings
        .listen
        .readiness
        .ok_or("listen.readiness: missing")?;
    let gateway = Gateway::new(GatewayConfig {
        protocol: protocol.data.clone(),
        read_config: Box::new(protocol.control.read_config),
        identity: identity.clone(),
        recorder: recorder.clone(),
        name: settings.name.clone(),
        hall: settings.hall.clone(),
        hall_regions: settings.halls.clone(),
        peer_address: peers,
        retry_ratio: settings.retry.ratio,
        retry_slack: settings.retry.slack,
        retry_window: Duration::from_millis(settings.retry.window_ms),
        heartbeat_interval: Duration::from_millis(settings.times.heartbeat_ms),
        max_startup_wait: Duration::from_millis(settings.policy.start_patience_ms),
        shared_bytes_per_s: settings.policy.shared_bytes_per_s,
        processor_capacity: settings.processor.capacity(),
        target_address_map: settings.targets.address_map.clone(),
        overload: OverloadPolicy {
            measured_waits: settings.overload.measured_waits,
            planned_returns: settings.overload.planned_returns,
            fair_shares: settings.overload.fair_shares,
            ordered_succession: settings.overload.ordered_succession,
            queue_returns: settings.overload.queue_returns,
            confirm_slow_targets: settings.overload.confirm_slow_targets,
            min_accounts: settings.overload.min_accounts,
        },
    });
    let (seeds, seeds_read) = watch::channel(settings.seed_peers());
    ntex::rt::spawn(reload_settings(source, seeds, recorder.clone()));

    let peer_gateway = gateway.clone();
    let serve_connection = move |greeting, reader, writer| {
        let gateway = peer_gateway.clone();
        async move {
            match greeting {
                PeerGreeting::Pieces => serve_pieces(&gateway, reader, writer).await,
                PeerGreeting::Tunnel => serve_tunnel(&gateway, reader, writer).await,
                _ => Ok(()),
            }
        }
    };
    let listener = TcpListener::bind(settings.listen.peer_bind_address(peers)).await?;
    ntex::rt::spawn(accept_peers(
        listener,
        identity.clone(),
        recorder.clone(),
        serve_connection,
    ));
    let (on_update, on_lost) = (gateway.clone(), gateway.clone());
    let (reader, writer) = (gateway.clone(), gateway.clone());
    ntex::rt::spawn(follow_directory(FollowConfig {
        identity,
        recorder: recorder.clone(),
        entry_host: gateway.subscribe_record(),
        documents: Some(DocumentSink {
            current: Box::new(move || reader.current_document()),
            store: Box::new(move |document| writer.apply_document(document)),
        }),
        suspects: Some(gateway.suspect_source()),
        parts: Some(gateway.part_source()),
        rate_limits: Some(gateway.rate_source()),
        counts: Some(gateway.count_source()),
        is_control: false,
        own_address: peers,
        seeds: seeds_read,
        on_update: Box::new(move |from, update| on_update.apply_update(from, update)),
        on_lost: Box::new(move |from| on_lost.mark_control_lost(from)),
        propagation: None,
    }));

    if let Some(metrics) = settings.listen.metrics {
        let listener = TcpListener::bind(metrics).await?;
        let (registry, notices) = (gateway.metrics.registry.clone(), gateway.clone());
        let extra_pages = move |path: &str| match path {
            NOTICES_PATH => Some(json_response(&notices.notice_lines())),
            ACCOUNT_SHARES_PATH => Some(json_response(&notices.account_share_lines())),
            POOL_QUEUES_PATH => Some(json_response(&notices.pool_queue_lines())),
            _ => None,
        };
        ntex::rt::spawn(serve_metrics(listener, registry, Box::new(extra_pages)));
    }
    let listener = TcpListener::bind(readiness).await?;
    let (checked, path) = (gateway.clone(), protocol.readiness_path);
    ntex::rt::spawn(serve_http(listener, 0, move |request: HttpRequest| {
        let response = readiness_response(&checked, path, &request);
        async move { response }
    }));
    let (closing, closed) = watch::channel(false);
    let listener = TcpListener::bind(callers).await?;
    ntex::rt::spawn(serve_callers(gateway.clone(), listener, closed));
    let detail = format!(
        "role=entry hall={} callers={callers} peers={peers} build={} form={}",
        settings.hall,
        env!("CARGO_PKG_VERSION"),
        MessageVersion::NEWEST
    );
    recorder.record(EventCode::ProcessStarted, "", detail);

    signals.wait().await;
    recorder.record(
        EventCode::StopRequested,
        "",
        format!("open={}", gateway.open_requests()),
    );
    stop(&gateway, &settings, &recorder, &closing).await;
    Ok(())
}

fn readiness_response(gateway: &Gateway, path: &str, request: &HttpRequest) -> HttpResponse {
    if request.path != path {
        return HttpResponse::text(StatusCode::NOT_FOUND, "nothing at this path\n");
    }
    match gateway.not_ready() {
        None => HttpResponse::text(StatusCode::OK, "ready\n"),
        Some(reason) => HttpResponse::text(
            StatusCode::SERVICE_UNAVAILABLE,
            format!("not ready: {reason}\n"),
        ),
    }
}

/// Performs a planned stop. The host first reports not ready, so that the load balancer sends
/// callers elsewhere. After `leave_ms` it closes connections between requests. It returns when no
/// request is in flight, also not of another entry host through this one, or the deadline is
/// reached.
async fn stop(
    gateway: &Rc<Gateway>,
    settings: &NodeSettings,
    recorder: &EventRecorder,
    closing: &watch::Sender<bool>,
) {
    let started = Instant::now();
    let leave_delay = Duration::from_millis(settings.times.leave_ms);
    let grace = Duration::from_millis(settings.times.stop_ms);
    let max_duration = grace - STOP_MARGIN.min(grace.mul_f64(MAX_MARGIN_SHARE));
    let final_time = FINAL_RESPONSE_TIME.min(grace.mul_f64(MAX_MARGIN_SHARE));
    gateway.begin_stop(started + max_duration - final_time);
    sleep(leave_delay).await;
    closing.send_replace(true);
    // Requests on connections accepted just before may still arrive.
    sleep(STOP_POLL_INTERVAL * 4).await;
    let is_busy = || gateway.open_requests() > 0 || gateway.served_tunnels() > 0;
    while is_busy() && started.elapsed() < max_duration {
        sleep(STOP_POLL_INTERVAL).await;
    }
    // Allows the last responses to be written.
    sleep(STOP_POLL_INTERVAL * 2).await;
    let open = gateway.open_requests();
    let code = if open == 0 {
        EventCode::ProcessStopped
    } else {
        EventCode::StopTimedOut
    };
    recorder.record(code, "", format!("open={open}"));
}
