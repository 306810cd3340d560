use linnet_rollout::{RolloutCause, RolloutOrder};

use super::*;

fn document(version: u64) -> Document {
    Document {
        version,
        body: vec![7; 40],
    }
}

fn evacuate(machine: &DocumentMachine, evacuated: bool, seen_revision: u64) {
    let order = EvacuationOrder {
        hall: "north".to_owned(),
        evacuated,
        seen_revision,
    };
    let command = postcard::to_stdvec(&DocumentCommand::Evacuate(order)).unwrap();
    machine.apply(&command);
}

#[test]
fn snapshot_restores_the_document_and_the_evacuations() {
    let machine = DocumentMachine::new();
    machine.put(document(4));
    evacuate(&machine, true, 0);
    let other = DocumentMachine::new();
    other.restore(&machine.snapshot());
    assert_eq!(
        other.current_document().map(|current| current.version()),
        Some(4)
    );
    assert!(other.evacuations().is_evacuated("north"));
}

#[test]
fn snapshot_without_evacuations_is_decoded() {
    let machine = DocumentMachine::new();
    machine.restore(&postcard::to_stdvec(&Some(document(4))).unwrap());
    assert_eq!(
        machine.current_document().map(|current| current.version()),
        Some(4)
    );
    assert_eq!(*machine.evacuations(), EvacuationStore::default());
}

/// A newer configuration neither ends an evacuation nor starts one.
#[test]
fn evacuations_do_not_depend_on_the_configuration() {
    let machine = DocumentMachine::new();
    evacuate(&machine, true, 0);
    machine.put(document(9));
    assert!(machine.evacuations().is_evacuated("north"));
    evacuate(&machine, false, 1);
    machine.put(document(10));
    assert!(!machine.evacuations().is_evacuated("north"));
}

/// The encoding of commands, replies and snapshots must not change: other replicas and later starts
/// read them.
#[test]
fn log_and_snapshot_encoding_is_unchanged() {
    use crate::message::tests::{hex, part_record, report};
    let document = Document {
        version: 300,
        body: vec![1, 2, 3],
    };
    let order = EvacuationOrder {
        hall: "hall-1".to_owned(),
        evacuated: true,
        seen_revision: 0,
    };
    let outcome = EvacuationStore::default().apply(&order);
    let records = report().suspects;
    let commands = [
        DocumentCommand::Put(document.clone()),
        DocumentCommand::Read,
        DocumentCommand::Evacuate(order),
        DocumentCommand::Hold(records),
    ];
    let replies = [
        DocumentReply::CurrentVersion(300),
        DocumentReply::Document(Some(document)),
        DocumentReply::Evacuation(outcome),
        DocumentReply::Done,
    ];
    let machine = DocumentMachine::new();
    for command in &commands {
        machine.apply(&postcard::to_stdvec(command).unwrap());
    }
    let shipped = machine.snapshot();
    let rollouts = rollout_commands();
    let outcomes = rollouts.iter().map(|one| machine.apply_rollout(one));
    let outcomes: Vec<String> = outcomes
        .map(|one| format!("answer {}", hex(&DocumentReply::Rollout(one))))
        .collect();
    let rollouts = rollouts.into_iter().map(DocumentCommand::Rollout);
    let rollouts = rollouts.map(|one| format!("command {}", hex(&one)));
    let snapshot = machine.snapshot();
    let hold_parts = DocumentCommand::HoldParts(vec![part_record()]);
    machine.apply(&postcard::to_stdvec(&hold_parts).unwrap());
    let with_parts = machine.snapshot();
    assert!(with_parts.starts_with(&snapshot));
    let restored = DocumentMachine::new();
    restored.restore(&with_parts);
    assert_eq!(restored.held_parts(), vec![part_record()]);
    // Without a roll-out, the last part of a snapshot is an empty list.
    let (last, shipped) = shipped.split_last().unwrap();
    assert_eq!(*last, 0);
    assert!(snapshot.starts_with(shipped));
    let commands = commands.iter().map(|one| format!("command {}", hex(one)));
    let replies = replies.iter().map(|one| format!("answer {}", hex(one)));
    let text = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let with_parts: String = text(&with_parts);
    let (shipped, snapshot): (String, String) = (text(shipped), text(&snapshot));
    let lines: Vec<String> = commands
        .chain(replies)
        .chain([format!("snapshot {shipped}")])
        .chain(rollouts)
        .chain(outcomes)
        .chain([format!("snapshot {snapshot}")])
        .chain([format!("command {}", hex(&hold_parts))])
        .chain([format!("snapshot {with_parts}")])
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

fn rollout_commands() -> Vec<RolloutCommand> {
    let begin = |version: &str| RolloutCommand::Start {
        order: RolloutOrder {
            service: "desk".to_owned(),
            version: version.to_owned(),
            duration_ms: 12_000,
        },
        former: vec!["v1".to_owned()],
        now_ms: 1_796_271_042_990,
    };
    vec![
        begin("v2"),
        begin("v3"),
        RolloutCommand::Query {
            service: "desk".to_owned(),
        },
        RolloutCommand::SetShare {
            service: "desk".to_owned(),
            expected: (1, 0),
            permille: 35,
            cause: RolloutCause::Time,
        },
        RolloutCommand::Finish {
            service: "desk".to_owned(),
            revision: 1,
            completed: false,
            cause: RolloutCause::Failures("quote".to_owned()),
        },
    ]
}

/// Roll-outs survive a restart, and reach a replica that is restored from a snapshot.
#[test]
fn snapshot_restores_roll_outs_and_is_decoded_without_them() {
    let machine = DocumentMachine::new();
    machine.put(document(4));
    let before = machine.snapshot();
    rollout_commands().iter().for_each(|one| {
        machine.apply_rollout(one);
    });
    let other = DocumentMachine::new();
    other.restore(&machine.snapshot());
    assert_eq!(other.rollouts(), machine.rollouts());
    assert!(other.rollouts().newest("desk").is_some());
    let (last, shipped) = before.split_last().unwrap();
    assert_eq!(*last, 0);
    other.restore(shipped);
    assert_eq!(
        other.current_document().map(|current| current.version()),
        Some(4)
    );
    assert!(other.rollouts().newest("desk").is_none());
}

/// A replica ignores an unknown command, replies to it, and keeps its state.
#[test]
fn unknown_command_changes_nothing() {
    let machine = DocumentMachine::new();
    let before = machine.snapshot();
    let reply = machine.apply(&[250, 1, 2, 3]);
    let reply: DocumentReply = postcard::from_bytes(&reply).unwrap();
    assert!(
        matches!(reply, DocumentReply::CurrentVersion(0)),
        "{reply:?}"
    );
    assert_eq!(machine.snapshot(), before);
}
