//! At most one run for each request key, whatever the order of steps.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use linnet_claim::{
    CLAIM_KEEP_MS, ClaimAnswer, ClaimCommand, ClaimKey, ClaimOutcome, ClaimTable, MAX_CLAIM_BYTES,
    MAX_OUTCOME_BYTES,
};
use proptest::prelude::*;

fn open(account: &str, claim: u64, body: &[u8], now_ms: u64) -> ClaimCommand {
    ClaimCommand::Open {
        key: ClaimKey::new(account, "order-7"),
        runner: format!("entry-{claim}"),
        claim,
        content: ClaimCommand::content_digest("orders", body),
        now_ms,
        until_ms: now_ms + 2_000,
    }
}

fn finish(account: &str, claim: u64) -> ClaimCommand {
    ClaimCommand::Finish {
        key: ClaimKey::new(account, "order-7"),
        claim,
        outcome: ClaimOutcome {
            status: 200,
            body: Some(claim.to_string().into_bytes()),
        },
    }
}

fn release(account: &str, claim: u64) -> ClaimCommand {
    ClaimCommand::Release {
        key: ClaimKey::new(account, "order-7"),
        claim,
    }
}

#[test]
fn claims_answer_case_by_case() {
    let held = ClaimAnswer::Held {
        runner: "entry-1".to_owned(),
        until_ms: 2_000,
    };
    let ended = ClaimAnswer::Finished(ClaimOutcome {
        status: 200,
        body: Some(b"1".to_vec()),
    });
    // (step, answer), in order on one table
    let steps = [
        (open("acme", 1, b"a", 0), ClaimAnswer::Granted),
        (open("acme", 1, b"a", 1), ClaimAnswer::Granted),
        (open("acme", 2, b"a", 2), held),
        (open("acme", 2, b"other", 3), ClaimAnswer::OtherContent),
        (open("birch", 3, b"a", 4), ClaimAnswer::Granted),
        (release("acme", 2), ClaimAnswer::NoSuchClaim),
        (finish("acme", 2), ClaimAnswer::NoSuchClaim),
        (finish("acme", 1), ClaimAnswer::Recorded),
        (finish("acme", 1), ClaimAnswer::Recorded),
        (release("acme", 1), ClaimAnswer::NoSuchClaim),
        (open("acme", 4, b"a", 5), ended),
        (release("birch", 3), ClaimAnswer::Recorded),
        (open("birch", 5, b"b", 6), ClaimAnswer::Granted),
        (open("acme", 6, b"a", CLAIM_KEEP_MS), ClaimAnswer::Granted),
    ];
    let mut table = ClaimTable::new();
    for (number, (step, wanted)) in steps.into_iter().enumerate() {
        assert_eq!(table.apply(step), wanted, "step {number}");
    }
}

#[test]
fn kept_answers_are_bounded_and_the_claims_outlive_them() {
    let mut table = ClaimTable::new();
    let body = vec![7; MAX_OUTCOME_BYTES];
    let count = MAX_CLAIM_BYTES / MAX_OUTCOME_BYTES + 3;
    for number in 0..count {
        let account = format!("account-{number}");
        table.apply(open(&account, 1, b"x", 0));
        let outcome = ClaimOutcome {
            status: 200,
            body: Some(body.clone()),
        };
        let key = ClaimKey::new(&account, "order-7");
        table.apply(ClaimCommand::Finish {
            key,
            claim: 1,
            outcome,
        });
    }
    let kept = |table: &mut ClaimTable, number: usize| {
        let answer = table.apply(open(&format!("account-{number}"), 2, b"x", 1));
        match answer {
            ClaimAnswer::Finished(outcome) => outcome.body.is_some(),
            other => panic!("{other:?}"),
        }
    };
    let kept: Vec<bool> = [0, 2, 3, count - 1]
        .into_iter()
        .map(|number| kept(&mut table, number))
        .collect();
    assert_eq!(kept, [false, false, true, true]);
}

proptest! {
    /// Between an opening and its release no second asking is ever granted.
    #[test]
    fn at_most_one_asking_holds_a_key(steps in prop::collection::vec((0..3_u8, 1..4_u64), 1..60)) {
        let mut table = ClaimTable::new();
        let mut holder: Option<u64> = None;
        let mut ended = false;
        for (number, (kind, claim)) in steps.into_iter().enumerate() {
            match kind {
                0 => {
                    let answer = table.apply(open("a", claim, b"x", number as u64));
                    if answer == ClaimAnswer::Granted {
                        prop_assert!(!ended && holder.is_none_or(|by| by == claim));
                        holder = Some(claim);
                    }
                }
                1 => {
                    if table.apply(finish("a", claim)) == ClaimAnswer::Recorded {
                        prop_assert_eq!(holder, Some(claim));
                        ended = true;
                    }
                }
                _ => {
                    if table.apply(release("a", claim)) == ClaimAnswer::Recorded {
                        prop_assert!(holder == Some(claim) && !ended);
                        holder = None;
                    }
                }
            }
        }
    }
}
