use std::collections::BTreeMap;

use super::*;
use crate::rendezvous;
use crate::stage_client::tests::host;

/// Returns hosts with these capacities.
fn hosts(capacities: &[u32]) -> Vec<EntryHostRecord> {
    let numbered = (0..).zip(capacities);
    numbered
        .map(|(number, capacity)| EntryHostRecord {
            capacity: *capacity,
            ..host(number, false)
        })
        .collect()
}

/// Counts how many of 1,000 pools the hosts of each capacity coordinate.
fn pools_by_capacity(hosts: &[EntryHostRecord]) -> BTreeMap<u32, u32> {
    let mut pools = BTreeMap::new();
    for number in 0..1_000 {
        let pool = PoolKey::whole(&format!("pool-{number}"));
        let ranking = CoordinatorRanking::new(&pool, hosts);
        let first = hosts.iter().max_by_key(|host| ranking.rank(host));
        *pools.entry(first.unwrap().capacity).or_default() += 1;
    }
    pools
}

#[test]
fn hosts_with_little_processor_time_seldom_coordinate_pools() {
    let few_large: Vec<u32> = [[90; 50].as_slice(), &[300; 16]].concat();
    let one_large: Vec<u32> = [[100; 99].as_slice(), &[1_000; 1]].concat();
    let almost_equal: Vec<u32> = [[100; 10].as_slice(), &[102; 10]].concat();
    // Capacities, the capacity in question, and bounds of its pools of 1,000.
    let cases = [
        (&few_large, 90, 0..=100),
        (&one_large, 100, 0..=100),
        (&almost_equal, 100, 400..=550),
    ];
    for (capacities, capacity, bounds) in cases {
        let pools = pools_by_capacity(&hosts(capacities));
        let of_capacity = pools.get(&capacity).copied().unwrap_or_default();
        assert!(bounds.contains(&of_capacity), "{capacity}: {of_capacity}");
    }
}

#[test]
fn hosts_rank_as_in_earlier_builds_while_one_states_no_capacity() {
    let stated = hosts(&[90, 300, 300, 0]);
    let ranking = HostRanking::new("pool", &stated);
    for host in &stated {
        let score = ranking.score(host);
        assert_eq!(score, rendezvous::score("pool", &host.name));
    }
}

#[test]
fn equal_capacities_do_not_change_the_order_of_hosts() {
    let (plain, equal) = (hosts(&[0; 40]), hosts(&[120; 40]));
    let order = |hosts: &[EntryHostRecord]| {
        let ranking = HostRanking::new("pool", hosts);
        let mut names: Vec<(u64, String)> = hosts
            .iter()
            .map(|host| (ranking.score(host), host.name.clone()))
            .collect();
        names.sort();
        names.into_iter().map(|(_, name)| name).collect::<Vec<_>>()
    };
    assert_eq!(order(&plain), order(&equal));
}
