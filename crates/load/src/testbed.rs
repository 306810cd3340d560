//! Runs real entry hosts on threads of this process, with fake targets and a feed that serves the
//! table.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_entry::EntrySettings;
use linnet_fakes::{
    FakeHostList, FakeTarget, FaultInjection, HostEntry, HostListBody, TargetBehaviour, TargetKind,
};
use linnet_feed::{TableFeed, serve_follower};
use linnet_table::{KeyDigest, TableChange, parse_csv};
use linnet_telemetry::HybridClock;
use linnet_wire::{PeerGreeting, PeerIdentity, PeerKeyRing, accept_peer};
use tokio::runtime::Handle;

use crate::arrival::{ACCOUNT_WEIGHTS, DEFAULT_DEADLINE_MS, REPORT_DEADLINE_MS};
use crate::scenario::LOST_TARGET_FAULT;
use crate::{Scenario, ScenarioAction};

/// The number of data halls, each with one entry host.
pub(crate) const HALL_COUNT: usize = 3;

/// How long to wait until all entry hosts are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The port that a run binds to reserve its loopback address.
const RESERVATION_PORT: u16 = 6998;

/// The number and behaviour of the targets of one stage.
struct StagePlan {
    kind: TargetKind,
    stage: &'static str,
    pool: &'static str,
    replicas: usize,
    behaviour: TargetBehaviour,
}

fn stage_plans() -> [StagePlan; 4] {
    let behaviour = |service_ms, slots, batch_cost| TargetBehaviour {
        service_ms,
        token_ms: 4.0,
        slots,
        batch_cost,
        spread: 0.5,
    };
    [
        StagePlan {
            kind: TargetKind::Stage,
            stage: "encode",
            pool: "encoders",
            replicas: 6,
            behaviour: behaviour(10.0, 4, 0.0),
        },
        StagePlan {
            kind: TargetKind::Stage,
            stage: "retrieve",
            pool: "retrievers",
            replicas: 6,
            behaviour: behaviour(20.0, 4, 0.0),
        },
        StagePlan {
            kind: TargetKind::Stage,
            stage: "rerank",
            pool: "rerankers",
            replicas: 6,
            behaviour: behaviour(25.0, 3, 0.0),
        },
        StagePlan {
            kind: TargetKind::Engine,
            stage: "generate",
            pool: "linnet-pool",
            replicas: 20,
            behaviour: behaviour(60.0, 2, 0.05),
        },
    ]
}

/// Requests per second, in the mix of the `calm` scenario, that generation, the bottleneck, can
/// serve: 20 replicas with 2 slots, about 140 ms per request, 85 of 100 requests generate.
pub(crate) const CAPACITY_PER_S: f64 = 340.0;

/// The system under test of one run.
pub(crate) struct LoadTestbed {
    /// The addresses on which the entry hosts serve callers.
    pub(crate) caller_addresses: Vec<SocketAddr>,
    targets: Vec<(HostEntry, &'static str, FakeTarget)>,
}

impl LoadTestbed {
    /// Starts targets, a feed and entry hosts that use a dispatch policy.
    pub(crate) fn start(policy: &str, runtime: &Handle) -> io::Result<Self> {
        let (ip, _reservation) = reserve_address()?;
        let list = FakeHostList::default();
        let mut targets = Vec::new();
        for plan in stage_plans() {
            for number in 0..plan.replicas {
                let name = format!("{}-{number}", plan.stage);
                let fake = FakeTarget::new(plan.kind, &name, plan.behaviour);
                let address = runtime.block_on(fake.clone().spawn(SocketAddr::new(ip, 0)))?;
                let entry = HostEntry {
                    name,
                    pool: plan.pool.to_owned(),
                    address: address.to_string(),
                    hall: format!("hall-{}", number % HALL_COUNT),
                    state: "live".to_owned(),
                };
                targets.push((entry, plan.stage, fake));
            }
        }
        list.set(HostListBody {
            complete: true,
            hosts: targets.iter().map(|(entry, ..)| entry.clone()).collect(),
        });
        let host_list = runtime.block_on(list.spawn(SocketAddr::new(ip, 0)))?;
        let keys = write_peer_keys(ip)?;
        let control = runtime.block_on(serve_table(ip, &keys))?;
        let caller_addresses: Vec<_> = (0..HALL_COUNT)
            .map(|number| start_entry_host(ip, number, policy, host_list, control, &keys))
            .collect();
        wait_until_ready(&caller_addresses)?;
        Ok(Self {
            caller_addresses,
            targets,
        })
    }

    /// Applies the change to targets that the scenario defines.
    pub(crate) fn apply_action(&self, scenario: &Scenario) {
        let stages = stage_plans();
        match scenario.action {
            None => {}
            Some(ScenarioAction::SlowStage { stage, factor }) => {
                for (_, _, fake) in self
                    .targets
                    .iter()
                    .filter(|(_, target_stage, _)| *target_stage == stage)
                {
                    if let Some(plan) = stages.iter().find(|plan| plan.stage == stage) {
                        fake.set_behaviour(TargetBehaviour {
                            service_ms: plan.behaviour.service_ms * factor,
                            ..plan.behaviour
                        });
                    }
                }
            }
            Some(ScenarioAction::FreezeTargets { stage, share }) => {
                let of_stage: Vec<_> = self
                    .targets
                    .iter()
                    .filter(|(_, target_stage, _)| *target_stage == stage)
                    .collect();
                let count = (of_stage.len() as f64 * share).round() as usize;
                of_stage
                    .iter()
                    .take(count)
                    .for_each(|(_, _, fake)| freeze(fake));
            }
            Some(ScenarioAction::FreezeHall(hall)) => {
                let hall = format!("hall-{hall}");
                let of_hall = self.targets.iter().filter(|(entry, ..)| entry.hall == hall);
                of_hall.for_each(|(_, _, fake)| freeze(fake));
            }
        }
    }

    /// Returns stage, marker and duration in microseconds of all runs at targets.
    pub(crate) fn run_times(&self) -> Vec<(&'static str, String, u64)> {
        let runs = self.targets.iter().flat_map(|(_, stage, fake)| {
            let ledger = fake.ledger();
            ledger
                .into_iter()
                .map(|run| (*stage, run.marker, run.held_us))
        });
        runs.collect()
    }
}

fn freeze(fake: &FakeTarget) {
    fake.inject_fault(FaultInjection {
        kind: LOST_TARGET_FAULT,
        count: u64::MAX,
    });
}

/// Reserves a loopback address that no other run on this machine uses; the listener keeps it
/// reserved.
pub(crate) fn reserve_address() -> io::Result<(IpAddr, TcpListener)> {
    loop {
        let ip = Ipv4Addr::new(
            127,
            fastrand::u8(20..250),
            fastrand::u8(1..255),
            fastrand::u8(1..255),
        );
        match TcpListener::bind((ip, RESERVATION_PORT)) {
            Ok(listener) => return Ok((IpAddr::V4(ip), listener)),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}

/// Writes the file with the peer key of a run and returns its path.
pub(crate) fn write_peer_keys(ip: IpAddr) -> io::Result<PathBuf> {
    let path = std::env::temp_dir().join(format!("linnet-load-{}-{ip}.keys", std::process::id()));
    std::fs::write(&path, format!("k1 {}\n", "3c".repeat(32)))?;
    Ok(path)
}

/// Serves the table to entry hosts, in place of control hosts; returns the address.
pub(crate) async fn serve_table(ip: IpAddr, keys: &Path) -> io::Result<SocketAddr> {
    let feed = Arc::new(TableFeed::new());
    feed.set_entry_host_count(HALL_COUNT as u32);
    let change = TableChange {
        change_key: "load".to_owned(),
        author: "load".to_owned(),
        base_version: 0,
        rebase: false,
        upserts: parse_csv(&table_csv()).rows,
        deletes: Vec::new(),
    };
    feed.apply_change(&change)
        .map_err(|refusal| io::Error::other(refusal.to_string()))?;
    let identity = PeerIdentity {
        name: "load".to_owned(),
        keys: PeerKeyRing::load(keys).map_err(io::Error::other)?,
        clock: Arc::new(HybridClock::new()),
    };
    let listener = tokio::net::TcpListener::bind(SocketAddr::new(ip, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((socket, from)) = listener.accept().await {
            let (feed, identity) = (feed.clone(), identity.clone());
            tokio::spawn(async move {
                let Ok((mut reader, writer)) = accept_peer(&identity, socket, from).await else {
                    return;
                };
                if let Ok(PeerGreeting::Follow) = reader.receive().await {
                    let _ = serve_follower(&feed, reader, writer, |_| {}).await;
                }
            });
        }
    });
    Ok(address)
}

fn table_csv() -> String {
    let mut text = format!(
        "kind,account,pipeline,stage,position,pool,weight,rate,in_flight,tokens,deadline_ms,repeatable,streams,key_digest
pipeline,,yard-desk,,,,,,,,{DEFAULT_DEADLINE_MS},yes,,
stage,,yard-desk,encode,1,encoders,,,,,,,no,
stage,,yard-desk,retrieve,2,retrievers,,,,,,,no,
stage,,yard-desk,rerank,3,rerankers,,,,,,,no,
stage,,yard-desk,generate,4,linnet-pool,,,,,,,yes,
pipeline,,search,,,,,,,,{DEFAULT_DEADLINE_MS},yes,,
stage,,search,encode,1,encoders,,,,,,,no,
stage,,search,retrieve,2,retrievers,,,,,,,no,
stage,,search,rerank,3,rerankers,,,,,,,no,
pipeline,,report,,,,,,,,{REPORT_DEADLINE_MS},yes,,
stage,,report,retrieve,1,retrievers,,,,,,,no,
stage,,report,generate,2,linnet-pool,,,,,,,yes,
pipeline,,one-stage,,,,,,,,{DEFAULT_DEADLINE_MS},yes,,
stage,,one-stage,encode,1,encoders,,,,,,,no,
"
    );
    for (number, weight) in ACCOUNT_WEIGHTS.iter().enumerate() {
        let digest = KeyDigest::of_key(account_key(number).as_bytes());
        text.push_str(&format!(
            "account,account-{number},,,,,{weight},,,,,,,{digest}\n"
        ));
    }
    text
}

/// Returns the account key that callers of an account present.
pub(crate) fn account_key(number: usize) -> String {
    format!("load-key-{number}")
}

/// Starts an entry host on a thread with its own runtime; returns the address on which it serves
/// callers.
pub(crate) fn start_entry_host(
    ip: IpAddr,
    number: usize,
    policy: &str,
    host_list: SocketAddr,
    control: SocketAddr,
    keys: &Path,
) -> SocketAddr {
    let port = number as u16;
    let caller_address = SocketAddr::new(ip, 8_000 + port);
    let settings = EntrySettings {
        name: format!("entry-{number}"),
        hall: format!("hall-{number}"),
        caller_listen: caller_address,
        peer_listen: SocketAddr::new(ip, 7_300 + port),
        ops_listen: SocketAddr::new(ip, 7_400 + port),
        control: vec![control],
        hall_peers: Vec::new(),
        host_list,
        peer_keys: keys.to_owned(),
        operator_digests: KeyDigest::of_key(b"load").to_string(),
        workers: 1,
        policy: policy.to_owned(),
        drain_ms: 0,
        stop_ms: 1_000,
        claim_ms: 400,
        deferred_lease_ms: 15_000,
    };
    std::thread::spawn(move || {
        let system = ntex::rt::System::new("entry", ntex::rt::DefaultRuntime);
        system.block_on(linnet_entry::run_entry(settings))
    });
    caller_address
}

/// Waits until all entry hosts are ready.
///
/// # Errors
///
/// Returns an error after [`READY_TIMEOUT`].
pub(crate) fn wait_until_ready(caller_addresses: &[SocketAddr]) -> io::Result<()> {
    use std::io::{Read, Write};
    let deadline = Instant::now() + READY_TIMEOUT;
    for host in caller_addresses {
        loop {
            let ready = std::net::TcpStream::connect(host).and_then(|mut socket| {
                socket.write_all(b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")?;
                let mut response = String::new();
                socket.read_to_string(&mut response)?;
                Ok(response.starts_with("HTTP/1.1 200"))
            });
            if ready.unwrap_or(false) {
                break;
            }
            if Instant::now() > deadline {
                let message = format!("entry host {host} was not ready within {READY_TIMEOUT:?}");
                return Err(io::Error::other(message));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    Ok(())
}
