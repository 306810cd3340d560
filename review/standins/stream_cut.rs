//! Case: a model replica that has said that it leaves ends while it sends a stream without a length.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{send, Sent};
use crate::record::Record;
use crate::replicas::{Kind, Replica, World};
use crate::stage_surplus::config;
use crate::system::{System, HALLS};

/// Number of requests a second; the stage replicas can make 30 calls a second.
const REQUESTS_PER_S: f64 = 26.0;

/// Number of events of a stream, and the pause after each.
const EVENTS: u32 = 60;
const PAUSE_MS: u32 = 130;

/// One of eight model replicas leaves in each round; half of them are faulty.
const ENGINES: usize = 8;
const ROUNDS: u32 = 9;

/// How long faulty replicas send answers without a length; one answer in twenty has none.
const WINDOW: Duration = Duration::from_secs(5);
const UNFRAMED_EVERY: u32 = 20;

/// How long a replica serves on after its notice was acknowledged (`drain_ms` of the sheet and a
/// little longer), and how much later its successor starts.
const NOTICE: Duration = Duration::from_millis(2_200);
const SUCCESSOR_DELAY: Duration = Duration::from_secs(4);

const KEY: &str = "9dnn2ctnfzs989anu6ws";

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let fail = |what: &'static str| move |error: std::io::Error| format!("{what}: {error}");
    let world = World::new(record.clone(), 78);
    world.stream_events.store(EVENTS, Ordering::Relaxed);
    world.stream_pause_ms.store(PAUSE_MS, Ordering::Relaxed);
    let mut system = System::prepare(root, 3, 3, record).map_err(fail("prepare"))?;
    system.start_all().map_err(fail("start"))?;
    let controls: Vec<_> = system
        .controls
        .iter()
        .map(|host| host.control_plane())
        .collect();
    // The timeout of a route with long streams, as `counter-answer` has it.
    let config = config()
        .replace("\"timeout_ms\":8000", "\"timeout_ms\":12000")
        .replace("\"resumable\":true", "\"resumable\":false")
        .replace("\"max_attempts\":2", "\"max_attempts\":1");
    if !system.apply(&config, Duration::from_secs(15)) {
        return Err("no configuration was acknowledged".to_owned());
    }
    for number in 0..5u8 {
        let hall = HALLS[usize::from(number) % 3];
        let ip = system.ip(100 + number);
        let replica = Replica::start(&world, Kind::Stage, "dispatch", hall, ip, (1, 2), None);
        replica
            .map_err(fail("stage replica"))?
            .keep_registered(controls.clone());
    }
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let hall = HALLS[number % 3];
        let spoil = (number % 2 == 0).then_some(UNFRAMED_EVERY);
        let ip = system.ip(120 + number as u8);
        let engine = Replica::start(
            &world,
            Kind::Engine,
            "linnet-pool",
            hall,
            ip,
            (64, 64),
            spoil,
        )
        .map_err(fail("model replica"))?;
        engine.keep_registered(controls.clone());
        engines.push(engine);
    }
    if !system.wait_ready(Duration::from_secs(15)) {
        return Err("the entry hosts are not ready".to_owned());
    }
    sleep(Duration::from_secs(3));
    let ips: Vec<_> = (0..ROUNDS as u8)
        .map(|number| system.ip(140 + number))
        .collect();
    let faults = world.clone();
    let started_successors = Arc::new(Mutex::new(Vec::new()));
    let successors = started_successors.clone();
    let rounds = thread::spawn(move || {
        for (round, ip) in ips.into_iter().enumerate() {
            if !trouble {
                sleep(WINDOW + NOTICE);
                continue;
            }
            faults
                .record
                .line("replicas: answers without a length begin");
            faults.unframed.store(true, Ordering::Relaxed);
            sleep(WINDOW);
            faults.unframed.store(false, Ordering::Relaxed);
            // Faulty replicas leave in turn: those that stand at even places.
            let place = round * 2 % ENGINES;
            let engine = engines[place].clone();
            let acknowledged = engine.withdraw(&controls);
            faults.record.line(&format!(
                "{} says that it leaves, acknowledged: {acknowledged}",
                engine.id
            ));
            sleep(NOTICE);
            faults.record.line(&format!("{} ends", engine.id));
            engine.end();
            let hall = HALLS[place % 3];
            let (faults, controls) = (faults.clone(), controls.clone());
            let spoil = Some(UNFRAMED_EVERY);
            let started = Replica::start(
                &faults,
                Kind::Engine,
                "linnet-pool",
                hall,
                ip,
                (64, 64),
                spoil,
            );
            let Ok(successor) = started else { return };
            engines[place] = successor.clone();
            successors.lock().unwrap().push(thread::spawn(move || {
                sleep(SUCCESSOR_DELAY);
                successor.keep_registered(controls);
            }));
        }
    });
    let length = (WINDOW + NOTICE) * ROUNDS;
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
    let _ = rounds.join();
    let served = senders
        .into_iter()
        .filter_map(|sender| sender.join().ok())
        .filter(|served| *served)
        .count();
    world.stop();
    let broken = world.violations.lock().unwrap().len();
    record.line(&format!(
        "summary: {number} requests, {served} served whole, {} answers without a length, rule broken \
         {broken} times",
        world.unframed_sent.load(Ordering::Relaxed)
    ));
    if served * 2 < number as usize {
        return Err("fewer than half of the requests were served".to_owned());
    }
    Ok(broken > 0)
}

/// Returns the ids of the events of a body.
fn event_ids(body: &str) -> Vec<u32> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}

fn send_request(world: &Arc<World>, entry: std::net::SocketAddr, number: u32) -> bool {
    let id = world.rng.hex();
    let prefix = format!("5c1e07a2:210,{}:140", &world.rng.hex()[..8]);
    let key = world.rng.hex();
    let authorization = format!("Bearer {KEY}");
    world.sent.lock().unwrap().insert(id.clone(), 1);
    let path = format!("/puxa400/{:x}", number % 197);
    let headers = [
        ("Host", "pule25.example"),
        ("Attempt-Id", id.as_str()),
        ("Model", "m"),
        ("Token-Usage", "1110,300"),
        ("Prompt-Prefix", prefix.as_str()),
        ("Deadline-Ms", "12000"),
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
    let answer = match send(&sent, Duration::from_secs(12)) {
        Ok(answer) => answer,
        Err(error) => {
            let text = format!("client gets no whole answer for {id}: {error}");
            world.record.line(&text);
            return false;
        }
    };
    if answer.status() != 200 {
        let text = format!("client gets {} for {id}", answer.status());
        world.record.line(&text);
        return false;
    }
    let ids = event_ids(&answer.text());
    let is_framed =
        answer.header("Transfer-Encoding").is_some() || answer.header("Content-Length").is_some();
    let whole = ids.iter().copied().eq(1..=EVENTS);
    world.record.line(&format!(
        "client gets 200 for {id}, {} events, framed: {is_framed}, seal {}",
        ids.len(),
        answer.header("Response-Seal").unwrap_or("-")
    ));
    if is_framed && !whole {
        world.violate(format!(
            "ORDER the answer to {id} is framed as complete with {} of {EVENTS} events",
            ids.len()
        ));
    }
    whole
}
