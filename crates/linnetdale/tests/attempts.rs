//! All target faults, for repeatable and non-repeatable requests.
//!
//! The targets record their runs in a ledger, with which each response to a caller is compared. No
//! contradiction is allowed.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time::{Duration, Instant};

use linnetdale::fakes::FaultKind::{self, *};
use support::cluster::{Cluster, ClusterPlan};
use support::http::CallerRequest;
use support::ledger::{RequestRecord, differences, marked_request};
use support::wait_until;

fn one_entry(replicas: usize) -> Cluster {
    Cluster::start(ClusterPlan {
        entries: 1,
        halls: 1,
        replicas,
        ..ClusterPlan::default()
    })
}

/// Sends one request while two targets have a fault; returns its record.
fn send_through(cluster: &Cluster, stage: &str, fault: FaultKind, once: bool) -> RequestRecord {
    let marker = format!("{stage}-{fault:?}-{once}");
    cluster
        .testbed
        .inject_faults(&format!("{stage}-0"), fault, 1);
    cluster
        .testbed
        .inject_faults(&format!("{stage}-1"), fault, 1);
    let mut request = marked_request(&marker).with("x-deadline-ms", "2500");
    if once {
        request = request.with("x-repeatable", "no");
    }
    let response = request.send(cluster.callers(0));
    cluster.testbed.clear_faults();
    RequestRecord {
        marker,
        once,
        response,
    }
}

const STAGE_FAULTS: [FaultKind; 13] = [
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
    Unframed,
    UnframedShort,
];

const STREAM_FAULTS: [FaultKind; 12] = [
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
    Unframed,
    UnframedShort,
];

#[test]
fn stage_faults_never_mix_lose_or_duplicate_a_response() {
    // Two of three replicas are faulty; the third can always run a repeatable request.
    let cluster = one_entry(3);
    check_faults(&cluster, "retrieve", &STAGE_FAULTS);
}

#[test]
fn engine_faults_never_mix_lose_or_duplicate_a_response() {
    let cluster = one_entry(3);
    check_faults(&cluster, "generate", &STREAM_FAULTS);
}

fn check_faults(cluster: &Cluster, stage: &str, faults: &[FaultKind]) {
    // Without known stage durations the attempt timeout is half the deadline.
    for number in 0..5 {
        let response = marked_request(&format!("warm-{number}"))
            .send(cluster.callers(0))
            .unwrap();
        assert!(response.tokens().is_some(), "{response:?}");
    }
    let mut found = Vec::new();
    for fault in faults {
        for once in [false, true] {
            let record = send_through(cluster, stage, *fault, once);
            let response = record.response.as_ref().unwrap();
            found.extend(differences(&cluster.testbed, &record));
            if !once && response.ran() != "complete" {
                found.push(format!(
                    "{fault:?}: a repeatable request failed: {response:?}"
                ));
            }
            if response.ran() == "complete" && response.status != 200 {
                found.push(format!("{fault:?}: {response:?}"));
            }
        }
        // The next request is not affected by the fault.
        let marker = format!("after-{fault:?}");
        let response = marked_request(&marker).send(cluster.callers(0));
        found.extend(differences(
            &cluster.testbed,
            &RequestRecord {
                marker,
                once: false,
                response,
            },
        ));
    }
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn a_refusal_as_not_run_lets_a_non_repeatable_request_use_another_target() {
    let cluster = one_entry(2);
    for (fault, stage) in [(Busy, "encode"), (Leaving, "retrieve")] {
        let marker = format!("elsewhere-{fault:?}");
        cluster
            .testbed
            .inject_faults(&format!("{stage}-0"), fault, 1);
        let request = marked_request(&marker).with("x-repeatable", "no");
        let response = request.send(cluster.callers(0));
        cluster.testbed.clear_faults();
        assert_eq!(response.as_ref().unwrap().ran(), "complete", "{response:?}");
        let record = RequestRecord {
            marker,
            once: true,
            response,
        };
        assert_eq!(differences(&cluster.testbed, &record), Vec::<String>::new());
    }
}

#[test]
fn a_truncated_stream_resumes_at_another_engine_from_its_last_token() {
    let cluster = one_entry(2);
    cluster.testbed.inject_faults("generate-0", CutStream, 1);
    cluster.testbed.inject_faults("generate-1", CutStream, 1);
    let response = marked_request("resumed").send(cluster.callers(0)).unwrap();
    let events = cluster.operator.timeline(cluster.entry_ops(0));
    let resumed = linnetdale::telemetry::EventCode::StreamResumed;
    let details: Vec<_> = events
        .iter()
        .filter(|event| event.request == response.request && event.code == resumed)
        .map(|event| event.detail.as_str())
        .collect();
    assert_eq!(details, ["from token 2", "from token 4"]);
    let record = RequestRecord {
        marker: "resumed".to_owned(),
        once: false,
        response: Some(response),
    };
    assert_eq!(differences(&cluster.testbed, &record), Vec::<String>::new());
}

#[test]
fn dropped_responses_are_counted_and_recorded() {
    let cluster = one_entry(2);
    cluster.testbed.inject_faults("encode-", Foreign, 1);
    let response = marked_request("foreign").send(cluster.callers(0)).unwrap();
    assert_eq!(response.ran(), "complete");
    let events = cluster.operator.timeline(cluster.entry_ops(0));
    let dropped = linnetdale::telemetry::EventCode::AnswerDropped;
    let count = events
        .iter()
        .filter(|event| event.request == response.request && event.code == dropped)
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
fn a_failed_request_is_answered_at_once_with_a_retry_time() {
    let cluster = one_entry(1);
    for number in 0..3 {
        marked_request(&format!("warm-{number}"))
            .send(cluster.callers(0))
            .unwrap();
    }
    // The only target of the stage refuses every attempt.
    cluster.testbed.inject_faults("rerank-0", Busy, 1_000);
    let started = Instant::now();
    let response = marked_request("hopeless").send(cluster.callers(0)).unwrap();
    // The deadline is 4 s; the bound distinguishes an immediate response from one at the deadline.
    assert!(started.elapsed() < Duration::from_millis(2_000));
    assert_eq!(
        (response.code().as_str(), response.ran().as_str()),
        ("target_failed", "yes")
    );
    assert!(response.retry_after.is_some());
}

#[test]
fn a_disconnected_caller_releases_its_target() {
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
fn a_burst_of_new_connections_to_one_target_succeeds() {
    let cluster = one_entry(1);
    marked_request("warm").send(cluster.callers(0)).unwrap();
    // Each of these requests needs its own connection to the only target of each stage.
    for round in 0..5 {
        let records: Vec<_> = std::thread::scope(|scope| {
            let senders: Vec<_> = (0..24)
                .map(|number| {
                    let marker = format!("burst-{round}-{number}");
                    let request = marked_request(&marker).with("x-repeatable", "no");
                    let host = cluster.callers(0);
                    scope.spawn(move || RequestRecord {
                        marker,
                        once: true,
                        response: request.send(host),
                    })
                })
                .collect();
            senders
                .into_iter()
                .map(|sender| sender.join().unwrap())
                .collect()
        });
        for record in records {
            assert_eq!(
                record.response.as_ref().unwrap().ran(),
                "complete",
                "{:?}",
                record.response
            );
            assert_eq!(differences(&cluster.testbed, &record), Vec::<String>::new());
        }
    }
}
