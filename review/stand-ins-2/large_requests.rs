//! Many clients come at once to a machine, with requests as large as the configuration allows. The stand-in
//! of the platform kills a process that goes over its memory, and starts it again.

use std::io::BufReader;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::fleet::{client_request, config, wait_served, Heartbeats};
use crate::http::{connect, read_answer};
use crate::record::Record;
use crate::replica::{Replica, Service};
use crate::system::{System, MEMORY_MB, ZONES};
use crate::Verdict;

/// Just below `max_body_bytes`.
const BODY_BYTES: usize = 4_000_000;

/// Clients of the machine in calm, and in the burst.
const CALM_CLIENTS: usize = 20;
const BURST_CLIENTS: usize = 52;

const DEADLINE_MS: u64 = 15_000;
const TIMEOUT_MS: u64 = 20_000;
const CALM: Duration = Duration::from_secs(4);
const BURST: Duration = Duration::from_secs(8);

/// How many requests that were passed on to a sound replica may end without an answer.
const MAX_LOST: usize = 3;

/// How a request ended at its client.
#[derive(Clone)]
struct Outcome {
    id: String,
    /// `None` if the connection ended without an answer.
    status: Option<u16>,
    /// Whether its connection had carried a request with an answer before.
    is_kept: bool,
    ended: Instant,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let Some(mut system) = System::start(3) else {
        return Verdict::NotRun;
    };
    let service = Service { slots: 6, queue: 24, work: Duration::from_millis(500), answer_bytes: 800 };
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
    let clients = Clients::default();
    clients.add(entry, 0..CALM_CLIENTS);
    record.line(&format!("{CALM_CLIENTS} clients send requests of {BODY_BYTES} bytes to edge-0, one after the other"));
    let began = Instant::now();
    let (mut in_burst, mut most, mut kills) = (false, 0, 0);
    while began.elapsed() < CALM + BURST {
        if trouble && !in_burst && began.elapsed() >= CALM {
            in_burst = true;
            record.line(&format!("most memory so far {most} MB; burst: {BURST_CLIENTS} clients"));
            clients.add(entry, CALM_CLIENTS..BURST_CLIENTS);
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
    let outcomes = clients.stop();
    record.line(&format!("most memory {most} MB; edge-0 was killed {kills} times"));
    let runs: Vec<String> = replicas.iter().flat_map(Replica::runs).map(|run| run.id).collect();
    let mut lost = 0;
    for outcome in outcomes.iter().filter(|outcome| outcome.status.is_none() && outcome.is_kept) {
        if runs.contains(&outcome.id) {
            lost += 1;
            record.line_at(outcome.ended, &format!("{}: a replica ran it; its kept connection ended without an answer", outcome.id));
        }
    }
    let served = outcomes.iter().filter(|outcome| outcome.status == Some(200)).count();
    record.line(&format!(
        "{} requests ended, {served} with success; {lost} came on kept connections, ran and got no answer; up to {MAX_LOST} may",
        outcomes.len()
    ));
    match lost > MAX_LOST {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Clients that keep their connections and send one request after the other.
#[derive(Default)]
struct Clients {
    stopped: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    threads: Mutex<Vec<std::thread::JoinHandle<()>>>,
}

impl Clients {
    fn add(&self, entry: SocketAddr, numbers: std::ops::Range<usize>) {
        for client in numbers {
            let (stopped, outcomes) = (self.stopped.clone(), self.outcomes.clone());
            let thread = spawn(move || {
                let body = vec![b'b'; BODY_BYTES];
                let mut sent = 0;
                while !stopped.load(Ordering::SeqCst) {
                    let Ok(mut socket) = connect(entry, Duration::from_millis(DEADLINE_MS)) else {
                        sleep(Duration::from_millis(100));
                        continue;
                    };
                    let Ok(kept) = socket.try_clone() else { continue };
                    let mut reader = BufReader::new(kept);
                    let mut is_kept = false;
                    while !stopped.load(Ordering::SeqCst) {
                        sent += 1;
                        let id = format!("order-{client}-{sent}");
                        // A refusal may come before the whole body is sent.
                        let _ = client_request(&id, DEADLINE_MS, &body).write(&mut socket);
                        let answer = read_answer(&mut reader).ok();
                        let status = answer.map(|answer| answer.status);
                        outcomes.lock().unwrap().push(Outcome { id, status, is_kept, ended: Instant::now() });
                        is_kept = true;
                        match status {
                            None => break,
                            Some(200) => {}
                            Some(_) => sleep(Duration::from_millis(200)),
                        }
                    }
                }
            });
            self.threads.lock().unwrap().push(thread);
        }
    }

    fn stop(self) -> Vec<Outcome> {
        self.stopped.store(true, Ordering::SeqCst);
        for thread in self.threads.into_inner().unwrap_or_default() {
            let _ = thread.join();
        }
        let outcomes = self.outcomes.lock().unwrap();
        outcomes.clone()
    }
}
