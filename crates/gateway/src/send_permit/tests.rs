use super::*;

const WITHIN: Duration = Duration::from_millis(100);

fn granted(wait_ms: u64, more: u32, next_ms: u64) -> SendPermitReply {
    SendPermitReply::Granted {
        wait_ms,
        more,
        next_ms,
    }
}

#[test]
fn a_permit_expires() {
    let (permits, now) = (SendPermitCache::default(), BootInstant::now());
    let (wait, permit) = permits
        .record_reply("t-0", granted(50, 0, 250), WITHIN, now)
        .unwrap();
    assert_eq!(wait, Duration::from_millis(50));
    assert!(permit.is_valid(now + wait));
    assert!(!permit.is_valid(now + wait + PERMIT_LIFETIME + Duration::from_millis(1)));
    assert!(!SendPermit::UNRESTRICTED.is_valid(now));
}

#[test]
fn a_target_is_unavailable_until_a_permit_is_due_within_the_accepted_wait() {
    let (permits, now) = (SendPermitCache::default(), BootInstant::now());
    assert_eq!(permits.unavailable_for("t-0", now), Duration::ZERO);
    permits.record_reply("t-0", SendPermitReply::Denied(700), WITHIN, now);
    assert_eq!(
        permits.unavailable_for("t-0", now),
        Duration::from_millis(600)
    );
    permits.record_reply("t-0", granted(0, 0, 300), WITHIN, now);
    assert_eq!(
        permits.unavailable_for("t-0", now),
        Duration::from_millis(200)
    );
    permits.remove("t-0");
    assert_eq!(permits.unavailable_for("t-0", now), Duration::ZERO);
}

#[test]
fn a_denied_request_does_not_block_requests_that_accept_a_longer_wait() {
    let (permits, now) = (SendPermitCache::default(), BootInstant::now());
    permits.record_reply("t-0", SendPermitReply::Denied(80), WITHIN / 10, now);
    assert!(permits.would_time_out("t-0", WITHIN / 10, now));
    assert!(!permits.would_time_out("t-0", WITHIN, now));
    assert_eq!(permits.unavailable_for("t-0", now), Duration::ZERO);
    permits.record_reply("t-0", SendPermitReply::Denied(5_000), WITHIN / 10, now);
    assert_eq!(
        permits.unavailable_for("t-0", now),
        Duration::from_millis(4_900)
    );
    let later = now + MAX_WAIT_RETENTION + Duration::from_millis(1);
    permits.record_reply("t-0", SendPermitReply::Denied(5_000), WITHIN / 10, later);
    assert_eq!(
        permits.unavailable_for("t-0", later),
        Duration::from_millis(4_990)
    );
}

#[test]
fn spare_permits_are_used_until_they_expire() {
    let (permits, now) = (SendPermitCache::default(), BootInstant::now());
    permits.record_reply("t-0", granted(0, 2, 10), WITHIN, now);
    assert!(permits.take_spare("t-0", now).is_some());
    assert!(permits.take_spare("t-0", now + PERMIT_LIFETIME).is_some());
    assert!(permits.take_spare("t-0", now).is_none());
    permits.record_reply("t-0", granted(0, 2, 10), WITHIN, now);
    let late = now + PERMIT_LIFETIME + Duration::from_millis(1);
    assert!(permits.take_spare("t-0", late).is_none());
}

#[test]
fn the_demand_is_the_count_of_the_previous_window() {
    let (permits, now) = (SendPermitCache::default(), BootInstant::now());
    for _ in 0..50 {
        permits.take_spare("t-0", now);
    }
    assert_eq!(permits.demand("t-0"), 0);
    permits.take_spare("t-0", now + DEMAND_WINDOW);
    assert_eq!(permits.demand("t-0"), 50);
    permits.take_spare("t-0", now + DEMAND_WINDOW * 9);
    assert_eq!(permits.demand("t-0"), 0);
}
