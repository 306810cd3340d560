//! Many clients come to a machine and keep their connections, until the machine has no descriptor left. The
//! stand-in of the platform goes on asking whether it is ready, on a connection that it keeps.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::fleet::{client_request, config, wait_served, Heartbeats};
use crate::http::{connect, read_answer, Request};
use crate::record::Record;
use crate::replica::{Replica, Service};
use crate::system::{allow_descriptors, System, ZONES};
use crate::Verdict;

/// Descriptors of a machine, and its `contact_ms`.
const DESCRIPTORS: u64 = 4_100;
const CONTACT: Duration = Duration::from_millis(4_000);

/// Clients of the machine in calm, and in the burst: 2.4 times as many.
const CALM_CLIENTS: usize = 1_740;
const BURST_CLIENTS: usize = 4_176;
const WORKERS: usize = 48;

/// Time between two requests of a client, below four fifths of `idle_timeout_ms`.
const REQUEST_INTERVAL: Duration = Duration::from_secs(8);

const CALM: Duration = Duration::from_secs(10);
const BURST: Duration = Duration::from_secs(30);
const TRY_INTERVAL: Duration = Duration::from_millis(250);
const MIN_TRIES: usize = 7;

/// A client that opens a new connection: when, and when it got an answer.
type Try = (Instant, Option<Instant>);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    if !allow_descriptors(6_000) {
        record.line("this process may not have 6000 descriptors");
        return Verdict::NotRun;
    }
    let Some(system) = System::start_with(3, Some(DESCRIPTORS)) else {
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
    sleep(CONTACT);
    let entry = system.callers(0);
    let (stopped, open) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let (tries, questions) = (Arc::new(Mutex::new(Vec::<Try>::new())), Arc::new(Mutex::new(Vec::<(Instant, bool)>::new())));
    let mut threads = vec![ask_readiness(system.readiness(0), &stopped, &questions)];
    threads.extend(keep_clients(entry, 0..CALM_CLIENTS, &stopped, &open));
    threads.push(try_new(entry, &stopped, &tries));
    record.line(&format!("{CALM_CLIENTS} clients come to edge-0 and keep their connections"));
    sleep(CALM);
    record.line(&format!("{} of them have a connection that is served", open.load(Ordering::SeqCst)));
    let began = Instant::now();
    if trouble {
        record.line(&format!("burst: {BURST_CLIENTS} clients"));
        threads.extend(keep_clients(entry, CALM_CLIENTS..BURST_CLIENTS, &stopped, &open));
    }
    while began.elapsed() < BURST {
        sleep(Duration::from_secs(5));
        let served = open.load(Ordering::SeqCst);
        record.line(&format!("{served} clients have a connection that is served; edge-0 uses {} MB", system.entries[0].memory_mb()));
    }
    stopped.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let (tries, questions) = (tries.lock().unwrap().clone(), questions.lock().unwrap().clone());
    let (span, from, count) = longest_refusal(&tries, &questions);
    record.line_at(
        from,
        &format!(
            "longest time in which edge-0 said at each question that it is ready, and none of the {count} clients that \
             tried got an answer on a new connection: {:.1} s",
            span.as_secs_f64()
        ),
    );
    match span >= CONTACT && count >= MIN_TRIES {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Returns the longest time without an answer on a new connection while each question was answered with
/// "ready", its start, and how many clients tried in it.
fn longest_refusal(tries: &[Try], questions: &[(Instant, bool)]) -> (Duration, Instant, usize) {
    let mut ends: Vec<Instant> = tries.iter().filter_map(|one| one.1).collect();
    ends.extend(questions.iter().filter(|one| !one.1).map(|one| one.0));
    ends.extend(questions.last().map(|one| one.0));
    ends.sort();
    let mut longest = (Duration::ZERO, tries[0].0, 0);
    let mut from = tries[0].0;
    for end in ends {
        let span = end.saturating_duration_since(from);
        if span > longest.0 {
            let count = tries.iter().filter(|one| one.0 >= from && one.0 < end).count();
            longest = (span, from, count);
        }
        from = from.max(end);
    }
    longest
}

/// Asks each second whether the machine is ready, on one connection.
fn ask_readiness(
    readiness: SocketAddr,
    stopped: &Arc<AtomicBool>,
    questions: &Arc<Mutex<Vec<(Instant, bool)>>>,
) -> std::thread::JoinHandle<()> {
    let (stopped, questions) = (stopped.clone(), questions.clone());
    spawn(move || {
        let mut kept: Option<(TcpStream, BufReader<TcpStream>)> = None;
        while !stopped.load(Ordering::SeqCst) {
            let asked = Instant::now();
            if kept.is_none() {
                kept = open_kept(readiness, Duration::from_secs(1));
            }
            let request = Request::new("GET", "/-/readyz").header("Host", "entry");
            let is_ready = kept.as_mut().is_some_and(|(socket, reader)| {
                request.write(socket).is_ok() && read_answer(reader).is_ok_and(|answer| answer.status == 200)
            });
            if !is_ready {
                kept = None;
            }
            questions.lock().unwrap().push((asked, is_ready));
            sleep(Duration::from_secs(1).saturating_sub(asked.elapsed()));
        }
    })
}

fn open_kept(to: SocketAddr, limit: Duration) -> Option<(TcpStream, BufReader<TcpStream>)> {
    let socket = connect(to, limit).ok()?;
    let reader = BufReader::with_capacity(1024, socket.try_clone().ok()?);
    Some((socket, reader))
}

/// Clients that send a request on their connection every [`REQUEST_INTERVAL`], and open another one if it is
/// closed or not answered.
fn keep_clients(
    entry: SocketAddr,
    numbers: std::ops::Range<usize>,
    stopped: &Arc<AtomicBool>,
    open: &Arc<AtomicUsize>,
) -> Vec<std::thread::JoinHandle<()>> {
    let share = numbers.len().div_ceil(WORKERS);
    let worker = |first: usize| {
        let (stopped, open) = (stopped.clone(), open.clone());
        let own = first..(first + share).min(numbers.end);
        spawn(move || {
            let mut sockets: Vec<Option<TcpStream>> = own.clone().map(|_| None).collect();
            let mut round = 0;
            while !stopped.load(Ordering::SeqCst) {
                let began = Instant::now();
                round += 1;
                for (number, socket) in own.clone().zip(&mut sockets) {
                    if stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let was_open = socket.is_some();
                    if socket.is_none() {
                        *socket = connect(entry, Duration::from_secs(1)).ok();
                    }
                    let id = format!("kept-{number}-{round}");
                    if !socket.as_mut().is_some_and(|socket| is_served(socket, &id)) {
                        *socket = None;
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
        })
    };
    numbers.clone().step_by(share).map(worker).collect()
}

/// Sends a request and reads its answer; a refusal keeps the connection as well.
fn is_served(socket: &mut TcpStream, id: &str) -> bool {
    let request = client_request(id, 3_000, b"stock");
    request.write(socket).is_ok() && read_answer(&mut BufReader::with_capacity(4 * 1024, socket)).is_ok()
}

/// One new client after the other.
fn try_new(entry: SocketAddr, stopped: &Arc<AtomicBool>, tries: &Arc<Mutex<Vec<Try>>>) -> std::thread::JoinHandle<()> {
    let (stopped, tries) = (stopped.clone(), tries.clone());
    spawn(move || {
        let (mut number, mut waiting) = (0, Vec::new());
        while !stopped.load(Ordering::SeqCst) {
            number += 1;
            let tries = tries.clone();
            waiting.push(spawn(move || {
                let tried = Instant::now();
                let mut socket = connect(entry, Duration::from_secs(3)).ok();
                let is_served = socket.as_mut().is_some_and(|socket| is_served(socket, &format!("new-{number}")));
                tries.lock().unwrap().push((tried, is_served.then(Instant::now)));
            }));
            sleep(TRY_INTERVAL);
        }
        for one in waiting {
            let _ = one.join();
        }
    })
}
