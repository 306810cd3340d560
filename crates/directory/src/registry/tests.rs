use super::*;

fn heartbeat(sequence: u64, slots: u32) -> TargetRecord {
    TargetRecord {
        id: "t".to_owned(),
        born: 7,
        service: "desk".to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        hall: "hall".to_owned(),
        slots,
        state: TargetState::Ready,
        sequence,
        silent: false,
        cold_ms: 0,
        version: "v1".to_owned(),
    }
}

fn slots_of(registry: &Registry) -> Vec<u32> {
    registry.records().map(|record| record.slots).collect()
}

/// Of many changed records only some are sent at once, but the heartbeats of all targets are.
#[test]
fn record_that_arrives_after_its_forwarded_heartbeat_is_applied() {
    let now = Instant::now();
    let (mut receiver, mut other) = (Registry::new(), Registry::new());
    for registry in [&mut receiver, &mut other] {
        registry.merge_record(heartbeat(4, 2), now);
    }
    receiver.apply_heartbeat(heartbeat(5, 8), now);
    for forwarded in receiver.heartbeats_since(None, now) {
        other.apply_forwarded_heartbeat(&forwarded, now);
    }
    other.merge_record(heartbeat(5, 8), now);
    assert_eq!(slots_of(&other), [8]);
    // A record of an earlier heartbeat is late in either case.
    other.merge_record(heartbeat(4, 2), now);
    assert_eq!(slots_of(&other), [8]);
}
