//! Tables of cases for the decisions about paths and peers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnet_paths::{
    AnswerTally, Certainty, ConnectFailure, ConnectPlan, PathChange, PathTable, PathVerdict,
    PeerAnswer, PeerHost, PeerTable, tunnel_limit,
};

const ASKING_PEERS: [u16; 8] = [0, 1, 2, 3, 4, 5, 6, 7];

fn target(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 1_000 + number))
}

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 3], 1_000 + number))
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn peers(numbers: &[u16]) -> PeerTable {
    let mut peers = PeerTable::new();
    peers.set_peers(numbers.iter().map(|number| PeerHost {
        name: format!("host-{number}"),
        address: peer(*number),
    }));
    peers
}

/// Scores peers by weight alone, and equal ones by name.
fn by_weight(name: &str, weight: f64) -> f64 {
    let number: f64 = name.trim_start_matches("host-").parse().unwrap_or(0.0);
    weight * 100.0 - number
}

#[test]
fn plans_follow_from_what_was_seen() {
    type Step = fn(&mut PathTable, Instant);
    let direct = |head_start| ConnectPlan::Direct {
        head_start: ms(head_start),
    };
    let cases: [(&str, &[Step], u64, ConnectPlan); 8] = [
        ("nothing known", &[], 0, direct(100)),
        (
            "a failed attempt alone is no loss",
            &[|paths, now| paths.record_failure(target(0), ConnectFailure::Silent, now)],
            0,
            direct(100),
        ),
        (
            "lost here",
            &[|paths, now| _ = paths.record_lost(target(0), now)],
            60_000,
            ConnectPlan::Tunnel,
        ),
        (
            "restored",
            &[
                |paths, now| _ = paths.record_lost(target(0), now),
                |paths, now| _ = paths.record_open(target(0), now),
            ],
            0,
            direct(100),
        ),
        (
            "down for everyone",
            &[|paths, now| paths.record_down(target(0), now)],
            499,
            ConnectPlan::DirectOnly,
        ),
        (
            "down for everyone some time ago",
            &[|paths, now| paths.record_down(target(0), now)],
            500,
            direct(100),
        ),
        (
            "one other target lost",
            &[|paths, now| _ = paths.record_lost(target(1), now)],
            0,
            direct(100),
        ),
        (
            "two other targets lost",
            &[
                |paths, now| _ = paths.record_lost(target(1), now),
                |paths, now| _ = paths.record_lost(target(2), now),
            ],
            0,
            direct(30),
        ),
    ];
    for (name, steps, after, expected) in cases {
        let now = Instant::now();
        let mut paths = PathTable::new();
        steps.iter().for_each(|step| step(&mut paths, now));
        assert_eq!(paths.plan(target(0), now + ms(after)), expected, "{name}");
    }
}

/// Guards against requests that hang on idle connections which the same partition has cut.
#[test]
fn idle_connections_are_not_used_after_several_losses_without_a_sign_of_life() {
    let (mut paths, start) = (PathTable::new(), Instant::now());
    paths.record_response(target(0), start);
    assert!(paths.may_use_idle(target(0)));
    paths.record_lost(target(1), start + ms(10));
    assert!(
        paths.may_use_idle(target(0)),
        "one loss may concern one target"
    );
    assert!(!paths.may_use_idle(target(1)));
    paths.record_lost(target(2), start + ms(20));
    assert!(!paths.may_use_idle(target(0)));
    assert_eq!(paths.record_open(target(0), start + ms(30)), None);
    assert!(paths.may_use_idle(target(0)));
    paths.record_lost(target(3), start + ms(40));
    assert!(!paths.may_use_idle(target(0)), "the cut still grows");
    for number in 1..4 {
        let change = paths.record_open(target(number), start + ms(50));
        assert_eq!(change, Some(PathChange::Restored));
    }
    assert!(paths.may_use_idle(target(0)), "all paths are restored");
}

#[test]
fn losses_far_apart_raise_no_doubt() {
    let (mut paths, start) = (PathTable::new(), Instant::now());
    paths.record_lost(target(1), start);
    paths.record_lost(target(2), start + ms(3_000));
    assert!(!paths.is_in_doubt());
}

/// Guards against a direct attempt for each request to a lost target.
#[test]
fn lost_targets_are_probed_in_turn_at_a_fixed_rate() {
    let (mut paths, start) = (PathTable::new(), Instant::now());
    for number in 0..3 {
        paths.record_lost(target(number), start + ms(u64::from(number)));
    }
    let mut probes = Vec::new();
    for time in 0..2_001 {
        if let Some(target) = paths.next_probe(start + ms(time)) {
            probes.push((time, target));
        }
    }
    let expected = [(500, 0), (1_000, 1), (1_500, 2), (2_000, 0)];
    let expected = expected.map(|(time, number)| (time, target(number)));
    assert_eq!(probes, expected);
}

#[test]
fn paths_are_restored_quickly_once_one_is() {
    let (mut paths, start) = (PathTable::new(), Instant::now());
    for number in 0..17 {
        paths.record_lost(target(number), start);
    }
    let mut restored_at = 0;
    for time in 0..5_000 {
        let now = start + ms(time);
        if let Some(target) = paths.next_probe(now) {
            paths.record_open(target, now);
            restored_at = time;
        }
    }
    assert_eq!((paths.lost_count(), restored_at), (0, 500 + 16 * 50));
}

#[test]
fn silent_targets_are_checked_at_a_bounded_rate() {
    let (mut paths, start) = (PathTable::new(), Instant::now());
    paths.record_response(target(0), start);
    assert!(!paths.begin_check(target(0), start + ms(399)), "alive");
    assert!(paths.begin_check(target(0), start + ms(400)));
    assert!(!paths.begin_check(target(1), start + ms(899)), "too soon");
    assert!(paths.begin_check(target(1), start + ms(900)));
    paths.record_lost(target(1), start + ms(901));
    assert!(!paths.begin_check(target(1), start + ms(901)), "lost");
    assert!(paths.begin_check(target(2), start + ms(901)), "urgent");
    assert!(!paths.begin_check(target(3), start + ms(1_000)));
    assert!(paths.begin_check(target(3), start + ms(1_001)));
}

#[test]
fn a_host_that_lost_several_targets_is_cut_off() {
    let (mut paths, now) = (PathTable::new(), Instant::now());
    for number in 0..5 {
        // Targets that crash together must not make this host look cut off.
        paths.record_failure(target(number), ConnectFailure::Refused, now);
    }
    assert!(!paths.is_cut_off());
    paths.record_lost(target(0), now);
    assert!(!paths.is_cut_off());
    paths.record_lost(target(1), now);
    assert!(paths.is_cut_off());
    paths.record_open(target(0), now);
    assert!(!paths.is_cut_off());
}

#[test]
fn a_failure_answers_other_hosts_for_half_a_second() {
    let (mut paths, start) = (PathTable::new(), Instant::now());
    paths.record_failure(target(0), ConnectFailure::Refused, start);
    let failure = paths.recent_failure(target(0), start + ms(499));
    assert_eq!(failure, Some(ConnectFailure::Refused));
    assert_eq!(paths.recent_failure(target(0), start + ms(500)), None);
    paths.record_open(target(0), start + ms(10));
    assert_eq!(paths.recent_failure(target(0), start + ms(11)), None);
}

#[test]
fn peers_are_left_out_as_long_as_their_answer_holds() {
    use PeerAnswer::*;
    // Answer of peer 0; until when it is left out for the same target, and for another one.
    let cases = [
        (Opened, 0, 0),
        (UnknownTarget, 3_000, 0),
        (Refused, 3_000, 0),
        (Silent, 3_000, 0),
        (PathLost, 3_000, 0),
        (CutOff, 1_000, 1_000),
        (Unreachable, 1_000, 1_000),
        (Full, 200, 200),
        (TimedOut, 200, 200),
        (Unsupported, 5_000, 5_000),
    ];
    for (answer, same, other) in cases {
        let (mut peers, now) = (peers(&[0]), Instant::now());
        peers.record(peer(0), target(0), answer, now);
        for (number, until) in [(0, same), (1, other)] {
            let chosen = |time| peers.choose(target(number), &[], now + ms(time), by_weight);
            assert_eq!(chosen(until), Some(peer(0)), "{answer:?}");
            if until > 0 {
                assert_eq!(chosen(until - 1), None, "{answer:?}");
            }
        }
    }
}

/// Guards against a peer that is left out for seconds because several requests met one failure.
#[test]
fn answers_of_the_same_moment_leave_a_peer_out_once() {
    let (mut peers, now) = (peers(&[0]), Instant::now());
    for number in 0..4 {
        peers.record(peer(0), target(number), PeerAnswer::Unreachable, now);
    }
    let chosen = peers.choose(target(9), &[], now + ms(1_000), by_weight);
    assert_eq!(chosen, Some(peer(0)));
}

/// Guards against a peer that is not asked for any target because it lost a few.
#[test]
fn a_host_that_lost_a_few_targets_is_not_cut_off_from_most() {
    let (mut paths, now) = (PathTable::new(), Instant::now());
    for number in 0..6 {
        paths.record_open(target(number), now);
    }
    for (number, most) in [(0, false), (1, false), (2, false), (3, true)] {
        paths.record_lost(target(number), now);
        assert_eq!(paths.has_lost_most(), most, "{number}");
    }
}

#[test]
fn a_peer_that_stays_cut_off_is_asked_less_and_less() {
    let (mut peers, mut now) = (peers(&[0]), Instant::now());
    for expected in [1_000, 2_000, 4_000, 8_000, 8_000] {
        peers.record(peer(0), target(0), PeerAnswer::CutOff, now);
        assert_eq!(
            peers.choose(target(1), &[], now + ms(expected - 1), by_weight),
            None
        );
        now += ms(expected);
        assert_eq!(peers.choose(target(1), &[], now, by_weight), Some(peer(0)));
    }
    peers.record(peer(0), target(0), PeerAnswer::Opened, now);
    peers.record(peer(0), target(0), PeerAnswer::CutOff, now);
    assert_eq!(
        peers.choose(target(1), &[], now + ms(1_000), by_weight),
        Some(peer(0))
    );
}

#[test]
fn peers_that_opened_a_connection_lately_are_preferred() {
    let (mut peers, now) = (peers(&ASKING_PEERS), Instant::now());
    let choose = |peers: &PeerTable, time| peers.choose(target(1), &[], now + ms(time), by_weight);
    assert_eq!(choose(&peers, 0), Some(peer(0)));
    peers.record(peer(5), target(0), PeerAnswer::Opened, now);
    assert_eq!(choose(&peers, 4_999), Some(peer(5)));
    assert_eq!(choose(&peers, 5_000), Some(peer(0)));
    let asked = [peer(5), peer(0)];
    assert_eq!(
        peers.choose(target(1), &asked, now, by_weight),
        Some(peer(1))
    );
}

#[test]
fn what_was_learned_of_a_peer_outlives_a_new_list() {
    let (mut peers, now) = (peers(&[0, 1]), Instant::now());
    peers.record(peer(0), target(0), PeerAnswer::Unsupported, now);
    let host = |number| PeerHost {
        name: format!("host-{number}"),
        address: peer(number),
    };
    peers.set_peers([host(0), host(2)]);
    assert_eq!(peers.choose(target(0), &[], now, by_weight), Some(peer(2)));
    // Another host at the same address is another peer.
    let renamed = PeerHost {
        name: "host-7".to_owned(),
        ..host(0)
    };
    peers.set_peers([renamed]);
    assert_eq!(peers.choose(target(0), &[], now, by_weight), Some(peer(0)));
}

#[test]
fn verdicts_need_several_peers_that_agree() {
    use Certainty::*;
    use PathVerdict::*;
    use PeerAnswer::{CutOff, Full, PathLost, Refused, Silent, UnknownTarget, Unreachable};
    // Known peers, those that agreed a moment ago, answers, whether a peer is left, verdict.
    type Case = (
        Certainty,
        usize,
        usize,
        &'static [PeerAnswer],
        bool,
        PathVerdict,
    );
    let cases: [Case; 15] = [
        (Usual, 8, 0, &[], false, Unknown),
        (Usual, 8, 0, &[Refused], true, Unknown),
        (Usual, 8, 0, &[Refused], false, Down),
        (Usual, 8, 0, &[Refused, Silent], true, Down),
        (Usual, 8, 1, &[Refused], true, Down),
        (Usual, 8, 0, &[CutOff, PathLost, Full], false, Unknown),
        (Usual, 8, 0, &[CutOff, Unreachable], false, Unknown),
        (Usual, 8, 0, &[CutOff, Silent, UnknownTarget], true, Unknown),
        (InDoubt, 8, 0, &[Refused, Silent], true, Unknown),
        (InDoubt, 8, 0, &[Refused, Silent], false, Unknown),
        (InDoubt, 2, 0, &[Refused, Silent], false, Down),
        (InDoubt, 8, 2, &[Refused; 2], true, Down),
        (Crash, 8, 0, &[Refused; 5], true, Unknown),
        (Crash, 8, 0, &[Refused; 6], true, Down),
        (Crash, 3, 0, &[Refused; 3], false, Down),
    ];
    for case in cases {
        let (certainty, peers, remembered, answers, peers_left, expected) = case;
        let mut tally = AnswerTally::new(certainty, peers, remembered);
        answers.iter().for_each(|answer| tally.add(*answer));
        assert_eq!(tally.verdict(peers_left), expected, "{case:?}");
    }
}

/// Guards against a wrong verdict that stays, as the peers that gave it are not asked again: two
/// others are asked each time, until one reaches the target.
#[test]
fn former_answers_do_not_replace_new_ones() {
    let mut tally = AnswerTally::new(Certainty::Usual, 20, 10);
    for _ in 0..2 {
        assert!(tally.is_open());
        tally.add(PeerAnswer::Refused);
    }
    assert!(!tally.is_open());
    let mut tally = AnswerTally::new(Certainty::InDoubt, 20, 0);
    for _ in 0..6 {
        assert!(tally.is_open());
        tally.add(PeerAnswer::CutOff);
    }
    assert!(
        !tally.is_open(),
        "the number of peers that are asked is bounded"
    );
}

/// Guards against a target that counts as down since the peers that reach it were slow or full.
#[test]
fn only_peers_without_a_path_or_life_are_ruled_out() {
    use PeerAnswer::*;
    let cases = [
        (None, true),
        (Some(Opened), true),
        (Some(UnknownTarget), false),
        (Some(Refused), false),
        (Some(Silent), false),
        (Some(PathLost), true),
        (Some(CutOff), true),
        (Some(Full), true),
        (Some(TimedOut), true),
        (Some(Unsupported), false),
        (Some(Unreachable), false),
    ];
    for (answer, expected) in cases {
        let (mut peers, now) = (peers(&[0]), Instant::now());
        if let Some(answer) = answer {
            peers.record(peer(0), target(0), answer, now);
        }
        assert_eq!(peers.may_be_reached(target(0), now), expected, "{answer:?}");
    }
}

#[test]
fn agreement_is_remembered_by_target() {
    let (mut peers, now) = (peers(&ASKING_PEERS), Instant::now());
    let answers = [
        (0, PeerAnswer::Refused),
        (1, PeerAnswer::Silent),
        (2, PeerAnswer::PathLost),
        (3, PeerAnswer::CutOff),
    ];
    for (number, answer) in answers {
        peers.record(peer(number), target(0), answer, now);
    }
    assert_eq!(peers.agreeing_count(target(0), now + ms(2_999)), 2);
    assert_eq!(peers.agreeing_count(target(0), now + ms(3_000)), 0);
    assert_eq!(peers.agreeing_count(target(1), now), 0);
}

/// Guards against a silent target that counts as crashed, since no host was refused.
#[test]
fn peers_count_as_refused_only_if_each_of_them_was() {
    use PeerAnswer::{PathLost, Refused, Silent, TimedOut};
    let cases: [(&[PeerAnswer], bool); 7] = [
        (&[], false),
        (&[Silent], false),
        (&[Refused], true),
        (&[Refused, Silent], false),
        (&[Refused, Refused], true),
        (&[Refused, PathLost], true),
        (&[TimedOut], false),
    ];
    let now = Instant::now();
    for (answers, expected) in cases {
        let mut peers = peers(&ASKING_PEERS);
        for (number, answer) in answers.iter().enumerate() {
            peers.record(peer(number as u16), target(0), *answer, now);
        }
        assert_eq!(
            peers.are_all_refused(target(0), now),
            expected,
            "{answers:?}"
        );
    }
}

#[test]
fn a_host_serves_tunnels_in_proportion_to_its_own_connections() {
    let cases = [(0, 32), (10, 72), (56, 256), (1_000, 256)];
    for (own, expected) in cases {
        assert_eq!(tunnel_limit(own), expected, "{own}");
    }
}
