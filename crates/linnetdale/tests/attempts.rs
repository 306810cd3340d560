//! Every fault of a target at every stage, for requests that may run twice and that may not.
//!
//! The targets keep a ledger of what they really ran; what each caller was told is compared with
//! it, and no difference is allowed.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time::{Duration, Instant};

use linnetdale::fakes::FaultKind::{self, *};
use support::cluster::{Cluster, ClusterPlan};
use support::http::CallerRequest;
use support::ledger::{Told, differences, marked_request};
use support::wait_until;

fn one_entry(replicas: usize) -> Cluster {
    Cluster::start(ClusterPlan {
        entries: 1,
        halls: 1,
        replicas,
        ..ClusterPlan::default()
    })
}

/// Sends one request through a fault and returns what the caller was told.
fn send_through(cluster: &Cluster, stage: &str, fault: FaultKind, once: bool) -> Told {
    let marker = format!("{stage}-{fault:?}-{once}");
    cluster.world.order_fault(&format!("{stage}-0"), fault, 1);
    cluster.world.order_fault(&format!("{stage}-1"), fault, 1);
    let mut request = marked_request(&marker).with("x-deadline-ms", "2500");
    if once {
        request = request.with("x-repeatable", "no");
    }
    let answer = request.send(cluster.callers(0));
    cluster.world.end_faults();
    Told {
        marker,
        once,
        answer,
    }
}

const STAGE_FAULTS: [FaultKind; 11] = [
    CloseBefore,
    CloseAfterRun,
    Freeze,
    Late,
    Foreign,
    Twice,
    Short,
    Garbage,
    BadBody,
    Error,
    Busy,
];

const STREAM_FAULTS: [FaultKind; 10] = [
    CloseBefore,
    CloseAfterRun,
    Freeze,
    Foreign,
    Garbage,
    Error,
    CutStream,
    DoubleToken,
    SkipToken,
    NoEndMark,
];

#[test]
fn faults_of_stage_pools_never_mix_lose_or_double_an_answer() {
    // Three replicas, two of them at fault: a third can always take a request that may run twice.
    let cluster = one_entry(3);
    check_faults(&cluster, "retrieve", &STAGE_FAULTS);
}

#[test]
fn faults_of_engines_never_mix_lose_or_double_an_answer() {
    let cluster = one_entry(3);
    check_faults(&cluster, "generate", &STREAM_FAULTS);
}

fn check_faults(cluster: &Cluster, stage: &str, faults: &[FaultKind]) {
    // What a stage usually takes must be known, or patience is half the deadline.
    for number in 0..5 {
        let answer = marked_request(&format!("warm-{number}"))
            .send(cluster.callers(0))
            .unwrap();
        assert!(answer.tokens().is_some(), "{answer:?}");
    }
    let mut found = Vec::new();
    for fault in faults {
        for once in [false, true] {
            let told = send_through(cluster, stage, *fault, once);
            let answer = told.answer.as_ref().unwrap();
            found.extend(differences(&cluster.world, &told));
            if !once && answer.ran() != "whole" {
                found.push(format!(
                    "{fault:?}: a request that may run twice was given up: {answer:?}"
                ));
            }
            if answer.ran() == "whole" && answer.status != 200 {
                found.push(format!("{fault:?}: {answer:?}"));
            }
        }
        // The next request meets no remains of the fault.
        let marker = format!("after-{fault:?}");
        let answer = marked_request(&marker).send(cluster.callers(0));
        found.extend(differences(
            &cluster.world,
            &Told {
                marker,
                once: false,
                answer,
            },
        ));
    }
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn a_refusal_that_proves_nothing_ran_lets_even_a_once_only_request_go_elsewhere() {
    let cluster = one_entry(2);
    for (fault, stage) in [(Busy, "encode"), (Leaving, "retrieve")] {
        let marker = format!("elsewhere-{fault:?}");
        cluster.world.order_fault(&format!("{stage}-0"), fault, 1);
        let request = marked_request(&marker).with("x-repeatable", "no");
        let answer = request.send(cluster.callers(0));
        cluster.world.end_faults();
        assert_eq!(answer.as_ref().unwrap().ran(), "whole", "{answer:?}");
        let told = Told {
            marker,
            once: true,
            answer,
        };
        assert_eq!(differences(&cluster.world, &told), Vec::<String>::new());
    }
}

#[test]
fn a_stream_goes_on_at_another_engine_from_the_token_it_had_reached() {
    let cluster = one_entry(2);
    cluster.world.order_fault("generate-0", CutStream, 1);
    cluster.world.order_fault("generate-1", CutStream, 1);
    let answer = marked_request("resumed").send(cluster.callers(0)).unwrap();
    let events = cluster.operator.timeline(cluster.entry_ops(0));
    let resumed = linnetdale::telemetry::EventCode::StreamResumed;
    let details: Vec<_> = events
        .iter()
        .filter(|event| event.request == answer.request && event.code == resumed)
        .map(|event| event.detail.as_str())
        .collect();
    assert_eq!(details, ["from token 2", "from token 4"]);
    let told = Told {
        marker: "resumed".to_owned(),
        once: false,
        answer: Some(answer),
    };
    assert_eq!(differences(&cluster.world, &told), Vec::<String>::new());
}

#[test]
fn dropped_answers_are_counted_and_shown() {
    let cluster = one_entry(2);
    cluster.world.order_fault("encode-", Foreign, 1);
    let answer = marked_request("foreign").send(cluster.callers(0)).unwrap();
    assert_eq!(answer.ran(), "whole");
    let events = cluster.operator.timeline(cluster.entry_ops(0));
    let dropped = linnetdale::telemetry::EventCode::AnswerDropped;
    let count = events
        .iter()
        .filter(|event| event.request == answer.request && event.code == dropped)
        .count();
    assert!((1..=2).contains(&count), "{count}");
    let metrics = CallerRequest::to_path("GET", "/metrics", b"")
        .send(cluster.entry_ops(0))
        .unwrap();
    assert!(
        metrics.body.contains(&format!(
            "answers_dropped_total{{cause=\"the answer is another attempt's\"}} {count}"
        )),
        "{}",
        metrics.body
    );
}

#[test]
fn a_request_given_up_on_is_answered_at_once_with_when_to_come_back() {
    let cluster = one_entry(1);
    for number in 0..3 {
        marked_request(&format!("warm-{number}"))
            .send(cluster.callers(0))
            .unwrap();
    }
    // Every attempt is refused by the only target of the stage.
    cluster.world.order_fault("rerank-0", Busy, 1_000);
    let started = Instant::now();
    let answer = marked_request("hopeless").send(cluster.callers(0)).unwrap();
    // The deadline is 4 s; the bound only tells "at once" from "held back until then".
    assert!(started.elapsed() < Duration::from_millis(2_000));
    assert_eq!(
        (answer.code().as_str(), answer.ran().as_str()),
        ("target_failed", "yes")
    );
    assert!(answer.retry_after.is_some());
}

#[test]
fn a_caller_that_goes_away_lets_its_target_go() {
    let cluster = one_entry(1);
    let input = serde_json::json!({ "marker": "gone", "tokens": 4_000 });
    let request = CallerRequest::to_pipeline("yard-desk", &input);
    let mut lines = 0;
    request.stream(cluster.callers(0), |_| {
        lines += 1;
        lines == 3
    });
    wait_until("nothing is in flight", || {
        let status = cluster.operator.entry_status(cluster.entry_ops(0)).unwrap();
        status.in_flight == 0 && status.targets.iter().all(|target| target.in_flight == 0)
    });
}

#[test]
fn a_burst_of_new_connections_to_one_target_is_answered() {
    let cluster = one_entry(1);
    marked_request("warm").send(cluster.callers(0)).unwrap();
    // Each of these needs a connection of its own to the only target of each stage.
    for round in 0..5 {
        let told: Vec<_> = std::thread::scope(|scope| {
            let senders: Vec<_> = (0..24)
                .map(|number| {
                    let marker = format!("burst-{round}-{number}");
                    let request = marked_request(&marker).with("x-repeatable", "no");
                    let host = cluster.callers(0);
                    scope.spawn(move || Told {
                        marker,
                        once: true,
                        answer: request.send(host),
                    })
                })
                .collect();
            senders
                .into_iter()
                .map(|sender| sender.join().unwrap())
                .collect()
        });
        for told in told {
            assert_eq!(
                told.answer.as_ref().unwrap().ran(),
                "whole",
                "{:?}",
                told.answer
            );
            assert_eq!(differences(&cluster.world, &told), Vec::<String>::new());
        }
    }
}
