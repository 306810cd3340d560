use super::*;
use crate::read_lines;

const LOG: &str = "\
2026-09-17T19:28:20.000Z WARN event=504 host=edge-2 peer=i-1 TargetEjected: service=s cause=reset
2026-09-17T19:28:21.000Z INFO event=701 host=edge-2 peer=i-9 StageCallFinished: pieces=2 took_ms=170 requests=zz,ab12
2026-09-17T19:28:22.000Z WARN event=412 host=edge-1 request=ab12 peer=i-1 AttemptFailed: cause=status 409
2026-09-17T19:28:22.500Z WARN event=404 host=edge-1 request=ab12 peer=i-1 RequestFailed: planned_ms=500 took_ms=2400 outcome=target_failed: reset
2026-09-17T19:28:23.000Z WARN event=612 host=edge-1 peer=i-1 TargetSilent: service=s
2026-09-17T19:28:24.000Z WARN event=402 host=edge-1 request=cd34 RequestRefused: outcome=overloaded: queues too long";

fn lines() -> Vec<LogLine> {
    read_lines(LOG.as_bytes()).unwrap()
}

fn code_and_host(line: &LogLine) -> (EventCode, &str) {
    (line.code, &line.host)
}

#[test]
fn a_failure_includes_its_stage_calls_and_earlier_target_events() {
    let history = explain_request(&lines(), "ab12").unwrap();
    let codes: Vec<EventCode> = history.lines.iter().map(|line| line.code).collect();
    assert_eq!(
        codes,
        [
            EventCode::StageCallFinished,
            EventCode::AttemptFailed,
            EventCode::RequestFailed
        ]
    );
    let [target] = &history.target_lines[..] else {
        panic!("{:?}", history.target_lines);
    };
    assert_eq!(target.code, EventCode::TargetEjected);
    assert_eq!(
        history.summary,
        "failed, it may have run at edge-1: target_failed: reset; planned 500 ms, took 2400 ms"
    );
}

#[test]
fn the_summary_of_a_refusal_states_that_it_did_not_run() {
    let history = explain_request(&lines(), "cd34").unwrap();
    assert!(
        history
            .summary
            .starts_with("refused, it did not run at edge-1")
    );
    assert!(history.target_lines.is_empty());
}

/// Guards against complaints that can't be answered: the response has the retry delay, and the log
/// did not.
#[test]
fn the_summary_of_a_refusal_has_its_forecast_and_retry_delay() {
    const LOG: &str = "2026-09-17T19:28:24.000Z WARN event=402 host=edge-1 request=cd34 RequestRefused: rank=1.2 planned_ms=1754 took_ms=0 retry_after_ms=812 outcome=overloaded: queues too long: waits_ms=259 expected_ms=1754 objective_left_ms=1400";
    let lines = read_lines(LOG.as_bytes()).unwrap();
    let history = explain_request(&lines, "cd34").unwrap();
    assert_eq!(
        history.summary,
        "refused, it did not run at edge-1: overloaded: queues too long: waits_ms=259 expected_ms=1754 objective_left_ms=1400; told to retry after 812 ms; planned 1754 ms, took 0 ms"
    );
}

/// A caller's retry has another id; the request key links it to the crashes of the earlier
/// attempts.
#[test]
fn a_held_request_includes_the_crashes_under_its_other_ids() {
    const LOG: &str = "\
2026-09-17T19:28:20.000Z WARN event=420 host=edge-2 request=a1 peer=i-1 RequestAccused: key=f00 account=a method=GET path=h/x ran_ms=70 ends=1
2026-09-17T19:28:20.000Z WARN event=420 host=edge-2 request=b1 peer=i-1 RequestAccused: key=b44 account=b method=GET path=h/y ran_ms=900 ends=1
2026-09-17T19:28:21.000Z WARN event=422 host=edge-3 RequestHeld: key=f00 account=a method=GET path=h/x ends=3
2026-09-17T19:28:24.000Z WARN event=402 host=edge-1 request=a9 RequestRefused: took_ms=0 outcome=ends_targets: 3 targets ended while this request ran, the last one 3000 ms ago; key=f00";
    let lines = read_lines(LOG.as_bytes()).unwrap();
    let history = explain_request(&lines, "a9").unwrap();
    let held: Vec<EventCode> = history.held_lines.iter().map(|line| line.code).collect();
    assert_eq!(held, [EventCode::RequestAccused, EventCode::RequestHeld]);
    assert!(history.summary.contains("ends_targets: 3 targets ended"));
}

/// The request was sent to none of these targets, so that they do not appear as its peers.
#[test]
fn a_refusal_for_an_unavailable_service_includes_the_notices_of_its_targets() {
    const LOG: &str = "\
2026-09-17T19:28:20.000Z WARN event=507 host=edge-1 peer=i-1 TargetBackedOff: service=s wait_ms=3000 former_left_ms=0
2026-09-17T19:28:20.000Z WARN event=507 host=edge-2 peer=i-2 TargetBackedOff: service=s wait_ms=3000 former_left_ms=0
2026-09-17T19:28:20.000Z WARN event=507 host=edge-1 peer=i-3 TargetBackedOff: service=t wait_ms=3000 former_left_ms=0
2026-09-17T19:28:20.500Z INFO event=502 host=edge-1 peer=i-4 TargetLeaving: service=s cause=said in an answer
2026-09-17T19:28:21.000Z WARN event=402 host=edge-1 request=a9 RequestRefused: took_ms=0 outcome=overloaded: every target of s wants no requests, the first one for 1999 ms";
    let lines = read_lines(LOG.as_bytes()).unwrap();
    let history = explain_request(&lines, "a9").unwrap();
    let targets = history.target_lines.iter().map(|line| line.peer.as_deref());
    assert_eq!(targets.collect::<Vec<_>>(), [Some("i-1"), Some("i-4")]);
}

#[test]
fn a_refusal_for_used_up_rate_limits_includes_these_limits() {
    const LOG: &str = "\
2026-09-17T19:28:20.000Z WARN event=509 host=edge-1 peer=i-1 RateNamed: service=s per_s=1 former=any sent=0 withheld=0 cause=answered
2026-09-17T19:28:20.000Z WARN event=509 host=edge-1 peer=i-2 RateNamed: service=t per_s=1 former=any sent=0 withheld=0 cause=answered
2026-09-17T19:28:21.000Z WARN event=402 host=edge-1 request=a9 RequestRefused: took_ms=0 outcome=overloaded: every target of s names a rate that is used up, the first one for 700 ms";
    let lines = read_lines(LOG.as_bytes()).unwrap();
    let history = explain_request(&lines, "a9").unwrap();
    let targets = history.target_lines.iter().map(|line| line.peer.as_deref());
    assert_eq!(targets.collect::<Vec<_>>(), [Some("i-1")]);
    assert!(history.summary.contains("names a rate that is used up"));
}

#[test]
fn requests_without_an_end_or_without_lines_are_reported_as_such() {
    let history = explain_request(&lines(), "zz").unwrap();
    assert!(history.summary.starts_with("no line tells its end"));
    assert_eq!(explain_request(&lines(), "unknown"), None);
}

/// Guards against a refusal by a held part that leads nowhere: its id and the ids of the requests
/// under which targets crashed have only the part in common.
#[test]
fn a_refusal_by_a_held_part_includes_the_crashes_under_requests_with_the_part() {
    const LOG: &str = "\
2026-09-17T19:28:20.000Z WARN event=420 host=edge-2 request=a1 peer=i-1 RequestAccused: key=f00 account=acme method=GET path=h/x parts=aa,bb ran_ms=70 ends=1
2026-09-17T19:28:20.100Z WARN event=420 host=edge-2 request=b1 peer=i-1 RequestAccused: key=b44 account=other method=GET path=h/y parts=bb ran_ms=90 ends=1
2026-09-17T19:28:20.200Z WARN event=420 host=edge-2 request=c1 peer=i-2 RequestAccused: key=c55 account=acme method=GET path=h/y parts=bbb,cc ran_ms=90 ends=1
2026-09-17T19:28:20.300Z WARN event=429 host=edge-3 request=d1 peer=i-3 PartAccused: parts=bb ended_ms=12
2026-09-17T19:28:21.000Z ERROR event=426 host=edge-1 PartHeld: key=5d83 service=s account=acme part=bb crashes=4 runs=0 origins=4
2026-09-17T19:28:21.001Z ERROR event=426 host=edge-2 PartHeld: key=5d83 service=s account=acme part=bb crashes=4 runs=0 origins=4
2026-09-17T19:28:21.002Z ERROR event=426 host=edge-1 PartHeld: key=77aa service=s account=* part=aa crashes=9 runs=0 origins=4
2026-09-17T19:28:23.000Z WARN event=427 host=edge-2 request=e1 PartTried: key=5d83 service=s account=acme part=bb trials=1
2026-09-17T19:28:24.000Z WARN event=402 host=edge-1 request=a9 RequestRefused: took_ms=0 outcome=ends_targets: 4 targets of s crashed under requests with part bb of their prompts, the last one or its trial 1200 ms ago; key=5d83
2026-09-17T19:28:25.000Z WARN event=420 host=edge-2 request=f1 peer=i-4 RequestAccused: key=f99 account=acme method=GET path=h/x parts=bb ran_ms=70 ends=1
2026-09-17T19:28:26.000Z INFO event=428 host=edge-1 PartReleased: key=5d83";
    let lines = read_lines(LOG.as_bytes()).unwrap();
    let history = explain_request(&lines, "a9").unwrap();
    let told: Vec<_> = history.part_lines.iter().map(code_and_host).collect();
    assert_eq!(
        told,
        [
            (EventCode::RequestAccused, "edge-2"),
            (EventCode::PartAccused, "edge-3"),
            (EventCode::PartHeld, "edge-1"),
            (EventCode::PartTried, "edge-2"),
        ]
    );
    let accused = history.part_lines[0].request.as_deref();
    assert_eq!(accused, Some("a1"));
}

/// A host that holds a part by what others reported has written no line about it if its log begins
/// later; a part that is held for all accounts is accused by the requests of each.
#[test]
fn a_refusal_without_own_lines_about_its_part_includes_those_of_other_hosts() {
    const LOG: &str = "\
2026-09-17T19:28:20.000Z WARN event=420 host=edge-2 request=a1 peer=i-1 RequestAccused: key=f00 account=acme method=GET path=h/x parts=bb ran_ms=70 ends=1
2026-09-17T19:28:20.100Z WARN event=420 host=edge-2 request=b1 peer=i-1 RequestAccused: key=b44 account=other method=GET path=h/y parts=bb ran_ms=90 ends=1
2026-09-17T19:28:21.001Z ERROR event=426 host=edge-2 PartHeld: key=5d83 service=s account=* part=bb crashes=4 runs=0 origins=4
2026-09-17T19:28:24.000Z WARN event=402 host=edge-1 request=a9 RequestRefused: retry_after_ms=900 outcome=may_end_targets: crashes under requests with part bb; key=5d83";
    let lines = read_lines(LOG.as_bytes()).unwrap();
    let history = explain_request(&lines, "a9").unwrap();
    let told: Vec<_> = history.part_lines.iter().map(code_and_host).collect();
    assert_eq!(
        told,
        [
            (EventCode::RequestAccused, "edge-2"),
            (EventCode::RequestAccused, "edge-2"),
            (EventCode::PartHeld, "edge-2"),
        ]
    );
}

/// Guards against refusals by an old configuration that look like those of wrong requests.
#[test]
fn a_refusal_by_the_configuration_includes_the_configurations_of_its_host() {
    const LOG: &str = "\
2026-09-17T19:28:19.000Z INFO event=101 host=edge-1 ProcessStarted: build=1
2026-09-17T19:28:19.500Z INFO event=603 host=edge-1 RoutingInForce: version=3 routes=1 services=1 accounts=1
2026-09-17T19:28:19.600Z INFO event=603 host=edge-2 RoutingInForce: version=3 routes=1 services=1 accounts=1
2026-09-17T19:28:20.000Z WARN event=621 host=edge-1 peer=10.0.0.1:9200 ControlLost: cause=reset
2026-09-17T19:28:21.000Z INFO event=601 host=control-1 RoutingAccepted: version=4
2026-09-17T19:28:24.000Z WARN event=402 host=edge-1 request=a9 RequestRefused: version=3 config_age_ms=4500 control_age_ms=4000 connected=false outcome=no_route: no route for host and path \"h/x\"
2026-09-17T19:28:24.500Z INFO event=603 host=edge-1 RoutingInForce: version=4 routes=2 services=1 accounts=1
2026-09-17T19:28:25.000Z WARN event=402 host=edge-1 request=b9 RequestRefused: outcome=overloaded: queues too long";
    let lines = read_lines(LOG.as_bytes()).unwrap();
    let cases = [
        (
            "a9",
            &[
                (EventCode::ProcessStarted, "edge-1"),
                (EventCode::RoutingInForce, "edge-1"),
                (EventCode::ControlLost, "edge-1"),
                (EventCode::RoutingAccepted, "control-1"),
            ][..],
        ),
        ("b9", &[]),
    ];
    for (id, codes) in cases {
        let history = explain_request(&lines, id).unwrap();
        let told: Vec<_> = history.config_lines.iter().map(code_and_host).collect();
        assert_eq!(told, codes, "{id}");
    }
}

/// Guards against a stream whose first request leads to none of those that took it up, and the reverse.
#[test]
fn each_request_of_a_stream_leads_to_all_others() {
    const LOG: &str = "\
2026-09-17T19:28:20.000Z INFO event=403 host=edge-1 request=a1 RequestFinished: outcome=answered
2026-09-17T19:28:21.000Z INFO event=418 host=edge-2 request=a2 StreamTakenUp: route=r origin=peer resumes=a1
2026-09-17T19:28:22.000Z INFO event=434 host=edge-2 request=a2 TakeupEnded: resumes=a1 end=cut
2026-09-17T19:28:23.000Z INFO event=418 host=edge-3 request=a3 StreamTakenUp: route=r origin=peer resumes=a2
2026-09-17T19:28:24.000Z INFO event=418 host=edge-3 request=b2 StreamTakenUp: route=r origin=peer resumes=-";
    let lines = read_lines(LOG.as_bytes()).unwrap();
    let cases = [
        ("a1", vec!["a2", "a2", "a3"]),
        ("a2", vec!["a3"]),
        ("a3", vec!["a2", "a2"]),
        ("b2", vec![]),
    ];
    for (request, others) in cases {
        let history = explain_request(&lines, request).unwrap();
        let found = history.takeup_lines.iter();
        let found: Vec<&str> = found.filter_map(|line| line.request.as_deref()).collect();
        assert_eq!(found, others, "{request}");
    }
}
