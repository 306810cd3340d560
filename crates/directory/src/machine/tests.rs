use linnet_rollout::{RolloutCause, RolloutOrder};

use super::*;

fn document(version: u64) -> Document {
    Document {
        version,
        body: vec![7; 40],
    }
}

fn evacuate(machine: &DocumentMachine, evacuated: bool, seen: u64) {
    let order = EvacuationOrder {
        hall: "north".to_owned(),
        evacuated,
        seen,
    };
    let command = postcard::to_stdvec(&DocumentCommand::Evacuate(order)).unwrap();
    machine.apply(&command);
}

#[test]
fn a_snapshot_carries_the_document_and_the_evacuations() {
    let machine = DocumentMachine::new();
    machine.put(document(4));
    evacuate(&machine, true, 0);
    let other = DocumentMachine::new();
    other.restore(&machine.snapshot());
    assert_eq!(other.held().map(|held| held.version()), Some(4));
    assert!(other.evacuations().is_evacuated("north"));
}

#[test]
fn a_snapshot_from_before_there_were_evacuations_is_read() {
    let machine = DocumentMachine::new();
    machine.restore(&postcard::to_stdvec(&Some(document(4))).unwrap());
    assert_eq!(machine.held().map(|held| held.version()), Some(4));
    assert_eq!(*machine.evacuations(), EvacuationBook::default());
}

/// A configuration with a higher version neither ends an evacuation nor begins one.
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

/// The bytes of commands, answers and snapshots as they were shipped: other replicas and later starts read them.
#[test]
fn what_the_log_and_the_disk_hold_is_as_it_was_shipped() {
    use crate::message::tests::{hex, report};
    let document = Document {
        version: 300,
        body: vec![1, 2, 3],
    };
    let order = EvacuationOrder {
        hall: "hall-1".to_owned(),
        evacuated: true,
        seen: 0,
    };
    let outcome = EvacuationBook::default().apply(&order);
    let records = report().suspects;
    let commands = [
        DocumentCommand::Put(document.clone()),
        DocumentCommand::Read,
        DocumentCommand::Evacuate(order),
        DocumentCommand::Hold(records),
    ];
    let answers = [
        DocumentAnswer::Held(300),
        DocumentAnswer::Document(Some(document)),
        DocumentAnswer::Evacuation(outcome),
        DocumentAnswer::Done,
    ];
    let machine = DocumentMachine::new();
    for command in &commands {
        machine.apply(&postcard::to_stdvec(command).unwrap());
    }
    let shipped = machine.snapshot();
    let rollouts = rollout_commands();
    let outcomes = rollouts.iter().map(|one| machine.roll(one));
    let outcomes: Vec<String> = outcomes
        .map(|one| format!("answer {}", hex(&DocumentAnswer::Rollout(one))))
        .collect();
    let rollouts = rollouts.into_iter().map(DocumentCommand::Rollout);
    let rollouts = rollouts.map(|one| format!("command {}", hex(&one)));
    let snapshot = machine.snapshot();
    // The last part of one without a roll-out is an empty list.
    let (last, shipped) = shipped.split_last().unwrap();
    assert_eq!(*last, 0);
    assert!(snapshot.starts_with(shipped));
    let commands = commands.iter().map(|one| format!("command {}", hex(one)));
    let answers = answers.iter().map(|one| format!("answer {}", hex(one)));
    let text = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let (shipped, snapshot): (String, String) = (text(shipped), text(&snapshot));
    let lines: Vec<String> = commands
        .chain(answers)
        .chain([format!("snapshot {shipped}")])
        .chain(rollouts)
        .chain(outcomes)
        .chain([format!("snapshot {snapshot}")])
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

/// Orders are kept by a later start, and by a replica that gets a snapshot.
#[test]
fn a_snapshot_carries_roll_outs_and_one_from_before_there_were_any_is_read() {
    let machine = DocumentMachine::new();
    machine.put(document(4));
    let before = machine.snapshot();
    rollout_commands().iter().for_each(|one| {
        machine.roll(one);
    });
    let other = DocumentMachine::new();
    other.restore(&machine.snapshot());
    assert_eq!(other.rollouts(), machine.rollouts());
    assert!(other.rollouts().newest("desk").is_some());
    let (last, shipped) = before.split_last().unwrap();
    assert_eq!(*last, 0);
    other.restore(shipped);
    assert_eq!(other.held().map(|held| held.version()), Some(4));
    assert!(other.rollouts().newest("desk").is_none());
}

/// A replica passes over a command that it does not know, and answers so; nothing of its state changes.
#[test]
fn a_command_of_a_later_build_changes_nothing() {
    let machine = DocumentMachine::new();
    let before = machine.snapshot();
    let answer = machine.apply(&[250, 1, 2, 3]);
    let answer: DocumentAnswer = postcard::from_bytes(&answer).unwrap();
    assert!(matches!(answer, DocumentAnswer::Held(0)), "{answer:?}");
    assert_eq!(machine.snapshot(), before);
}
