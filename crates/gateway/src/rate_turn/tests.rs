use super::*;

const RATE: f64 = 10.0;

fn ask_of(target: &str, within_ms: u64, more: u32) -> RateAsk {
    RateAsk {
        subject: RateSubject::Target(RateWord {
            target: target.to_owned(),
            rate: Some(NamedRate::new(RATE)),
            asked_ms: 0,
            heard_ms: 0,
        }),
        within_ms,
        more,
    }
}

fn ask(within_ms: u64, more: u32) -> RateAsk {
    ask_of("t-0", within_ms, more)
}

fn give(turns: &RateTurns, per_second: f64, ask: &RateAsk, now: BootInstant) -> RateAnswer {
    turns.give(NamedRate::new(per_second), ask, now)
}

#[test]
fn a_host_that_begins_to_give_leave_waits_for_what_another_gave() {
    let (turns, now) = (RateTurns::default(), BootInstant::now());
    assert_eq!(
        give(&turns, RATE, &ask(0, 0), now),
        RateAnswer::Later(PERMIT_LIFE.as_millis() as u64)
    );
    let then = now + PERMIT_LIFE;
    let granted = RateAnswer::Granted {
        wait_ms: 0,
        more: 0,
        next_ms: 100,
    };
    assert_eq!(give(&turns, RATE, &ask(0, 0), then), granted);
    assert_eq!(give(&turns, RATE, &ask(0, 0), then), RateAnswer::Later(100));
}

#[test]
fn leave_for_later_is_given_only_within_the_time_that_is_asked_for() {
    let (turns, now) = (RateTurns::default(), BootInstant::now());
    give(&turns, RATE, &ask(0, 0), now);
    let then = now + PERMIT_LIFE;
    let waits: Vec<RateAnswer> = (0..4)
        .map(|_| give(&turns, RATE, &ask(250, 0), then))
        .collect();
    let granted = |wait_ms| RateAnswer::Granted {
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
            RateAnswer::Later(300)
        ]
    );
}

#[test]
fn a_host_that_sends_much_gets_leave_for_several_at_once_where_the_rate_is_high() {
    let (turns, now) = (RateTurns::default(), BootInstant::now());
    give(&turns, 5_000.0, &ask(0, 0), now);
    let answer = give(&turns, 5_000.0, &ask(0, 60), now + PERMIT_LIFE);
    let granted = RateAnswer::Granted {
        wait_ms: 0,
        more: 60,
        next_ms: 13,
    };
    assert_eq!(answer, granted);
}

#[test]
fn targets_that_nobody_asks_for_are_forgotten() {
    let (turns, now) = (RateTurns::default(), BootInstant::now());
    for number in 0..1_000 {
        give(&turns, RATE, &ask_of(&format!("t-{number}"), 0, 0), now);
    }
    turns.expire(now + PACER_KEPT * 2);
    assert!(turns.pacers.borrow().is_empty());
}
