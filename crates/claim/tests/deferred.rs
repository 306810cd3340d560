//! A deferred request has a single outcome, in any order of commands.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use linnet_claim::{
    DeferredCommand, DeferredCommandReply, DeferredJob, DeferredOutcome, DeferredQuery,
    DeferredQueryReply, DeferredTable, JOB_RETENTION_MS, JobLease,
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

fn take_over(handle: &str, number: u64, now_ms: u64) -> DeferredCommand {
    DeferredCommand::TakeOver {
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

fn fetch(table: &DeferredTable, account: &str, handle: &str) -> DeferredQueryReply {
    table.query(&DeferredQuery::Fetch {
        account: account.to_owned(),
        handle: handle.to_owned(),
    })
}

#[test]
fn deferred_commands_return_the_expected_replies() {
    use DeferredCommandReply::{Accepted, Known, NoSuchJob, OtherContent, Recorded, Taken};
    // (command, reply), applied in order to one table
    let steps = [
        (accept("a", true, 1, 0), Accepted),
        (accept("a", true, 1, 1), Accepted),
        (accept("a", true, 2, 2), Known),
        (accept("a", false, 3, 3), OtherContent),
        (take_over("a", 4, 50), NoSuchJob),
        (take_over("a", 4, 100), Taken(job("a", true))),
        (take_over("a", 4, 101), Taken(job("a", true))),
        (finish("a", 1), NoSuchJob),
        (acknowledge("acme", "a"), NoSuchJob),
        (finish("a", 4), Recorded),
        (finish("a", 4), Recorded),
        (take_over("a", 5, 900), NoSuchJob),
        (acknowledge("other", "a"), NoSuchJob),
        (acknowledge("acme", "a"), Recorded),
        (acknowledge("acme", "a"), NoSuchJob),
        (accept("b", false, 6, 1_000), Accepted),
        (take_over("b", 7, 2_000), Recorded),
        (finish("b", 6), Recorded),
        (accept("c", false, 8, 3_000), Accepted),
        (
            DeferredCommand::Release {
                handle: "c".to_owned(),
                number: 8,
            },
            Recorded,
        ),
        (take_over("c", 9, 3_001), Taken(job("c", false))),
        (take_over("c", 10, 9_000), Recorded),
        (accept("d", true, 11, JOB_RETENTION_MS + 5_000), Accepted),
        (acknowledge("acme", "c"), NoSuchJob),
    ];
    let mut table = DeferredTable::new();
    for (number, (step, wanted)) in steps.into_iter().enumerate() {
        assert_eq!(table.apply(step), wanted, "step {number}");
    }
    assert_eq!(table.len(), 1);
    assert_eq!(fetch(&table, "acme", "d"), DeferredQueryReply::Pending);
    assert_eq!(fetch(&table, "other", "d"), DeferredQueryReply::NoSuchJob);
}

#[test]
fn a_job_that_may_run_only_once_ends_as_may_have_run_when_its_host_is_lost() {
    let mut table = DeferredTable::new();
    table.apply(accept("b", false, 1, 0));
    let expired = table.query(&DeferredQuery::Expired { now_ms: 100 });
    assert_eq!(expired, DeferredQueryReply::Expired(vec!["b".to_owned()]));
    assert_eq!(
        table.apply(take_over("b", 2, 100)),
        DeferredCommandReply::Recorded
    );
    let DeferredQueryReply::Done(outcome) = fetch(&table, "acme", "b") else {
        panic!("the job has no outcome");
    };
    let body = String::from_utf8(outcome.body).unwrap();
    assert!(
        outcome.status == 409 && body.contains("may_have_run"),
        "{body}"
    );
}

proptest! {
    /// The first recorded outcome stays until it is acknowledged, and a job that may run only once
    /// is given to a second host only after it was released.
    #[test]
    fn an_outcome_never_changes(steps in prop::collection::vec((0..5_u8, 1..4_u64, 0..400_u64), 1..60), repeatable in any::<bool>()) {
        let mut table = DeferredTable::new();
        table.apply(accept("j", repeatable, 1, 0));
        let mut end: Option<DeferredQueryReply> = None;
        let mut released = false;
        let mut holder = 1;
        for (kind, number, now_ms) in steps {
            let step = match kind {
                0 => take_over("j", number, now_ms),
                1 => finish("j", number),
                2 => DeferredCommand::Renew { handle: "j".to_owned(), lease: lease(number, now_ms + 100) },
                3 => DeferredCommand::Release { handle: "j".to_owned(), number },
                _ => accept("j", repeatable, number, now_ms),
            };
            let reply = table.apply(step);
            if kind == 3 && reply == DeferredCommandReply::Recorded {
                released = true;
            }
            if let DeferredCommandReply::Taken(_) = reply {
                prop_assert!(repeatable || released || number == holder);
                released = false;
                holder = number;
            }
            let now = fetch(&table, "acme", "j");
            if let Some(end) = &end {
                prop_assert_eq!(end, &now);
            } else if now != DeferredQueryReply::Pending {
                end = Some(now);
            }
        }
    }
}
