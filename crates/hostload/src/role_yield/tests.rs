use std::time::{Duration, Instant};

use super::RoleYield;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Delays in milliseconds, and for how long each lasts.
type DelayPhases = [(u64, u64)];

/// When decisions changed, in milliseconds, and to what.
type RoleMoves = [(u64, bool)];

/// Updates every 25 ms with the delays of `phases` of this length, and returns when the decision changed,
/// in milliseconds from the start.
fn changes(roles: &mut RoleYield, phases: &DelayPhases) -> Vec<(u64, bool)> {
    let (start, mut passed) = (Instant::now(), 0);
    let mut changes = Vec::new();
    for (delay, length) in phases {
        for _ in 0..length / 25 {
            passed += 25;
            if roles.update(millis(*delay), start + millis(passed)) {
                changes.push((passed, roles.is_yielded()));
            }
        }
    }
    changes
}

#[test]
fn only_a_delay_that_lasts_moves_roles() {
    let cases: [(&DelayPhases, &RoleMoves); 5] = [
        (&[(0, 1_000), (30, 5_000)], &[]),
        (&[(0, 1_000), (31, 5_000)], &[(1_525, true)]),
        (&[(400, 475), (0, 25), (400, 475), (0, 25)], &[]),
        (&[(50, 1_000), (0, 4_900), (50, 1_000)], &[(525, true)]),
        (&[(50, 1_000), (0, 6_000)], &[(525, true), (6_025, false)]),
    ];
    for (phases, expected) in cases {
        let moves = changes(&mut RoleYield::new(), phases);
        assert_eq!(moves, expected, "{phases:?}");
    }
}

/// Guards against roles that move to and fro between a host and others as long as a load lasts.
#[test]
fn roles_that_delay_their_host_each_time_come_back_ever_later() {
    let mut roles = RoleYield::new();
    let (start, mut passed) = (Instant::now(), 0);
    let (mut yielded_at, mut recovery_times) = (0, Vec::new());
    // The host is delayed as soon as it has its roles, and never without them.
    while passed < 300_000 {
        passed += 25;
        let delay = millis(if roles.is_yielded() { 0 } else { 60 });
        let has_changed = roles.update(delay, start + millis(passed));
        match (has_changed, roles.is_yielded()) {
            (true, true) => yielded_at = passed,
            (true, false) => recovery_times.push((passed - yielded_at) / 1_000),
            (false, _) => {}
        }
    }
    assert_eq!(recovery_times, [5, 10, 20, 40, 80, 80]);
}
