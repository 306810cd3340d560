//! What an entry host adds to a stage, and how much it carries.

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
use crate::settings::RateArgs;
use crate::testbed::{account_key, free_address, serve_table, start_entry, wait_ready, write_keys};

/// Requests in flight while the most that a host carries is measured.
const BUSY_STREAMS: usize = 64;

/// Tokens of a stream while tokens a second are measured.
const STREAM_TOKENS: u64 = 500;

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A client with one request after another on each of some tasks.
struct RateRun {
    times: Histogram<u64>,
    whole: u64,
    cpu: Duration,
    elapsed: Duration,
}

/// Measures and prints.
pub(crate) fn run_rate(args: &RateArgs) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let (ip, _claim) = free_address()?;
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
    let keys = write_keys(ip)?;
    let control = runtime.block_on(serve_table(ip, &keys))?;
    let entry = start_entry(ip, 0, "linnetdale", host_list, control, &keys);
    wait_ready(&[entry])?;
    let direct = direct.ok_or_else(|| io::Error::other("no target"))?;
    let length = Duration::from_secs(args.seconds);

    // Interleaved, so that a change of the machine's speed meets both.
    let mut pairs = Vec::new();
    for _ in 0..3 {
        let straight = run_part(direct, "direct", 1, 0, length / 3)?;
        let through = run_part(entry, "one-stage", 1, 0, length / 3)?;
        pairs.push((straight, through));
    }
    for (straight, through) in &pairs {
        let at = |run: &RateRun, q: f64| run.times.value_at_quantile(q) as f64 / 1_000.0;
        println!(
            "one stage: direct p50 {:.3} ms p99 {:.3} ms; through an entry host p50 {:.3} ms p99 {:.3} ms; added p50 {:.3} ms p99 {:.3} ms, ratio {:.2}",
            at(straight, 0.5),
            at(straight, 0.99),
            at(through, 0.5),
            at(through, 0.99),
            at(through, 0.5) - at(straight, 0.5),
            at(through, 0.99) - at(straight, 0.99),
            at(through, 0.5) / at(straight, 0.5)
        );
    }
    let busy = run_part(entry, "one-stage", BUSY_STREAMS, 0, length)?;
    print_busy("one stage, small bodies", &busy, busy.whole as f64);
    let busy = run_part(entry, "yard-desk", BUSY_STREAMS, 1, length)?;
    print_busy("four stages", &busy, busy.whole as f64);
    let busy = run_part(entry, "yard-desk", BUSY_STREAMS, STREAM_TOKENS, length)?;
    print_busy(
        "tokens of streams",
        &busy,
        (busy.whole * STREAM_TOKENS) as f64,
    );
    runtime.shutdown_background();
    Ok(())
}

fn print_busy(what: &str, run: &RateRun, count: f64) {
    let seconds = run.elapsed.as_secs_f64();
    println!(
        "{what}: {:.0} a second, {:.0} a second of processor time (entry host, targets and sender in one process)",
        count / seconds,
        count / run.cpu.as_secs_f64()
    );
}

fn run_part(
    host: SocketAddr,
    pipeline: &'static str,
    streams: usize,
    tokens: u64,
    length: Duration,
) -> io::Result<RateRun> {
    let thread = std::thread::spawn(move || {
        let system = ntex::rt::System::new("rate", ntex::rt::DefaultRuntime);
        system.block_on(run_streams(host, pipeline, streams, tokens, length))
    });
    thread
        .join()
        .map_err(|_| io::Error::other("the sender ended early"))?
}

async fn run_streams(
    host: SocketAddr,
    pipeline: &'static str,
    streams: usize,
    tokens: u64,
    length: Duration,
) -> io::Result<RateRun> {
    let connector = Connector::new().limit(BUSY_STREAMS * 2);
    let client = Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .build(SharedCfg::new("rate"))
        .await
        .map_err(io::Error::other)?;
    let (cpu, begin) = (process_time()?, Instant::now());
    let tasks: Vec<_> = (0..streams)
        .map(|_| {
            let client = client.clone();
            ntex::rt::spawn(async move { ask_again(&client, host, pipeline, tokens, length).await })
        })
        .collect();
    let mut times = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    for task in tasks {
        let own = task
            .await
            .map_err(|_| io::Error::other("a sender was cancelled"))?;
        for micros in own {
            // The histogram grows as it needs to, so recording cannot fail.
            let _ = times.record(micros);
        }
    }
    Ok(RateRun {
        whole: times.len(),
        times,
        cpu: process_time()? - cpu,
        elapsed: begin.elapsed(),
    })
}

async fn ask_again(
    client: &Client,
    host: SocketAddr,
    pipeline: &'static str,
    tokens: u64,
    length: Duration,
) -> Vec<u64> {
    let arrival = Arrival {
        at: Duration::ZERO,
        account: 0,
        pipeline,
        deadline_ms: 2_000,
        tokens,
        marker: "rate".to_owned(),
    };
    let until = Instant::now() + length;
    let mut times = Vec::new();
    while Instant::now() < until {
        let started = Instant::now();
        let whole = if pipeline == "direct" {
            ask_target(client, host).await
        } else {
            ask_entry(client, host, &arrival).await
        };
        if whole {
            times.push(started.elapsed().as_micros() as u64);
        }
    }
    times
}

async fn ask_entry(client: &Client, host: SocketAddr, arrival: &Arrival) -> bool {
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
    let Ok(body) = response.body().limit(MAX_ANSWER_BYTES).await else {
        return false;
    };
    let text = String::from_utf8_lossy(&body);
    text.contains("\"end\":true") || text.contains("\"output\":")
}

async fn ask_target(client: &Client, host: SocketAddr) -> bool {
    let body = serde_json::json!({ "stage": "encode", "input": { "marker": "rate", "tokens": 0 } });
    let request = client
        .post(format!("http://{host}/v1/stage"))
        .header("x-attempt-id", "direct");
    match request.send_json(&body).await {
        Ok(response) => response.body().await.is_ok(),
        Err(_) => false,
    }
}

/// Returns the processor time of this process so far.
fn process_time() -> io::Result<Duration> {
    const TICKS_A_SECOND: f64 = 100.0;
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
        (ticks(11) + ticks(12)) / TICKS_A_SECOND,
    ))
}
