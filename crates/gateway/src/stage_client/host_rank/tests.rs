use std::collections::BTreeMap;

use linnet_directory::RoleStatement;

use super::*;
use crate::pool_key::PoolPartition;
use crate::rendezvous;
use crate::stage_client::tests::host;

/// Returns hosts with these capacities.
fn hosts(capacities: &[u32]) -> Vec<EntryHostRecord> {
    let numbered = (0..).zip(capacities);
    numbered
        .map(|(number, capacity)| EntryHostRecord {
            role: RoleStatement {
                capacity: *capacity,
                ..RoleStatement::default()
            },
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
        *pools.entry(first.unwrap().role.capacity).or_default() += 1;
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

/// Returns six hosts, three in each hall, of which those with these numbers are delayed.
fn hosts_with_delay(delayed: &[usize]) -> Vec<EntryHostRecord> {
    let mut hosts = hosts(&[100; 6]);
    for (number, host) in hosts.iter_mut().enumerate() {
        host.role.delay = match delayed.contains(&number) {
            true => HostDelay::Delayed,
            false => HostDelay::Timely,
        };
    }
    hosts
}

/// Returns the names of the hosts in the order in which they coordinate a pool.
fn succession(pool: &PoolKey, hosts: &[EntryHostRecord]) -> Vec<String> {
    let ranking = CoordinatorRanking::new(pool, hosts);
    let mut ranked: Vec<&EntryHostRecord> = hosts.iter().collect();
    ranked.sort_by_key(|host| Reverse(ranking.rank(host)));
    ranked.into_iter().map(|host| host.name.clone()).collect()
}

#[test]
fn a_delayed_host_coordinates_only_where_all_are_delayed() {
    let pool = PoolKey::whole("pool");
    let timely = succession(&pool, &hosts_with_delay(&[]));
    let number = |name: &String| name.trim_start_matches("host-").parse::<usize>().unwrap();
    let first = number(&timely[0]);
    let mut behind = timely[1..].to_vec();
    behind.push(timely[0].clone());
    assert_eq!(succession(&pool, &hosts_with_delay(&[first])), behind);
    let all: Vec<usize> = (0..6).collect();
    assert_eq!(succession(&pool, &hosts_with_delay(&all)), timely);
}

#[test]
fn delays_do_not_count_while_one_host_states_none() {
    let pool = PoolKey::whole("pool");
    let timely = succession(&pool, &hosts_with_delay(&[]));
    for delayed in 0..6 {
        let mut hosts = hosts_with_delay(&[delayed]);
        hosts[(delayed + 1) % 6].role.delay = HostDelay::Unknown;
        assert_eq!(
            succession(&pool, &hosts),
            timely,
            "host {delayed} is delayed"
        );
    }
}

#[test]
fn a_partition_stays_in_its_hall_while_its_hosts_are_delayed() {
    let pool = PoolKey {
        service: "pool".to_owned(),
        partition: Some(PoolPartition {
            hall: "hall-0".to_owned(),
            index: 0,
            partition_count: 1,
        }),
    };
    let hosts = hosts_with_delay(&[0, 2, 4]);
    let first = &succession(&pool, &hosts)[..3];
    let in_hall = |name: &String| ["host-0", "host-2", "host-4"].contains(&name.as_str());
    assert!(first.iter().all(in_hall), "{first:?}");
}
