//! Behaviour of the clock, the recorder and the timeline.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::sync::Arc;

use linnet_telemetry::{EventCode, EventQuery, EventRecorder, HybridClock, merge_events};

#[test]
fn clock_readings_exceed_observed_stamps() {
    let clock = HybridClock::new();
    let first = clock.tick();
    let future = first + (10_000 << 16);
    clock.observe(future);
    assert!(clock.tick() > future);
}

#[test]
fn ring_is_bounded_and_keeps_the_newest_events() {
    let recorder = EventRecorder::new("a", Arc::new(HybridClock::new())).with_capacity(3);
    for number in 0..10 {
        recorder.record(EventCode::PeerLost, "", number.to_string());
    }
    let events = recorder.select(&EventQuery::default());
    let details: Vec<_> = events.iter().map(|event| event.detail.as_str()).collect();
    assert_eq!(details, ["7", "8", "9"]);
}

#[test]
fn merged_events_respect_the_order_of_messages_between_processes() {
    let sender = EventRecorder::new("z-sender", Arc::new(HybridClock::new()));
    let receiver = EventRecorder::new("a-receiver", Arc::new(HybridClock::new()));
    sender.record_request(EventCode::AttemptStarted, "r1", "", "sent");
    receiver.clock().observe(sender.clock().tick());
    receiver.record_request(EventCode::AttemptFinished, "r1", "", "received");
    let query = EventQuery {
        request: Some("r1".to_owned()),
        since_millis: 0,
    };
    let merged = merge_events(vec![receiver.select(&query), sender.select(&query)]);
    let hosts: Vec<_> = merged.iter().map(|event| event.host.as_str()).collect();
    assert_eq!(hosts, ["z-sender", "a-receiver"]);
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    let numbers: Vec<_> = EventCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn event_catalogue_matches_the_code() {
    let catalogue = include_str!("../../../docs/EVENTS.md");
    let rows: Vec<_> = catalogue
        .lines()
        .filter(|line| {
            let number = line.strip_prefix("| ");
            number.is_some_and(|number| number.starts_with(|first: char| first.is_ascii_digit()))
        })
        .map(str::to_owned)
        .collect();
    let expected: Vec<_> = EventCode::ALL
        .iter()
        .map(|code| {
            format!(
                "| {} | {} | {:?} | {} |",
                code.number(),
                code.name(),
                code.level(),
                code.meaning()
            )
        })
        .collect();
    assert_eq!(rows, expected);
}
