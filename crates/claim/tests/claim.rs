//! At most one run for each request key, whatever the order of steps.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use linnet_claim::{CLAIM_KEEP_MS, ClaimAnswer, ClaimCommand, ClaimKey, ClaimOutcome, ClaimTable};
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
