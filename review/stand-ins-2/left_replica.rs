//! Replicas leave by DELETE, and every process of the core is killed and returns. A heartbeat that a leaving
//! replica sent before its DELETE arrives seconds late.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::fleet::{client_request, config, is_acknowledged, wait_served, Heartbeats, SERVICE};
use crate::http::call;
use crate::record::Record;
use crate::replica::{Replica, Service};
use crate::system::{System, CONTACT_MS, DRAIN_MS, ZONES};
use crate::Verdict;

/// How late the heartbeat arrives.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(2_500);

/// From the acknowledgement of the DELETE to the kill of the core.
const KILL_AFTER: Duration = Duration::from_millis(200);

/// The processes of the core return within a second.
const DOWN: Duration = Duration::from_millis(500);

/// From its DELETE to the end of the replica.
const SERVES_ON: Duration = Duration::from_millis(7_000);

const CLIENT_INTERVAL: Duration = Duration::from_millis(10);
const DEADLINE_MS: u64 = 3_000;

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let Some(mut system) = System::start(3) else {
        return Verdict::NotRun;
    };
    let service = Service { slots: 6, queue: 24, work: Duration::from_millis(60), answer_bytes: 800 };
    let controls: Vec<SocketAddr> = (0..3).map(|number| system.operators(number)).collect();
    let replicas: Vec<Replica> = (0..3u8)
        .map(|number| {
            let address = system.address(200 + number, 8080);
            Replica::start(&format!("i-{number}"), address, ZONES[number as usize], service)
        })
        .collect();
    let beats: Vec<Heartbeats> = replicas.iter().map(|one| Heartbeats::start(one, controls.clone())).collect();
    if !wait_served(&system, &config(1, 3_000)) {
        record.line("the system does not serve");
        return Verdict::NotRun;
    }
    // Every machine is in touch.
    sleep(Duration::from_millis(3_500));
    let clients = Clients::start(&system);
    sleep(Duration::from_millis(1_500));

    let leaving = &replicas[0];
    beats[0].stop();
    sleep(Duration::from_millis(50));
    let late = leaving.next_heartbeat(SERVICE, "ready");
    record.line("i-0 sends a heartbeat, which is held up on its way");
    let sent_late = Instant::now();
    if !is_acknowledged(call(controls[0], &leaving.leave(), Duration::from_secs(1))) {
        record.line("the DELETE was not acknowledged");
        return Verdict::NotRun;
    }
    let left = Instant::now();
    record.line("i-0 leaves: its DELETE is acknowledged by core-0; it serves on for 7 s");
    let mut stable_since = None;
    if trouble {
        sleep(KILL_AFTER);
        for control in &mut system.controls {
            control.kill();
        }
        record.line("SIGKILL core-0, core-1, core-2");
        sleep(DOWN);
        for control in &mut system.controls {
            control.start();
        }
        record.line("core-0, core-1, core-2 start again, with their disks");
        stable_since = Some(Instant::now());
    }
    sleep(HEARTBEAT_DELAY.saturating_sub(sent_late.elapsed()));
    // It goes to the first node that answers, as each call of a replica does.
    let arrived = controls.iter().any(|control| is_acknowledged(call(*control, &late, Duration::from_secs(1))));
    record.line(&format!(
        "the heartbeat of i-0 arrives {:.1} s late; acknowledged: {arrived}",
        sent_late.elapsed().as_secs_f64()
    ));
    sleep(SERVES_ON.saturating_sub(left.elapsed()));
    leaving.end();
    let ended = Instant::now();
    record.line("i-0 ends");
    sleep(Duration::from_millis(1_500));
    let outcomes = clients.stop();

    // Machines are in touch again `contact_ms` after the last start of a process of the core.
    let in_touch = stable_since.map_or(left, |since| since + Duration::from_millis(CONTACT_MS));
    let drained = left + Duration::from_millis(DRAIN_MS);
    let from = in_touch.max(drained);
    record.line_at(from, "from here on no request may reach i-0");
    let (mut reached, mut lost) = (0, 0);
    for run in leaving.runs().iter().filter(|run| run.arrived > from && run.arrived < ended) {
        let status = outcomes.iter().find(|one| one.0 == run.id).map_or(0, |one| one.1);
        record.line_at(
            run.arrived,
            &format!(
                "{} reaches i-0 {:.1} s after its DELETE was acknowledged; its client got status {status}",
                run.id,
                (run.arrived - left).as_secs_f64()
            ),
        );
        reached += 1;
        lost += usize::from(status != 200);
    }
    record.line(&format!("{} requests sent; {reached} reached i-0 too late, {lost} of these got no success", outcomes.len()));
    match reached {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Clients that send requests at an even rate to all entry hosts in turn.
struct Clients {
    runs: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<(String, u16)>>>,
    open: Arc<AtomicUsize>,
    sender: std::thread::JoinHandle<()>,
}

impl Clients {
    fn start(system: &System) -> Self {
        let entries: Vec<SocketAddr> = (0..system.entries.len()).map(|number| system.callers(number)).collect();
        let runs = Arc::new(AtomicBool::new(true));
        let outcomes: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
        let open: Arc<AtomicUsize> = Arc::default();
        let (flag, results, count) = (runs.clone(), outcomes.clone(), open.clone());
        let sender = spawn(move || {
            let mut number = 0;
            while flag.load(Ordering::SeqCst) {
                number += 1;
                let (entry, results, count) = (entries[number % entries.len()], results.clone(), count.clone());
                count.fetch_add(1, Ordering::SeqCst);
                spawn(move || {
                    let id = format!("order-{number}");
                    let request = client_request(&id, DEADLINE_MS, id.as_bytes());
                    let answer = call(entry, &request, Duration::from_millis(DEADLINE_MS + 500));
                    results.lock().unwrap().push((id, answer.map_or(0, |answer| answer.status)));
                    count.fetch_sub(1, Ordering::SeqCst);
                });
                sleep(CLIENT_INTERVAL);
            }
        });
        Self { runs, outcomes, open, sender }
    }

    fn stop(self) -> Vec<(String, u16)> {
        self.runs.store(false, Ordering::SeqCst);
        let _ = self.sender.join();
        let started = Instant::now();
        while self.open.load(Ordering::SeqCst) > 0 && started.elapsed() < Duration::from_secs(5) {
            sleep(Duration::from_millis(20));
        }
        let outcomes = self.outcomes.lock().unwrap().clone();
        outcomes
    }
}
