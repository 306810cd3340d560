//! A seeded mix of all faults under load, over real processes, with a check of all responses.
//!
//! Short by default. For a long run: `LINNET_RANDOM_REQUESTS=20000 LINNET_RANDOM_SEED=7 cargo test
//! --release --test random_run -- --nocapture`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use clap::ValueEnum;
use linnetdale::control::ChangeResponse;
use linnetdale::fakes::{FaultInjection, FaultKind};
use support::cluster::{Cluster, ClusterPlan};
use support::daemon::Daemon;
use support::invariant_monitor::InvariantMonitor;
use support::ledger::{RequestRecord, differences, marked_request};
use support::operator::{Operator, add_account};

const CALLERS: usize = 6;
const OPERATORS: usize = 2;

fn env_setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// State that the callers and operators of a run share.
struct Shared {
    max_requests: usize,
    sent: AtomicUsize,
    stop: AtomicBool,
    records: Mutex<Vec<RequestRecord>>,
    acknowledged: Mutex<Vec<String>>,
}

/// Sends requests to random hosts; non-repeatable ones are sent several times with the same key.
fn send_requests(index: usize, seed: u64, hosts: &[std::net::SocketAddr], shared: &Shared) {
    let mut rng = fastrand::Rng::with_seed(seed + index as u64);
    loop {
        let number = shared.sent.fetch_add(1, Ordering::Relaxed);
        if number >= shared.max_requests {
            shared.stop.store(true, Ordering::Relaxed);
            return;
        }
        let marker = format!("r{number}");
        let once = rng.u8(..).is_multiple_of(3);
        let mut request = marked_request(&marker).with("x-deadline-ms", "1500");
        if once {
            request = request.once(&marker);
        }
        std::thread::sleep(Duration::from_millis(rng.u64(..80)));
        let attempts = if once { rng.usize(1..4) } else { 1 };
        for _ in 0..attempts {
            let response = request.send(hosts[rng.usize(..hosts.len())]);
            shared.records.lock().unwrap().push(RequestRecord {
                marker: marker.clone(),
                once,
                response,
            });
        }
    }
}

/// Adds accounts and records the acknowledged ones.
fn add_accounts_until_stop(index: usize, hosts: &[std::net::SocketAddr], shared: &Shared) {
    let operator = Operator::with_timeout(Duration::from_secs(1));
    let mut number = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        let name = format!("op{index}-{number}");
        number += 1;
        let change = add_account(&name, 1);
        for host in hosts {
            match operator.change(*host, &change) {
                Some(ChangeResponse::Accepted { .. }) => {
                    shared.acknowledged.lock().unwrap().push(name);
                    break;
                }
                Some(ChangeResponse::Refused { refusal }) => panic!("{refusal}"),
                _ => {}
            }
        }
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// Injects one random fault for a random time; returns its name.
fn inject_random_fault(cluster: &mut Cluster, rng: &mut fastrand::Rng) -> &'static str {
    let control = rng.usize(..cluster.controls.len());
    let entry = rng.usize(..cluster.entries.len());
    let duration = Duration::from_millis(rng.u64(50..900));
    let name = format!("control-{control}");
    match rng.u8(..) % 8 {
        0 => {
            cluster.controls[control].kill();
            std::thread::sleep(duration);
            cluster.controls[control].start();
            "control killed"
        }
        1 => {
            cluster.controls[control].suspend();
            std::thread::sleep(duration);
            cluster.controls[control].resume();
            "control frozen"
        }
        2 => {
            cluster.rules.cut(&name, "*");
            if rng.bool() {
                cluster.rules.cut("*", &name);
            }
            std::thread::sleep(duration);
            cluster.rules.heal();
            "control cut"
        }
        3 => {
            cluster.entries[entry].kill();
            std::thread::sleep(duration);
            cluster.entries[entry].start();
            "entry killed"
        }
        4 => {
            cluster.entries[entry].suspend();
            std::thread::sleep(duration);
            cluster.entries[entry].resume();
            "entry frozen"
        }
        5 => {
            let name = format!("entry-{entry}");
            cluster.rules.cut_both(&name, "*");
            cluster.rules.cut("*", &name);
            std::thread::sleep(duration);
            cluster.rules.heal();
            "entry cut off from control"
        }
        _ => {
            let kinds = FaultKind::value_variants();
            let kind = kinds[rng.usize(..kinds.len())];
            // Stream faults have no effect on a stage target. `Leaving` is permanent, so it is skipped.
            if kind != FaultKind::Leaving {
                let target = rng.usize(..cluster.testbed.targets.len());
                let count = rng.u64(1..20);
                cluster.testbed.targets[target]
                    .fake
                    .inject_fault(FaultInjection { kind, count });
            }
            std::thread::sleep(duration / 4);
            "target fault"
        }
    }
}

#[test]
fn responses_match_the_ledgers_under_a_seeded_mix_of_faults() {
    let seed = env_setting("LINNET_RANDOM_SEED", 20_261_202);
    let shared = Shared {
        max_requests: env_setting("LINNET_RANDOM_REQUESTS", 1_200) as usize,
        sent: AtomicUsize::new(0),
        stop: AtomicBool::new(false),
        records: Mutex::default(),
        acknowledged: Mutex::default(),
    };
    let mut cluster = Cluster::start(ClusterPlan {
        halls: 1,
        replicas: 3,
        ..ClusterPlan::default()
    });
    let monitor = InvariantMonitor::start(&cluster.all_control_ops(), &cluster.all_entry_ops());
    let hosts: Vec<_> = (0..3).map(|entry| cluster.callers(entry)).collect();
    let controls = cluster.all_control_ops();
    let mut faults: BTreeMap<&str, usize> = BTreeMap::new();
    std::thread::scope(|scope| {
        for index in 0..CALLERS {
            let (hosts, shared) = (&hosts, &shared);
            scope.spawn(move || send_requests(index, seed, hosts, shared));
        }
        for index in 0..OPERATORS {
            let (controls, shared) = (&controls, &shared);
            scope.spawn(move || add_accounts_until_stop(index, controls, shared));
        }
        let mut rng = fastrand::Rng::with_seed(seed);
        while !shared.stop.load(Ordering::Relaxed) {
            *faults
                .entry(inject_random_fault(&mut cluster, &mut rng))
                .or_default() += 1;
            std::thread::sleep(Duration::from_millis(rng.u64(20..200)));
        }
    });
    cluster.rules.heal();
    cluster.testbed.clear_faults();
    cluster
        .controls
        .iter_mut()
        .filter(|control| !control.is_running())
        .for_each(Daemon::start);
    let acknowledged = shared.acknowledged.into_inner().unwrap();
    cluster.wait_leader();
    cluster.add_accounts("last", 0..1);
    cluster.check_accounts(&acknowledged);
    monitor.finish();

    let records = shared.records.into_inner().unwrap();
    let found: Vec<_> = records
        .iter()
        .flat_map(|record| differences(&cluster.testbed, record))
        .collect();
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for record in &records {
        let outcome = match &record.response {
            Some(response) if response.ran() == "complete" => "complete".to_owned(),
            Some(response) => format!("{} ran={}", response.code(), response.ran()),
            None => "connection lost".to_owned(),
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
    println!(
        "seed {seed}: {} requests, {} changes acknowledged, {} faults {faults:?}, outcomes {outcomes:#?}, {} differences",
        records.len(),
        acknowledged.len(),
        faults.values().sum::<usize>(),
        found.len()
    );
    assert!(found.is_empty(), "{found:#?}");
    let complete = outcomes.get("complete").copied().unwrap_or(0);
    assert!(
        complete * 2 > records.len(),
        "fewer than half of the requests have a complete response: {outcomes:#?}"
    );
}
