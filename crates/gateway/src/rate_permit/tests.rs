use super::*;

const WITHIN: Duration = Duration::from_millis(100);

fn granted(wait_ms: u64, more: u32, next_ms: u64) -> RateAnswer {
    RateAnswer::Granted {
        wait_ms,
        more,
        next_ms,
    }
}

#[test]
fn a_permit_is_of_no_use_once_its_time_is_over() {
    let (permits, now) = (RatePermits::default(), BootInstant::now());
    let (wait, permit) = permits
        .take_answer("t-0", granted(50, 0, 250), WITHIN, now)
        .unwrap();
    assert_eq!(wait, Duration::from_millis(50));
    assert!(permit.is_valid(now + wait));
    assert!(!permit.is_valid(now + wait + PERMIT_LIFE + Duration::from_millis(1)));
    assert!(!SendPermit::FREE.is_valid(now));
}

#[test]
fn a_target_is_closed_until_leave_can_be_had_within_the_wait() {
    let (permits, now) = (RatePermits::default(), BootInstant::now());
    assert_eq!(permits.closed_for("t-0", now), Duration::ZERO);
    permits.take_answer("t-0", RateAnswer::Later(700), WITHIN, now);
    assert_eq!(permits.closed_for("t-0", now), Duration::from_millis(600));
    permits.take_answer("t-0", granted(0, 0, 300), WITHIN, now);
    assert_eq!(permits.closed_for("t-0", now), Duration::from_millis(200));
    permits.forget("t-0");
    assert_eq!(permits.closed_for("t-0", now), Duration::ZERO);
}

#[test]
fn a_target_is_open_to_those_that_wait_longer_than_one_that_got_no_leave() {
    let (permits, now) = (RatePermits::default(), BootInstant::now());
    permits.take_answer("t-0", RateAnswer::Later(80), WITHIN / 10, now);
    assert!(permits.is_vain("t-0", WITHIN / 10, now));
    assert!(!permits.is_vain("t-0", WITHIN, now));
    assert_eq!(permits.closed_for("t-0", now), Duration::ZERO);
    permits.take_answer("t-0", RateAnswer::Later(5_000), WITHIN / 10, now);
    assert_eq!(permits.closed_for("t-0", now), Duration::from_millis(4_900));
    let later = now + PATIENCE_KEPT + Duration::from_millis(1);
    permits.take_answer("t-0", RateAnswer::Later(5_000), WITHIN / 10, later);
    assert_eq!(
        permits.closed_for("t-0", later),
        Duration::from_millis(4_990)
    );
}

#[test]
fn permits_beside_one_are_used_before_others_are_asked_for() {
    let (permits, now) = (RatePermits::default(), BootInstant::now());
    permits.take_answer("t-0", granted(0, 2, 10), WITHIN, now);
    assert!(permits.take_spare("t-0", now).is_some());
    assert!(permits.take_spare("t-0", now + PERMIT_LIFE).is_some());
    assert!(permits.take_spare("t-0", now).is_none());
    permits.take_answer("t-0", granted(0, 2, 10), WITHIN, now);
    let late = now + PERMIT_LIFE + Duration::from_millis(1);
    assert!(permits.take_spare("t-0", late).is_none());
}

#[test]
fn the_demand_is_that_of_the_span_before() {
    let (permits, now) = (RatePermits::default(), BootInstant::now());
    for _ in 0..50 {
        permits.take_spare("t-0", now);
    }
    assert_eq!(permits.demand("t-0"), 0);
    permits.take_spare("t-0", now + DEMAND_SPAN);
    assert_eq!(permits.demand("t-0"), 50);
    permits.take_spare("t-0", now + DEMAND_SPAN * 9);
    assert_eq!(permits.demand("t-0"), 0);
}
