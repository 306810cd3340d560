use super::*;

fn host(number: u16, stopping: bool) -> GatewayRecord {
    GatewayRecord {
        name: format!("host-{number}"),
        hall: format!("hall-{}", number % 2),
        peer: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        stopping,
    }
}

/// Where each of the hosts has the pieces of a pool gathered.
fn homes(pool: &PoolKey, hosts: &[GatewayRecord]) -> Vec<SocketAddr> {
    let home = |me: &GatewayRecord| {
        let before = hosts_before(pool, &me.name, &me.hall, me.stopping, hosts.iter());
        before.first().copied().unwrap_or(me.peer)
    };
    hosts.iter().map(home).collect()
}

#[test]
fn all_hosts_meet_at_the_same_one_also_while_some_are_stopping() {
    for stopping in 0..6 {
        for service in ["a", "b", "c", "d"] {
            let hosts: Vec<_> = (0..6)
                .map(|number| host(number, number == stopping))
                .collect();
            let homes = homes(&PoolKey::whole(service), &hosts);
            assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
            assert_ne!(homes[0], hosts[usize::from(stopping)].peer);
        }
    }
}

#[test]
fn the_last_host_gathers_for_itself_even_while_it_is_stopping() {
    let hosts = [host(0, true), host(1, true)];
    let homes = homes(&PoolKey::whole("a"), &hosts);
    assert_eq!(homes, [hosts[0].peer, hosts[1].peer]);
}
