use super::*;

const RATE: f64 = 10.0;

fn request_for(target: &str, max_wait_ms: u64, more: u32) -> SendPermitRequest {
    SendPermitRequest {
        scope: SendPermitScope::Target(RateObservation {
            target: target.to_owned(),
            rate_limit: Some(RateLimit::new(RATE)),
            sent_age_ms: 0,
            received_age_ms: 0,
        }),
        max_wait_ms,
        more,
    }
}

fn request(max_wait_ms: u64, more: u32) -> SendPermitRequest {
    request_for("t-0", max_wait_ms, more)
}

fn issue(
    issuer: &SendPermitIssuer,
    per_second: f64,
    request: &SendPermitRequest,
    now: BootInstant,
) -> SendPermitReply {
    issuer.issue(RateLimit::new(per_second), request, now)
}

#[test]
fn a_new_issuer_waits_until_permits_of_the_previous_one_expire() {
    let (issuer, now) = (SendPermitIssuer::default(), BootInstant::now());
    assert_eq!(
        issue(&issuer, RATE, &request(0, 0), now),
        SendPermitReply::Denied(PERMIT_LIFETIME.as_millis() as u64)
    );
    let then = now + PERMIT_LIFETIME;
    let granted = SendPermitReply::Granted {
        wait_ms: 0,
        more: 0,
        next_ms: 100,
    };
    assert_eq!(issue(&issuer, RATE, &request(0, 0), then), granted);
    assert_eq!(
        issue(&issuer, RATE, &request(0, 0), then),
        SendPermitReply::Denied(100)
    );
}

#[test]
fn permits_are_issued_ahead_only_within_the_accepted_wait() {
    let (issuer, now) = (SendPermitIssuer::default(), BootInstant::now());
    issue(&issuer, RATE, &request(0, 0), now);
    let then = now + PERMIT_LIFETIME;
    let waits: Vec<SendPermitReply> = (0..4)
        .map(|_| issue(&issuer, RATE, &request(250, 0), then))
        .collect();
    let granted = |wait_ms| SendPermitReply::Granted {
        wait_ms,
        more: 0,
        next_ms: wait_ms + 100,
    };
    assert_eq!(
        waits,
        [
            granted(0),
            granted(100),
            granted(200),
            SendPermitReply::Denied(300)
        ]
    );
}

#[test]
fn a_busy_host_gets_several_permits_at_once_at_high_rates() {
    let (issuer, now) = (SendPermitIssuer::default(), BootInstant::now());
    issue(&issuer, 5_000.0, &request(0, 0), now);
    let reply = issue(&issuer, 5_000.0, &request(0, 60), now + PERMIT_LIFETIME);
    let granted = SendPermitReply::Granted {
        wait_ms: 0,
        more: 60,
        next_ms: 13,
    };
    assert_eq!(reply, granted);
}

#[test]
fn state_of_targets_without_permit_requests_expires() {
    let (issuer, now) = (SendPermitIssuer::default(), BootInstant::now());
    for number in 0..1_000 {
        issue(
            &issuer,
            RATE,
            &request_for(&format!("t-{number}"), 0, 0),
            now,
        );
    }
    issuer.expire(now + PACER_RETENTION * 2);
    assert!(issuer.pacers.borrow().is_empty());
}
