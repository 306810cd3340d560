use super::*;

const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
};

/// Sends requests evenly over half a minute, with as many retries as the budget allows. Returns the
/// maximum number of retries in a window and the budget of a window.
fn retries_in_the_worst_window(hosts: usize, requests_per_s: u64) -> (usize, f64) {
    let start = Instant::now();
    let mut budgets: Vec<_> = (0..hosts).map(|_| RetryBudget::new(RULE)).collect();
    let (mut sent, mut retries) = (Vec::new(), Vec::new());
    for step in 0..30 * requests_per_s {
        let now = start + Duration::from_micros(step * 1_000_000 / requests_per_s);
        let budget = &mut budgets[step as usize % hosts];
        budget.record_request("desk", now);
        sent.push(now);
        while budget.try_take_retry("desk", hosts, now) {
            retries.push(now);
        }
    }
    let within = |times: &[Instant], at: Instant| {
        let from = at.checked_sub(RULE.window).unwrap_or(start);
        times
            .iter()
            .filter(|time| **time > from && **time <= at)
            .count()
    };
    let worst = sent
        .iter()
        .map(|at| within(&retries, *at))
        .max()
        .unwrap_or(0);
    let requests = within(&sent, start + Duration::from_secs(20));
    (worst, RULE.ratio * requests as f64 + RULE.slack)
}

#[test]
fn all_hosts_together_stay_within_the_budget_in_every_window() {
    for hosts in [1, 3, 9] {
        for requests_per_s in [1, 5, 50] {
            let (worst, most) = retries_in_the_worst_window(hosts, requests_per_s);
            assert!(
                (worst as f64) <= most,
                "{hosts} {requests_per_s}: {worst} of {most}"
            );
            assert!(worst > 0, "{hosts} {requests_per_s}: no retry was allowed");
        }
    }
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(RULE);
    let now = Instant::now();
    while budget.try_take_retry("desk", 1, now) {}
    assert!(budget.try_take_retry("ledger", 1, now));
}
