use fastrand::Rng;
use linnet_wire::MessageVersion;

use super::*;
use crate::message::tests::{hex, report, target, update};

fn report_v1(report: SubscriberReport) -> SubscriberReportV1 {
    SubscriberReportV1 {
        entry_host: report.entry_host,
        acknowledged: report.acknowledged,
        document_version: report.document_version,
        document_request: report.document_request,
        wants_lists: report.wants_lists,
    }
}

#[test]
fn v1_encoding_is_unchanged() {
    let lines = [
        format!("update {}", hex(&DirectoryUpdateV1::from(update()))),
        format!("report {}", hex(&report_v1(report()))),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

/// An update without some of its parts, and with targets whose names have random lengths.
fn any_update(rng: &mut Rng) -> DirectoryUpdate {
    let mut drawn = update();
    let bits = rng.u32(0..40);
    drawn.revision = rng.u64(0..1 << bits);
    if rng.bool() {
        drawn.offer = None;
    }
    if rng.bool() {
        drawn.part = None;
    }
    if rng.bool() {
        drawn.evacuations = None;
    }
    if rng.bool() {
        drawn.entry_hosts = None;
    }
    if rng.bool() {
        drawn.control_addresses = None;
    }
    if rng.bool() {
        drawn.heartbeats.clear();
    }
    if rng.bool() {
        drawn.suspects.clear();
    }
    drawn.lists_complete = rng.bool();
    drawn.targets = (0..rng.usize(0..6)).map(|_| any_target(rng)).collect();
    drawn
}

fn any_target(rng: &mut Rng) -> TargetRecord {
    let mut text = |max: usize| -> String {
        let length = rng.usize(1..max);
        (0..length).map(|_| rng.alphanumeric()).collect()
    };
    let (id, service, hall) = (text(40), text(140), text(20));
    TargetRecord {
        id,
        service,
        hall,
        born: if rng.bool() { 0 } else { rng.u64(..) },
        sequence: rng.u64(0..1_000),
        silent: rng.bool(),
        ..target()
    }
}

/// Messages of both versions are recognised, and are read with all fields that the version has.
#[test]
fn update_encoding_reveals_the_message_version() {
    let decode = MessageVersion::detect::<DirectoryUpdate, DirectoryUpdateV1>;
    for seed in 0..5_000 {
        let update = any_update(&mut Rng::with_seed(seed));
        let second = postcard::to_stdvec(&update).unwrap();
        let (read, version) = decode(&second).unwrap();
        assert_eq!(version, Some(MessageVersion::V2), "seed {seed}");
        assert_eq!(hex(&read), hex(&update), "seed {seed}");
        let first = DirectoryUpdateV1::from(update);
        let bytes = postcard::to_stdvec(&first).unwrap();
        let (read, version) = decode(&bytes).unwrap();
        assert_eq!(version, Some(MessageVersion::V1), "seed {seed}");
        assert_eq!(DirectoryUpdateV1::from(read), first, "seed {seed}");
    }
}

#[test]
fn report_encoding_reveals_the_message_version_and_v1_skips_the_rest() {
    let decode = MessageVersion::detect::<SubscriberReport, SubscriberReportV1>;
    let mut message = report();
    for suspects in [message.suspects.clone(), Vec::new()] {
        message.suspects = suspects;
        let second = postcard::to_stdvec(&message).unwrap();
        let (read, version) = decode(&second).unwrap();
        assert_eq!(
            (hex(&read), version),
            (hex(&message), Some(MessageVersion::V2))
        );
        // A build that supports only version 1 decodes the same bytes to this report.
        let first = report_v1(message.clone());
        assert_eq!(
            postcard::from_bytes::<SubscriberReportV1>(&second).unwrap(),
            first
        );
        let bytes = postcard::to_stdvec(&first).unwrap();
        let (read, version) = decode(&bytes).unwrap();
        assert_eq!(
            (report_v1(read), version),
            (first, Some(MessageVersion::V1))
        );
    }
}

#[test]
fn bytes_of_no_message_version_are_rejected() {
    let decode = MessageVersion::detect::<DirectoryUpdate, DirectoryUpdateV1>;
    let complete = postcard::to_stdvec(&update()).unwrap();
    for length in 0..complete.len() {
        // A message truncated at any length is not detected as one of version 2.
        if let Ok((_, version)) = decode(&complete[..length]) {
            assert_eq!(version, Some(MessageVersion::V1), "{length} bytes");
        }
    }
    assert!(decode(&[]).is_err());
    assert!(decode(&[0xff; 64]).is_err());
}
