use super::*;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 1))
}

#[test]
fn a_process_is_told_by_few_control_hosts_and_keeps_them() {
    let me = address(200);
    let mut connected: BTreeSet<SocketAddr> = (1..20).map(address).collect();
    let tellers = choose_tellers(me, &connected);
    assert_eq!(tellers.len(), TELLERS);
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
