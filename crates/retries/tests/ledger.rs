//! Decisions of one host, and of hosts that know different rosters.

use std::time::Duration;

use linnet_clock::BootInstant;
use linnet_retries::{
    BudgetRule, HostRoster, RetryLedger, RosterTimes, ServiceKey, SlackShare, SlackState,
};

const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
};

fn at(seconds: f64) -> BootInstant {
    BootInstant::default() + Duration::from_secs_f64(1_000.0 + seconds)
}

fn share(retries: u64) -> SlackShare {
    SlackShare {
        retries,
        hosts: 1,
        state: SlackState::Granted,
    }
}

fn ledger() -> (RetryLedger, ServiceKey) {
    let mut ledger = RetryLedger::new(RULE, at(0.0));
    let key = ledger.service_key("desk");
    (ledger, key)
}

fn score(service: &str, host: &str) -> u64 {
    let bytes = service.bytes().chain(host.bytes());
    bytes.fold(7, |hash, byte| hash * 31 + u64::from(byte))
}

fn roster(name: &str, hosts: usize) -> HostRoster {
    let mut roster = HostRoster::new(name, &RULE, score, at(0.0));
    let names: Vec<String> = (0..hosts).map(|number| format!("host-{number}")).collect();
    roster.set_listed(names.iter().map(String::as_str), at(0.0));
    roster
}

/// Sends requests evenly over half a minute, with as many retries as the budget allows. Returns the
/// maximum number of retries in a window and the budget of a window.
fn retries_in_the_worst_window(hosts: usize, requests_per_s: u64) -> (usize, f64) {
    let mut parts: Vec<_> = (0..hosts)
        .map(|number| (ledger(), roster(&format!("host-{number}"), hosts)))
        .collect();
    let (mut sent, mut retries) = (Vec::new(), Vec::new());
    for step in 0..30 * requests_per_s {
        let now = at(step as f64 / requests_per_s as f64);
        let ((ledger, key), roster) = &mut parts[step as usize % hosts];
        roster.renew_lease(now);
        ledger.record_request(*key, now);
        sent.push(now);
        loop {
            let slack = roster.slack_share("desk", now);
            if !ledger.reserve(*key, slack, now) {
                break;
            }
            assert!(ledger.spend(*key, slack, now).is_some());
            retries.push(now);
        }
    }
    let within = |times: &[BootInstant], to: BootInstant| {
        let from = to.before(RULE.window);
        let counted = times.iter().filter(|time| **time > from && **time <= to);
        counted.count()
    };
    let worst = sent.iter().map(|to| within(&retries, *to)).max();
    let requests = within(&sent, at(20.0));
    (
        worst.unwrap_or(0),
        RULE.ratio * requests as f64 + RULE.slack,
    )
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
    let (mut ledger, desk) = ledger();
    let other = ledger.service_key("ledger");
    while ledger.reserve(desk, share(5), at(1.0)) {
        assert!(ledger.spend(desk, share(5), at(1.0)).is_some());
    }
    assert!(ledger.reserve(other, share(5), at(1.0)));
}

/// A retry that was allowed long before it is sent was sent in a window that allows no more.
#[test]
fn a_reserved_retry_is_not_sent_when_the_budget_has_shrunk() {
    let (mut ledger, key) = ledger();
    assert!(ledger.reserve(key, share(1), at(1.0)));
    assert!(ledger.spend(key, share(0), at(5.0)).is_none());
    assert!(ledger.spend(key, share(1), at(5.0)).is_some());
}

#[test]
fn reserved_retries_count_until_they_are_given_back() {
    let (mut ledger, key) = ledger();
    assert!(ledger.reserve(key, share(1), at(1.0)));
    assert!(!ledger.reserve(key, share(1), at(1.0)));
    ledger.release(key);
    assert!(ledger.reserve(key, share(1), at(1.0)));
    let spent = ledger.spend(key, share(1), at(1.0)).unwrap();
    assert!(!ledger.reserve(key, share(1), at(1.0)));
    ledger.refund(spent);
    ledger.release(key);
    assert!(ledger.reserve(key, share(1), at(1.0)));
}

#[test]
fn a_retry_leaves_the_budget_after_a_window() {
    let (mut ledger, key) = ledger();
    assert!(ledger.reserve(key, share(1), at(1.0)));
    assert!(ledger.spend(key, share(1), at(1.0)).is_some());
    assert!(!ledger.reserve(key, share(1), at(10.9)));
    assert!(ledger.reserve(key, share(1), at(11.6)));
}

/// A process that had just started used the whole slack of the fleet again.
#[test]
fn a_host_uses_slack_only_with_a_lease_and_some_time_after_its_start() {
    let times = RosterTimes::new(&RULE);
    let after_start = times.start_wait.as_secs_f64();
    let lease = times.lease.as_secs_f64();
    // Time of the last renewal, time of the decision, what is expected.
    let cases = [
        (Some(0.5), 1.0, SlackState::Starting),
        (
            Some(after_start - 0.1),
            after_start - 0.1,
            SlackState::Starting,
        ),
        (Some(after_start), after_start, SlackState::Granted),
        (
            Some(after_start),
            after_start + lease - 0.1,
            SlackState::Granted,
        ),
        (Some(after_start), after_start + lease, SlackState::NoLeader),
        (None, after_start + 1.0, SlackState::NoLeader),
    ];
    for (renewed, decided, expected) in cases {
        let mut roster = roster("host-0", 3);
        if let Some(renewed) = renewed {
            roster.renew_lease(at(renewed));
        }
        let slack = roster.slack_share("desk", at(decided));
        assert_eq!(slack.state, expected, "{renewed:?} {decided}");
        assert_eq!(slack.retries > 0, expected == SlackState::Granted);
    }
}

#[test]
fn a_host_that_is_no_longer_listed_counts_until_its_retries_have_left_the_window() {
    let mut roster = roster("host-0", 4);
    roster.set_listed(["host-1"].into_iter(), at(20.0));
    assert_eq!(roster.slack_share("desk", at(20.0)).hosts, 4);
    let retention = RosterTimes::new(&RULE).retention.as_secs_f64();
    assert!(retention > RosterTimes::new(&RULE).lease.as_secs_f64() + RULE.window.as_secs_f64());
    assert_eq!(
        roster.slack_share("desk", at(20.0 + retention - 0.1)).hosts,
        4
    );
    assert_eq!(roster.slack_share("desk", at(20.0 + retention)).hosts, 2);
}

/// Hosts that know more hosts than others took more than their parts.
#[test]
fn parts_of_the_slack_never_exceed_it_whatever_hosts_know_beyond_each_other() {
    for hosts in [1, 2, 3, 9, 44, 45, 46, 300] {
        for seed in 0..20 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let parts = (0..hosts).map(|number| {
                let known = hosts + rng.usize(0..20);
                let mut roster = roster(&format!("host-{number}"), known);
                roster.renew_lease(at(30.0));
                roster.slack_share("desk", at(30.0)).retries
            });
            let sum: u64 = parts.sum();
            assert!(
                sum as f64 <= RULE.slack,
                "{hosts} hosts, seed {seed}: {sum}"
            );
        }
    }
}

#[test]
fn equal_rosters_divide_all_of_the_slack_that_is_divided() {
    for hosts in [1, 3, 9, 45, 300] {
        let parts = (0..hosts).map(|number| {
            let mut roster = roster(&format!("host-{number}"), hosts);
            roster.renew_lease(at(30.0));
            roster.slack_share("desk", at(30.0)).retries
        });
        assert_eq!(parts.sum::<u64>(), 45, "{hosts} hosts");
    }
}
