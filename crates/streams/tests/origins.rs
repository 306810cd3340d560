//! Origins of streams and versions of services.

use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_streams::{OriginTable, StreamKey, StreamOrigin, VersionHistory};

const LIFETIME: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> BootInstant {
    BootInstant::default() + Duration::from_secs(1_000 + seconds)
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "engine".to_owned(),
        version: version.to_owned(),
    }
}

#[test]
fn a_stream_is_found_by_its_account_and_id_until_its_time_is_over() {
    let mut table = OriginTable::default();
    table.bind(StreamKey::new("acme", "a1"), &origin("v1"), LIFETIME, at(0));
    table.bind(StreamKey::new("acme", "a2"), &origin("v2"), LIFETIME, at(5));
    let cases = [
        ("acme", "a1", 9, Some("v1")),
        ("acme", "a1", 10, None),
        ("acme", "a2", 14, Some("v2")),
        ("acme", "a3", 1, None),
        // An account that names the id of another account's stream learns nothing.
        ("burst", "a1", 1, None),
        // The account and the id are not joined into one text.
        ("acmea", "1", 1, None),
    ];
    for (account, id, second, expected) in cases {
        let found = table.find(StreamKey::new(account, id), at(second));
        let version = found.map(|origin| origin.version.as_str());
        assert_eq!(version, expected, "{account} {id} {second}");
    }
    table.expire(at(20));
    assert!(table.is_empty());
}

#[test]
fn the_last_target_before_the_first_event_is_the_origin() {
    let mut table = OriginTable::default();
    let stream = StreamKey::new("acme", "a1");
    table.bind(stream, &origin("v1"), LIFETIME, at(0));
    table.bind(stream, &origin("v2"), LIFETIME, at(1));
    assert_eq!(table.find(stream, at(2)), Some(&origin("v2")));
    table.expire(at(10));
    assert_eq!(table.find(stream, at(10)), Some(&origin("v2")));
}

#[test]
fn memory_is_bounded_in_streams_and_origins() {
    let mut table = OriginTable::default();
    for number in 0..210_000 {
        let stream = StreamKey::new("acme", &number.to_string());
        let origin = origin(&format!("v{}", number / 100));
        table.bind(stream, &origin, LIFETIME, at(0));
    }
    assert_eq!(table.len(), 200_000);
    let newest = table.find(StreamKey::new("acme", "209999"), at(1));
    assert_eq!(newest, Some(&origin("v2099")));
    assert_eq!(table.find(StreamKey::new("acme", "0"), at(1)), None);
}

#[test]
fn a_service_has_a_sole_version_only_if_it_has_had_no_other_lately() {
    let mut history = VersionHistory::default();
    let second = Duration::from_secs(1);
    assert_eq!(history.sole_version("engine", second, at(0)), None);
    history.record_listed("engine", "v1", at(0));
    history.record_listed("desk", "v7", at(0));
    assert_eq!(history.sole_version("engine", second, at(1)), Some("v1"));
    history.record_listed("engine", "v2", at(2));
    assert_eq!(history.sole_version("engine", second, at(3)), None);
    history.record_listed("engine", "v2", at(61));
    assert_eq!(history.sole_version("engine", second, at(61)), Some("v2"));
    history.expire(at(700));
    assert_eq!(history.sole_version("desk", second, at(700)), None);
}

/// A host that had just started took the only version listed for the only one that a stream can have.
#[test]
fn a_version_is_not_the_sole_one_of_the_time_before_the_service_was_observed() {
    let mut history = VersionHistory::default();
    let lifetime = Duration::from_secs(8);
    history.record_listed("engine", "v1", at(10));
    for (now, expected) in [(10, None), (17, None), (18, Some("v1"))] {
        history.record_listed("engine", "v1", at(now));
        let sole = history.sole_version("engine", lifetime, at(now));
        assert_eq!(sole, expected, "{now}");
    }
    // After a gap in which nothing was listed, it is observed anew.
    history.expire(at(700));
    history.record_listed("engine", "v1", at(701));
    assert_eq!(history.sole_version("engine", lifetime, at(702)), None);
    history.record_gap(at(800));
    history.record_listed("engine", "v1", at(807));
    assert_eq!(history.sole_version("engine", lifetime, at(807)), None);
    assert_eq!(
        history.sole_version("engine", lifetime, at(808)),
        Some("v1")
    );
}

/// Guards against a stream that began at a version which was last listed longer ago than versions are kept, but
/// within the time of its route.
#[test]
fn a_version_is_kept_for_as_long_as_its_streams_may_be_taken_up() {
    let mut history = VersionHistory::default();
    let lifetime = Duration::from_secs(180);
    for now in 0..200 {
        history.record_listed("engine", "v1", at(now));
    }
    for now in 200..270 {
        history.record_listed("engine", "v2", at(now));
        history.expire(at(now));
    }
    assert_eq!(history.sole_version("engine", lifetime, at(270)), None);
}
