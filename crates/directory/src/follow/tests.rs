use super::followed::{FOLLOWED, OPENING_PATIENCE, UNLED_PATIENCE};
use super::*;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 1))
}

#[test]
fn a_process_is_told_by_few_control_hosts_and_keeps_them() {
    let me = address(200);
    let mut connected: BTreeSet<SocketAddr> = (1..20).map(address).collect();
    let tellers = choose_tellers(me, &connected);
    assert_eq!(tellers.len(), FOLLOWED);
    // Others come and go, and the chosen ones stay.
    let others: Vec<SocketAddr> = connected.difference(&tellers).copied().collect();
    for other in &others {
        connected.remove(other);
        assert_eq!(choose_tellers(me, &connected), tellers);
    }
    // With fewer than that all of them tell.
    let lost = *tellers.first().expect("tellers");
    connected.remove(&lost);
    assert_eq!(choose_tellers(me, &connected), connected);
}

#[test]
fn the_work_of_telling_is_spread_over_the_control_hosts() {
    let connected: BTreeSet<SocketAddr> = (1..20).map(address).collect();
    let mut told: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in 0..300_u16 {
        let me = SocketAddr::from(([127, 0, 1, (number % 250) as u8], 1 + number));
        for teller in choose_tellers(me, &connected) {
            *told.entry(teller).or_default() += 1;
        }
    }
    let most = told.values().max().copied().unwrap_or(0);
    assert!(told.len() == 19 && most < 80, "{told:?}");
}

fn ranked(count: u8) -> Vec<SocketAddr> {
    rank_controls(address(200), &(1..=count).map(address).collect())
}

/// What an entry host follows does not grow with the control hosts.
#[test]
fn an_entry_host_follows_a_few_of_any_number_of_control_hosts() {
    for count in [1, 2, 3, 5, 6, 8, 25, 100] {
        let chosen = choose_followed(&ranked(count), |_| true);
        assert_eq!(chosen.len(), usize::from(count).min(FOLLOWED));
    }
}

/// Each that is lost, or has heard no leader for long, has one more in its place; it is tried on.
#[test]
fn others_are_followed_in_place_of_those_that_are_of_no_use() {
    let ranked = ranked(25);
    for lost in 0..10 {
        let chosen = choose_followed(&ranked, |address| !ranked[..lost].contains(&address));
        assert_eq!(chosen, ranked[..lost + FOLLOWED].iter().copied().collect());
    }
    let none = choose_followed(&ranked, |_| false);
    assert_eq!(none.len(), 25);
}

/// When one control host is lost, only its own followers find another.
#[test]
fn a_lost_control_host_moves_its_own_followers_only() {
    let controls: BTreeSet<SocketAddr> = (1..=25).map(address).collect();
    let lost = address(7);
    for number in 0..200 {
        let me = SocketAddr::from(([127, 0, 1, number], 1));
        let ranked = rank_controls(me, &controls);
        let before = choose_followed(&ranked, |_| true);
        let after = choose_followed(&ranked, |address| address != lost);
        let moved = after.difference(&before).count();
        assert_eq!(moved, usize::from(before.contains(&lost)));
    }
}

#[test]
fn a_control_host_counts_while_it_is_opened_or_hears_a_leader() {
    let now = Instant::now();
    let mut host = FollowedHost::new(now);
    assert!(host.counts(now));
    assert!(!host.counts(now + OPENING_PATIENCE));
    host.connected = true;
    assert!(host.counts(now + OPENING_PATIENCE));
    host.unled = Some(now);
    assert!(host.counts(now + OPENING_PATIENCE));
    assert!(!host.counts(now + UNLED_PATIENCE));
}
