//! A deferred request ends once, whatever the order of steps.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use linnet_claim::{
    DeferredAnswer, DeferredCommand, DeferredJob, DeferredOutcome, DeferredQuery, DeferredReply,
    DeferredTable, JOB_KEEP_MS, JobLease,
};
use proptest::prelude::*;

fn job(handle: &str, repeatable: bool) -> DeferredJob {
    DeferredJob {
        handle: handle.to_owned(),
        account: "acme".to_owned(),
        route: "report".to_owned(),
        repeatable,
        run_ms: 1_000,
        input: b"{}".to_vec(),
    }
}

fn lease(number: u64, until_ms: u64) -> JobLease {
    JobLease {
        runner: format!("entry-{number}"),
        number,
        until_ms,
    }
}

fn accept(handle: &str, repeatable: bool, number: u64, now_ms: u64) -> DeferredCommand {
    DeferredCommand::Accept {
        job: job(handle, repeatable),
        lease: lease(number, now_ms + 100),
        now_ms,
    }
}

fn take(handle: &str, number: u64, now_ms: u64) -> DeferredCommand {
    DeferredCommand::Take {
        handle: handle.to_owned(),
        lease: lease(number, now_ms + 100),
        now_ms,
    }
}

fn finish(handle: &str, number: u64) -> DeferredCommand {
    DeferredCommand::Finish {
        handle: handle.to_owned(),
        number,
        outcome: DeferredOutcome {
            status: 200,
            body: number.to_string().into_bytes(),
        },
    }
}

fn acknowledge(account: &str, handle: &str) -> DeferredCommand {
    DeferredCommand::Acknowledge {
        account: account.to_owned(),
        handle: handle.to_owned(),
    }
}

fn fetch(table: &DeferredTable, account: &str, handle: &str) -> DeferredReply {
    table.query(&DeferredQuery::Fetch {
        account: account.to_owned(),
        handle: handle.to_owned(),
    })
}

#[test]
fn steps_answer_case_by_case() {
    use DeferredAnswer::{Accepted, Known, NoSuchJob, OtherContent, Recorded, Taken};
    // (step, answer), in order on one table
    let steps = [
        (accept("a", true, 1, 0), Accepted),
        (accept("a", true, 1, 1), Accepted),
        (accept("a", true, 2, 2), Known),
        (accept("a", false, 3, 3), OtherContent),
        (take("a", 4, 50), NoSuchJob),
        (take("a", 4, 100), Taken(job("a", true))),
        (take("a", 4, 101), Taken(job("a", true))),
        (finish("a", 1), NoSuchJob),
        (acknowledge("acme", "a"), NoSuchJob),
        (finish("a", 4), Recorded),
        (finish("a", 4), Recorded),
        (take("a", 5, 900), NoSuchJob),
        (acknowledge("other", "a"), NoSuchJob),
        (acknowledge("acme", "a"), Recorded),
        (acknowledge("acme", "a"), NoSuchJob),
        (accept("b", false, 6, 1_000), Accepted),
        (take("b", 7, 2_000), Recorded),
        (finish("b", 6), Recorded),
        (accept("c", false, 8, 3_000), Accepted),
        (
            DeferredCommand::GiveBack {
                handle: "c".to_owned(),
                number: 8,
            },
            Recorded,
        ),
        (take("c", 9, 3_001), Taken(job("c", false))),
        (take("c", 10, 9_000), Recorded),
        (accept("d", true, 11, JOB_KEEP_MS + 5_000), Accepted),
        (acknowledge("acme", "c"), NoSuchJob),
    ];
    let mut table = DeferredTable::new();
    for (number, (step, wanted)) in steps.into_iter().enumerate() {
        assert_eq!(table.apply(step), wanted, "step {number}");
    }
    assert_eq!(table.len(), 1);
    assert_eq!(fetch(&table, "acme", "d"), DeferredReply::Pending);
    assert_eq!(fetch(&table, "other", "d"), DeferredReply::NoSuchJob);
}

#[test]
fn a_job_that_may_run_only_once_ends_as_unknown_when_its_host_is_lost() {
    let mut table = DeferredTable::new();
    table.apply(accept("b", false, 1, 0));
    let expired = table.query(&DeferredQuery::Expired { now_ms: 100 });
    assert_eq!(expired, DeferredReply::Expired(vec!["b".to_owned()]));
    assert_eq!(table.apply(take("b", 2, 100)), DeferredAnswer::Recorded);
    let DeferredReply::Done(outcome) = fetch(&table, "acme", "b") else {
        panic!("it has no end");
    };
    let body = String::from_utf8(outcome.body).unwrap();
    assert!(
        outcome.status == 409 && body.contains("may_have_run"),
        "{body}"
    );
}

proptest! {
    /// The first recorded end stays until it is acknowledged, and a job that may run only once is
    /// handed to a second host only after it was given back.
    #[test]
    fn an_end_never_changes(steps in prop::collection::vec((0..5_u8, 1..4_u64, 0..400_u64), 1..60), repeatable in any::<bool>()) {
        let mut table = DeferredTable::new();
        table.apply(accept("j", repeatable, 1, 0));
        let mut end: Option<DeferredReply> = None;
        let mut given_back = false;
        let mut holder = 1;
        for (kind, number, now_ms) in steps {
            let step = match kind {
                0 => take("j", number, now_ms),
                1 => finish("j", number),
                2 => DeferredCommand::Renew { handle: "j".to_owned(), lease: lease(number, now_ms + 100) },
                3 => DeferredCommand::GiveBack { handle: "j".to_owned(), number },
                _ => accept("j", repeatable, number, now_ms),
            };
            let answer = table.apply(step);
            if kind == 3 && answer == DeferredAnswer::Recorded {
                given_back = true;
            }
            if let DeferredAnswer::Taken(_) = answer {
                prop_assert!(repeatable || given_back || number == holder);
                given_back = false;
                holder = number;
            }
            let now = fetch(&table, "acme", "j");
            if let Some(end) = &end {
                prop_assert_eq!(end, &now);
            } else if now != DeferredReply::Pending {
                end = Some(now);
            }
        }
    }
}
