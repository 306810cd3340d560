//! Case: stage replicas send a surplus answer late, in the place of the one due next.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{send, Sent};
use crate::record::Record;
use crate::replicas::{Kind, Replica, World};
use crate::system::{System, HALLS};

/// Number of requests a second; the stage replicas can make 30 calls a second.
const REQUESTS_PER_S: f64 = 26.0;

/// Windows in which replicas are faulty: each lasts 5 s, with 3 s between.
const WINDOWS: u32 = 6;
const WINDOW: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(3);

/// One in this many answers of a faulty replica is followed by a surplus one: 2.9 in 100.
const SURPLUS_EVERY: u32 = 34;

const KEY: &str = "9dnn2ctnfzs989anu6ws";

pub fn config() -> String {
    let engine = "{\"slots\":64,\"kv_capacity_tokens\":614608,\"kv_bytes\":163840,\"link_mbps\":1100000.0,\
        \"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
        \"handle_ttl_s\":5.0,\"models\":[{\"name\":\"m\"}]}";
    let segments =
        "{\"slots\":1,\"queue\":2,\"batch\":8,\"call_timeout_ms\":150.0,\"item_timeout_ms\":16.0,\
        \"headroom_mb\":39.0,\"handle_ttl_s\":4.0,\"link_mbps\":10000}";
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"yard-audit\",\"host\":\"pule25.example\",\
         \"path_prefix\":\"/puxa400/\",\"route_kind\":\"streaming\",\"timeout_ms\":8000,\
         \"target_latency_ms\":1600,\"priority\":0,\"service\":\"linnet-pool\",\"max_attempts\":2,\
         \"phases\":[{{\"service\":\"dispatch\",\"since_rev\":[],\"size_bytes\":8000}}],\"public\":false,\
         \"sticky\":true,\"resumable\":true,\"target_itl_ms\":200}}],\"services\":[\
         {{\"name\":\"linnet-pool\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{engine}}},\
         {{\"name\":\"dispatch\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\
         \"tls\":false,\"segments\":{segments}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let fail = |what: &'static str| move |error: std::io::Error| format!("{what}: {error}");
    let world = World::new(record.clone(), 77);
    let mut system = System::prepare(root, 3, 3, record).map_err(fail("prepare"))?;
    system.start_all().map_err(fail("start"))?;
    let controls: Vec<_> = system
        .controls
        .iter()
        .map(|host| host.control_plane())
        .collect();
    if !system.apply(&config(), Duration::from_secs(15)) {
        return Err("no configuration was acknowledged".to_owned());
    }
    for number in 0..5u8 {
        // Three of five stage replicas are faulty, which is the share of 0.6.
        let surplus = (number < 3).then_some(SURPLUS_EVERY);
        let hall = HALLS[usize::from(number) % 3];
        let replica = Replica::start(
            &world,
            Kind::Stage,
            "dispatch",
            hall,
            system.ip(100 + number),
            (1, 2),
            surplus,
        );
        replica
            .map_err(fail("stage replica"))?
            .keep_registered(controls.clone());
    }
    for number in 0..3u8 {
        let hall = HALLS[usize::from(number)];
        let replica = Replica::start(
            &world,
            Kind::Engine,
            "linnet-pool",
            hall,
            system.ip(120 + number),
            (64, 64),
            None,
        );
        replica
            .map_err(fail("model replica"))?
            .keep_registered(controls.clone());
    }
    if !system.wait_ready(Duration::from_secs(15)) {
        return Err("the entry hosts are not ready".to_owned());
    }
    sleep(Duration::from_secs(3));
    let faults = world.clone();
    let windows = thread::spawn(move || {
        for _ in 0..WINDOWS {
            sleep(PAUSE);
            if trouble {
                faults.record.line("replicas: surplus answers begin");
                faults.garble.store(true, Ordering::Relaxed);
            }
            sleep(WINDOW);
            faults.garble.store(false, Ordering::Relaxed);
            if trouble {
                faults.record.line("replicas: surplus answers end");
            }
        }
    });
    let length = (WINDOW + PAUSE) * WINDOWS;
    let entries: Vec<_> = system.entries.iter().map(|host| host.frontend()).collect();
    let (mut senders, mut number) = (Vec::new(), 0u32);
    let started = Instant::now();
    while started.elapsed() < length {
        let entry = entries[number as usize % entries.len()];
        let world = world.clone();
        senders.push(thread::spawn(move || send_request(&world, entry, number)));
        number += 1;
        let next = started + Duration::from_secs_f64(f64::from(number) / REQUESTS_PER_S);
        sleep(next.saturating_duration_since(Instant::now()));
    }
    let _ = windows.join();
    let served = senders
        .into_iter()
        .filter_map(|sender| sender.join().ok())
        .filter(|served| *served)
        .count();
    world.stop();
    let broken = world.violations.lock().unwrap().len();
    record.line(&format!(
        "summary: {number} requests, {served} served, {} surplus answers, rule broken {broken} times",
        world.surplus_sent.load(Ordering::Relaxed)
    ));
    if served * 2 < number as usize {
        return Err("fewer than half of the requests were served".to_owned());
    }
    Ok(broken > 0)
}

fn send_request(world: &Arc<World>, entry: std::net::SocketAddr, number: u32) -> bool {
    let id = world.rng.hex();
    let last = format!("5c1e07a2:2520,{}:1200", &world.rng.hex()[..8]);
    let key = world.rng.hex();
    let authorization = format!("Bearer {KEY}");
    world.sent.lock().unwrap().insert(id.clone(), 1);
    let path = format!("/puxa400/{:x}", number % 191);
    let headers = [
        ("Host", "pule25.example"),
        ("Attempt-Id", id.as_str()),
        ("Model", "m"),
        ("Token-Usage", "3720,50"),
        ("Prompt-Prefix", last.as_str()),
        ("Deadline-Ms", "8000"),
        ("Authorization", authorization.as_str()),
        ("Chunk-Count", "1"),
        ("Chunk-Key", key.as_str()),
    ];
    world.record.line(&format!("client sends {id} to {entry}"));
    let sent = Sent {
        entry,
        method: "POST",
        path: &path,
        headers: &headers,
        body: b"prompt",
    };
    match send(&sent, Duration::from_secs(9)) {
        Ok(answer) => {
            world.record.line(&format!(
                "client gets {} for {id}, {} bytes",
                answer.status(),
                answer.body.len()
            ));
            answer.status() == 200
        }
        Err(error) => {
            world
                .record
                .line(&format!("client gets no answer for {id}: {error}"));
            false
        }
    }
}
