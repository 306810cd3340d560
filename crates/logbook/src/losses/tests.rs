use super::*;

fn line(code: EventCode, detail: &str) -> LogLine {
    LogLine {
        time: "2026-09-17T19:28:22.010Z".to_owned(),
        code,
        host: "edge-1".to_owned(),
        request: Some("ab12".to_owned()),
        peer: None,
        detail: detail.to_owned(),
    }
}

fn answered(planned: u64, took: u64) -> LogLine {
    let detail = format!(
        "route=r account=acme rank=1.2 attempts=1 planned_ms={planned} stages_ms=5 took_ms={took} outcome=answered"
    );
    line(EventCode::RequestFinished, &detail)
}

#[test]
fn each_request_counts_once_even_if_its_stream_is_interrupted() {
    let mut lines: Vec<LogLine> = (1..=10).map(|n| answered(n * 10, n * 100)).collect();
    let ended = "route=r chunks=9 took_ms=900 outcome=stream ended";
    lines.push(line(EventCode::RequestFinished, ended));
    let cut = "route=r rank=1.2 chunks=3 outcome=stream cut cause=reset";
    lines.push(line(EventCode::RequestFailed, cut));
    let refused = "route=r rank=1.2 outcome=overloaded: queues too long: waits_ms=259";
    lines.push(line(EventCode::RequestRefused, refused));
    let failed = "route=r rank=1.2 outcome=target_failed: connection error";
    lines.push(line(EventCode::RequestFailed, failed));
    let status = "route=r rank=1.2 outcome=status 500";
    lines.push(line(EventCode::RequestFailed, status));
    let table = LossTable::new(&lines, LossGroup::Rank);
    let row = &table.rows["1.2"];
    assert_eq!((row.answered, row.cut), (11, 1));
    assert_eq!(row.refused["overloaded"], 1);
    assert_eq!(row.failed["target_failed"], 1);
    assert_eq!((row.took.p50_ms, row.took.p90_ms), (600, 1_000));
    assert_eq!(table.rows.len(), 1);
    assert!(table.to_text().contains("overloaded=1 target_failed=1"));
}

#[test]
fn requests_are_grouped_by_the_selected_attribute() {
    let lines = [answered(1, 2)];
    for (group, key) in [
        (LossGroup::Route, "r"),
        (LossGroup::Account, "acme"),
        (LossGroup::Host, "edge-1"),
        (LossGroup::Second, "2026-09-17T19:28:22"),
    ] {
        let table = LossTable::new(&lines, group);
        assert_eq!(table.rows.keys().collect::<Vec<_>>(), [key]);
    }
}

#[test]
fn an_empty_log_gives_no_rows() {
    let table = LossTable::new([], LossGroup::Rank);
    assert!(table.rows.is_empty());
    assert_eq!(table.to_text().lines().count(), 1);
}
