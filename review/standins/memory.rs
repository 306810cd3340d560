//! Case: replicas are slow to read, and entry hosts go over their memory.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{send, Sent};
use crate::record::Record;
use crate::replicas::{Kind, Replica, World};
use crate::system::{System, HALLS};

/// The memory of an entry host (`memory_mb` of the sheet); the platform kills a process above it.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;

/// Pause before the platform starts a killed process again.
const RESTART_PAUSE: Duration = Duration::from_millis(1_000);

/// Requests a second at each entry host: those of the site, on three hosts in place of nine.
const REQUESTS_PER_S: f64 = 22.0;

/// Size of a request's body: within `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_000_000;

/// When the replicas are slow to read, and how long the run takes.
const SLOW_FROM: Duration = Duration::from_secs(6);
const SLOW_UNTIL: Duration = Duration::from_secs(12);
const LENGTH: Duration = Duration::from_secs(20);

/// Ends by which the rule is broken, and machines on which they come.
const ENDS: usize = 3;
const MACHINES: usize = 2;

const KEY: &str = "9dnn2ctnfzs989anu6ws";

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"stock-check\",\"host\":\"jepu9.example\",\
         \"path_prefix\":\"/cufi501/\",\"route_kind\":\"non_idempotent\",\"timeout_ms\":10000,\
         \"target_latency_ms\":300,\"priority\":2,\"service\":\"yard-desk\",\"max_attempts\":1,\
         \"phases\":[],\"public\":false,\"sticky\":false,\"resumable\":false}}],\"services\":[\
         {{\"name\":\"yard-desk\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> Result<bool, String> {
    let fail = |what: &'static str| move |error: std::io::Error| format!("{what}: {error}");
    let world = World::new(record.clone(), 74);
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
    for number in 0..3u8 {
        let hall = HALLS[usize::from(number)];
        let ip = system.ip(100 + number);
        let replica = Replica::start(&world, Kind::Plain, "yard-desk", hall, ip, (6, 24), None);
        replica
            .map_err(fail("replica"))?
            .keep_registered(controls.clone());
    }
    if !system.wait_ready(Duration::from_secs(15)) {
        return Err("the entry hosts are not ready".to_owned());
    }
    sleep(Duration::from_secs(3));
    let entries: Vec<_> = system.entries.iter().map(|host| host.frontend()).collect();
    let done = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = entries
        .into_iter()
        .map(|entry| {
            let (world, done) = (world.clone(), done.clone());
            thread::spawn(move || send_requests(&world, entry, &done))
        })
        .collect();
    let started = Instant::now();
    let mut ends: Vec<String> = Vec::new();
    let mut peaks = vec![0u64; system.entries.len()];
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    let mut slow = false;
    while started.elapsed() < LENGTH {
        let is_slow = trouble && (SLOW_FROM..SLOW_UNTIL).contains(&started.elapsed());
        if is_slow != slow {
            slow = is_slow;
            world.slow_read.store(slow, Ordering::Relaxed);
            record.line(if slow {
                "replicas: slow to read"
            } else {
                "replicas: read at once again"
            });
        }
        for (number, host) in system.entries.iter_mut().enumerate() {
            let bytes = host.memory_bytes().unwrap_or(0);
            peaks[number] = peaks[number].max(bytes);
            if bytes > MEMORY_BYTES {
                record.line(&format!(
                    "BROKEN {} has {bytes} bytes, over {MEMORY_BYTES}: killed",
                    host.name
                ));
                ends.push(host.name.clone());
                host.kill();
                restarts.push((number, Instant::now() + RESTART_PAUSE));
            }
        }
        let due: Vec<usize> = restarts
            .iter()
            .filter(|one| one.1 <= Instant::now())
            .map(|one| one.0)
            .collect();
        restarts.retain(|one| one.1 > Instant::now());
        for number in due {
            let host = &mut system.entries[number];
            record.line(&format!("platform: {} starts again", host.name));
            host.start(root).map_err(fail("start again"))?;
        }
        sleep(Duration::from_millis(20));
    }
    done.store(true, Ordering::Relaxed);
    let mut totals = (0, 0);
    for client in clients {
        let (sent, served) = client.join().unwrap_or((0, 0));
        totals = (totals.0 + sent, totals.1 + served);
    }
    world.stop();
    let mut machines = ends.clone();
    machines.sort();
    machines.dedup();
    let peaks: Vec<String> = peaks
        .iter()
        .map(|peak| format!("{} MB", peak / 1_000_000))
        .collect();
    record.line(&format!(
        "summary: {} requests, {} served; most memory {}; {} ends on {} machines",
        totals.0,
        totals.1,
        peaks.join(", "),
        ends.len(),
        machines.len()
    ));
    if totals.1 * 4 < totals.0 {
        return Err("fewer than a quarter of the requests were served".to_owned());
    }
    Ok(ends.len() >= ENDS && machines.len() >= MACHINES)
}

/// Sends requests to one entry host at a steady rate; returns how many were sent and served.
fn send_requests(
    world: &Arc<World>,
    entry: std::net::SocketAddr,
    done: &AtomicBool,
) -> (usize, usize) {
    let body = Arc::new(vec![b'z'; BODY_BYTES]);
    let started = Instant::now();
    let mut senders = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let (world, body) = (world.clone(), body.clone());
        let number = senders.len();
        senders.push(thread::spawn(move || {
            send_request(&world, entry, number, &body)
        }));
        let next = started + Duration::from_secs_f64((number + 1) as f64 / REQUESTS_PER_S);
        sleep(next.saturating_duration_since(Instant::now()));
    }
    let sent = senders.len();
    let served = senders
        .into_iter()
        .filter_map(|sender| sender.join().ok())
        .filter(|served| *served);
    (sent, served.count())
}

fn send_request(
    world: &Arc<World>,
    entry: std::net::SocketAddr,
    number: usize,
    body: &[u8],
) -> bool {
    let id = world.rng.hex();
    let authorization = format!("Bearer {KEY}");
    let path = format!("/cufi501/{:x}", number % 256);
    let headers = [
        ("Host", "jepu9.example"),
        ("Attempt-Id", id.as_str()),
        ("Deadline-Ms", "10000"),
        ("Authorization", authorization.as_str()),
    ];
    world.record.line(&format!(
        "client sends {id} to {entry}, {} bytes",
        body.len()
    ));
    let sent = Sent {
        entry,
        method: "POST",
        path: &path,
        headers: &headers,
        body,
    };
    match send(&sent, Duration::from_secs(11)) {
        Ok(answer) => {
            world
                .record
                .line(&format!("client gets {} for {id}", answer.status()));
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
