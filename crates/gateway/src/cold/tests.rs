use super::*;

const PER_S: f64 = 9.1;

/// Maximum number of requests that all hosts together may send in a second: 1.5 times the rate and
/// 5.
const MAX_PER_SECOND: usize = 18;

fn rate() -> ColdRate {
    ColdRate::new(PER_S).unwrap()
}

/// Returns the maximum number of times within one second.
fn max_in_one_second(mut sent: Vec<Instant>) -> usize {
    sent.sort();
    let within = |start: usize| {
        let until = sent[start] + Duration::from_secs(1);
        sent[start..].iter().take_while(|at| **at < until).count()
    };
    (0..sent.len()).map(within).max().unwrap_or(0)
}

#[test]
fn a_single_deciding_host_keeps_the_rate_in_every_second() {
    let started = Instant::now();
    let (mut window, mut sent) = (SendWindow::default(), Vec::new());
    for ms in 0..5_000 {
        let now = started + Duration::from_millis(ms);
        if window.allows_send(rate(), now) {
            window.record_send(rate(), now);
            sent.push(now);
        }
    }
    assert_eq!(max_in_one_second(sent.clone()), 9);
    assert!(sent.len() >= 45, "{}", sent.len());
}

#[test]
fn two_deciding_hosts_stay_within_the_allowed_rate() {
    let started = Instant::now();
    let (mut windows, mut sent) = (vec![SendWindow::default(); 2], Vec::new());
    for ms in 0..5_000 {
        let now = started + Duration::from_millis(ms);
        for window in &mut windows {
            if window.allows_send(rate(), now) {
                window.record_send(rate(), now);
                sent.push(now);
            }
        }
    }
    assert!(max_in_one_second(sent) <= MAX_PER_SECOND);
}

/// 88 hosts without a deciding host have requests to send all the time.
#[test]
fn hosts_that_do_not_know_of_each_other_stay_within_what_is_allowed() {
    const HOSTS: usize = 88;
    let mut worst = 0;
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let started = Instant::now();
        let (mut shares, mut sent) = (vec![SendShare::default(); HOSTS], Vec::new());
        for step in 0..200 {
            let now = started + Duration::from_millis(step * 20);
            for share in &mut shares {
                if share.allows_send(rate(), HOSTS, random.f64(), now) {
                    share.record_send(rate(), HOSTS, now);
                    sent.push(now);
                }
            }
        }
        worst = worst.max(max_in_one_second(sent));
    }
    println!("at most {worst} in one second, {MAX_PER_SECOND} allowed");
    assert!(worst <= MAX_PER_SECOND, "{worst}");
}

#[test]
fn a_rate_below_one_a_second_is_kept_over_a_longer_span() {
    let slow = ColdRate::new(0.2).unwrap();
    let now = Instant::now();
    let mut window = SendWindow::default();
    assert!(window.allows_send(slow, now));
    window.record_send(slow, now);
    assert!(!window.allows_send(slow, now + Duration::from_millis(4_900)));
    assert!(window.allows_send(slow, now + Duration::from_millis(5_100)));
    assert_eq!(ColdRate::new(0.0), None);
}
