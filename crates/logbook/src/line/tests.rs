use super::*;

const REFUSED: &str = "2026-09-17T19:28:22.010Z WARN event=402 host=edge-1 request=ab12 \
    RequestRefused: route=r account=acme rank=1.2 attempts=0 planned_ms=900 waits_ms=259 stages_ms=0 \
    took_ms=0 outcome=overloaded: queues too long: waits_ms=259 expected_ms=1754";

#[test]
fn a_line_is_parsed_into_its_fields() {
    let line = LogLine::parse(REFUSED).unwrap();
    assert_eq!(line.time, "2026-09-17T19:28:22.010Z");
    assert_eq!(
        (line.code, line.host.as_str()),
        (EventCode::RequestRefused, "edge-1")
    );
    assert_eq!((line.request.as_deref(), line.peer), (Some("ab12"), None));
    let line = LogLine::parse(REFUSED).unwrap();
    assert_eq!(line.field("rank"), Some("1.2"));
    assert_eq!(line.field_ms("planned_ms"), Some(900));
    assert_eq!(line.outcome(), Some("overloaded"));
}

#[test]
fn a_prefix_of_a_log_collector_is_ignored() {
    let line = LogLine::parse(&format!("  6.28 edge-1 {REFUSED}")).unwrap();
    assert_eq!(Some(line), LogLine::parse(REFUSED));
}

#[test]
fn other_and_truncated_lines_are_rejected() {
    for text in [
        "",
        "log lines dropped=3",
        "x event=",
        "x event=402",
        "a b event=9999 host=h X: ",
    ] {
        assert_eq!(LogLine::parse(text), None, "{text}");
    }
    let cut = &REFUSED[..60];
    assert_eq!(LogLine::parse(cut), None);
}

#[test]
fn a_call_concerns_every_request_whose_pieces_it_contains() {
    let call = "2026-09-17T19:28:22.010Z INFO event=701 host=edge-1 peer=i-1 StageCallFinished: \
        service=s pieces=3 sender=- requests=ab12,cd34";
    let line = LogLine::parse(call).unwrap();
    assert!(line.concerns("cd34") && line.concerns("ab12") && !line.concerns("ab1"));
}

#[test]
fn invalid_utf_8_skips_only_its_own_line() {
    let mut bytes = b"\xff\xfe event=1\n".to_vec();
    bytes.extend(REFUSED.as_bytes());
    assert_eq!(read_lines(bytes.as_slice()).unwrap().len(), 1);
}
