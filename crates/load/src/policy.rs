//! Runs dispatch policies on scenarios.

use std::io;
use std::time::{Duration, Instant};

use linnet_dispatch::PolicyChoice;

use crate::driver::send_arrivals;
use crate::report::{ScoreRow, write_report};
use crate::score::score_run;
use crate::settings::PolicyArgs;
use crate::testbed::{CAPACITY_PER_S, LoadTestbed};
use crate::{Scenario, find_scenario, generate_arrivals, scenario_names};

/// Runs every policy on every scenario, interleaved, and writes the results after each run.
pub(crate) fn run_policies(args: &PolicyArgs) -> io::Result<()> {
    let unknown = |what: &str, name: &str| io::Error::other(format!("unknown {what} {name:?}"));
    let names: Vec<String> = if args.scenarios.is_empty() {
        scenario_names().into_iter().map(str::to_owned).collect()
    } else {
        args.scenarios.clone()
    };
    let scenarios: Vec<Scenario> = names
        .iter()
        .map(|name| find_scenario(name).ok_or_else(|| unknown("scenario", name)))
        .collect::<Result<_, _>>()?;
    for policy in &args.policies {
        PolicyChoice::from_name(policy).ok_or_else(|| unknown("policy", policy))?;
    }
    std::fs::create_dir_all(&args.out)?;
    let mut rows = Vec::new();
    for round in 0..args.rounds {
        for scenario in &scenarios {
            for policy in &args.policies {
                let row = run_scenario(args, scenario, policy, args.seed + round)?;
                eprintln!("{row}");
                rows.push(row);
                write_report(&args.out, &rows)?;
            }
        }
    }
    Ok(())
}

fn run_scenario(
    args: &PolicyArgs,
    scenario: &Scenario,
    policy: &str,
    seed: u64,
) -> io::Result<ScoreRow> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let testbed = LoadTestbed::start(policy, runtime.handle())?;
    let measured = Duration::from_secs(args.seconds);
    let warm_up = measured / 2;
    let arrivals = generate_arrivals(scenario, CAPACITY_PER_S, warm_up, measured, seed);
    let run_start = Instant::now() + Duration::from_millis(50);
    let sent = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep((run_start + warm_up).saturating_duration_since(Instant::now()));
            testbed.apply_action(scenario);
        });
        send_arrivals(&testbed.caller_addresses, arrivals.clone(), run_start)
    })?;
    if sent.len() != arrivals.len() {
        let message = format!(
            "only {} of {} requests have an outcome",
            sent.len(),
            arrivals.len()
        );
        return Err(io::Error::other(message));
    }
    let score = score_run(scenario, &sent, &testbed.run_times(), warm_up, measured);
    runtime.shutdown_background();
    Ok(ScoreRow {
        scenario: scenario.name.to_owned(),
        policy: policy.to_owned(),
        seed,
        score,
    })
}
