//! Not a case: shows what no day can show, since the days of the bench begin after the first start, and
//! what a case should not rest on, since the time in which it can happen is some 300 ms long. If the
//! seed with the lowest address is killed at the first start of the system, before the cluster is
//! formed, and is started again with `bootstrap` false, no configuration is ever acknowledged.
//!
//! To run it, from the root of the project and after the build of the deploy file (`TROUBLE=0` for the
//! same without the kill):
//!
//!     rustc --edition 2021 -O -o target/review/first_start review/first_start.rs
//!     target/review/first_start

#[path = "standins/http.rs"]
#[allow(dead_code)]
mod http;
#[path = "standins/record.rs"]
mod record;
#[path = "standins/system.rs"]
#[allow(dead_code)]
mod system;

use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use record::Record;
use system::System;

/// When the control hosts start: all of them within 0.3 s.
const STARTS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(140),
    Duration::from_millis(280),
];

/// When the first one is killed, and when it is started again.
const KILL: Duration = Duration::from_millis(200);
const RESTART: Duration = Duration::from_millis(700);

/// How long the operator sends the first configuration.
const OPERATOR_LIMIT: Duration = Duration::from_secs(30);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"load-quote","host":"jepu9.example",
"path_prefix":"/cufi501/","route_kind":"idempotent","timeout_ms":3000,"target_latency_ms":300,
"priority":2,"service":"yard-desk","max_attempts":1,"phases":[],"public":true,"sticky":false,
"resumable":false}],"services":[{"name":"yard-desk","health_path":"/healthz","max_conns":110,
"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

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

/// Returns whether the first configuration was acknowledged.
fn run(trouble: bool) -> std::io::Result<bool> {
    let root = std::env::current_dir()?;
    let record = Record::new(&root.join("target/review/first_start.txt"))?;
    let mut system = System::prepare(&root, 3, 0, &record)?;
    let started = Instant::now();
    let wait_until = |at: Duration| sleep(at.saturating_sub(started.elapsed()));
    for (number, at) in STARTS.into_iter().enumerate() {
        if trouble && number == 2 {
            wait_until(KILL);
            system.controls[0].kill();
        }
        wait_until(at);
        system.controls[number].start(&root)?;
    }
    if trouble {
        let name = format!("{}.toml", system.controls[0].name);
        let settings = system.folder.join(name);
        let text = std::fs::read_to_string(&settings)?;
        let later = text.replace("first_start = true", "first_start = false");
        std::fs::write(&settings, later)?;
        wait_until(RESTART);
        system.controls[0].start(&root)?;
    }
    let acknowledged = system.apply(CONFIG, OPERATOR_LIMIT);
    println!(
        "acknowledged: {acknowledged}, {} ms after the start",
        started.elapsed().as_millis()
    );
    Ok(acknowledged)
}
