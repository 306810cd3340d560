//! The replicas of a plain service with their heartbeats, and the configuration that routes to them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::{call, Answer, Request};
use crate::replica::Replica;
use crate::system::{System, HEARTBEAT_MS};

pub const SERVICE: &str = "yard-desk";
pub const HOST: &str = "yard.example";
pub const PATH: &str = "/stock/check";
pub const KEY: &str = "9dnn2ctnfzs989anu6ws";

/// A configuration with one route of requests that must not be repeated.
pub fn config(version: u64, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-stock\",\"host\":\"{HOST}\",\"path_prefix\":\"/stock/\",\
         \"route_kind\":\"non_idempotent\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\"priority\":1,\
         \"service\":\"{SERVICE}\",\"max_attempts\":1,\"phases\":[],\"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"yards\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// A request of a client.
pub fn client_request(id: &str, deadline_ms: u64, body: &[u8]) -> Request {
    Request::new("POST", PATH)
        .header("Host", HOST)
        .header("Attempt-Id", id)
        .header("Deadline-Ms", &deadline_ms.to_string())
        .header("Authorization", &format!("Bearer {KEY}"))
        .body(body)
}

/// The heartbeats of a replica; they end when `stop` is called.
pub struct Heartbeats(Arc<AtomicBool>);

impl Heartbeats {
    pub fn start(replica: &Replica, controls: Vec<std::net::SocketAddr>) -> Self {
        let runs = Arc::new(AtomicBool::new(true));
        let (flag, replica) = (runs.clone(), replica.clone());
        spawn(move || {
            let mut next = 0;
            while flag.load(Ordering::SeqCst) {
                let began = Instant::now();
                let beat = replica.next_heartbeat(SERVICE, "ready");
                if !is_acknowledged(call(controls[next], &beat, Duration::from_secs(1))) {
                    // The next call goes to the next node, soon.
                    next = (next + 1) % controls.len();
                    sleep(Duration::from_millis(100));
                    continue;
                }
                sleep(Duration::from_millis(HEARTBEAT_MS).saturating_sub(began.elapsed()));
            }
        });
        Self(runs)
    }

    pub fn stop(&self) {
        self.0.store(false, Ordering::SeqCst);
    }
}

pub fn is_acknowledged(answer: Option<Answer>) -> bool {
    answer.is_some_and(|answer| (200..300).contains(&answer.status))
}

/// Starts the system, gives it a configuration, and waits until each entry host serves.
pub fn wait_served(system: &System, config: &str) -> bool {
    if !system.order("PUT", "/-/config", config, Duration::from_secs(15)) || !system.wait_ready(Duration::from_secs(10)) {
        return false;
    }
    let started = Instant::now();
    let mut number = 0;
    let mut entry = 0;
    while entry < system.entries.len() {
        if started.elapsed() > Duration::from_secs(15) {
            return false;
        }
        number += 1;
        let request = client_request(&format!("warm-{number}"), 3_000, b"warm");
        let answer = call(system.callers(entry), &request, Duration::from_secs(4));
        match answer {
            Some(answer) if answer.status == 200 => entry += 1,
            _ => sleep(Duration::from_millis(100)),
        }
    }
    true
}
