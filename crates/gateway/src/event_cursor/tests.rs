use super::*;

/// Runs of a stream, what of them is passed on, and the position after it.
struct CursorCase {
    name: &'static str,
    after: &'static str,
    runs: &'static [&'static [&'static str]],
    passed: &'static [&'static [&'static str]],
    position: Option<&'static str>,
}

fn text(ids: &[&str]) -> String {
    ids.iter()
        .map(|id| match *id {
            "unnamed" => "data: a\n\n".to_owned(),
            "comment" => ": a\n\n".to_owned(),
            "event" => "event: a\n\n".to_owned(),
            "empty" => "id:\ndata: a\n\n".to_owned(),
            id => format!("id: {id}\ndata: a\n\n"),
        })
        .collect()
}

const CASES: &[CursorCase] = &[
    CursorCase {
        name: "one run",
        after: "",
        runs: &[&["0", "1", "2"]],
        passed: &[&["0", "1", "2"]],
        position: Some("2"),
    },
    CursorCase {
        name: "a run that goes on",
        after: "",
        runs: &[&["0", "1"], &["2", "3"]],
        passed: &[&["0", "1"], &["2", "3"]],
        position: Some("3"),
    },
    CursorCase {
        name: "a run that begins again",
        after: "",
        runs: &[&["0", "1"], &["0", "1", "2"]],
        passed: &[&["0", "1"], &[]],
        position: Some("1"),
    },
    CursorCase {
        name: "a run that repeats the last event",
        after: "",
        runs: &[&["0", "1"], &["1", "2"]],
        passed: &[&["0", "1"], &[]],
        position: Some("1"),
    },
    CursorCase {
        name: "a run that leaves out an event",
        after: "",
        runs: &[&["0", "1"], &["3", "4"]],
        passed: &[&["0", "1"], &[]],
        position: Some("1"),
    },
    CursorCase {
        name: "a repeated event",
        after: "",
        runs: &[&["0", "1", "1", "2"]],
        passed: &[&["0", "1"]],
        position: Some("1"),
    },
    CursorCase {
        name: "a lower id",
        after: "",
        runs: &[&["0", "1", "2", "1", "3"]],
        passed: &[&["0", "1", "2"]],
        position: Some("2"),
    },
    CursorCase {
        name: "gaps within a run and before the next one",
        after: "",
        runs: &[&["0", "11", "22"], &["33"]],
        passed: &[&["0", "11", "22"], &["33"]],
        position: Some("33"),
    },
    CursorCase {
        name: "a gap within a run",
        after: "",
        runs: &[&["0", "1", "5"]],
        passed: &[&["0", "1", "5"]],
        position: Some("5"),
    },
    CursorCase {
        name: "a step that one event does not show",
        after: "",
        runs: &[&["0"], &["11"]],
        passed: &[&["0"], &["11"]],
        position: Some("11"),
    },
    CursorCase {
        name: "more digits",
        after: "",
        runs: &[&["9", "10"], &["11"]],
        passed: &[&["9", "10"], &["11"]],
        position: Some("11"),
    },
    CursorCase {
        name: "a caller that takes up a stream",
        after: "4",
        runs: &[&["5", "6"]],
        passed: &[&["5", "6"]],
        position: Some("6"),
    },
    CursorCase {
        name: "a caller that gets the stream again",
        after: "4",
        runs: &[&["0", "1"]],
        passed: &[&[]],
        position: Some("4"),
    },
    CursorCase {
        name: "no numbers",
        after: "",
        runs: &[&["b", "a", "a"], &["a", "0"]],
        passed: &[&["b", "a", "a"], &["a", "0"]],
        position: Some("0"),
    },
    CursorCase {
        name: "numbers and others",
        after: "",
        runs: &[&["1", "2", "a", "1", "1"]],
        passed: &[&["1", "2", "a", "1", "1"]],
        position: Some("1"),
    },
    CursorCase {
        name: "more digits than a number has",
        after: "",
        runs: &[&["99999999999999999999", "1"]],
        passed: &[&["99999999999999999999", "1"]],
        position: Some("1"),
    },
    CursorCase {
        name: "an event without an id at the end",
        after: "",
        runs: &[&["0", "unnamed"]],
        passed: &[&["0", "unnamed"]],
        position: None,
    },
    CursorCase {
        name: "an event without an id before one with an id",
        after: "",
        runs: &[&["0", "unnamed", "1"]],
        passed: &[&["0", "unnamed", "1"]],
        position: Some("1"),
    },
    CursorCase {
        name: "an empty id",
        after: "",
        runs: &[&["0", "empty"]],
        passed: &[&["0", "empty"]],
        position: None,
    },
    CursorCase {
        name: "events that no caller gets",
        after: "",
        runs: &[&["0", "comment", "event"]],
        passed: &[&["0", "comment", "event"]],
        position: Some("0"),
    },
    CursorCase {
        name: "an id that no header can carry",
        after: "",
        runs: &[&["0", "a\u{1}"]],
        passed: &[&["0", "a\u{1}"]],
        position: None,
    },
    CursorCase {
        name: "an id that a header changes",
        after: "",
        runs: &[&["0", " a"]],
        passed: &[&["0", " a"]],
        position: None,
    },
];

/// Guards against events that are passed on twice or out of order, or left out without a break, and
/// against targets that are told another position than the caller has.
#[test]
fn events_are_passed_on_in_the_order_of_their_ids() {
    for case in CASES {
        let name = case.name;
        let mut cursor = EventCursor::after(&HeaderValue::from_static(case.after));
        for (run, (ids, passed)) in case.runs.iter().zip(case.passed).enumerate() {
            let (events, passed) = (text(ids), text(passed));
            let is_refused = cursor.check_run(events.as_bytes()).is_some();
            assert_eq!(is_refused, passed.is_empty(), "{name}, run {run}");
            if run > 0 {
                cursor.begin_run();
            }
            let (accepted, disorder) = cursor.advance(events.as_bytes());
            assert_eq!(events[..accepted], passed, "{name}, run {run}");
            assert_eq!(disorder.is_some(), accepted < events.len(), "{name}");
        }
        let position = cursor.position().ok().flatten();
        let position = position.as_ref().map(|id| id.to_str().unwrap());
        assert_eq!(position, case.position, "{name}");
    }
}

/// Guards against events that are compared only within the bytes that arrive at once.
#[test]
fn the_order_holds_over_pieces() {
    let mut cursor = EventCursor::default();
    for id in ["0", "1", "2"] {
        assert_eq!(cursor.advance(text(&[id]).as_bytes()).1, None, "{id}");
    }
    let (last, id) = (2, 1);
    let disorder = EventDisorder::NotRising { last, id };
    let events = text(&["1", "3"]);
    assert_eq!(cursor.advance(events.as_bytes()), (0, Some(disorder)));
}

/// Guards against a stream without any event that names a position.
#[test]
fn a_stream_without_events_goes_on_from_its_beginning() {
    assert_eq!(EventCursor::default().position(), Ok(None));
    let unnamed = text(&["unnamed"]);
    let mut cursor = EventCursor::default();
    cursor.advance(unnamed.as_bytes());
    assert_eq!(cursor.position(), Err(UnknownPosition));
}
