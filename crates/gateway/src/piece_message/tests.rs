//! The bytes of each message as they were shipped. They never change: a new form has lines of its own.

use std::net::SocketAddr;

use linnet_quarantine::{CrashKey, RequestSubject};
use linnet_rate::{RateLimit, RateObservation};

use super::*;
use crate::ask::{Prompt, PromptPart, Rank};
use crate::hall_bytes::HallBytes;
use crate::load::ReportedLoad;
use crate::piece::{PieceInput, StageWork};
use crate::pool_key::PoolPart;
use crate::send_permit_issuer::SendPermitScope;
use crate::stage_call::CallPart;

/// Returns the bytes of a message as text.
pub(crate) fn hex<M: Serialize>(message: &M) -> String {
    let bytes = postcard::to_allocvec(message).unwrap();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn pool() -> PoolKey {
    PoolKey {
        service: "stage".to_owned(),
        part: Some(PoolPart {
            hall: "hall-1".to_owned(),
            number: 1,
            of: 2,
        }),
    }
}

const RANK: Rank = Rank {
    first: 1,
    second: 2,
};

fn work() -> StageWork {
    StageWork {
        request: "9c41d07be2a35f68".to_owned(),
        stage: 1,
        input: PieceInput::Results(vec!["10.1.64.7:8080/91bd".to_owned()]),
    }
}

fn batch() -> PieceBatch {
    PieceBatch {
        number: 300,
        pool: pool(),
        rank: RANK,
        first: true,
        wanted_ms: 900,
        remaining_ms: 8_000,
        hall: Some("hall-1".to_owned()),
        homes: Some(vec!["hall-1".to_owned()]),
        result_bytes: 3_000_000,
        key: RequestKey::new("acme", "GET", ["shop.example", "/once/1"], b"body"),
        apart: true,
        work: work(),
        count: 3,
    }
}

fn place_ask() -> PlaceAsk {
    let mut results = HallBytes::default();
    results.add("hall-1", 70_000);
    PlaceAsk {
        service: "engine".to_owned(),
        prompt: Prompt {
            tokens_in: 1_460,
            tokens_out: 80,
            shared: vec![PromptPart {
                id: "5c1e07a2".to_owned(),
                tokens: 800,
            }],
        },
        heavy_stage: Some("stage".to_owned()),
        results,
        avoid: vec!["i-1".to_owned()],
        closed: vec!["i-2".to_owned()],
        homes: Some(vec!["hall-1".to_owned()]),
        apart: true,
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 1, 64, 7], 8_080))
}

fn suspect() -> SuspectRecord {
    let subject = RequestSubject::new("acme", "GET", ["shop.example", "/once/1"], b"body");
    let mut record = SuspectRecord::new(subject);
    record.crashes.insert(CrashKey::new("i-7f3a91c2", 7));
    record
}

/// One request of each kind.
pub(crate) fn requests() -> Vec<PieceRequest> {
    let key = batch().key;
    vec![
        PieceRequest::Run(batch()),
        PieceRequest::Cancel(300),
        PieceRequest::Expect {
            number: 301,
            expected: ExpectedPieces {
                pool: pool(),
                rank: RANK,
                pieces: 5,
            },
        },
        PieceRequest::Arrived(301),
        PieceRequest::Free {
            service: "stage".to_owned(),
            handles: vec!["10.1.64.7:8080/91bd".to_owned()],
            bytes: 3_000_000,
        },
        PieceRequest::Plan {
            number: 302,
            ask: place_ask(),
        },
        PieceRequest::Place {
            number: 303,
            ask: place_ask(),
        },
        PieceRequest::Read(303),
        PieceRequest::End(303),
        PieceRequest::Call {
            number: 304,
            call: StageCall {
                target: "i-1".to_owned(),
                address: address(),
                parts: vec![CallPart {
                    work: work(),
                    numbers: vec![0, 2],
                    remaining_ms: 900,
                }],
                bound_ms: 1_500,
            },
        },
        PieceRequest::Release(StageRelease {
            target: "i-1".to_owned(),
            address: address(),
            handles: vec!["10.1.64.7:8080/91bd".to_owned()],
        }),
        PieceRequest::Unreachable {
            service: "engine".to_owned(),
            engine: "i-1".to_owned(),
        },
        PieceRequest::Suspects(vec![suspect()]),
        PieceRequest::TakeTurn {
            number: 305,
            key,
            id: "a1".to_owned(),
        },
        PieceRequest::EndTurn(305),
        PieceRequest::Alive,
        PieceRequest::TakeRate {
            number: 306,
            ask: SendPermitRequest {
                scope: SendPermitScope::Target(RateObservation {
                    target: "i-1".to_owned(),
                    rate_limit: Some(RateLimit::new(2.5)),
                    sent_age_ms: 300,
                    received_age_ms: 200,
                }),
                max_wait_ms: 150,
                more: 1,
            },
        },
        PieceRequest::TakeRate {
            number: 307,
            ask: SendPermitRequest {
                scope: SendPermitScope::Service("engine".to_owned(), RateLimit::new(40.0)),
                max_wait_ms: 150,
                more: 0,
            },
        },
    ]
}

const FAULTS: [PieceFault; 8] = [
    PieceFault::Late,
    PieceFault::InputGone,
    PieceFault::NoRoom,
    PieceFault::NotTaken,
    PieceFault::Failed,
    PieceFault::TargetsEnded,
    PieceFault::Refused,
    PieceFault::Lost,
];

fn outcomes() -> Vec<Result<String, PieceFault>> {
    let faults = FAULTS.into_iter().map(Err);
    let made = Ok("10.1.64.7:8080/91bd".to_owned());
    [made].into_iter().chain(faults).collect()
}

/// One reply of each kind, and of each end of a call.
pub(crate) fn replies() -> Vec<PieceReply> {
    let load = ReportedLoad {
        running: 1,
        waiting: 2,
    };
    let ends = [
        CallEnd::Answered(outcomes(), Some(load)),
        CallEnd::Busy,
        CallEnd::OtherTarget,
        CallEnd::Failed("why".to_owned()),
        CallEnd::Broke("why".to_owned()),
        CallEnd::Ended("why".to_owned()),
        CallEnd::SenderLost,
    ];
    let called = ends
        .into_iter()
        .map(|end| PieceReply::Called { number: 304, end });
    let facts = PlaceFacts {
        held: 800,
        ahead: 70_000,
        expected_ms: 40,
    };
    let answers = [
        RunPermitReply::Granted,
        RunPermitReply::Busy,
        RunPermitReply::Held,
    ];
    let turns = answers.into_iter().map(|answer| PieceReply::Turn {
        number: 305,
        answer,
    });
    let others = [
        PieceReply::Done {
            number: 300,
            results: outcomes(),
        },
        PieceReply::Placed {
            number: 303,
            engine: Some(("i-1".to_owned(), facts)),
        },
        PieceReply::Uses {
            pool: pool(),
            uses: vec![TargetUse {
                target: "i-1".to_owned(),
                bytes: 3_000_000,
                lasts_ms: 4_000,
                busy_ms: 150,
            }],
        },
        PieceReply::Alive {
            loads: vec![(
                pool(),
                PoolLoad {
                    waiting: vec![(RANK, 7)],
                    targets: 5,
                    free: 1,
                },
            )],
        },
        PieceReply::Alive { loads: Vec::new() },
    ];
    let granted = SendPermitReply::Granted {
        wait_ms: 150,
        more: 1,
        next_ms: 550,
    };
    let rates = [granted, SendPermitReply::Denied(700)];
    let rates = rates.into_iter().map(|answer| PieceReply::Rate {
        number: 306,
        answer,
    });
    let all = others.into_iter().chain(called).chain(turns).chain(rates);
    all.collect()
}

#[test]
fn messages_between_entry_hosts_are_as_they_were_shipped() {
    let requests = requests();
    let replies = replies();
    let requests = requests.iter().map(|one| format!("request {}", hex(one)));
    let replies = replies.iter().map(|one| format!("reply {}", hex(one)));
    let lines: Vec<String> = requests.chain(replies).collect();
    insta::assert_snapshot!(lines.join("\n"));
}
