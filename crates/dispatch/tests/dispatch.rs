//! Tests of queues, windows, limits and the choice of targets.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linnet_dispatch::{
    AdmissionRequest, AttemptOutcome, FairQueue, PolicyChoice, QueueRule, QuotaTable, RefusalCause,
    RetryBudget, ShareInputs, TargetDispatcher, TargetListing, TargetRequest, TargetWindow,
    compute_share,
};
use linnet_table::RowLimits;

fn listing(name: &str, hall: &str, leaving: bool) -> TargetListing {
    TargetListing {
        name: name.to_owned(),
        pool: "pool".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        hall: hall.to_owned(),
        leaving,
    }
}

fn dispatcher(targets: &[(&str, &str)]) -> Arc<TargetDispatcher> {
    let dispatcher = Arc::new(TargetDispatcher::new(PolicyChoice::new(), "home"));
    let listings: Vec<_> = targets
        .iter()
        .map(|(name, hall)| listing(name, hall, false))
        .collect();
    dispatcher.apply_listing(&listings, true);
    dispatcher
}

fn target_request(account: u32, deadline: Duration) -> TargetRequest {
    TargetRequest {
        pool: "pool".to_owned(),
        account,
        weight: 1,
        route: 1,
        deadline: Instant::now() + deadline,
        work_after: Duration::ZERO,
        avoid: Vec::new(),
        prefix_holder: None,
    }
}

const LONG: Duration = Duration::from_secs(20);

#[test]
fn a_contended_queue_is_shared_by_weight_and_idle_accounts_accumulate_no_credit() {
    let weights = [1_u32, 2, 5];
    let mut queue = FairQueue::new(QueueRule::Fair);
    let deadline = Instant::now();
    // Account 0 sends long before the others and is served alone until then.
    for _ in 0..100 {
        queue.push(0, deadline, 0_u32);
        queue.pop(|account| weights[*account as usize]).unwrap();
    }
    for _ in 0..400 {
        for account in 0..3_u32 {
            queue.push(account, deadline, account);
        }
    }
    let mut served: HashMap<u32, usize> = HashMap::new();
    for _ in 0..400 {
        let account = queue.pop(|account| weights[*account as usize]).unwrap();
        *served.entry(account).or_default() += 1;
    }
    for (account, weight) in weights.iter().enumerate() {
        let share = 400 * *weight as usize / 8;
        let count = served[&(account as u32)];
        assert!(
            count.abs_diff(share) <= 2,
            "account {account}: {count} of {share}"
        );
    }
}

#[test]
fn the_earliest_deadline_of_an_account_is_first_and_fifo_keeps_the_order_of_arrival() {
    let now = Instant::now();
    let later = |seconds| now + Duration::from_secs(seconds);
    for (rule, wanted) in [(QueueRule::Fair, [2, 3, 1]), (QueueRule::Fifo, [1, 2, 3])] {
        let mut queue = FairQueue::new(rule);
        queue.push(7, later(9), 1);
        queue.push(7, later(2), 2);
        queue.push(7, later(5), 3);
        let order: Vec<_> = std::iter::from_fn(|| queue.pop(|_| 1)).collect();
        assert_eq!(order, wanted, "{rule:?}");
    }
}

#[test]
fn a_window_grows_while_used_with_quick_responses_and_shrinks_with_slow_ones() {
    let begin = Instant::now();
    let settled = begin + Duration::from_secs(60);
    let mut window = TargetWindow::new(begin);
    assert!(
        window.limit(begin) < window.limit(settled),
        "a new target starts slowly"
    );
    let first = window.limit(settled);
    for _ in 0..200 {
        let others = window.limit(settled) - 1;
        window.record_finish(Duration::from_millis(10), Duration::from_millis(10), others);
    }
    let grown = window.limit(settled);
    assert!(grown > first, "{grown}");
    for _ in 0..200 {
        window.record_finish(Duration::from_millis(100), Duration::from_millis(10), 0);
    }
    assert_eq!(window.limit(settled), 1);
}

#[test]
fn account_limits_are_enforced_and_refusals_name_a_retry_delay() {
    let table = Arc::new(QuotaTable::new());
    let now = Instant::now();
    let rate = RowLimits {
        rate: Some(10),
        ..RowLimits::default()
    };
    let flight = RowLimits {
        in_flight: Some(2),
        ..RowLimits::default()
    };
    let none = RowLimits::default();
    let mut taken = 0;
    let refusal = loop {
        match table.acquire(1, rate, 1, none, now) {
            Ok(_) => taken += 1,
            Err(refusal) => break refusal,
        }
    };
    assert_eq!((taken, refusal.cause), (10, RefusalCause::AccountRate));
    assert!(
        refusal.retry_after >= Duration::from_millis(100),
        "{refusal:?}"
    );
    assert!(
        table
            .acquire(1, rate, 1, none, now + Duration::from_millis(150))
            .is_ok()
    );
    assert!(
        table.acquire(2, rate, 1, none, now).is_ok(),
        "another account is not affected"
    );

    let holds: Vec<_> = (0..2)
        .map(|_| table.acquire(3, none, 1, flight, now).unwrap())
        .collect();
    let refusal = table.acquire(3, none, 1, flight, now).unwrap_err();
    assert_eq!(refusal.cause, RefusalCause::AccountInFlight);
    drop(holds);
    assert!(table.acquire(3, none, 1, flight, now).is_ok());

    let tokens = RowLimits {
        tokens: Some(100),
        ..RowLimits::default()
    };
    table
        .acquire(4, tokens, 1, none, now)
        .unwrap()
        .charge_tokens(250);
    let refusal = table.acquire(4, tokens, 1, none, now).unwrap_err();
    assert_eq!(refusal.cause, RefusalCause::AccountTokens);
    assert!(
        table
            .acquire(4, tokens, 1, none, now + Duration::from_secs(2))
            .is_ok()
    );

    // With a share of a ninth, a host admits a ninth of the rate.
    table.set_shares(1.0 / 9.0, HashMap::from([(6, 0.5)]));
    let ninety = RowLimits {
        rate: Some(90),
        ..RowLimits::default()
    };
    let count = (0..100)
        .filter(|_| table.acquire(5, ninety, 1, none, now).is_ok())
        .count();
    assert_eq!(count, 10);
    let count = (0..100)
        .filter(|_| table.acquire(6, ninety, 1, none, now).is_ok())
        .count();
    assert_eq!(count, 45, "an account with a share of its own");
}

#[test]
fn shares_follow_demand_and_never_add_up_to_much_more_than_the_limit() {
    let inputs = |own, others, live_peers| ShareInputs {
        fleet_hosts: 9,
        hall_hosts: 3,
        live_peers,
        local_demand: own,
        peer_demand: others,
    };
    // (local demand, demand of live peers, number of live peers, share of the fleet-wide limit)
    let cases = [
        (0.0, 0.0, 2, 1.0 / 9.0),
        (10.0, 20.0, 2, 1.0 / 9.0),
        (30.0, 0.0, 2, 3.0 / 9.0),
        (0.0, 30.0, 2, 0.25 / 9.0),
        // A host without heartbeats from its hall has no more than an even share.
        (30.0, 0.0, 0, 1.0 / 9.0),
        (30.0, 0.0, 1, 2.0 / 9.0),
    ];
    for (number, (own, others, live_peers, wanted)) in cases.into_iter().enumerate() {
        let share = compute_share(&inputs(own, others, live_peers));
        assert!(
            (share - wanted).abs() < 1e-9,
            "case {number}: {share} of {wanted}"
        );
    }
    let mut chance = fastrand::Rng::with_seed(5);
    for _ in 0..10_000 {
        let demands: Vec<f64> = (0..3).map(|_| f64::from(chance.u32(0..50))).collect();
        let total: f64 = demands.iter().sum();
        let hall: f64 = demands
            .iter()
            .map(|own| compute_share(&inputs(*own, total - own, 2)))
            .sum();
        assert!(hall <= 3.0 / 9.0 * 1.5 + 1e-9, "{demands:?}: {hall}");
    }
}

#[test]
fn retries_are_a_share_of_successes() {
    let mut budget = RetryBudget::new();
    let spent = (0..100).filter(|_| budget.try_take_retry(1, 1)).count();
    assert_eq!(spent, 10);
    assert!(budget.try_take_retry(2, 1), "another account has its own");
    (0..30).for_each(|_| budget.record_success(1, 1));
    let spent = (0..100).filter(|_| budget.try_take_retry(1, 1)).count();
    assert!((2..=3).contains(&spent), "{spent}");
}

/// Requests more permits than the window holds and waits until some requests are queued.
async fn queue_requests(
    dispatcher: &Arc<TargetDispatcher>,
) -> Vec<ntex::rt::JoinHandle<AcquireResult>> {
    let tasks = (0..12).map(|_| {
        let waiting = dispatcher.clone();
        ntex::rt::spawn(async move { waiting.acquire(target_request(1, LONG)).await })
    });
    let tasks: Vec<_> = tasks.collect();
    while dispatcher.report().0[0].waiting == 0 {
        tokio::task::yield_now().await;
    }
    tasks
}

type AcquireResult = Result<linnet_dispatch::TargetPermit, linnet_dispatch::DispatchRefusal>;

#[ntex::test]
async fn queued_requests_are_served_in_turn_as_the_window_permits() {
    let dispatcher = dispatcher(&[("a", "home")]);
    let tasks = queue_requests(&dispatcher).await;
    // A request that expires in the queue is refused at that moment.
    let refusal = dispatcher
        .acquire(target_request(1, Duration::from_millis(30)))
        .await
        .err()
        .unwrap();
    assert_eq!(refusal.cause, RefusalCause::NoTime);
    for task in tasks {
        task.await
            .unwrap()
            .unwrap()
            .finish(AttemptOutcome::Success, None);
    }
    assert_eq!(dispatcher.report().1[0].in_flight, 0);
}

#[ntex::test]
async fn queued_requests_are_refused_at_once_when_the_last_target_leaves() {
    let dispatcher = dispatcher(&[("a", "home")]);
    let tasks = queue_requests(&dispatcher).await;
    dispatcher.mark_leaving("a");
    let mut refused = 0;
    let mut held = Vec::new();
    for task in tasks {
        match task.await.unwrap() {
            Ok(permit) => held.push(permit),
            Err(refusal) => {
                assert_eq!(refusal.cause, RefusalCause::NoTarget);
                refused += 1;
            }
        }
    }
    assert!(refused > 0);
    let refusal = dispatcher
        .acquire(target_request(1, LONG))
        .await
        .err()
        .unwrap();
    assert_eq!(refusal.cause, RefusalCause::NoTarget);
}

#[ntex::test]
async fn a_permit_whose_receiver_is_gone_frees_its_slot() {
    let dispatcher = dispatcher(&[("a", "home")]);
    let first = dispatcher.acquire(target_request(1, LONG)).await.unwrap();
    let second = dispatcher.acquire(target_request(1, LONG)).await.unwrap();
    for _ in 0..50 {
        let waiting = dispatcher.clone();
        let _ =
            tokio::time::timeout(Duration::ZERO, waiting.acquire(target_request(2, LONG))).await;
    }
    drop((first, second));
    assert_eq!(dispatcher.report().1[0].in_flight, 0);
    assert!(dispatcher.acquire(target_request(3, LONG)).await.is_ok());
}

#[ntex::test]
async fn targets_of_the_own_hall_are_preferred_until_they_are_loaded() {
    let dispatcher = dispatcher(&[("far-1", "other"), ("near", "home"), ("far-2", "other")]);
    let mut names = Vec::new();
    let mut held = Vec::new();
    for _ in 0..3 {
        let permit = dispatcher.acquire(target_request(1, LONG)).await.unwrap();
        names.push(permit.name().to_owned());
        held.push(permit);
    }
    assert_eq!(names[0], "near");
    assert!(names[1..].iter().any(|name| name != "near"), "{names:?}");
}

fn admission(account: u32) -> AdmissionRequest {
    AdmissionRequest {
        account,
        weight: 1,
        route: 1,
        time_left: Duration::from_secs(1),
    }
}

/// Records attempts of about 10 ms, so that the dispatcher has an estimate of the stage.
async fn record_durations(dispatcher: &Arc<TargetDispatcher>) {
    for _ in 0..20 {
        let permit = dispatcher.acquire(target_request(1, LONG)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(10)).await;
        permit.finish(AttemptOutcome::Success, None);
    }
}

#[ntex::test]
async fn admission_counts_reservations_and_a_burst_affects_only_its_own_account() {
    let dispatcher = dispatcher(&[("a", "home")]);
    record_durations(&dispatcher).await;
    // Each takes about 10 ms, so a deadline of one second admits some hundreds and not thousands.
    let mut admitted = Vec::new();
    let refusal = loop {
        match dispatcher.admit(["pool"].into_iter(), &admission(1)) {
            Ok(request) => admitted.push(request),
            Err(refusal) => break refusal,
        }
        assert!(admitted.len() < 10_000, "no request was refused");
    };
    assert_eq!(refusal.cause, RefusalCause::NoTime);
    let other = dispatcher.admit(["pool"].into_iter(), &admission(2));
    assert!(
        other.is_ok(),
        "another account waits for its own requests only"
    );
    admitted.clear();
    assert!(
        dispatcher
            .admit(["pool"].into_iter(), &admission(1))
            .is_ok()
    );
}
