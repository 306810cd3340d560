use super::followed::{CONNECT_GRACE, FOLLOWED_HOSTS, LEADERLESS_GRACE};
use super::*;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 1))
}

#[test]
fn list_sources_are_few_and_stable() {
    let me = address(200);
    let mut connected: BTreeSet<SocketAddr> = (1..20).map(address).collect();
    let list_sources = choose_list_sources(me, &connected);
    assert_eq!(list_sources.len(), FOLLOWED_HOSTS);
    // The chosen ones stay when others disconnect.
    let others: Vec<SocketAddr> = connected.difference(&list_sources).copied().collect();
    for other in &others {
        connected.remove(other);
        assert_eq!(choose_list_sources(me, &connected), list_sources);
    }
    // With fewer control hosts than that, all of them are list sources.
    let lost = *list_sources.first().expect("a list source");
    connected.remove(&lost);
    assert_eq!(choose_list_sources(me, &connected), connected);
}

#[test]
fn list_sources_are_balanced_over_control_hosts() {
    let connected: BTreeSet<SocketAddr> = (1..20).map(address).collect();
    let mut loads: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in 0..300_u16 {
        let me = SocketAddr::from(([127, 0, 1, (number % 250) as u8], 1 + number));
        for source in choose_list_sources(me, &connected) {
            *loads.entry(source).or_default() += 1;
        }
    }
    let max_load = loads.values().max().copied().unwrap_or(0);
    assert!(loads.len() == 19 && max_load < 80, "{loads:?}");
}

fn ranked(count: u8) -> Vec<SocketAddr> {
    rank_controls(address(200), &(1..=count).map(address).collect())
}

/// The number of followed control hosts does not grow with the number of control hosts.
#[test]
fn number_of_followed_control_hosts_is_bounded() {
    for count in [1, 2, 3, 5, 6, 8, 25, 100] {
        let chosen = choose_followed(&ranked(count), |_| true);
        assert_eq!(chosen.len(), usize::from(count).min(FOLLOWED_HOSTS));
    }
}

/// For each followed host that is lost, or has had no leader for too long, one more is followed;
/// the host itself is still followed.
#[test]
fn unusable_control_hosts_are_supplemented_by_others() {
    let ranked = ranked(25);
    for lost in 0..10 {
        let chosen = choose_followed(&ranked, |address| !ranked[..lost].contains(&address));
        assert_eq!(
            chosen,
            ranked[..lost + FOLLOWED_HOSTS].iter().copied().collect()
        );
    }
    let none = choose_followed(&ranked, |_| false);
    assert_eq!(none.len(), 25);
}

/// When a control host is lost, only its own followers choose another one.
#[test]
fn lost_control_host_affects_only_its_followers() {
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
fn control_host_is_usable_while_connecting_or_with_a_leader() {
    let now = Instant::now();
    let mut host = FollowedHost::new(now);
    assert!(host.is_usable(now));
    assert!(!host.is_usable(now + CONNECT_GRACE));
    host.connected = true;
    assert!(host.is_usable(now + CONNECT_GRACE));
    host.leaderless_since = Some(now);
    assert!(host.is_usable(now + CONNECT_GRACE));
    assert!(!host.is_usable(now + LEADERLESS_GRACE));
}
