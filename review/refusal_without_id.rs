//! Not a case: it needs a service that serves a stage and a route, as PROTOCOL.md allows ("Several stages
//! and routes may be served by one service", "Choosing a replica"; its example of a configuration has one),
//! and no small site has such a service.
//!
//! Rules (RULES.md): "TWICE. A request runs more than once although it is not idempotent." and "REFUSED. The
//! replica answers a request that isn't idempotent with 429 or 503 (or 408, 421), yet that request has run or
//! runs later." Disruption, as in case 1: some replicas send "a surplus answer [...] late, in the place of
//! the one due next" (PROTOCOL.md, "Replicas"), three of five, three answers in a hundred, 5 s at a time.
//! Here they repeat refusals of calls, of which the replicas send some two a second together.
//!
//! A call to a stage carries no `Attempt-Id`, so its refusal (503 with `Not-Executed`) has none either. If a
//! surplus copy of it comes in the place of the answer to a caller's request on the same connection, the
//! entry host takes it for the refusal of that request: `send_and_receive` in crates/gateway/src/attempt.rs
//! accepts a refusal without an id. The replica runs the request all the same. A replica never refuses a
//! caller's request without its id ("Every answer from a replica carries back its `Attempt-Id`").
//!
//! To run it, from the root of the project and after the build of the deploy file (`TROUBLE=0` for the same
//! without surplus answers). Exit status: 0 the rules held, 1 one was broken, 2 it could not run.
//!
//!     rustc --edition 2021 -O -o target/review/refusal_without_id review/refusal_without_id.rs
//!     target/review/refusal_without_id

#[path = "standins/client.rs"]
mod client;
#[path = "standins/http.rs"]
#[allow(dead_code)]
mod http;
#[path = "standins/record.rs"]
mod record;
#[path = "standins/rng.rs"]
#[allow(dead_code)]
mod rng;
#[path = "standins/system.rs"]
#[allow(dead_code)]
mod system;

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use client::{send, Sent};
use http::Message;
use record::Record;
use rng::Rng;
use system::{System, HALLS};

const KEY: &str = "9dnn2ctnfzs989anu6ws";

/// Requests a second of each route.
const PIPELINES_PER_S: f64 = 14.0;
const ORDERS_PER_S: f64 = 40.0;

/// Windows in which replicas are faulty: each lasts 5 s, with 3 s between.
const WINDOWS: u32 = 6;
const WINDOW: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(3);

/// At most one in this many answers of a faulty replica is followed by a surplus one: 2.9 in 100.
const SURPLUS_EVERY: u32 = 34;

/// Calls and requests that may be at work and that may wait at a replica of `orders`.
const SLOTS: u32 = 1;
const QUEUE: u32 = 2;

const CALL_TIME: Duration = Duration::from_millis(150);
const PIECE_TIME: Duration = Duration::from_millis(4);
const ORDER_TIME: Duration = Duration::from_millis(60);

const REFUSED: &str = "503 Service Unavailable";

fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match run(trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn config() -> String {
    let limits = r#""limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}"#;
    let engine = r#""engine":{"slots":64,"kv_capacity_tokens":614608,"kv_bytes":163840,
        "link_mbps":1100000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,
        "hold_ms":2000.0,"handle_ttl_s":5.0,"models":[{"name":"m"}]}"#;
    let segments = r#""segments":{"slots":1,"queue":2,"batch":32,"call_timeout_ms":150.0,
        "item_timeout_ms":4.0,"headroom_mb":5.5,"handle_ttl_s":4.0,"link_mbps":10000}"#;
    let audit = r#"{"name":"yard-audit","host":"pule25.example","path_prefix":"/puxa400/",
        "route_kind":"streaming","timeout_ms":8000,"target_latency_ms":1600,"priority":0,
        "service":"linnet-pool","max_attempts":2,"phases":[{"service":"orders","since_rev":[],
        "size_bytes":60000}],"public":false,"sticky":true,"resumable":true,"target_itl_ms":200}"#;
    let place = r#"{"name":"order-place","host":"pule25.example","path_prefix":"/bobo563/",
        "route_kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,
        "service":"orders","max_attempts":2,"public":false,"sticky":false,"resumable":false}"#;
    let common = r#""health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false"#;
    format!(
        r#"{{"version":7,"routes":[{audit},{place}],"services":[{{"name":"linnet-pool",{common},{engine}}},
        {{"name":"orders",{common},{segments}}}],{limits},
        "tenants":[{{"name":"bozi300","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// What the stand-ins of one run share.
struct World {
    record: Record,
    rng: Rng,
    stopped: AtomicBool,
    /// Whether faulty replicas send surplus answers now.
    garble: AtomicBool,
    refused_calls: AtomicU32,
    surplus_sent: AtomicU32,
    surplus_refusals: AtomicU32,
    next_handle: AtomicU64,
    /// How often each order has run.
    runs: Mutex<HashMap<String, u32>>,
    /// Orders that their client was told had not run.
    refused: Mutex<Vec<String>>,
}

/// A replica of `orders`, or a model replica.
struct Replica {
    id: String,
    service: &'static str,
    hall: &'static str,
    address: SocketAddr,
    is_faulty: bool,
    answers: AtomicU32,
    spoiled: AtomicU32,
    /// Calls and requests at work, and those that wait.
    places: Mutex<(u32, u32)>,
    free: Condvar,
    world: Arc<World>,
}

impl Replica {
    fn start(
        world: &Arc<World>,
        service: &'static str,
        number: u8,
        ip: Ipv4Addr,
        is_faulty: bool,
        controls: Vec<SocketAddr>,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind((ip, 0))?;
        let replica = Arc::new(Self {
            id: format!("i-{service}-{number}"),
            service,
            hall: HALLS[usize::from(number) % 3],
            address: listener.local_addr()?,
            is_faulty,
            answers: AtomicU32::new(0),
            spoiled: AtomicU32::new(0),
            places: Mutex::default(),
            free: Condvar::new(),
            world: world.clone(),
        });
        let accepting = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        thread::spawn(move || replica.send_heartbeats(&controls));
        Ok(())
    }

    fn send_heartbeats(&self, controls: &[SocketAddr]) {
        let start = format!("PUT /-/instances/{} HTTP/1.1", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        for sequence in 1.. {
            if self.world.stopped.load(Ordering::Relaxed) {
                return;
            }
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"phase\":\"prefill_decode\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                 \"adapters\":[]}}],\"sequence\":{sequence}}}",
                self.service, self.address, self.hall
            );
            let limit = Duration::from_secs(1);
            let _ = controls.iter().any(|control| {
                http::exchange(*control, &start, &headers, body.as_bytes(), limit)
                    .is_ok_and(|answer| answer.status() / 100 == 2)
            });
            sleep(Duration::from_millis(1_200));
        }
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        // The answer whose surplus copy is still to come on this connection.
        let mut surplus: Option<(Vec<u8>, String)> = None;
        while let Some(mut request) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &mut request, false)?;
            if let Some((copy, what)) = surplus.take() {
                self.world.surplus_sent.fetch_add(1, Ordering::Relaxed);
                let due = request.header("Attempt-Id").unwrap_or(request.path());
                self.world.record.line(&format!(
                    "{} sends a surplus answer ({what}) before that to {due}",
                    self.id
                ));
                writer.write_all(&copy)?;
            }
            let (answer, what) = self.answer(&request);
            writer.write_all(&answer)?;
            if !self.is_faulty || !self.world.garble.load(Ordering::Relaxed) {
                continue;
            }
            // Refusals of calls are spoiled, as far as the share of answers allows it.
            let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            let may_spoil = || {
                let spoiled = self.spoiled.load(Ordering::Relaxed);
                (spoiled + 1) * SURPLUS_EVERY <= answers
                    && self
                        .spoiled
                        .compare_exchange(
                            spoiled,
                            spoiled + 1,
                            Ordering::Relaxed,
                            Ordering::Relaxed,
                        )
                        .is_ok()
            };
            if what == "refusal of a call" && may_spoil() {
                self.world.surplus_refusals.fetch_add(1, Ordering::Relaxed);
                surplus = Some((answer, what.to_owned()));
            }
        }
        Ok(())
    }

    /// Returns the answer to a request, and what it is for the record.
    fn answer(&self, request: &Message) -> (Vec<u8>, &'static str) {
        let expected = request.header("Expect-Instance");
        if expected.is_some_and(|id| id != self.id) {
            let headers = [("Not-Executed", "1")];
            return (
                build(request, "421 Misdirected Request", &headers, b""),
                "421",
            );
        }
        match (self.service, request.path()) {
            (_, "/-/report") => {
                let body = b"{\"queued\":0,\"utilization\":false,\"free_mb\":5.0}";
                (build(request, "200 OK", &[], body), "report")
            }
            (_, "/-/stage-free") => (build(request, "200 OK", &[], b""), "release"),
            ("orders", "/-/stage-run") => self.run_call(request),
            ("orders", _) => self.run_order(request),
            _ => (self.run_model(request), "stream"),
        }
    }

    fn run_call(&self, request: &Message) -> (Vec<u8>, &'static str) {
        if !self.take_place() {
            self.world.refused_calls.fetch_add(1, Ordering::Relaxed);
            let answer = build(request, REFUSED, &[("Not-Executed", "1")], b"");
            return (answer, "refusal of a call");
        }
        let pieces = request.text().matches("\"segment\"").count();
        sleep(CALL_TIME + PIECE_TIME * pieces as u32);
        self.leave_place();
        let items: Vec<String> = (0..pieces)
            .map(|_| {
                let number = self.world.next_handle.fetch_add(1, Ordering::Relaxed);
                format!("{{\"handle\":\"{}/{number:x}\"}}", self.address)
            })
            .collect();
        let body = format!("{{\"items\":[{}]}}", items.join(","));
        let headers = [("Content-Type", "application/json")];
        (
            build(request, "200 OK", &headers, body.as_bytes()),
            "results of a call",
        )
    }

    fn run_order(&self, request: &Message) -> (Vec<u8>, &'static str) {
        let refuse = |status: &str| {
            (
                build(request, status, &[("Not-Executed", "1")], b""),
                "refusal",
            )
        };
        let Some(id) = request.header("Attempt-Id") else {
            return refuse("400 Bad Request");
        };
        if !self.take_place() {
            return refuse(REFUSED);
        }
        self.world.record.line(&format!("{} runs {id}", self.id));
        *self
            .world
            .runs
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_default() += 1;
        sleep(ORDER_TIME);
        self.leave_place();
        let seal = format!("seal-{id}-{}", self.id);
        let answer = build(
            request,
            "200 OK",
            &[("Response-Seal", &seal)],
            id.as_bytes(),
        );
        (answer, "answer")
    }

    fn run_model(&self, request: &Message) -> Vec<u8> {
        sleep(Duration::from_millis(200));
        let seal = format!("seal-{}", self.id);
        let headers = [
            ("Content-Type", "text/event-stream"),
            ("Response-Seal", seal.as_str()),
            ("Weight-Versions", "1"),
        ];
        build(
            request,
            "200 OK",
            &headers,
            b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        )
    }

    /// Waits for a place; returns `false` if all are taken.
    fn take_place(&self) -> bool {
        let mut places = self.places.lock().unwrap();
        if places.0 >= SLOTS {
            if places.1 >= QUEUE {
                return false;
            }
            places.1 += 1;
            while places.0 >= SLOTS {
                places = self.free.wait(places).unwrap();
            }
            places.1 -= 1;
        }
        places.0 += 1;
        true
    }

    fn leave_place(&self) {
        self.places.lock().unwrap().0 -= 1;
        self.free.notify_one();
    }
}

/// Builds an answer with a length. Every answer carries back the id of its request.
fn build(request: &Message, status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut all = headers.to_vec();
    if let Some(id) = request.header("Attempt-Id") {
        all.push(("Attempt-Id", id));
    }
    let mut bytes = Vec::new();
    let _ = http::write_message(&mut bytes, &format!("HTTP/1.1 {status}"), &all, body);
    bytes
}

/// Returns whether the rules held.
fn run(trouble: bool) -> Result<bool, String> {
    let fail = |what: &'static str| move |error: std::io::Error| format!("{what}: {error}");
    let root = std::env::current_dir().map_err(fail("folder"))?;
    let path = Path::new("target/review/refusal_without_id.txt");
    let record = Record::new(path).map_err(fail("record"))?;
    let world = Arc::new(World {
        record: record.clone(),
        rng: Rng::new(11),
        stopped: AtomicBool::new(false),
        garble: AtomicBool::new(false),
        refused_calls: AtomicU32::new(0),
        surplus_sent: AtomicU32::new(0),
        surplus_refusals: AtomicU32::new(0),
        next_handle: AtomicU64::new(1),
        runs: Mutex::default(),
        refused: Mutex::default(),
    });
    let mut system = System::prepare(&root, 3, 3, &record).map_err(fail("prepare"))?;
    system.start_all().map_err(fail("start"))?;
    let controls: Vec<_> = system
        .controls
        .iter()
        .map(|host| host.control_plane())
        .collect();
    if !system.apply(&config(), Duration::from_secs(15)) {
        return Err("no configuration was acknowledged".to_owned());
    }
    for number in 0..5 {
        // Three of five replicas are faulty, which is the share of 0.6.
        let ip = system.ip(100 + number);
        Replica::start(&world, "orders", number, ip, number < 3, controls.clone())
            .map_err(fail("replica"))?;
    }
    for number in 0..3 {
        let ip = system.ip(120 + number);
        Replica::start(&world, "linnet-pool", number, ip, false, controls.clone())
            .map_err(fail("replica"))?;
    }
    if !system.wait_ready(Duration::from_secs(15)) {
        return Err("the entry hosts are not ready".to_owned());
    }
    sleep(Duration::from_secs(3));
    let entries: Vec<_> = system.entries.iter().map(|host| host.frontend()).collect();
    let length = (WINDOW + PAUSE) * WINDOWS;
    let (pipelines, orders) = thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..WINDOWS {
                sleep(PAUSE);
                world.garble.store(trouble, Ordering::Relaxed);
                sleep(WINDOW);
                world.garble.store(false, Ordering::Relaxed);
            }
        });
        let pipelines =
            scope.spawn(|| send_all(&world, &entries, length, PIPELINES_PER_S, "audit"));
        let orders = send_all(&world, &entries, length, ORDERS_PER_S, "order");
        (pipelines.join().unwrap_or_default(), orders)
    });
    world.stopped.store(true, Ordering::Relaxed);
    let runs = world.runs.lock().unwrap();
    let mut broken = 0;
    for (id, count) in runs.iter().filter(|(_, count)| **count > 1) {
        broken += 1;
        record.line(&format!("BROKEN TWICE {id} ran {count} times"));
    }
    for id in world.refused.lock().unwrap().iter() {
        if runs.contains_key(id) {
            broken += 1;
            record.line(&format!("BROKEN REFUSED {id} was refused and has run"));
        }
    }
    let summary = format!(
        "{} of {} audits and {} of {} orders served, {} calls refused, {} surplus answers, {} of them \
         refusals of calls, rules broken {broken} times",
        pipelines.0,
        pipelines.1,
        orders.0,
        orders.1,
        world.refused_calls.load(Ordering::Relaxed),
        world.surplus_sent.load(Ordering::Relaxed),
        world.surplus_refusals.load(Ordering::Relaxed),
    );
    record.line(&summary);
    println!("{summary}");
    if orders.0 * 2 < orders.1 {
        return Err("fewer than half of the orders were served".to_owned());
    }
    Ok(broken == 0)
}

/// Sends requests of one kind at a steady rate; returns how many were served, and how many were sent.
fn send_all(
    world: &Arc<World>,
    entries: &[SocketAddr],
    length: Duration,
    per_s: f64,
    kind: &'static str,
) -> (usize, usize) {
    let (mut senders, mut number) = (Vec::new(), 0u32);
    let started = Instant::now();
    let mut next = started;
    while started.elapsed() < length {
        let entry = entries[number as usize % entries.len()];
        let sending = world.clone();
        senders.push(thread::spawn(move || {
            send_one(&sending, entry, kind, number)
        }));
        number += 1;
        // Requests arrive independently of each other.
        let draw = world.rng.below(1 << 30) as f64 / f64::from(1 << 30);
        next += Duration::from_secs_f64(-(1.0 - draw).ln() / per_s);
        sleep(next.saturating_duration_since(Instant::now()));
    }
    let sent = senders.len();
    let served = senders
        .into_iter()
        .filter_map(|sender| sender.join().ok())
        .filter(|served| *served)
        .count();
    (served, sent)
}

fn send_one(world: &World, entry: SocketAddr, kind: &str, number: u32) -> bool {
    let id = format!("{kind}-{number}");
    let authorization = format!("Bearer {KEY}");
    let prefix = format!("5c1e07a2:2520,{number:08x}:1200");
    let mut headers = vec![
        ("Host", "pule25.example"),
        ("Attempt-Id", id.as_str()),
        ("Authorization", authorization.as_str()),
    ];
    let path = if kind == "order" {
        headers.push(("Deadline-Ms", "3000"));
        format!("/bobo563/{number}")
    } else {
        headers.extend([
            ("Deadline-Ms", "8000"),
            ("Model", "m"),
            ("Token-Usage", "3720,50"),
            ("Prompt-Prefix", prefix.as_str()),
            ("Chunk-Count", "1"),
            ("Chunk-Key", id.as_str()),
        ]);
        format!("/puxa400/{number}")
    };
    let sent = Sent {
        entry,
        method: "POST",
        path: &path,
        headers: &headers,
        body: b"order",
    };
    let status = send(&sent, Duration::from_secs(9)).map(|answer| answer.status());
    world
        .record
        .line(&format!("client sends {id} and gets {status:?}"));
    if kind == "order" && matches!(status, Ok(503 | 429 | 408 | 421)) {
        world.refused.lock().unwrap().push(id);
    }
    matches!(status, Ok(200))
}
