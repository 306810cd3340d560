//! Measures the slopes of docs/CAPACITY.md: the cost of each role as the system grows.
//!
//! The tests are ignored by default because they check nothing:
//! `cargo test --release --test capacity -- --ignored --nocapture --test-threads=1`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnetdale::fakes::{TargetBehaviour, TargetKind};
use linnetdale::table::{
    AccountRow, KeyDigest, LimitRow, PipelineRow, RowLimits, StageRow, TableChange, TableRow,
};
use support::cluster::{Cluster, ClusterPlan};
use support::http::CallerRequest;
use support::ledger::marked_request;
use support::operator::add_account;

/// Duration of the measurement of an idle system.
const IDLE_DURATION: Duration = Duration::from_secs(6);

/// Resources used by one process since its start.
#[derive(Clone, Copy)]
struct Usage {
    cpu_s: f64,
    sent: f64,
    received: f64,
    messages: f64,
    memory_mb: f64,
}

fn usage(pid: u32, ops: SocketAddr) -> Usage {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let memory = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap();
    let memory: f64 = memory.split_whitespace().next().unwrap().parse().unwrap();
    let metrics = CallerRequest::to_path("GET", "/metrics", b"")
        .send(ops)
        .unwrap()
        .body;
    let counter = |name: &str| -> f64 {
        let line = metrics
            .lines()
            .find_map(|line| line.strip_prefix(&format!("{name}_total ")));
        line.unwrap().parse().unwrap()
    };
    Usage {
        cpu_s: ticks / 100.0,
        sent: counter("linnet_peer_sent_bytes"),
        received: counter("linnet_peer_received_bytes"),
        messages: counter("linnet_peer_messages"),
        memory_mb: memory / 1024.0,
    }
}

fn entry_usage(cluster: &Cluster, number: usize) -> Usage {
    usage(cluster.entries[number].pid(), cluster.entry_ops(number))
}

fn control_usage(cluster: &Cluster, number: usize) -> Usage {
    usage(cluster.controls[number].pid(), cluster.control_ops(number))
}

fn print_rate(what: &str, before: Usage, after: Usage, seconds: f64) {
    println!(
        "{what}: cpu {:.2}% of a core, sent {:.0} B/s, received {:.0} B/s, messages {:.1}/s, memory {:.1} MB",
        (after.cpu_s - before.cpu_s) / seconds * 100.0,
        (after.sent - before.sent) / seconds,
        (after.received - before.received) / seconds,
        (after.messages - before.messages) / seconds,
        after.memory_mb
    );
}

/// Measures an idle system; prints the mean usage of entry hosts by role, and the usage of each control host.
fn measure_idle(cluster: &Cluster, label: &str) {
    std::thread::sleep(Duration::from_secs(2));
    let entries: Vec<_> = (0..cluster.entries.len())
        .map(|n| entry_usage(cluster, n))
        .collect();
    let controls: Vec<_> = (0..cluster.controls.len())
        .map(|n| control_usage(cluster, n))
        .collect();
    let started = Instant::now();
    std::thread::sleep(IDLE_DURATION);
    let seconds = started.elapsed().as_secs_f64();
    let leader = cluster.wait_leader();
    let after: Vec<_> = (0..entries.len())
        .map(|n| entry_usage(cluster, n))
        .collect();
    let linked: Vec<usize> = (0..entries.len())
        .filter(|n| {
            cluster
                .operator
                .entry_status(cluster.entry_ops(*n))
                .unwrap()
                .linked
        })
        .collect();
    for (role, is_linked) in [("relaying entry", true), ("other entry", false)] {
        let own: Vec<usize> = (0..entries.len())
            .filter(|n| linked.contains(n) == is_linked)
            .collect();
        if own.is_empty() {
            continue;
        }
        let mean = |pick: fn(&Usage) -> f64, of: &[Usage]| -> f64 {
            own.iter().map(|n| pick(&of[*n])).sum::<f64>() / own.len() as f64
        };
        let average = |of: &[Usage]| Usage {
            cpu_s: mean(|usage| usage.cpu_s, of),
            sent: mean(|usage| usage.sent, of),
            received: mean(|usage| usage.received, of),
            messages: mean(|usage| usage.messages, of),
            memory_mb: mean(|usage| usage.memory_mb, of),
        };
        print_rate(
            &format!("{label}: {role} (mean of {})", own.len()),
            average(&entries),
            average(&after),
            seconds,
        );
    }
    for (number, before) in controls.iter().enumerate() {
        let role = if number == leader {
            "leader"
        } else {
            "follower"
        };
        print_rate(
            &format!("{label}: {role}"),
            *before,
            control_usage(cluster, number),
            seconds,
        );
    }
}

/// Applies single-row changes and prints the cost per change for an entry host and the leader.
fn measure_changes(cluster: &Cluster, label: &str, count: usize) {
    let leader = cluster.wait_leader();
    let last = cluster.entries.len() - 1;
    let before = (entry_usage(cluster, last), control_usage(cluster, leader));
    let started = Instant::now();
    cluster.add_accounts(&format!("slope-{}", fastrand::u32(..)), 0..count);
    let version = cluster
        .operator
        .control_status(cluster.control_ops(leader))
        .unwrap()
        .table_version;
    for entry in 0..cluster.entries.len() {
        cluster.wait_entry_version(entry, version);
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = (entry_usage(cluster, last), control_usage(cluster, leader));
    for (role, before, after) in [("entry", before.0, after.0), ("leader", before.1, after.1)] {
        println!(
            "{label}: a change costs a {role} {:.2} ms of processor time, {:.0} B sent, {:.0} B received (over {count} in {seconds:.1} s, idle traffic in it)",
            (after.cpu_s - before.cpu_s) * 1_000.0 / count as f64,
            (after.sent - before.sent) / count as f64,
            (after.received - before.received) / count as f64
        );
    }
}

#[test]
#[ignore = "measures for docs/CAPACITY.md"]
fn slope_over_entry_hosts() {
    for (entries, halls) in [(3, 1), (9, 3), (9, 1), (30, 1), (30, 10), (60, 2), (60, 10)] {
        let cluster = Cluster::start(ClusterPlan {
            entries,
            halls,
            replicas: 4,
            ..ClusterPlan::default()
        });
        let label = format!("{entries} entries in {halls} halls");
        measure_idle(&cluster, &label);
        measure_changes(&cluster, &label, 40);
    }
}

#[test]
#[ignore = "measures for docs/CAPACITY.md"]
fn slope_over_voters() {
    for controls in [3, 5, 6] {
        let cluster = Cluster::start(ClusterPlan {
            controls,
            entries: 3,
            halls: 1,
            replicas: 1,
            ..ClusterPlan::default()
        });
        measure_idle(&cluster, &format!("{controls} voters"));
    }
}

#[test]
#[ignore = "measures for docs/CAPACITY.md"]
fn slope_over_targets() {
    for targets in [20, 100, 300, 610] {
        let mut cluster = Cluster::start(ClusterPlan {
            entries: 3,
            halls: 1,
            replicas: 1,
            ..ClusterPlan::default()
        });
        for number in 5..targets {
            let name = format!("more-{number}");
            cluster.testbed.add(
                TargetKind::Engine,
                &name,
                "linnet-pool",
                "hall-0",
                TargetBehaviour::default(),
            );
        }
        cluster.testbed.publish(true);
        measure_idle(&cluster, &format!("{targets} targets"));
    }
}

/// Returns rows of `accounts` accounts with a limit on each of `pipelines` pipelines.
fn large_table(accounts: usize, pipelines: usize) -> Vec<TableRow> {
    let mut rows = Vec::new();
    for pipeline in 0..pipelines {
        let name = format!("pipeline-{pipeline:02}");
        rows.push(TableRow::Pipeline(PipelineRow {
            pipeline: name.clone(),
            deadline_ms: 2_000,
            repeatable: true,
        }));
        for (index, pool) in ["encoders", "retrievers", "rerankers", "linnet-pool"]
            .iter()
            .enumerate()
        {
            rows.push(TableRow::Stage(StageRow {
                pipeline: name.clone(),
                stage: format!("stage-{index}"),
                position: index as u32 + 1,
                pool: (*pool).to_owned(),
                streams: false,
            }));
        }
    }
    for account in 0..accounts {
        let name = format!("account-{account:05}");
        rows.push(TableRow::Account(AccountRow {
            account: name.clone(),
            weight: 1 + account as u32 % 7,
            limits: RowLimits {
                rate: Some(20),
                in_flight: Some(40),
                tokens: Some(9_000),
            },
            key_digests: vec![KeyDigest::of_key(name.as_bytes())],
        }));
        for pipeline in 0..pipelines {
            rows.push(TableRow::Limit(LimitRow {
                account: name.clone(),
                pipeline: format!("pipeline-{pipeline:02}"),
                weight: None,
                limits: RowLimits {
                    rate: Some(5),
                    in_flight: Some(10),
                    tokens: None,
                },
            }));
        }
    }
    rows
}

#[test]
#[ignore = "measures for docs/CAPACITY.md"]
fn slope_over_rows() {
    for (accounts, pipelines) in [(5, 17), (1_000, 17), (4_000, 17), (12_000, 17)] {
        let mut cluster = Cluster::start(ClusterPlan {
            entries: 3,
            halls: 1,
            replicas: 1,
            ..ClusterPlan::default()
        });
        let rows = large_table(accounts, pipelines);
        let count = rows.len();
        let label = format!("{accounts} accounts x {pipelines} pipelines, {count} rows");
        let change = TableChange {
            change_key: "large".to_owned(),
            author: "capacity".to_owned(),
            base_version: 1,
            rebase: false,
            upserts: rows,
            deletes: Vec::new(),
        };
        let started = Instant::now();
        let version = cluster.apply(&change);
        println!(
            "{label}: accepted in {:.2} s",
            started.elapsed().as_secs_f64()
        );
        for entry in 0..3 {
            cluster.wait_entry_version(entry, version);
        }
        println!(
            "{label}: in force on 3 entries {:.2} s after it was sent",
            started.elapsed().as_secs_f64()
        );
        measure_idle(&cluster, &label);
        measure_changes(&cluster, &label, 20);
        cluster.entries[0].kill();
        let started = Instant::now();
        cluster.entries[0].start();
        cluster.wait_entry_version(0, version);
        println!(
            "{label}: from a blank start to in force {:.2} s, {:.0} B received, memory {:.1} MB",
            started.elapsed().as_secs_f64(),
            entry_usage(&cluster, 0).received,
            entry_usage(&cluster, 0).memory_mb
        );
    }
}

#[test]
#[ignore = "measures for docs/CAPACITY.md"]
fn slope_over_requests() {
    let cluster = Cluster::start(ClusterPlan {
        entries: 1,
        halls: 1,
        replicas: 4,
        ..ClusterPlan::default()
    });
    let host = cluster.callers(0);
    let leader = cluster.wait_leader();
    for (label, once) in [
        ("a request of four stages", false),
        ("a claimed request", true),
    ] {
        let before = (entry_usage(&cluster, 0), control_usage(&cluster, leader));
        let started = Instant::now();
        std::thread::scope(|scope| {
            for thread in 0..8 {
                scope.spawn(move || {
                    for number in 0..250 {
                        let marker = format!("{once}-{thread}-{number}");
                        let mut request = marked_request(&marker);
                        if once {
                            request = request.once(&marker);
                        }
                        assert!(request.send(host).unwrap().tokens().is_some());
                    }
                });
            }
        });
        let seconds = started.elapsed().as_secs_f64();
        let after = (entry_usage(&cluster, 0), control_usage(&cluster, leader));
        println!(
            "{label}: {:.3} ms of the entry's processor time, {:.0} B to control and back; leader {:.3} ms, {:.0} B sent; {:.0} requests/s",
            (after.0.cpu_s - before.0.cpu_s) / 2.0,
            (after.0.sent + after.0.received - before.0.sent - before.0.received) / 2_000.0,
            (after.1.cpu_s - before.1.cpu_s) / 2.0,
            (after.1.sent - before.1.sent) / 2_000.0,
            2_000.0 / seconds
        );
    }
}

#[test]
#[ignore = "measures for docs/CAPACITY.md"]
fn memory_of_open_streams() {
    let cluster = Cluster::start(ClusterPlan {
        entries: 1,
        halls: 1,
        replicas: 20,
        ..ClusterPlan::default()
    });
    for target in cluster.testbed.targets.iter() {
        target.fake.set_behaviour(TargetBehaviour {
            service_ms: 1.0,
            token_ms: 200.0,
            slots: 16,
            ..TargetBehaviour::default()
        });
    }
    let host = cluster.callers(0);
    let before = entry_usage(&cluster, 0);
    let input = serde_json::json!({ "marker": "open", "tokens": 15 });
    std::thread::scope(|scope| {
        let input = &input;
        for _ in 0..150 {
            scope.spawn(move || CallerRequest::to_pipeline("yard-desk", input).send(host));
        }
        std::thread::sleep(Duration::from_millis(1_800));
        let open = cluster
            .operator
            .entry_status(cluster.entry_ops(0))
            .unwrap()
            .in_flight;
        let after = entry_usage(&cluster, 0);
        println!(
            "{open} open streams: {:.1} MB more than none, {:.1} KB a stream",
            after.memory_mb - before.memory_mb,
            (after.memory_mb - before.memory_mb) * 1024.0 / open as f64
        );
    });
}

fn quantiles(mut times: Vec<f64>) -> String {
    times.sort_by(f64::total_cmp);
    let at = |q: f64| times[((times.len() - 1) as f64 * q).round() as usize];
    format!(
        "p50 {:.1} ms, p90 {:.1} ms, p99 {:.1} ms, max {:.1} ms ({} samples)",
        at(0.5),
        at(0.9),
        at(0.99),
        at(1.0),
        times.len()
    )
}

#[test]
#[ignore = "measures for docs/MEASURES.md"]
fn commit_times() {
    let cluster = Cluster::start(ClusterPlan {
        entries: 9,
        ..ClusterPlan::default()
    });
    let folder = cluster.folder.path().join("bare");
    let host = cluster.control_ops(cluster.wait_leader());
    let operator = support::operator::Operator::new();
    let mut bare_syncs = Vec::new();
    let mut commits = Vec::new();
    let mut file = std::fs::File::create(&folder).unwrap();
    for number in 0..200 {
        use std::io::Write;
        let started = Instant::now();
        file.write_all(&[7; 200]).unwrap();
        file.sync_data().unwrap();
        bare_syncs.push(started.elapsed().as_secs_f64() * 1_000.0);
        let change = add_account(&format!("one-{number}"), 1);
        let started = Instant::now();
        operator.change(host, &change).unwrap();
        commits.push(started.elapsed().as_secs_f64() * 1_000.0);
    }
    println!("bare write and sync: {}", quantiles(bare_syncs));
    println!(
        "one writer, change to acknowledged (HTTP in it): {}",
        quantiles(commits.clone())
    );
    let single = 1_000.0 * commits.len() as f64 / commits.iter().sum::<f64>();
    let started = Instant::now();
    std::thread::scope(|scope| {
        for writer in 0..64 {
            let operator = &operator;
            scope.spawn(move || {
                for number in 0..25 {
                    operator
                        .change(host, &add_account(&format!("w{writer}-{number}"), 1))
                        .unwrap();
                }
            });
        }
    });
    let many = 1_600.0 / started.elapsed().as_secs_f64();
    println!(
        "commits a second: one writer {single:.0}, 64 writers {many:.0}, ratio {:.1}",
        many / single
    );

    let mut propagation_times = Vec::new();
    for number in 0..60 {
        let started = Instant::now();
        let version = cluster.apply(&add_account(&format!("spread-{number}"), 1));
        for entry in 0..9 {
            while cluster
                .operator
                .entry_status(cluster.entry_ops(entry))
                .unwrap()
                .table_version
                < version
            {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
        propagation_times.push(started.elapsed().as_secs_f64() * 1_000.0);
    }
    println!(
        "change sent to in force on 9 entries: {}",
        quantiles(propagation_times)
    );
}

#[test]
#[ignore = "measures for docs/MEASURES.md"]
fn failover_times() {
    let mut cluster = Cluster::start(ClusterPlan {
        entries: 0,
        replicas: 1,
        ..ClusterPlan::default()
    });
    let mut times = Vec::new();
    for number in 0..50 {
        let leader = cluster.wait_leader();
        let others: Vec<_> = (0..3).filter(|other| *other != leader).collect();
        let change = add_account(&format!("failover-{number}"), 1);
        let operator = support::operator::Operator::with_timeout(Duration::from_millis(300));
        let started = Instant::now();
        cluster.controls[leader].kill();
        'taken: loop {
            for other in &others {
                if let Some(linnetdale::control::ChangeResponse::Accepted { .. }) =
                    operator.change(cluster.control_ops(*other), &change)
                {
                    break 'taken;
                }
            }
            std::thread::sleep(Duration::from_millis(3));
        }
        times.push(started.elapsed().as_secs_f64() * 1_000.0);
        cluster.controls[leader].start();
        // The cluster must be complete before the next kill.
        support::wait_until("the voter is back", || {
            let own = cluster.operator.control_status(cluster.control_ops(leader));
            let version = cluster
                .operator
                .control_status(cluster.control_ops(others[0]))
                .unwrap()
                .table_version;
            own.is_some_and(|own| own.table_version >= version)
        });
    }
    println!("leader killed to next commit: {}", quantiles(times));
}

/// Sends requests at a rate to entry hosts in turn; returns the accepted requests per second.
fn accepted_rate(cluster: &Cluster, hosts: &[usize], rate: f64, seconds: f64) -> f64 {
    let accepted = std::sync::atomic::AtomicUsize::new(0);
    let count = (rate * seconds) as usize;
    let started = Instant::now();
    std::thread::scope(|scope| {
        for number in 0..count {
            let due = started + Duration::from_secs_f64(number as f64 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let host = cluster.callers(hosts[number % hosts.len()]);
            let accepted = &accepted;
            scope.spawn(move || {
                let request = CallerRequest::to_path("POST", "/v1/services/orders/x", b"")
                    .with("authorization", "Bearer limited-key");
                if request
                    .send(host)
                    .is_some_and(|response| response.status == 200)
                {
                    accepted.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                }
            });
        }
    });
    accepted.into_inner() as f64 / seconds
}

#[test]
#[ignore = "measures for docs/CAPACITY.md"]
fn limits_over_entries() {
    const LIMIT: u32 = 90;
    for (entries, halls) in [(9, 3), (9, 1), (60, 10)] {
        let cluster = Cluster::start(ClusterPlan {
            entries,
            halls,
            ..ClusterPlan::default()
        });
        let mut change = add_account("limited", 1);
        if let TableRow::Account(row) = &mut change.upserts[0] {
            row.limits.rate = Some(LIMIT);
        }
        let version = cluster.apply(&change);
        for entry in 0..entries {
            cluster.wait_entry_version(entry, version);
        }
        std::thread::sleep(Duration::from_secs(3));
        let all: Vec<usize> = (0..entries).collect();
        let own_hall: Vec<usize> = all
            .iter()
            .copied()
            .filter(|entry| entry % halls == 0)
            .collect();
        for (label, hosts) in [
            ("all hosts", &all),
            ("the hosts of one hall", &own_hall),
            ("one host", &vec![0]),
        ] {
            accepted_rate(&cluster, hosts, 180.0, 3.0);
            let rate = accepted_rate(&cluster, hosts, 180.0, 5.0);
            println!(
                "limit of {LIMIT}/s over {entries} entries in {halls} halls, 180/s to {label}: {rate:.0}/s taken, {:.2} of the limit",
                rate / f64::from(LIMIT)
            );
        }
    }
}
