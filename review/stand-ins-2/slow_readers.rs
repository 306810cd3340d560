//! Some clients turn slow to read. The stand-in of the platform kills a process that goes over its memory,
//! and starts it again.

use std::io::{BufReader, Read};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::fleet::{client_request, config, wait_served, Heartbeats};
use crate::http::{connect, read_head};
use crate::planned_stop::set_small_window;
use crate::record::Record;
use crate::replica::{Replica, Service};
use crate::system::{System, MEMORY_MB, ZONES};
use crate::Verdict;

const ANSWER_BYTES: usize = 8_000_000;
const CLIENTS: usize = 60;
const SLOW_BYTES_PER_S: usize = 200_000;
const DEADLINE_MS: u64 = 60_000;
const TIMEOUT_MS: u64 = 60_000;
const CALM: Duration = Duration::from_secs(4);
const SLOW: Duration = Duration::from_secs(8);

/// Time between the starts of two clients, so that each answer is read before the next one.
const CLIENT_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(2_500);

/// How many requests that were passed on to a sound replica may end without a whole answer.
const MAX_LOST: usize = 3;

#[derive(Clone)]
struct Outcome {
    id: String,
    read: usize,
    is_whole: bool,
    /// Whether its connection had carried a request with an answer before.
    is_kept: bool,
    ended: Instant,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let Some(mut system) = System::start(3) else {
        return Verdict::NotRun;
    };
    let service = Service { slots: 6, queue: 24, work: Duration::from_millis(60), answer_bytes: ANSWER_BYTES };
    let controls: Vec<SocketAddr> = (0..3).map(|number| system.operators(number)).collect();
    let replicas: Vec<Replica> = (0..3u8)
        .map(|number| {
            let address = system.address(200 + number, 8080);
            Replica::start(&format!("i-{number}"), address, ZONES[number as usize], service)
        })
        .collect();
    let _beats: Vec<Heartbeats> = replicas.iter().map(|one| Heartbeats::start(one, controls.clone())).collect();
    if !wait_served(&system, &config(1, TIMEOUT_MS)) {
        record.line("the system does not serve");
        return Verdict::NotRun;
    }
    sleep(Duration::from_millis(3_500));
    let entry = system.callers(0);
    let (is_slow, stopped) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (is_slow, stopped, outcomes) = (is_slow.clone(), stopped.clone(), outcomes.clone());
            let client = spawn(move || run_client(entry, number, &is_slow, &stopped, &outcomes));
            sleep(CLIENT_INTERVAL);
            client
        })
        .collect();
    record.line(&format!("{CLIENTS} clients ask edge-0 for answers of {ANSWER_BYTES} bytes, and read them at once"));
    let (mut most, mut kills) = (0, 0);
    while began.elapsed() < CALM + SLOW {
        if trouble && !is_slow.load(Ordering::SeqCst) && began.elapsed() >= CALM {
            is_slow.store(true, Ordering::SeqCst);
            record.line(&format!("most memory so far {most} MB; the clients read {SLOW_BYTES_PER_S} bytes a second from now on"));
        }
        let memory = system.entries[0].memory_mb();
        most = most.max(memory);
        if memory > MEMORY_MB {
            record.line(&format!("edge-0 uses {memory} MB, over its {MEMORY_MB} MB: the platform kills it"));
            kills += 1;
            system.entries[0].kill();
            sleep(Duration::from_millis(300));
            system.entries[0].start();
            record.line("edge-0 starts again");
        }
        sleep(Duration::from_millis(5));
    }
    is_slow.store(false, Ordering::SeqCst);
    stopped.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap().clone();
    record.line(&format!("most memory {most} MB; edge-0 was killed {kills} times"));
    let runs: Vec<String> = replicas.iter().flat_map(Replica::runs).map(|run| run.id).collect();
    let mut lost = 0;
    for outcome in outcomes.iter().filter(|outcome| !outcome.is_whole && outcome.is_kept) {
        if runs.contains(&outcome.id) {
            lost += 1;
            record.line_at(outcome.ended, &format!("{}: a replica ran it; its kept connection ended after {} bytes", outcome.id, outcome.read));
        }
    }
    let whole = outcomes.iter().filter(|outcome| outcome.is_whole).count();
    record.line(&format!(
        "{} requests ended, {whole} with a whole answer; {lost} came on kept connections, ran and got none; up to {MAX_LOST} may",
        outcomes.len()
    ));
    match lost > MAX_LOST {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn run_client(entry: SocketAddr, client: usize, is_slow: &AtomicBool, stopped: &AtomicBool, outcomes: &Mutex<Vec<Outcome>>) {
    let mut sent = 0;
    while !stopped.load(Ordering::SeqCst) {
        let Ok(mut socket) = connect(entry, Duration::from_secs(20)) else {
            sleep(Duration::from_millis(200));
            continue;
        };
        set_small_window(socket.as_raw_fd());
        let Ok(kept) = socket.try_clone() else { continue };
        let mut reader = BufReader::with_capacity(4 * 1024, kept);
        let mut is_kept = false;
        while !stopped.load(Ordering::SeqCst) {
            sent += 1;
            let id = format!("order-{client}-{sent}");
            let _ = client_request(&id, DEADLINE_MS, b"order").write(&mut socket);
            let (status, read, is_whole) = read_slowly(&mut reader, is_slow).unwrap_or((0, 0, false));
            if status == 0 || status == 200 {
                outcomes.lock().unwrap().push(Outcome { id, read, is_whole, is_kept, ended: Instant::now() });
            }
            is_kept = true;
            if !is_whole {
                sleep(Duration::from_millis(300));
                break;
            }
            let paused = Instant::now();
            while paused.elapsed() < PAUSE && !stopped.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(20));
            }
        }
    }
}

/// Reads an answer, slowly while `is_slow`. Returns its status, how much was read, and whether it was whole.
fn read_slowly(reader: &mut impl std::io::BufRead, is_slow: &AtomicBool) -> std::io::Result<(u16, usize, bool)> {
    let head = read_head(reader)?;
    let length = head.length().unwrap_or(0);
    let (mut read, mut buffer) = (0, vec![0; 16 * 1024]);
    while read < length {
        if is_slow.load(Ordering::SeqCst) {
            sleep(Duration::from_secs_f64(buffer.len() as f64 / SLOW_BYTES_PER_S as f64));
        }
        match reader.take(buffer.len() as u64).read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => read += count,
        }
    }
    Ok((head.status, read, read == length))
}
