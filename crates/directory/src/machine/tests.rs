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
