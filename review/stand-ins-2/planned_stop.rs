//! A machine gets SIGTERM while clients with a link of 32 Mbit/s read answers that the replica gave whole.

use std::io::{BufReader, Read};
use std::os::fd::AsRawFd;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::fleet::{client_request, config, wait_served, Heartbeats};
use crate::http::{connect, read_head};
use crate::record::Record;
use crate::replica::{Replica, Service};
use crate::system::{System, GRACE_S, SIGTERM, ZONES};
use crate::Verdict;

/// Length of an answer. At 32 Mbit/s it takes 6 s.
const ANSWER_BYTES: usize = 24_000_000;
const LINK_BYTES_PER_S: usize = 4_000_000;
const CLIENTS: usize = 4;

/// Time between two clients, so that the machine has read one answer before it reads the next.
const CLIENT_INTERVAL: Duration = Duration::from_millis(200);
const DEADLINE_MS: u64 = 20_000;
const TIMEOUT_MS: u64 = 30_000;

/// When SIGTERM comes, after the last request; the heads of all answers have arrived.
const STOP_AFTER: Duration = Duration::from_millis(100);

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Gives a connection the small window of a slow link.
pub fn set_small_window(socket: i32) {
    let window: i32 = 64 * 1024;
    unsafe { setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &window, 4) };
}

struct Outcome {
    status: u16,
    length: usize,
    read: usize,
    began: Instant,
    ended: Instant,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let Some(mut system) = System::start(2) else {
        return Verdict::NotRun;
    };
    let service = Service { slots: 6, queue: 24, work: Duration::from_millis(60), answer_bytes: ANSWER_BYTES };
    let controls: Vec<_> = (0..3).map(|number| system.operators(number)).collect();
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
    // Every machine is in touch.
    sleep(Duration::from_millis(3_500));
    let entry = system.callers(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = spawn(move || download(entry, &format!("order-{number}")));
            sleep(CLIENT_INTERVAL);
            client
        })
        .collect();
    sleep(STOP_AFTER);
    let stopped = Instant::now();
    if trouble {
        record.line("SIGTERM edge-0");
        system.entries[0].signal(SIGTERM);
    }
    // The platform waits for the grace, and kills what is left.
    let mut ended: Option<Instant> = None;
    while stopped.elapsed() < Duration::from_secs(GRACE_S) {
        if trouble && ended.is_none() && system.entries[0].has_ended() {
            ended = Some(Instant::now());
            record.line(&format!("edge-0 ended {:.3} s after SIGTERM", stopped.elapsed().as_secs_f64()));
        }
        sleep(Duration::from_millis(10));
    }
    if trouble && ended.is_none() {
        record.line("SIGKILL edge-0");
        system.entries[0].kill();
    }
    let mut cut = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let Some(Ok(outcome)) = client.join().ok() else {
            record.line(&format!("order-{number}: no answer"));
            return Verdict::NotRun;
        };
        let whole = outcome.status == 200 && outcome.read == outcome.length;
        let runs = replicas.iter().flat_map(Replica::runs);
        let run = runs.into_iter().find(|run| run.id == format!("order-{number}"));
        let ran = run.map_or("it did not run".to_owned(), |run| {
            let answered = run.answered.map_or("not answered".to_owned(), |at| format!("answered whole at {:.3}", record.at(at)));
            format!("ran from {:.3}, {answered} by its replica", record.at(run.arrived))
        });
        record.line_at(
            outcome.ended,
            &format!(
                "order-{number}: sent at {:.3}, status {}, {} of {} bytes; {ran}; {}",
                record.at(outcome.began),
                outcome.status,
                outcome.read,
                outcome.length,
                if whole { "complete" } else { "CUT" }
            ),
        );
        cut += usize::from(!whole);
    }
    record.line(&format!("{cut} of {CLIENTS} answers were cut"));
    match cut {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Sends a request and reads the answer at the rate of the client's link.
fn download(entry: std::net::SocketAddr, id: &str) -> std::io::Result<Outcome> {
    let mut socket = connect(entry, Duration::from_secs(10))?;
    set_small_window(socket.as_raw_fd());
    let began = Instant::now();
    client_request(id, DEADLINE_MS, b"order of treated pine").write(&mut socket)?;
    let mut reader = BufReader::with_capacity(4 * 1024, socket);
    let head = read_head(&mut reader)?;
    let length = head.length().unwrap_or(0);
    let (started, mut read, mut buffer) = (Instant::now(), 0, vec![0; 16 * 1024]);
    while read < length {
        let due = Duration::from_secs_f64(read as f64 / LINK_BYTES_PER_S as f64);
        sleep(due.saturating_sub(started.elapsed()));
        match reader.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => read += count,
        }
    }
    Ok(Outcome { status: head.status, length, read, began, ended: Instant::now() })
}
