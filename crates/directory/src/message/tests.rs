//! The bytes of each message as they were shipped. They never change: a new form has lines of its own.

use linnet_quarantine::{EndKey, RequestSubject};

use super::*;
use crate::{ContentHash, EvacuationOrder};

/// Returns the bytes of a message as text.
pub(crate) fn hex<M: Serialize>(message: &M) -> String {
    let bytes = postcard::to_stdvec(message).unwrap();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn key(version: u64) -> DocumentKey {
    DocumentKey {
        version,
        hash: ContentHash::new(&version.to_le_bytes()),
    }
}

fn payload() -> PayloadKey {
    PayloadKey {
        document: key(300),
        base: Some(key(7)),
        length: 70_000,
        hash: ContentHash::new(b"payload"),
    }
}

fn gateway() -> GatewayRecord {
    GatewayRecord {
        name: "entry-0".to_owned(),
        hall: "hall-1".to_owned(),
        peer: SocketAddr::from(([10, 0, 0, 7], 9_200)),
        stopping: true,
    }
}

pub(crate) fn target() -> TargetRecord {
    TargetRecord {
        version: String::new(),
        id: "i-7f3a91c2".to_owned(),
        born: 1_796_271_042_990,
        service: "desk".to_owned(),
        address: SocketAddr::from(([10, 1, 64, 20], 8_562)),
        hall: "hall-1".to_owned(),
        slots: 64,
        state: TargetState::Draining,
        sequence: 300,
        silent: true,
        cold_ms: 1_500,
    }
}

fn suspect() -> SuspectRecord {
    let subject = RequestSubject::new("acme", "GET", ["shop.example", "/once/1"], b"body");
    let mut record = SuspectRecord::new(subject);
    record.round = 2;
    record.ends.insert(EndKey::new("i-7f3a91c2", 7));
    record.held = true;
    record.trials = 1;
    record.shared = true;
    record.age_ms = 1_200;
    record
}

/// An update in which nothing is left out.
pub(crate) fn update() -> DirectoryUpdate {
    let mut evacuations = EvacuationBook::default();
    evacuations.apply(&EvacuationOrder {
        hall: "hall-1".to_owned(),
        evacuated: true,
        seen: 0,
    });
    DirectoryUpdate {
        number: 300,
        offer: Some(key(300)),
        part: Some(DocumentPart {
            payload: payload(),
            offset: 128,
            bytes: vec![1, 2, 3],
        }),
        evacuations: Some(evacuations),
        lists_whole: true,
        targets: vec![target()],
        gateways: Some(vec![gateway()]),
        controls: Some(vec![SocketAddr::from(([10, 0, 0, 9], 9_200))]),
        heard: vec![HeardTarget {
            id: "i-7f3a91c2".to_owned(),
            born: 7,
            sequence: 301,
            age_ms: 40,
        }],
        suspects: vec![suspect()],
        rollouts: None,
        counted: Vec::new(),
        own_gateways: None,
        unled: false,
        rates: Vec::new(),
    }
}

/// A report in which nothing is left out.
pub(crate) fn report() -> SubscriberReport {
    SubscriberReport {
        gateway: Some(gateway()),
        acknowledged: 300,
        document_version: 7,
        want: Some(DocumentWant {
            key: key(300),
            base: Some(key(7)),
            begun: Some(payload()),
            attempt: 2,
            offset: 128,
            until: 8_192,
        }),
        lists: true,
        suspects: vec![suspect()],
        start: 0,
        counted: Vec::new(),
        rates: Vec::new(),
    }
}

#[test]
fn messages_of_the_directory_are_as_they_were_shipped() {
    let lines = [
        format!("hello {}", hex(&SubscriberHello { control: true })),
        format!("update {}", hex(&update())),
        format!("report {}", hex(&report())),
        format!("identify {}", hex(&DirectoryCall::Identify)),
        format!("command {}", hex(&DirectoryCall::Command(vec![1, 2]))),
        format!("done {}", hex(&DirectoryReply::Done)),
        format!("answer {}", hex(&DirectoryReply::Answer(vec![1, 2]))),
        format!(
            "not leader {}",
            hex(&DirectoryReply::NotLeader(Some(gateway().peer)))
        ),
        format!(
            "refused {}",
            hex(&DirectoryReply::Refused("why".to_owned()))
        ),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

/// What stands behind messages since the third form.
#[test]
fn tails_are_as_they_were_shipped_and_messages_without_them_are_read() {
    use linnet_rollout::{RolloutCommand, RolloutOrder, RouteCounts};
    let mut rollouts = RolloutStore::default();
    rollouts.apply(&RolloutCommand::Start {
        order: RolloutOrder {
            service: "desk".to_owned(),
            version: "v2".to_owned(),
            duration_ms: 12_000,
        },
        former: vec!["v1".to_owned()],
        now_ms: 1_796_271_042_990,
    });
    let counted = vec![PhaseCounts {
        service: "desk".to_owned(),
        phase: (1, 2),
        routes: vec![("quote".to_owned(), RouteCounts::default())],
        former_in_flight: 3,
    }];
    let mut full = update();
    full.targets[0].version = "v2".to_owned();
    full.rollouts = Some(rollouts);
    full.counted = vec![ReporterCounts {
        reporter: "entry-0/7".to_owned(),
        phases: counted.clone(),
    }];
    full.own_gateways = Some(OwnGateways {
        heard: vec![gateway()],
        lost: vec![gateway()],
    });
    full.unled = true;
    let tail = full.tail().unwrap();
    let told = postcard::to_stdvec(&(&full, &tail)).unwrap();
    let (read, rest): (DirectoryUpdate, _) = postcard::take_from_bytes(&told).unwrap();
    assert_eq!(hex(&read), hex(&update()));
    let read = read.with_tails(postcard::from_bytes(rest).unwrap(), Vec::new());
    assert_eq!(read.tail(), full.tail());
    assert_eq!(DirectoryUpdate::default().tail(), None);
    let report = ReportTail { start: 7, counted };
    let rates = vec![RateWord {
        target: "i-7f3a91c2".to_owned(),
        rate: Some(linnet_rate::NamedRate::new(2.5)),
        asked_ms: 300,
        heard_ms: 200,
    }];
    let lines = [
        format!("update tail {}", hex(&tail)),
        format!("report tail {}", hex(&report)),
        format!("rates behind either {}", hex(&rates)),
    ];
    insta::assert_snapshot!(lines.join("\n"));
    // Builds of the third form pass over what stands behind the first tail.
    let told = postcard::to_stdvec(&(&full, &tail, &rates)).unwrap();
    let (_, rest): (DirectoryUpdate, _) = postcard::take_from_bytes(&told).unwrap();
    assert_eq!(postcard::from_bytes::<UpdateTail>(rest).unwrap(), tail);
}
