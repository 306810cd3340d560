use super::*;

fn last_event_id(events: &[u8]) -> Option<&[u8]> {
    let mut rest = events;
    let heads = std::iter::from_fn(|| {
        let event = next_event(rest)?;
        rest = &rest[event.len..];
        Some(event)
    });
    heads.filter_map(|event| event.id).last()
}

/// Pushes a text in two parts; returns the splitter and the events that it returned.
fn push_in_two(text: &str, split: usize) -> (EventSplitter, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let (first, rest) = text.as_bytes().split_at(split);
    let returned = [first, rest].map(|part| splitter.push(part).unwrap().unwrap_or_default());
    (splitter, returned.concat())
}

#[test]
fn only_complete_events_are_returned_for_every_split_of_the_bytes() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    for split in 0..text.len() {
        let (mut splitter, events) = push_in_two(text, split);
        assert_eq!(
            events, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            "split at {split}"
        );
        assert_eq!(
            &splitter.take_remainder()[..],
            b"id: 3\nda",
            "split at {split}"
        );
    }
}

/// Guards against a position that differs from the one of the caller, which reads the lines by the
/// format of event streams.
#[test]
fn the_id_of_an_event_is_that_of_its_last_valid_id_line() {
    let cases: [(&str, Option<&str>, bool); 14] = [
        ("id: 1\ndata: a\n\n", Some("1"), true),
        ("id:2\ndata\n\n", Some("2"), true),
        ("id: 7\r\ndata: a\r\n\r\n", Some("7"), true),
        ("id: 7\rdata: a\r\r", Some("7"), true),
        ("id: 7\n\n", Some("7"), false),
        ("id:  7 \n\n", Some(" 7 "), false),
        ("id: 1\nid: 2\ndata: a\n\n", Some("2"), true),
        ("id: 1\nid: 2\0\ndata: a\n\n", Some("1"), true),
        ("id\ndata: a\n\n", Some(""), true),
        ("id:\ndata: a\n\n", Some(""), true),
        ("weight-versions:2\nid: 3\ndata: a\n\n", Some("3"), true),
        ("data: no id: 5\nids: 5\n id: 5\n\n", None, true),
        (": id: 5\n\n", None, false),
        ("\n", None, false),
    ];
    for (text, id, has_data) in cases {
        let wanted = EventHead {
            len: text.len(),
            id: id.map(str::as_bytes),
            has_data,
        };
        let followed = format!("{text}id: 9\n\n");
        assert_eq!(next_event(followed.as_bytes()), Some(wanted), "{text:?}");
    }
    for text in ["", "id: 1", "id: 1\n", "id: 1\ndata: a\n"] {
        assert_eq!(next_event(text.as_bytes()), None, "{text:?}");
    }
}

/// Guards against a stream that never yields an event, or is taken for broken, because of its line
/// endings.
#[test]
fn events_end_with_a_blank_line_whatever_ends_the_lines() {
    for end in ["\n", "\r\n", "\r"] {
        let events = [
            "id: 1", "data: a", "", ": note", "", "id: 2", "data: b", "", "",
        ]
        .join(end);
        let text = format!("{events}id: 3{end}data: c");
        for split in 0..=text.len() {
            let (splitter, returned) = push_in_two(&text, split);
            assert_eq!(returned, events.as_bytes(), "{end:?}, split at {split}");
            assert_eq!(last_event_id(&returned), Some(&b"2"[..]));
            assert_eq!(splitter.partial_bytes(), text.len() - events.len());
        }
    }
}

#[test]
fn blank_lines_and_comments_at_the_end_are_no_partial_event() {
    let cases = [
        ("", false),
        ("\n", false),
        (": note", false),
        (": note\r\n: another", false),
        ("d", true),
        ("data: a\n", true),
        (": note\nid: 2\n", true),
    ];
    for (rest, expected) in cases {
        let mut splitter = EventSplitter::default();
        splitter
            .push(format!("data: a\n\n{rest}").as_bytes())
            .unwrap();
        assert_eq!(splitter.partial_bytes() > 0, expected, "{rest:?}");
    }
}

/// Guards against a complete document on a streaming route that is taken for a broken stream.
#[test]
fn a_response_of_another_type_is_no_event_stream() {
    let cases = [
        (None, true),
        (Some("text/event-stream"), true),
        (Some("Text/Event-Stream; charset=utf-8"), true),
        (Some("application/json"), false),
    ];
    for (media_type, expected) in cases {
        let mut headers = HeaderMap::new();
        if let Some(media_type) = media_type {
            headers.insert(header::CONTENT_TYPE, media_type.parse().unwrap());
        }
        assert_eq!(is_event_stream(&headers), expected, "{media_type:?}");
    }
}

/// Guards against memory that grows with an event that never ends.
#[test]
fn an_event_without_an_end_is_an_error() {
    let mut splitter = EventSplitter::default();
    let part = vec![b'x'; MAX_EVENT_BYTES / 4];
    let pushed: Vec<_> = (0..5).map(|_| splitter.push(&part)).collect();
    assert_eq!(pushed[..4], vec![Ok(None); 4]);
    assert_eq!(pushed[4], Err(EventTooLong));
}

#[test]
fn a_long_stream_of_short_events_is_no_error() {
    let mut splitter = EventSplitter::default();
    for number in 0..3 * MAX_EVENT_BYTES / 16 {
        let event = format!("id: {number:06}\n\ndata");
        assert!(splitter.push(event.as_bytes()).is_ok());
    }
}

/// Guards against whole events that are lost with the beginning of one that is too long.
#[test]
fn whole_events_before_one_that_is_too_long_are_returned_first() {
    let mut splitter = EventSplitter::default();
    let mut bytes = b"data: whole\n\n".to_vec();
    bytes.resize(bytes.len() + MAX_EVENT_BYTES + 1, b'x');
    let whole = Bytes::from_static(b"data: whole\n\n");
    assert_eq!(splitter.push(&bytes), Ok(Some(whole)));
    assert_eq!(splitter.push(b"x"), Err(EventTooLong));
}
