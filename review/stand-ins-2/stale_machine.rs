//! Many clients come to a machine and keep their connections, until it has no descriptor left. Then every
//! process of the core is killed and returns, and a route is dropped.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use crate::fleet::{client_request, config, wait_served, Heartbeats};
use crate::http::{connect, read_answer};
use crate::record::Record;
use crate::replica::{Replica, Service};
use crate::system::{allow_descriptors, System, CONTACT_MS, ZONES};
use crate::Verdict;

/// Descriptors of an entry machine.
const DESCRIPTORS: u64 = 4_100;
const APPLY: Duration = Duration::from_millis(2_000);

/// Clients of the machine in calm, and in the burst: 2.6 times as many.
const CALM_CLIENTS: usize = 1_610;
const BURST_CLIENTS: usize = 4_186;

/// Those of the burst that come last, one after the other at this interval, once the others have come.
const LATE_CLIENTS: usize = 166;
const LATE_AFTER: Duration = Duration::from_secs(9);
const LATE_INTERVAL: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(3);
const WORKERS: usize = 48;

/// Time between two requests of a client, below four fifths of `idle_timeout_ms`.
const REQUEST_INTERVAL: Duration = Duration::from_secs(8);

const CALM: Duration = Duration::from_secs(9);
const BURST: Duration = Duration::from_secs(16);
const WATCH: Duration = Duration::from_secs(10);

/// The processes of the core return within a second.
const DOWN: Duration = Duration::from_millis(500);

/// A request: when it was sent, to which machine, and its status.
type Sent = (Instant, usize, u16);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    if !allow_descriptors(6_000) {
        record.line("this process may not have 6000 descriptors");
        return Verdict::NotRun;
    }
    let Some(mut system) = System::start_with(3, Some(DESCRIPTORS)) else {
        return Verdict::NotRun;
    };
    let service = Service { slots: 64, queue: 200, work: Duration::from_millis(5), answer_bytes: 800 };
    let controls: Vec<SocketAddr> = (0..3).map(|number| system.operators(number)).collect();
    let replicas: Vec<Replica> = (0..3u8)
        .map(|number| {
            let address = system.address(200 + number, 8080);
            Replica::start(&format!("i-{number}"), address, ZONES[number as usize], service)
        })
        .collect();
    let _beats: Vec<Heartbeats> = replicas.iter().map(|one| Heartbeats::start(one, controls.clone())).collect();
    if !wait_served(&system, &config(1, 3_000)) {
        record.line("the system does not serve");
        return Verdict::NotRun;
    }
    let clients = Clients::default();
    clients.keep(system.callers(0), 0, 0..CALM_CLIENTS);
    for entry in 1..3 {
        clients.keep(system.callers(entry), entry, 10_000 * entry..10_000 * entry + WORKERS);
    }
    record.line(&format!("{CALM_CLIENTS} clients come to edge-0 and keep their connections, {WORKERS} to each other machine"));
    sleep(CALM);
    record.line(&format!("{} clients have a connection that is served", clients.open()));
    if trouble {
        record.line(&format!("burst: {BURST_CLIENTS} clients at edge-0"));
        clients.keep(system.callers(0), 0, CALM_CLIENTS..BURST_CLIENTS - LATE_CLIENTS);
        clients.come_late(system.callers(0), 0);
    }
    sleep(BURST);
    record.line(&format!("{} clients have a connection that is served", clients.open()));
    for control in &mut system.controls {
        control.kill();
    }
    record.line("SIGKILL core-0, core-1, core-2");
    sleep(DOWN);
    for control in &mut system.controls {
        control.start();
    }
    record.line("core-0, core-1, core-2 start again, with their disks");
    sleep(Duration::from_millis(CONTACT_MS + 1_000));
    record.line("the core has been stable for contact_ms; every machine is in touch");
    let next = config(2, 3_000).replace("/stock/", "/shelf/");
    if !system.order("PUT", "/-/config", &next, Duration::from_secs(10)) {
        record.line("version 2 was not acknowledged");
        return Verdict::NotRun;
    }
    let acknowledged = Instant::now();
    record.line("version 2 is acknowledged: it drops the route /stock/");
    sleep(WATCH);
    let sent = clients.stop();
    let from = acknowledged + APPLY;
    record.line_at(from, "from here on no request on the dropped route may run");
    let mut broken = 0;
    for entry in 0..3 {
        let late: Vec<&Sent> = sent.iter().filter(|one| one.0 > from && one.1 == entry).collect();
        let ran = late.iter().filter(|one| one.2 == 200).count();
        let gone = late.iter().filter(|one| one.2 == 404).count();
        record.line(&format!("edge-{entry}: {} requests sent since then: {ran} ran (200), {gone} got 404", late.len()));
        if let Some(last) = late.iter().filter(|one| one.2 == 200).map(|one| one.0).max() {
            record.line_at(last, &format!("edge-{entry}: the last that ran, {:.1} s after the acknowledgement", (last - acknowledged).as_secs_f64()));
        }
        broken += ran;
    }
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Clients that keep their connections.
#[derive(Default)]
struct Clients {
    stopped: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl Clients {
    fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Adds clients of a machine. Each sends a request every [`REQUEST_INTERVAL`], and opens another
    /// connection if the one it has is closed or not answered.
    fn keep(&self, address: SocketAddr, entry: usize, numbers: std::ops::Range<usize>) {
        let share = numbers.len().div_ceil(WORKERS);
        for first in numbers.clone().step_by(share) {
            let own = first..(first + share).min(numbers.end);
            let (stopped, open, sent) = (self.stopped.clone(), self.open.clone(), self.sent.clone());
            let thread = spawn(move || {
                let mut sockets: Vec<Option<TcpStream>> = own.clone().map(|_| None).collect();
                let mut round = 0;
                while !stopped.load(Ordering::SeqCst) {
                    let began = Instant::now();
                    round += 1;
                    for (number, socket) in own.clone().zip(&mut sockets) {
                        if stopped.load(Ordering::SeqCst) {
                            return;
                        }
                        // The clients of a worker send one after the other, evenly.
                        let due = REQUEST_INTERVAL.mul_f64((number - own.start) as f64 / own.len() as f64);
                        sleep(due.saturating_sub(began.elapsed()));
                        let was_open = socket.is_some();
                        if socket.is_none() {
                            *socket = connect(address, Duration::from_millis(500)).ok();
                        }
                        let at = Instant::now();
                        match socket.as_mut().and_then(|socket| send(socket, &format!("kept-{number}-{round}"))) {
                            Some(status) => sent.lock().unwrap().push((at, entry, status)),
                            None => *socket = None,
                        }
                        match (was_open, socket.is_some()) {
                            (false, true) => drop(open.fetch_add(1, Ordering::SeqCst)),
                            (true, false) => drop(open.fetch_sub(1, Ordering::SeqCst)),
                            _ => {}
                        }
                    }
                    while began.elapsed() < REQUEST_INTERVAL && !stopped.load(Ordering::SeqCst) {
                        sleep(Duration::from_millis(50));
                    }
                }
            });
            self.threads.lock().unwrap().push(thread);
        }
    }

    /// Adds clients of a machine that come one after the other and wait for their answers until the deadline.
    fn come_late(&self, address: SocketAddr, entry: usize) {
        for number in 0..LATE_CLIENTS {
            let (stopped, sent) = (self.stopped.clone(), self.sent.clone());
            let thread = spawn(move || {
                sleep(LATE_AFTER + LATE_INTERVAL * number as u32);
                let (mut round, mut kept) = (0, None);
                while !stopped.load(Ordering::SeqCst) {
                    round += 1;
                    let at = Instant::now();
                    if kept.is_none() {
                        kept = connect(address, DEADLINE).ok();
                    }
                    match kept.as_mut().and_then(|socket| send(socket, &format!("late-{number}-{round}"))) {
                        Some(status) => sent.lock().unwrap().push((at, entry, status)),
                        None => kept = None,
                    }
                    while kept.is_some() && at.elapsed() < REQUEST_INTERVAL && !stopped.load(Ordering::SeqCst) {
                        sleep(Duration::from_millis(50));
                    }
                    sleep(Duration::from_millis(100));
                }
            });
            self.threads.lock().unwrap().push(thread);
        }
    }

    fn stop(self) -> Vec<Sent> {
        self.stopped.store(true, Ordering::SeqCst);
        for thread in self.threads.into_inner().unwrap_or_default() {
            let _ = thread.join();
        }
        let sent = self.sent.lock().unwrap();
        sent.clone()
    }
}

/// Sends a request on a kept connection and returns the status of its answer.
fn send(socket: &mut TcpStream, id: &str) -> Option<u16> {
    client_request(id, 3_000, b"stock").write(socket).ok()?;
    let answer = read_answer(&mut BufReader::with_capacity(4 * 1024, socket)).ok()?;
    Some(answer.status)
}
