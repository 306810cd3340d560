//! The daemon of a control host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::StatusCode;
use linnet_daemon::{StopSignals, accept_peers, exit_code};
use linnet_directory::{
    DirectoryError, DirectoryNode, DirectoryTiming, DirectoryUpdate, Document, DocumentMachine,
    DocumentParser, FollowConfig, FormConfig, follow_directory, form_or_join, serve_call,
    serve_subscriber,
};
use linnet_journal::DiskOps;
use linnet_quorum::{QuorumTiming, Replica, ReplicaConfig, serve_peer};
use linnet_rollout::{ExposureLimit, RolloutRecord};
use linnet_telemetry::{EventCode, EventRecorder, HybridClock};
use linnet_wire::{MessageVersion, PeerGreeting};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::held_api::handle_held_request;
use crate::http_server::{HttpRequest, HttpResponse, serve_http};
use crate::metrics_page::serve_metrics;
use crate::peers::peer_identity;
use crate::reload::{SettingsSource, reload_settings};
use crate::rollout_api::handle_rollout_request;
use crate::settings::NodeRole;
use crate::{ControlProtocol, ControlRequest, ControlRequestError, NodeProtocol, NodeSettings};

/// Maximum body of a request to the operators' port.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Interval between heartbeats of the leading control host.
const QUORUM_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time without contact after which a member is removed from the quorum if enough others remain.
const MEMBER_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval at which the gauges are updated.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

type AnyError = Box<dyn std::error::Error>;

/// Runs a control host until a planned stop; must run inside an ntex runtime.
pub async fn run_control_node(
    path: PathBuf,
    overrides: Vec<String>,
    protocol: NodeProtocol,
) -> ExitCode {
    let source = SettingsSource {
        path,
        overrides,
        role: NodeRole::Control,
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
    let operators = settings
        .listen
        .operators
        .ok_or("listen.operators: missing")?;
    let data = settings
        .cluster
        .data
        .clone()
        .ok_or("cluster.data: missing")?;
    let machine = DocumentMachine::new();
    let config = ReplicaConfig {
        identity: identity.clone(),
        recorder: recorder.clone(),
        timing: QuorumTiming::new()
            .with_heartbeat_interval(QUORUM_HEARTBEAT_INTERVAL)
            .with_removal_timeout(MEMBER_SILENCE_TIMEOUT),
        disk: DiskOps::new(),
        on_fatal: Box::new(|error| {
            log::error!(target: "linnetdale", "{error}");
            linnet_daemon::flush_logs();
            std::process::exit(1);
        }),
    };
    let replica = Replica::start(&data, machine.hooks(), config)?;
    let read_config = protocol.control.read_config;
    let parser = DocumentParser {
        version: Arc::new(move |body| read_config(body).map(|config| config.version)),
        services: Arc::new(move |body| {
            let config = read_config(body).ok();
            let services = config.into_iter().flat_map(|config| config.services);
            services.map(|service| service.name).collect()
        }),
    };
    let node = DirectoryNode::new(
        replica,
        machine,
        parser,
        identity.clone(),
        recorder.clone(),
        DirectoryTiming::new(Duration::from_millis(settings.times.heartbeat_ms)),
        (peers, operators),
        settings.hall.clone(),
    );
    node.set_exposure(ExposureLimit {
        share: settings.rollout.exposure_share,
        slack: settings.rollout.exposure_slack,
    });
    let (seeds, seeds_read) = watch::channel(settings.seed_peers());
    ntex::rt::spawn(reload_settings(source, seeds, recorder.clone()));

    let peer_node = node.clone();
    let serve_connection = move |greeting, reader, writer| {
        let node = peer_node.clone();
        async move {
            match greeting {
                PeerGreeting::Quorum => serve_peer(node.replica(), reader, writer).await,
                PeerGreeting::Directory => serve_subscriber(&node, reader, writer).await,
                PeerGreeting::DirectoryCall => serve_call(&node, reader, writer).await,
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
    let form_config = FormConfig {
        first_start: settings.cluster.first_start,
        seeds: seeds_read.clone(),
    };
    ntex::rt::spawn(form_or_join(node.clone(), form_config));
    follow_control_hosts(&node, peers, seeds_read, &recorder);

    let registry = Arc::new(Mutex::new(Registry::with_prefix("linnet_control")));
    ntex::rt::spawn(update_gauges(node.clone(), registry.clone()));
    if let Some(metrics) = settings.listen.metrics {
        let listener = TcpListener::bind(metrics).await?;
        ntex::rt::spawn(serve_metrics(listener, registry, Box::new(|_| None)));
    }
    let listener = TcpListener::bind(operators).await?;
    let shared = (
        Rc::new(protocol.control),
        node.clone(),
        Rc::new(settings.halls.clone()),
    );
    ntex::rt::spawn(serve_http(listener, MAX_BODY_BYTES, move |request| {
        let (protocol, node, halls) = shared.clone();
        async move { handle_request(&protocol, &node, &halls, request).await }
    }));
    let detail = format!(
        "role=control hall={} peers={peers} operators={operators} build={} form={}",
        settings.hall,
        env!("CARGO_PKG_VERSION"),
        MessageVersion::NEWEST
    );
    recorder.record(EventCode::ProcessStarted, "", detail);
    signals.wait().await;
    recorder.record(EventCode::StopRequested, "", "");
    recorder.record(EventCode::ProcessStopped, "", "");
    Ok(())
}

/// Subscribes to the other control hosts, so that each knows every target.
fn follow_control_hosts(
    node: &DirectoryNode,
    own_address: SocketAddr,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    recorder: &Arc<EventRecorder>,
) {
    let (_, no_entry_host) = watch::channel(None);
    let (on_update, on_lost, propagating) = (node.clone(), node.clone(), node.clone());
    let config = FollowConfig {
        // Control hosts exchange these in their updates.
        suspects: None,
        parts: None,
        rate_limits: None,
        counts: None,
        identity: node.identity().clone(),
        recorder: recorder.clone(),
        entry_host: no_entry_host,
        // The quorum replicates the configuration; the directory of another host does not provide
        // it.
        documents: None,
        is_control: true,
        own_address,
        seeds,
        on_update: Box::new(move |from, update: DirectoryUpdate| {
            on_update.merge_control_update(from, update, Instant::now());
        }),
        on_lost: Box::new(move |from| on_lost.mark_control_lost(from)),
        propagation: Some(Box::new(move || {
            let node = propagating.clone();
            Box::pin(async move { node.wait_for_followers().await })
        })),
    };
    ntex::rt::spawn(follow_directory(config));
}

async fn handle_request(
    protocol: &ControlProtocol,
    node: &DirectoryNode,
    halls: &BTreeMap<String, String>,
    request: HttpRequest,
) -> HttpResponse {
    if let Some(response) = handle_held_request(node, &request) {
        return response;
    }
    if let Some(response) = handle_rollout_request(node, &request).await {
        return response;
    }
    let control_request =
        match (protocol.parse_request)(&request.method, &request.path, &request.body) {
            Ok(control_request) => control_request,
            Err(error) => return request_error_response(&error),
        };
    match execute_request(protocol, node, halls, control_request, &request).await {
        Ok(response) => response,
        Err(error) => error_response(&error),
    }
}

async fn execute_request(
    protocol: &ControlProtocol,
    node: &DirectoryNode,
    halls: &BTreeMap<String, String>,
    control_request: ControlRequest,
    request: &HttpRequest,
) -> Result<HttpResponse, DirectoryError> {
    match control_request {
        ControlRequest::PutRouting => node.put_document(request.body.to_vec()).await.map(|_| ())?,
        ControlRequest::ReadRouting => return node.read_document().await.map(config_response),
        ControlRequest::Heartbeat(record) => node.receive_heartbeat(record).await?,
        ControlRequest::Deregister(id, born) => node.deregister_target(&id, born).await?,
        ControlRequest::Evacuate(hall) => order_evacuation(node, halls, &hall, true).await?,
        ControlRequest::EndEvacuation(hall) => order_evacuation(node, halls, &hall, false).await?,
        ControlRequest::StartRollout(order) => node.order_rollout(order).await.map(|_| ())?,
        ControlRequest::ReadRollout(service) => {
            let record = node.read_rollout(&service).await?;
            return Ok(rollout_response(protocol, record));
        }
    }
    Ok(HttpResponse::json(StatusCode::OK, protocol.success_body))
}

fn config_response(document: Option<Document>) -> HttpResponse {
    match document {
        Some(document) => HttpResponse::json(StatusCode::OK, document.body),
        None => HttpResponse::text(
            StatusCode::NOT_FOUND,
            "no configuration was ever accepted\n",
        ),
    }
}

fn rollout_response(protocol: &ControlProtocol, record: Option<RolloutRecord>) -> HttpResponse {
    match record {
        Some(record) => HttpResponse::json(StatusCode::OK, (protocol.write_rollout)(&record)),
        None => HttpResponse::text(StatusCode::NOT_FOUND, "no roll-out was ever ordered\n"),
    }
}

/// Converts an error into the response to an operator or a target.
pub(crate) fn error_response(error: &DirectoryError) -> HttpResponse {
    let status = match error {
        DirectoryError::UnknownHall(_) | DirectoryError::UnknownService(_) => StatusCode::NOT_FOUND,
        DirectoryError::Invalid(_) | DirectoryError::InvalidOrder(_) => StatusCode::BAD_REQUEST,
        DirectoryError::RolloutInProgress(_) => StatusCode::CONFLICT,
        DirectoryError::NoQuorum
        | DirectoryError::NotPropagated
        | DirectoryError::OrderOutdated
        | DirectoryError::OutdatedControlHost => StatusCode::SERVICE_UNAVAILABLE,
    };
    HttpResponse::text(status, format!("{error}\n"))
}

async fn order_evacuation(
    node: &DirectoryNode,
    halls: &BTreeMap<String, String>,
    hall: &str,
    evacuated: bool,
) -> Result<(), DirectoryError> {
    if !halls.is_empty() && !halls.contains_key(hall) {
        return Err(DirectoryError::UnknownHall(hall.to_owned()));
    }
    node.order_evacuation(hall, evacuated).await
}

fn request_error_response(error: &ControlRequestError) -> HttpResponse {
    let status = match error {
        ControlRequestError::NotFound => StatusCode::NOT_FOUND,
        ControlRequestError::BadBody(_) => StatusCode::BAD_REQUEST,
    };
    HttpResponse::text(status, format!("{error}\n"))
}

async fn update_gauges(node: DirectoryNode, registry: Arc<Mutex<Registry>>) {
    let gauges: [(&str, &str, Gauge); 12] = [
        ("term", "Term of the replica", Gauge::default()),
        ("commit_index", "Last committed index", Gauge::default()),
        (
            "is_leader",
            "1 while this host holds a valid leader lease",
            Gauge::default(),
        ),
        (
            "config_version",
            "Version of the routing configuration",
            Gauge::default(),
        ),
        ("targets", "Known targets", Gauge::default()),
        (
            "entry_hosts",
            "Entry hosts connected to this host",
            Gauge::default(),
        ),
        (
            "entry_hosts_behind",
            "Entry hosts with an older configuration than is held here",
            Gauge::default(),
        ),
        ("halls_evacuated", "Evacuated data halls", Gauge::default()),
        (
            "evacuation_revision",
            "Changes of evacuations that this host has applied; rises with each",
            Gauge::default(),
        ),
        (
            "rollouts_open",
            "Services with a roll-out in progress",
            Gauge::default(),
        ),
        (
            "requests_held",
            "Requests that are refused since targets ended under them",
            Gauge::default(),
        ),
        (
            "parts_held",
            "Parts of prompts that are refused since targets crashed under requests with them",
            Gauge::default(),
        ),
    ];
    if let Ok(mut registry) = registry.lock() {
        for (name, help, gauge) in &gauges {
            registry.register(*name, *help, gauge.clone());
        }
    }
    loop {
        let status = node.replica().status();
        let counts = node.counts();
        let values = [
            status.term as i64,
            status.commit as i64,
            i64::from(status.lease_lasts),
            node.current_document()
                .map_or(0, |document| document.version()) as i64,
            counts.targets as i64,
            counts.entry_hosts as i64,
            counts.outdated_entry_hosts as i64,
            node.evacuations().evacuated_halls().count() as i64,
            node.evacuations().total_revision() as i64,
            node.rollouts().in_progress().count() as i64,
            node.held_count() as i64,
            node.held_part_count() as i64,
        ];
        for ((_, _, gauge), value) in gauges.iter().zip(values) {
            gauge.set(value);
        }
        sleep(GAUGE_INTERVAL).await;
    }
}
