use fastrand::Rng;
use linnet_wire::MessageVersion;

use super::*;
use crate::message::tests::{hex, report, target, update};

fn first_report(report: SubscriberReport) -> FirstReport {
    FirstReport {
        gateway: report.gateway,
        acknowledged: report.acknowledged,
        document_version: report.document_version,
        want: report.want,
        lists: report.lists,
    }
}

#[test]
fn the_first_form_is_as_it_was_shipped() {
    let lines = [
        format!("update {}", hex(&FirstUpdate::from(update()))),
        format!("report {}", hex(&first_report(report()))),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

/// An update with some of its parts, and targets with names of any length.
fn any_update(rng: &mut Rng) -> DirectoryUpdate {
    let mut drawn = update();
    let bits = rng.u32(0..40);
    drawn.number = rng.u64(0..1 << bits);
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
        drawn.gateways = None;
    }
    if rng.bool() {
        drawn.controls = None;
    }
    if rng.bool() {
        drawn.heard.clear();
    }
    if rng.bool() {
        drawn.suspects.clear();
    }
    drawn.lists_whole = rng.bool();
    drawn.targets = (0..rng.usize(0..6)).map(|_| any_target(rng)).collect();
    drawn
}

fn any_target(rng: &mut Rng) -> TargetRecord {
    let mut text = |most: usize| -> String {
        let length = rng.usize(1..most);
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

/// What either build writes is read for what it is, with all that the form has.
#[test]
fn the_first_message_tells_the_form_of_any_update() {
    let tell = MessageVersion::detect::<DirectoryUpdate, FirstUpdate>;
    for seed in 0..5_000 {
        let update = any_update(&mut Rng::with_seed(seed));
        let second = postcard::to_stdvec(&update).unwrap();
        let (read, form) = tell(&second).unwrap();
        assert_eq!(form, Some(MessageVersion::V2), "seed {seed}");
        assert_eq!(hex(&read), hex(&update), "seed {seed}");
        let first = FirstUpdate::from(update);
        let bytes = postcard::to_stdvec(&first).unwrap();
        let (read, form) = tell(&bytes).unwrap();
        assert_eq!(form, Some(MessageVersion::V1), "seed {seed}");
        assert_eq!(FirstUpdate::from(read), first, "seed {seed}");
    }
}

#[test]
fn the_first_report_tells_the_form_and_reads_the_same_with_what_stands_behind_it() {
    let tell = MessageVersion::detect::<SubscriberReport, FirstReport>;
    let mut told = report();
    for suspects in [told.suspects.clone(), Vec::new()] {
        told.suspects = suspects;
        let second = postcard::to_stdvec(&told).unwrap();
        let (read, form) = tell(&second).unwrap();
        assert_eq!((hex(&read), form), (hex(&told), Some(MessageVersion::V2)));
        // As a build that knows the first form reads it.
        let first = first_report(told.clone());
        assert_eq!(postcard::from_bytes::<FirstReport>(&second).unwrap(), first);
        let bytes = postcard::to_stdvec(&first).unwrap();
        let (read, form) = tell(&bytes).unwrap();
        assert_eq!(
            (first_report(read), form),
            (first, Some(MessageVersion::V1))
        );
    }
}

#[test]
fn bytes_that_are_neither_form_are_refused() {
    let tell = MessageVersion::detect::<DirectoryUpdate, FirstUpdate>;
    let whole = postcard::to_stdvec(&update()).unwrap();
    for length in 0..whole.len() {
        // Cut anywhere, it is not taken for a message of the second form.
        if let Ok((_, form)) = tell(&whole[..length]) {
            assert_eq!(form, Some(MessageVersion::V1), "{length} bytes");
        }
    }
    assert!(tell(&[]).is_err());
    assert!(tell(&[0xff; 64]).is_err());
}
