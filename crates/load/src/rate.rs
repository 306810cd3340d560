//! Measures the latency that an entry host adds to a stage, and its throughput.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use linnet_fakes::{
    FakeHostList, FakeTarget, HostEntry, HostListBody, TargetBehaviour, TargetKind,
};
use ntex::SharedCfg;
use ntex::client::{Client, Connector};

use crate::Arrival;
use crate::response::has_complete_output;
use crate::settings::RateArgs;
use crate::testbed::{
    account_key, reserve_address, serve_table, start_entry_host, wait_until_ready, write_peer_keys,
};

/// The number of concurrent requests in the throughput measurements.
const CONCURRENT_REQUESTS: usize = 64;

/// The number of tokens per response in the measurement of tokens per second.
const STREAM_TOKENS: u64 = 500;

/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// The results of one phase, in which each task sends one request after another.
struct PhaseResult {
    /// Durations of complete requests, in microseconds.
    durations: Histogram<u64>,
    /// The number of complete requests.
    completed: u64,
    /// Processor time that the process used.
    cpu_time: Duration,
    elapsed: Duration,
}

/// Measures latency and throughput, and prints the results.
pub(crate) fn run_rate(args: &RateArgs) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let (ip, _reservation) = reserve_address()?;
    let fast = TargetBehaviour {
        service_ms: 0.0,
        token_ms: 0.0,
        slots: 1_000,
        ..TargetBehaviour::default()
    };
    let mut hosts = Vec::new();
    let mut direct = None;
    for (kind, stage, pool) in [
        (TargetKind::Stage, "encode", "encoders"),
        (TargetKind::Stage, "retrieve", "retrievers"),
        (TargetKind::Stage, "rerank", "rerankers"),
        (TargetKind::Engine, "generate", "linnet-pool"),
    ] {
        let fake = FakeTarget::new(kind, stage, fast);
        let address = runtime.block_on(fake.spawn(SocketAddr::new(ip, 0)))?;
        direct = direct.or(Some(address));
        hosts.push(HostEntry {
            name: stage.to_owned(),
            pool: pool.to_owned(),
            address: address.to_string(),
            hall: "hall-0".to_owned(),
            state: "live".to_owned(),
        });
    }
    let list = FakeHostList::new(HostListBody {
        complete: true,
        hosts,
    });
    let host_list = runtime.block_on(list.spawn(SocketAddr::new(ip, 0)))?;
    let keys = write_peer_keys(ip)?;
    let control = runtime.block_on(serve_table(ip, &keys))?;
    let entry = start_entry_host(ip, 0, "linnetdale", host_list, control, &keys);
    wait_until_ready(&[entry])?;
    let direct = direct.ok_or_else(|| io::Error::other("no target was started"))?;
    let phase_time = Duration::from_secs(args.seconds);

    // Both measurements alternate, so that changes in the speed of the machine affect both.
    let mut pairs = Vec::new();
    for _ in 0..3 {
        let direct_run = run_phase(direct, "direct", 1, 0, phase_time / 3)?;
        let proxied_run = run_phase(entry, "one-stage", 1, 0, phase_time / 3)?;
        pairs.push((direct_run, proxied_run));
    }
    for (direct_run, proxied_run) in &pairs {
        let quantile_ms = |run: &PhaseResult, quantile: f64| {
            run.durations.value_at_quantile(quantile) as f64 / 1_000.0
        };
        println!(
            "one stage: direct p50 {:.3} ms p99 {:.3} ms; through an entry host p50 {:.3} ms p99 {:.3} ms; added p50 {:.3} ms p99 {:.3} ms, ratio {:.2}",
            quantile_ms(direct_run, 0.5),
            quantile_ms(direct_run, 0.99),
            quantile_ms(proxied_run, 0.5),
            quantile_ms(proxied_run, 0.99),
            quantile_ms(proxied_run, 0.5) - quantile_ms(direct_run, 0.5),
            quantile_ms(proxied_run, 0.99) - quantile_ms(direct_run, 0.99),
            quantile_ms(proxied_run, 0.5) / quantile_ms(direct_run, 0.5)
        );
    }
    let result = run_phase(entry, "one-stage", CONCURRENT_REQUESTS, 0, phase_time)?;
    print_throughput("one stage, small bodies", &result, result.completed as f64);
    let result = run_phase(entry, "yard-desk", CONCURRENT_REQUESTS, 1, phase_time)?;
    print_throughput("four stages", &result, result.completed as f64);
    let result = run_phase(
        entry,
        "yard-desk",
        CONCURRENT_REQUESTS,
        STREAM_TOKENS,
        phase_time,
    )?;
    print_throughput(
        "tokens of streams",
        &result,
        (result.completed * STREAM_TOKENS) as f64,
    );
    runtime.shutdown_background();
    Ok(())
}

fn print_throughput(what: &str, run: &PhaseResult, count: f64) {
    let seconds = run.elapsed.as_secs_f64();
    println!(
        "{what}: {:.0} per second, {:.0} per second of processor time (entry host, targets and sender in one process)",
        count / seconds,
        count / run.cpu_time.as_secs_f64()
    );
}

fn run_phase(
    host: SocketAddr,
    pipeline: &'static str,
    concurrency: usize,
    tokens: u64,
    phase_time: Duration,
) -> io::Result<PhaseResult> {
    let thread = std::thread::spawn(move || {
        let system = ntex::rt::System::new("rate", ntex::rt::DefaultRuntime);
        system.block_on(send_concurrently(
            host,
            pipeline,
            concurrency,
            tokens,
            phase_time,
        ))
    });
    thread
        .join()
        .map_err(|_| io::Error::other("the sender thread of the phase panicked"))?
}

async fn send_concurrently(
    host: SocketAddr,
    pipeline: &'static str,
    concurrency: usize,
    tokens: u64,
    phase_time: Duration,
) -> io::Result<PhaseResult> {
    let connector = Connector::new().limit(CONCURRENT_REQUESTS * 2);
    let client = Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .build(SharedCfg::new("rate"))
        .await
        .map_err(io::Error::other)?;
    let (cpu_start, started) = (process_cpu_time()?, Instant::now());
    let tasks: Vec<_> = (0..concurrency)
        .map(|_| {
            let client = client.clone();
            ntex::rt::spawn(async move {
                send_repeatedly(&client, host, pipeline, tokens, phase_time).await
            })
        })
        .collect();
    let mut durations = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    for task in tasks {
        let task_durations = task
            .await
            .map_err(|_| io::Error::other("a sender task was cancelled"))?;
        for micros in task_durations {
            // The histogram resizes automatically, so recording does not fail.
            let _ = durations.record(micros);
        }
    }
    Ok(PhaseResult {
        completed: durations.len(),
        durations,
        cpu_time: process_cpu_time()? - cpu_start,
        elapsed: started.elapsed(),
    })
}

async fn send_repeatedly(
    client: &Client,
    host: SocketAddr,
    pipeline: &'static str,
    tokens: u64,
    phase_time: Duration,
) -> Vec<u64> {
    let arrival = Arrival {
        at: Duration::ZERO,
        account: 0,
        pipeline,
        deadline_ms: 2_000,
        tokens,
        marker: "rate".to_owned(),
    };
    let deadline = Instant::now() + phase_time;
    let mut durations = Vec::new();
    while Instant::now() < deadline {
        let started = Instant::now();
        let is_complete = if pipeline == "direct" {
            send_to_target(client, host).await
        } else {
            send_to_entry_host(client, host, &arrival).await
        };
        if is_complete {
            durations.push(started.elapsed().as_micros() as u64);
        }
    }
    durations
}

async fn send_to_entry_host(client: &Client, host: SocketAddr, arrival: &Arrival) -> bool {
    let input = serde_json::json!({ "marker": arrival.marker, "tokens": arrival.tokens });
    let request = client
        .post(format!("http://{host}/v1/pipelines/{}", arrival.pipeline))
        .header(
            "authorization",
            format!("Bearer {}", account_key(arrival.account)),
        )
        .header("x-deadline-ms", arrival.deadline_ms.to_string());
    let Ok(response) = request.send_json(&input).await else {
        return false;
    };
    let Ok(body) = response.body().limit(MAX_RESPONSE_BYTES).await else {
        return false;
    };
    has_complete_output(&body)
}

async fn send_to_target(client: &Client, host: SocketAddr) -> bool {
    let body = serde_json::json!({ "stage": "encode", "input": { "marker": "rate", "tokens": 0 } });
    let request = client
        .post(format!("http://{host}/v1/stage"))
        .header("x-attempt-id", "direct");
    let Ok(response) = request.send_json(&body).await else {
        return false;
    };
    // The HTTP library returns a body without length and chunks as empty, and one that ends with an
    // HTTP/1.0 connection as complete.
    let body = response.body().await;
    body.is_ok_and(|body| has_complete_output(&body))
}

/// Returns the processor time that this process has used so far.
fn process_cpu_time() -> io::Result<Duration> {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    Ok(Duration::from_secs_f64(
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
    ))
}

#[cfg(test)]
mod tests;
