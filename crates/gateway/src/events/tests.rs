use super::*;

#[test]
fn only_complete_events_are_returned_for_every_split_of_the_bytes() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    for split in 0..text.len() {
        let mut splitter = EventSplitter::default();
        let parts = [&text.as_bytes()[..split], &text.as_bytes()[split..]];
        let returned: Vec<Bytes> = parts
            .iter()
            .filter_map(|part| splitter.push(part))
            .collect();
        let events = returned.concat();
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

#[test]
fn the_last_event_id_is_found() {
    let cases: [(&str, Option<&str>); 4] = [
        ("id: 1\ndata: a\n\nid:2\ndata: b\n\n", Some("2")),
        ("id: 7\r\ndata: a\r\n\r\n", Some("7")),
        ("data: no id: 5\n\n", None),
        ("", None),
    ];
    for (events, expected) in cases {
        assert_eq!(
            last_event_id(events.as_bytes()).as_deref(),
            expected,
            "{events:?}"
        );
    }
}
