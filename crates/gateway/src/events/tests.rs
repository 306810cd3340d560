use super::*;

#[test]
fn only_whole_events_are_handed_out_however_the_bytes_are_cut() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    for cut in 0..text.len() {
        let mut splitter = EventSplitter::default();
        let parts = [&text.as_bytes()[..cut], &text.as_bytes()[cut..]];
        let given: Vec<Bytes> = parts
            .iter()
            .filter_map(|part| splitter.push(part))
            .collect();
        let whole = given.concat();
        assert_eq!(
            whole, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            "cut at {cut}"
        );
        assert_eq!(&splitter.rest()[..], b"id: 3\nda", "cut at {cut}");
    }
}

#[test]
fn the_last_id_is_found() {
    let cases: [(&str, Option<&str>); 4] = [
        ("id: 1\ndata: a\n\nid:2\ndata: b\n\n", Some("2")),
        ("id: 7\r\ndata: a\r\n\r\n", Some("7")),
        ("data: no id: 5\n\n", None),
        ("", None),
    ];
    for (events, wanted) in cases {
        assert_eq!(
            last_event_id(events.as_bytes()).as_deref(),
            wanted,
            "{events:?}"
        );
    }
}
