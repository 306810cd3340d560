//! A seeded mix of all faults under load, over real processes, with its history checked.
//!
//! Bounded in CI. For a long run: `LINNET_RANDOM_REQUESTS=20000 LINNET_RANDOM_SEED=7 cargo test
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
use support::ledger::{Told, differences, marked_request};
use support::operator::{Operator, add_account};
use support::watch::Watch;

const CALLERS: usize = 6;
const OPERATORS: usize = 2;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// What the callers and operators of a run share.
struct Shared {
    wanted: usize,
    sent: AtomicUsize,
    stop: AtomicBool,
    told: Mutex<Vec<Told>>,
    acknowledged: Mutex<Vec<String>>,
}

/// Sends requests through hosts by turns; one that may run only once is sent again under its key.
fn call(who: usize, seed: u64, hosts: &[std::net::SocketAddr], shared: &Shared) {
    let mut chance = fastrand::Rng::with_seed(seed + who as u64);
    loop {
        let number = shared.sent.fetch_add(1, Ordering::Relaxed);
        if number >= shared.wanted {
            shared.stop.store(true, Ordering::Relaxed);
            return;
        }
        let marker = format!("r{number}");
        let once = chance.u8(..).is_multiple_of(3);
        let mut request = marked_request(&marker).with("x-deadline-ms", "1500");
        if once {
            request = request.once(&marker);
        }
        std::thread::sleep(Duration::from_millis(chance.u64(..80)));
        let sendings = if once { chance.usize(1..4) } else { 1 };
        for _ in 0..sendings {
            let answer = request.send(hosts[chance.usize(..hosts.len())]);
            shared.told.lock().unwrap().push(Told {
                marker: marker.clone(),
                once,
                answer,
            });
        }
    }
}

/// Adds accounts and notes the acknowledged ones.
fn operate(who: usize, hosts: &[std::net::SocketAddr], shared: &Shared) {
    let operator = Operator::with_timeout(Duration::from_secs(1));
    let mut number = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        let name = format!("op{who}-{number}");
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

/// Brings one fault for a while and ends it; returns its name.
fn disturb(cluster: &mut Cluster, chance: &mut fastrand::Rng) -> &'static str {
    let control = chance.usize(..cluster.controls.len());
    let entry = chance.usize(..cluster.entries.len());
    let pause = Duration::from_millis(chance.u64(50..900));
    let name = format!("control-{control}");
    match chance.u8(..) % 8 {
        0 => {
            cluster.controls[control].kill();
            std::thread::sleep(pause);
            cluster.controls[control].start();
            "control killed"
        }
        1 => {
            cluster.controls[control].freeze();
            std::thread::sleep(pause);
            cluster.controls[control].thaw();
            "control frozen"
        }
        2 => {
            cluster.rules.cut(&name, "*");
            if chance.bool() {
                cluster.rules.cut("*", &name);
            }
            std::thread::sleep(pause);
            cluster.rules.heal();
            "control cut"
        }
        3 => {
            cluster.entries[entry].kill();
            std::thread::sleep(pause);
            cluster.entries[entry].start();
            "entry killed"
        }
        4 => {
            cluster.entries[entry].freeze();
            std::thread::sleep(pause);
            cluster.entries[entry].thaw();
            "entry frozen"
        }
        5 => {
            let name = format!("entry-{entry}");
            cluster.rules.cut_both(&name, "*");
            cluster.rules.cut("*", &name);
            std::thread::sleep(pause);
            cluster.rules.heal();
            "entry cut off from control"
        }
        _ => {
            let kinds = FaultKind::value_variants();
            let kind = kinds[chance.usize(..kinds.len())];
            // A stream's faults do nothing at a stage pool, and leaving is for good.
            if kind != FaultKind::Leaving {
                let target = chance.usize(..cluster.world.targets.len());
                let count = chance.u64(1..20);
                cluster.world.targets[target]
                    .fake
                    .inject_fault(FaultInjection { kind, count });
            }
            std::thread::sleep(pause / 4);
            "target fault"
        }
    }
}

#[test]
fn a_seeded_mix_of_faults_leaves_no_difference_between_ledgers_and_callers() {
    let seed = setting("LINNET_RANDOM_SEED", 20_261_202);
    let shared = Shared {
        wanted: setting("LINNET_RANDOM_REQUESTS", 1_200) as usize,
        sent: AtomicUsize::new(0),
        stop: AtomicBool::new(false),
        told: Mutex::default(),
        acknowledged: Mutex::default(),
    };
    let mut cluster = Cluster::start(ClusterPlan {
        halls: 1,
        replicas: 3,
        ..ClusterPlan::default()
    });
    let watch = Watch::start(&cluster.all_control_ops(), &cluster.all_entry_ops());
    let hosts: Vec<_> = (0..3).map(|entry| cluster.callers(entry)).collect();
    let controls = cluster.all_control_ops();
    let mut faults: BTreeMap<&str, usize> = BTreeMap::new();
    std::thread::scope(|scope| {
        for who in 0..CALLERS {
            let (hosts, shared) = (&hosts, &shared);
            scope.spawn(move || call(who, seed, hosts, shared));
        }
        for who in 0..OPERATORS {
            let (controls, shared) = (&controls, &shared);
            scope.spawn(move || operate(who, controls, shared));
        }
        let mut chance = fastrand::Rng::with_seed(seed);
        while !shared.stop.load(Ordering::Relaxed) {
            *faults
                .entry(disturb(&mut cluster, &mut chance))
                .or_default() += 1;
            std::thread::sleep(Duration::from_millis(chance.u64(20..200)));
        }
    });
    cluster.rules.heal();
    cluster.world.end_faults();
    cluster
        .controls
        .iter_mut()
        .filter(|control| !control.is_running())
        .for_each(Daemon::start);
    let acknowledged = shared.acknowledged.into_inner().unwrap();
    cluster.wait_leader();
    cluster.add_accounts("last", 0..1);
    cluster.check_accounts(&acknowledged);
    watch.finish();

    let told = shared.told.into_inner().unwrap();
    let found: Vec<_> = told
        .iter()
        .flat_map(|told| differences(&cluster.world, told))
        .collect();
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for told in &told {
        let outcome = match &told.answer {
            Some(answer) if answer.ran() == "whole" => "whole".to_owned(),
            Some(answer) => format!("{} ran={}", answer.code(), answer.ran()),
            None => "connection lost".to_owned(),
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
    println!(
        "seed {seed}: {} sendings, {} changes acknowledged, {} faults {faults:?}, outcomes {outcomes:#?}, {} differences",
        told.len(),
        acknowledged.len(),
        faults.values().sum::<usize>(),
        found.len()
    );
    assert!(found.is_empty(), "{found:#?}");
    let whole = outcomes.get("whole").copied().unwrap_or(0);
    assert!(
        whole * 2 > told.len(),
        "most requests are answered whole: {outcomes:#?}"
    );
}
