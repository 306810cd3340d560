//! Stand-ins for replicas: stage replicas and model replicas that follow the users' pages.

use std::collections::{BTreeSet, HashMap};
use std::io::{BufReader, Read, Write};
use std::net::Shutdown;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::Record;
use crate::rng::Rng;

/// How a replica reads that is slow to read: some 1 MB a second.
const SLOW_CHUNK_BYTES: usize = 64 * 1024;
const SLOW_PAUSE: Duration = Duration::from_millis(60);

/// How long a result is kept after its call (`handle_ttl_s` of the sheet).
const RESULT_TTL: Duration = Duration::from_secs(4);

/// A result of a stage, as its maker knows it.
#[derive(Debug, Clone)]
pub struct Piece {
    pub request: String,
    pub phase: u64,
    pub segment: u64,
    expires: Instant,
}

/// What all stand-ins of one run share.
pub struct World {
    pub record: Record,
    pub rng: Rng,
    pieces: Mutex<HashMap<String, Piece>>,
    /// Number of pieces of the first stage of each request that a client sent.
    pub sent: Mutex<HashMap<String, u64>>,
    pub violations: Mutex<Vec<String>>,
    pub runs: Mutex<HashMap<String, u32>>,
    pub stopped: AtomicBool,
    /// Whether faulty replicas send surplus answers now.
    pub garble: AtomicBool,
    pub surplus_sent: AtomicU32,
    /// Whether plain replicas are slow to read now.
    pub slow_read: AtomicBool,
    /// Whether faulty model replicas send answers without a length now.
    pub unframed: AtomicBool,
    pub unframed_sent: AtomicU32,
    /// Number of events of a stream, and the pause after each in milliseconds.
    pub stream_events: AtomicU32,
    pub stream_pause_ms: AtomicU32,
}

impl World {
    pub fn new(record: Record, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            record,
            rng: Rng::new(seed),
            pieces: Mutex::default(),
            sent: Mutex::default(),
            violations: Mutex::default(),
            runs: Mutex::default(),
            stopped: AtomicBool::new(false),
            garble: AtomicBool::new(false),
            surplus_sent: AtomicU32::new(0),
            slow_read: AtomicBool::new(false),
            unframed: AtomicBool::new(false),
            unframed_sent: AtomicU32::new(0),
            stream_events: AtomicU32::new(10),
            stream_pause_ms: AtomicU32::new(40),
        })
    }

    pub fn violate(&self, text: String) {
        self.record.line(&format!("BROKEN {text}"));
        self.violations.lock().unwrap().push(text);
    }

    fn piece(&self, handle: &str) -> Option<Piece> {
        let pieces = self.pieces.lock().unwrap();
        pieces
            .get(handle)
            .filter(|piece| piece.expires > Instant::now())
            .cloned()
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Stage,
    Engine,
    Plain,
}

/// The places of a replica: calls at work and calls that wait.
#[derive(Default)]
struct Places {
    running: Mutex<(u32, u32)>,
    free: Condvar,
}

pub struct Replica {
    pub id: String,
    pub service: String,
    pub hall: String,
    pub address: SocketAddr,
    pub kind: Kind,
    slots: u32,
    queue: u32,
    /// Whether it belongs to the share of faulty replicas.
    is_faulty: bool,
    /// One in this many answers of a faulty replica is spoiled.
    spoil_every: u32,
    answers: AtomicU32,
    places: Places,
    world: Arc<World>,
    sequence: AtomicU64,
    /// Whether it has told the control hosts that it leaves. The lock is held during a heartbeat.
    leaving: Mutex<bool>,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    connections: Mutex<HashMap<u64, TcpStream>>,
    next_connection: AtomicU64,
}

impl Replica {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        world: &Arc<World>,
        kind: Kind,
        service: &str,
        hall: &str,
        ip: Ipv4Addr,
        (slots, queue): (u32, u32),
        spoil_every: Option<u32>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let replica = Arc::new(Self {
            id: format!("i-{}", &world.rng.hex()[..10]),
            service: service.to_owned(),
            hall: hall.to_owned(),
            address: listener.local_addr()?,
            kind,
            slots,
            queue,
            is_faulty: spoil_every.is_some(),
            spoil_every: spoil_every.unwrap_or(1),
            answers: AtomicU32::new(0),
            places: Places::default(),
            world: world.clone(),
            sequence: AtomicU64::new(0),
            leaving: Mutex::new(false),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
        });
        let accepting = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.world.is_stopped() || accepting.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let serving = accepting.clone();
                let number = serving.next_connection.fetch_add(1, Ordering::Relaxed);
                if let Ok(copy) = stream.try_clone() {
                    serving.connections.lock().unwrap().insert(number, copy);
                }
                thread::spawn(move || {
                    let _ = serving.serve(stream);
                    if let Some(copy) = serving.connections.lock().unwrap().remove(&number) {
                        let _ = copy.shutdown(Shutdown::Both);
                    }
                });
            }
        });
        Ok(replica)
    }

    /// Sends heartbeats to the control hosts until the run ends.
    pub fn keep_registered(self: &Arc<Self>, controls: Vec<SocketAddr>) {
        let replica = self.clone();
        thread::spawn(move || {
            let mut next = replica.world.rng.below(controls.len() as u64) as usize;
            while !replica.world.is_stopped() {
                let leaving = replica.leaving.lock().unwrap();
                if *leaving {
                    return;
                }
                for _ in 0..controls.len() {
                    if replica.heartbeat(controls[next % controls.len()], "ready") {
                        break;
                    }
                    next += 1;
                }
                drop(leaving);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
    }

    /// Tells the control hosts that it leaves, as replicas do that never say `draining`. Returns
    /// whether one of them acknowledged it.
    pub fn withdraw(&self, controls: &[SocketAddr]) -> bool {
        let mut leaving = self.leaving.lock().unwrap();
        *leaving = true;
        self.is_leaving.store(true, Ordering::Relaxed);
        let start = format!("DELETE /-/instances/{} HTTP/1.1", self.id);
        controls.iter().any(|control| {
            let headers = [("Host", "control")];
            let sent = http::exchange(*control, &start, &headers, b"", Duration::from_secs(1));
            sent.is_ok_and(|answer| answer.status() / 100 == 2)
        })
    }

    /// Ends as a process does: its port is closed, and then its connections.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for _ in 0..200 {
            if TcpStream::connect(self.address).is_err() {
                break;
            }
            thread::sleep(Duration::from_millis(1));
        }
        for (_, connection) in self.connections.lock().unwrap().drain() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn heartbeat(&self, control: SocketAddr, state: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"phase\":\"prefill_decode\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence}}}",
            self.service, self.address, self.hall, self.slots
        );
        let start = format!("PUT /-/instances/{} HTTP/1.1", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let sent = http::exchange(
            control,
            &start,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        sent.is_ok_and(|answer| answer.status() / 100 == 2)
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        // The answer whose surplus copy is still to come on this connection.
        let mut surplus: Option<Vec<u8>> = None;
        while let Some(mut request) = http::read_head(&mut reader)? {
            if self.kind == Kind::Plain {
                self.read_plain_body(&mut reader, &mut request)?;
                let answer = self.run_plain(&request);
                writer.write_all(&answer)?;
                if self.is_leaving.load(Ordering::Relaxed) {
                    return Ok(());
                }
                continue;
            }
            http::read_body(&mut reader, &mut request, false)?;
            if let Some(copy) = surplus.take() {
                // A surplus answer arrives late, in the place of the one due next.
                self.world.surplus_sent.fetch_add(1, Ordering::Relaxed);
                let text = format!(
                    "{} ({}) sends a surplus answer before that to {}",
                    self.id, self.service, request.start
                );
                self.world.record.line(&text);
                writer.write_all(&copy)?;
            }
            if self.kind == Kind::Engine && request.method() == "POST" {
                if self.run_model(&request, &mut writer)? {
                    return Ok(());
                }
                continue;
            }
            let answer = self.answer(&request);
            writer.write_all(&answer)?;
            if self.is_leaving.load(Ordering::Relaxed) {
                return Ok(());
            }
            if self.is_faulty && self.world.garble.load(Ordering::Relaxed) {
                let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
                if number % self.spoil_every == 0 {
                    surplus = Some(answer);
                }
            }
        }
        Ok(())
    }

    /// Reads a body; a replica that is slow to read takes 64 KiB at a time, with a pause after each.
    fn read_plain_body(
        &self,
        reader: &mut BufReader<TcpStream>,
        request: &mut Message,
    ) -> std::io::Result<()> {
        let length = request
            .header("Content-Length")
            .and_then(|length| length.parse().ok());
        let mut left: usize = length.unwrap_or(0);
        let mut chunk = vec![0; SLOW_CHUNK_BYTES];
        while left > 0 {
            let size = left.min(SLOW_CHUNK_BYTES);
            reader.read_exact(&mut chunk[..size])?;
            left -= size;
            if self.world.slow_read.load(Ordering::Relaxed) {
                thread::sleep(SLOW_PAUSE);
            }
        }
        Ok(())
    }

    /// Runs a request of a plain service: 60 ms.
    fn run_plain(&self, request: &Message) -> Vec<u8> {
        if request
            .header("Expect-Instance")
            .is_some_and(|id| id != self.id)
        {
            return self.build(
                request,
                "421 Misdirected Request",
                &[("Not-Executed", "1")],
                b"",
            );
        }
        let Some(id) = request.header("Attempt-Id") else {
            return self.build(request, "400 Bad Request", &[("Not-Executed", "1")], b"");
        };
        if self.take_place().is_none() {
            return self.build(
                request,
                "503 Service Unavailable",
                &[("Not-Executed", "1")],
                b"",
            );
        }
        *self
            .world
            .runs
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_default() += 1;
        thread::sleep(Duration::from_millis(60));
        self.leave_place();
        let seal = format!("seal-{id}-{}", self.id);
        self.build(
            request,
            "200 OK",
            &[("Response-Seal", &seal)],
            id.as_bytes(),
        )
    }

    /// Builds an answer with a length. Every answer carries back the id of its request.
    fn build(
        &self,
        request: &Message,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Vec<u8> {
        let mut all: Vec<(&str, &str)> = headers.to_vec();
        if let Some(id) = request.header("Attempt-Id") {
            all.push(("Attempt-Id", id));
        }
        if self.is_leaving.load(Ordering::Relaxed) {
            all.push(("Connection", "close"));
        }
        let mut bytes = Vec::new();
        let _ = http::write_message(&mut bytes, &format!("HTTP/1.1 {status}"), &all, body);
        bytes
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let other = request
            .header("Expect-Instance")
            .is_some_and(|id| id != self.id);
        if other {
            return self.build(
                request,
                "421 Misdirected Request",
                &[("Not-Executed", "1")],
                b"",
            );
        }
        match (request.method(), request.path()) {
            ("GET", "/healthz") if self.is_leaving.load(Ordering::Relaxed) => {
                self.build(request, "503 Service Unavailable", &[], b"")
            }
            ("GET", "/healthz") => self.build(request, "200 OK", &[("Served-By", &self.id)], b""),
            ("GET", "/-/report") => {
                let body = b"{\"queued\":0,\"utilization\":false,\"free_mb\":30.0}";
                self.build(
                    request,
                    "200 OK",
                    &[("Content-Type", "application/json")],
                    body,
                )
            }
            ("POST", "/-/stage-run") => self.run_stage(request),
            ("POST", "/-/stage-free") => self.free_results(request),
            _ => self.build(request, "404 Not Found", &[], b""),
        }
    }

    fn free_results(&self, request: &Message) -> Vec<u8> {
        if let Some(body) = Json::parse(&request.text()) {
            let mut pieces = self.world.pieces.lock().unwrap();
            for handle in body.get("handles").map_or(&[][..], Json::list) {
                pieces.remove(handle.text().unwrap_or_default());
            }
        }
        self.build(
            request,
            "200 OK",
            &[("Content-Type", "application/json")],
            b"{}",
        )
    }

    /// Takes a place; `None` if the queue is full.
    fn take_place(&self) -> Option<()> {
        let mut places = self.places.running.lock().unwrap();
        if places.0 >= self.slots {
            if places.1 >= self.queue {
                return None;
            }
            places.1 += 1;
            while places.0 >= self.slots {
                places = self.places.free.wait(places).unwrap();
            }
            places.1 -= 1;
        }
        places.0 += 1;
        Some(())
    }

    fn leave_place(&self) {
        self.places.running.lock().unwrap().0 -= 1;
        self.places.free.notify_one();
    }

    fn load(&self) -> String {
        let places = self.places.running.lock().unwrap();
        format!("{},{},{}", places.0, places.1, self.slots)
    }

    /// Runs a call of a stage: 150 ms and 16 ms a piece.
    fn run_stage(&self, request: &Message) -> Vec<u8> {
        let Some(body) = Json::parse(&request.text()) else {
            return self.build(request, "400 Bad Request", &[], b"");
        };
        let items = body.get("items").map_or(&[][..], Json::list);
        if self.take_place().is_none() {
            let load = self.load();
            let headers = [("Not-Executed", "1"), ("Server-Load", load.as_str())];
            return self.build(request, "503 Service Unavailable", &headers, b"");
        }
        thread::sleep(Duration::from_millis(150 + 16 * items.len() as u64));
        let made: Vec<String> = items.iter().map(|item| self.make_piece(item)).collect();
        self.leave_place();
        let load = self.load();
        let headers = [
            ("Content-Type", "application/json"),
            ("Server-Load", load.as_str()),
        ];
        let body = format!("{{\"items\":[{}]}}", made.join(","));
        self.build(request, "200 OK", &headers, body.as_bytes())
    }

    fn make_piece(&self, item: &Json) -> String {
        let text = |key: &str| {
            item.get(key)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let number = |key: &str| item.get(key).and_then(Json::number).unwrap_or(0.0) as u64;
        let request = text("id");
        if !self.world.sent.lock().unwrap().contains_key(&request) {
            self.world.violate(format!(
                "UNASKED a piece of {request}, which no client sent"
            ));
        }
        let handle = format!("{}/{}", self.address, self.world.rng.hex());
        let piece = Piece {
            request,
            phase: number("phase"),
            segment: number("segment"),
            expires: Instant::now() + RESULT_TTL,
        };
        self.world.record.line(&format!(
            "{} made {handle} for request {} phase {} segment {}",
            self.id, piece.request, piece.phase, piece.segment
        ));
        self.world
            .pieces
            .lock()
            .unwrap()
            .insert(handle.clone(), piece);
        format!("{{\"handle\":\"{handle}\"}}")
    }

    /// Runs a request at a model replica: fetches its inputs, reads its prompt, sends its events.
    /// Returns whether the connection ends with the answer.
    fn run_model(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<bool> {
        let mut refuse = |status: &str| {
            let answer = self.build(request, status, &[("Not-Executed", "1")], b"");
            writer.write_all(&answer)?;
            Ok(self.is_leaving.load(Ordering::Relaxed))
        };
        if request
            .header("Expect-Instance")
            .is_some_and(|id| id != self.id)
        {
            return refuse("421 Misdirected Request");
        }
        let (Some(id), Some(handles)) =
            (request.header("Attempt-Id"), request.header("Input-Count"))
        else {
            return refuse("400 Bad Request");
        };
        let handles: Vec<&str> = handles.split(',').map(str::trim).collect();
        let pieces: Vec<Option<Piece>> = handles
            .iter()
            .map(|handle| self.world.piece(handle))
            .collect();
        if pieces.iter().any(Option::is_none) {
            self.world.record.line(&format!(
                "{} answers 409 to {id}: an input is gone",
                self.id
            ));
            return refuse("409 Conflict");
        }
        self.check_inputs(id, &handles, pieces.into_iter().flatten().collect());
        *self
            .world
            .runs
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_default() += 1;
        self.world.record.line(&format!(
            "{} runs {id} with inputs {}",
            self.id,
            handles.join(",")
        ));
        let spoils = self.is_faulty && self.world.unframed.load(Ordering::Relaxed);
        let is_unframed =
            spoils && (self.answers.fetch_add(1, Ordering::Relaxed) + 1) % self.spoil_every == 0;
        let is_last = is_unframed || self.is_leaving.load(Ordering::Relaxed);
        let framing = if is_unframed {
            ""
        } else {
            "Transfer-Encoding: chunked\r\n"
        };
        let close = if is_last { "Connection: close\r\n" } else { "" };
        let seal = format!("seal-{id}-{}", self.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\n\
             Response-Seal: {seal}\r\nWeight-Versions: 1\r\n{framing}{close}\r\n"
        );
        if is_unframed {
            self.world.unframed_sent.fetch_add(1, Ordering::Relaxed);
            let text = format!("{} answers {id} without a length", self.id);
            self.world.record.line(&text);
        }
        thread::sleep(Duration::from_millis(150));
        writer.write_all(head.as_bytes())?;
        let first = request
            .header("Last-Event-Id")
            .and_then(|id| id.parse::<u32>().ok())
            .unwrap_or(0);
        let events = self.world.stream_events.load(Ordering::Relaxed);
        let pause = self.world.stream_pause_ms.load(Ordering::Relaxed);
        for number in first + 1..=events {
            let event = format!("id: {number}\ndata: token {number} of {id}\n\n");
            let bytes = if is_unframed {
                event
            } else {
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            if let Err(error) = writer.write_all(bytes.as_bytes()) {
                let text = format!("{}: the run of {id} ends at event {number}", self.id);
                self.world.record.line(&text);
                return Err(error);
            }
            thread::sleep(Duration::from_millis(u64::from(pause)));
        }
        if !is_unframed {
            writer.write_all(b"0\r\n\r\n")?;
        }
        self.world
            .record
            .line(&format!("{}: the run of {id} is complete", self.id));
        Ok(is_last)
    }

    /// MIXED: a request receives inputs of another request, or of another stage, or one input twice,
    /// or only some of them.
    fn check_inputs(&self, id: &str, handles: &[&str], pieces: Vec<Piece>) {
        for (handle, piece) in handles.iter().zip(&pieces) {
            if piece.request != id {
                self.world.violate(format!(
                    "MIXED {} runs request {id} with input {handle}, which was made for request {}",
                    self.id, piece.request
                ));
            }
        }
        let expected = self
            .world
            .sent
            .lock()
            .unwrap()
            .get(id)
            .copied()
            .unwrap_or(0);
        let distinct: BTreeSet<u64> = pieces.iter().map(|piece| piece.segment).collect();
        if distinct.len() != handles.len() || handles.len() as u64 != expected {
            self.world.violate(format!(
                "MIXED request {id} has {} inputs, {expected} pieces",
                handles.len()
            ));
        }
    }
}
