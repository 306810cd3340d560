//! The CPU use of the roles of coordinator and placer, measured on the thread of the host alone.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use linnet_daemon::accept_peers;
use linnet_directory::{DirectoryUpdate, TargetRecord, TargetState};
use linnet_routing::{EngineSpec, RoutingConfig, Service, StagePool};
use linnet_telemetry::{EventRecorder, HybridClock};
use linnet_wire::PEER_TRAFFIC;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::fleet::{
    CALL_MS, ENGINES, PIECE_MS, PIECES, Role, STAGE, identity, run_peer, run_target,
};
use crate::OverloadPolicy;
use crate::piece::PieceInput;
use crate::protocol::{StageItem, StageResponse};
use crate::{Gateway, GatewayConfig, Protocol, serve_pieces};

/// Numbers of entry hosts that use the measured one.
const FLEET_SIZES: [usize; 3] = [75, 295, 1_000];

/// Total requests a second of all hosts: batches for a pool of 22 targets at nine tenths of its
/// capacity, and the prompts of 500 requests a second, in bursts.
const BATCHES_PER_S: f64 = 380.0;
const PROMPTS_PER_S: f64 = 700.0;

const STAGE_TARGETS: usize = 22;
const ENGINE_TARGETS: usize = 140;

/// Time until the load is steady, and duration of the measurement.
const WARM_UP_TIME: Duration = Duration::from_secs(3);
const MEASURED_TIME: Duration = Duration::from_secs(5);

fn encode_run(items: &[StageItem<'_>]) -> Vec<u8> {
    let line = |item: &StageItem<'_>| {
        let inputs = match &item.work.input {
            PieceInput::Key(key) => key.clone(),
            PieceInput::Results(handles) => handles.join(","),
        };
        let (request, number) = (&item.work.request, item.number);
        let left = item.remaining_ms;
        format!(
            "{{\"id\":\"{request}\",\"phase\":2,\"segment\":{number},\"remaining_ms\":{left},\"inputs\":\"{inputs}\"}}\n"
        )
    };
    let lines: String = items.iter().map(line).collect();
    lines.into_bytes()
}

fn decode_run(body: &[u8]) -> Option<StageResponse> {
    let lines = std::str::from_utf8(body).ok()?.lines();
    Some(lines.map(|line| Ok(line.to_owned())).collect())
}

fn protocol() -> Protocol {
    let mut protocol = crate::gateway::tests::protocol();
    protocol.targets.encode_stage_run = encode_run;
    protocol.targets.decode_stage_run = decode_run;
    protocol.targets.encode_stage_free = |handles| handles.join("\n").into_bytes();
    protocol
}

fn config() -> RoutingConfig {
    let service = |name: &str| Service {
        name: name.to_owned(),
        health_path: "/".to_owned(),
        max_connections: 800,
        cold_per_s: 0.0,
        engine: None,
        stage_pool: None,
    };
    RoutingConfig {
        version: 1,
        services: vec![
            Service {
                stage_pool: Some(StagePool {
                    slots: 1,
                    queue: 2,
                    batch: 96,
                    call_ms: CALL_MS,
                    piece_ms: PIECE_MS,
                    result_memory_bytes: 1_700_000,
                    result_ttl_ms: 4_000,
                    cold_per_s: 0.0,
                }),
                ..service(STAGE)
            },
            Service {
                engine: Some(EngineSpec {
                    slots: 64,
                    memory_tokens: 480_000,
                }),
                ..service(ENGINES)
            },
        ],
        ..RoutingConfig::default()
    }
}

fn gateway() -> Rc<Gateway> {
    let clock = Arc::new(HybridClock::new());
    Gateway::new(GatewayConfig {
        protocol: protocol(),
        read_config: Box::new(|_| Ok(config())),
        identity: identity("measured"),
        recorder: Arc::new(EventRecorder::new("measured", clock)),
        name: "measured".to_owned(),
        hall: "hall-0".to_owned(),
        hall_regions: Default::default(),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        retry_window: Duration::from_secs(10),
        heartbeat_interval: Duration::from_secs(1),
        max_startup_wait: Duration::ZERO,
        shared_bytes_per_s: f64::MAX,
        processor_capacity: 0,
        target_address_map: Default::default(),
        overload: OverloadPolicy::default(),
    })
}

fn records(targets: &[SocketAddr]) -> Vec<TargetRecord> {
    let record = |service: &str, number: usize, address| TargetRecord {
        version: String::new(),
        id: format!("{service}-{number}"),
        born: 0,
        service: service.to_owned(),
        address,
        hall: format!("hall-{}", number % 3),
        slots: 64,
        state: TargetState::Ready,
        sequence: 1,
        silent: false,
        cold_ms: 0,
    };
    let stages = targets.iter().enumerate();
    let stages = stages.map(|(number, address)| record(STAGE, number, *address));
    let engines = (0..ENGINE_TARGETS).map(|number| {
        let address = SocketAddr::from(([127, 0, 3, 1], 1_000 + number as u16));
        record(ENGINES, number, address)
    });
    stages.chain(engines).collect()
}

/// Returns the CPU time of this thread in nanoseconds, and the number of its time slices.
fn thread_cpu_time() -> (u64, u64) {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let mut numbers = text.split_whitespace().filter_map(|word| word.parse().ok());
    let ran = numbers.next().unwrap_or(0);
    (ran, numbers.nth(1).unwrap_or(0))
}

/// Starts the other hosts and the targets on a thread of their own; returns the targets.
fn start_fleet(hosts: usize, address: SocketAddr, role: Role, per_s: f64) -> Vec<SocketAddr> {
    let (sender, targets) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async move {
            let mut addresses = Vec::new();
            for _ in 0..STAGE_TARGETS {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                addresses.push(listener.local_addr().unwrap());
                tokio::spawn(run_target(listener));
            }
            sender.send(addresses).unwrap();
            for number in 0..hosts {
                tokio::spawn(run_peer(number, address, role, per_s / hosts as f64));
            }
            sleep(WARM_UP_TIME + MEASURED_TIME + Duration::from_secs(1)).await;
        });
    });
    targets.recv().unwrap()
}

async fn measure(hosts: usize, role: Role, per_s: f64) {
    let gateway = gateway();
    let document = linnet_directory::Document {
        version: 1,
        body: Vec::new(),
    };
    gateway.apply_document(linnet_directory::StoredDocument::new(document));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = gateway.clone();
    ntex::rt::spawn(accept_peers(
        listener,
        gateway.config.identity.clone(),
        gateway.config.recorder.clone(),
        move |_, reader, writer| {
            let gateway = serving.clone();
            async move { serve_pieces(&gateway, reader, writer).await }
        },
    ));
    let targets = start_fleet(hosts, address, role, per_s);
    let update = DirectoryUpdate {
        targets: records(&targets),
        ..DirectoryUpdate::default()
    };
    gateway.apply_update(SocketAddr::from(([127, 0, 0, 2], 1)), update);
    sleep(WARM_UP_TIME).await;
    let (before, slices) = thread_cpu_time();
    let (messages, bytes) = (PEER_TRAFFIC.messages(), PEER_TRAFFIC.sent());
    let started = std::time::Instant::now();
    sleep(MEASURED_TIME).await;
    let took = started.elapsed().as_secs_f64();
    let (after, slices_after) = thread_cpu_time();
    let cores = (after - before) as f64 / 1e9 / took;
    let units = match role {
        Role::Coordinator => per_s * f64::from(PIECES),
        _ => per_s,
    };
    println!(
        "{hosts}, {role:?}, {cores:.3}, {:.1}, {:.0}, {:.0}, {:.0}",
        cores * 1e6 / units,
        (slices_after - slices) as f64 / took,
        // Both ends of each message are in this process.
        (PEER_TRAFFIC.messages() - messages) as f64 / took,
        (PEER_TRAFFIC.sent() - bytes) as f64 / took / 1e3,
    );
}

/// Prints the cost of each role: `cargo test --release -p linnet-gateway -- --ignored --nocapture
/// measure_role_cost`.
#[test]
#[ignore = "measures"]
fn measure_role_cost() {
    println!("hosts, role, cores, us a piece or prompt, slices/s, messages/s, KB/s sent");
    for hosts in FLEET_SIZES {
        for (role, per_s) in [
            (Role::Idle, 1.0),
            (Role::Coordinator, BATCHES_PER_S),
            (Role::Placer, PROMPTS_PER_S),
        ] {
            let system = ntex::rt::System::new("measured", ntex::rt::DefaultRuntime);
            system.block_on(measure(hosts, role, per_s));
        }
    }
}
