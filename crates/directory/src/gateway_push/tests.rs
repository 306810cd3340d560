use std::net::SocketAddr;

use super::*;

fn hosts(count: u16) -> Arc<[GatewayRecord]> {
    let host = |number: u16| GatewayRecord {
        name: format!("host-{number}"),
        hall: "hall".to_owned(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        stopping: false,
    };
    (0..count).map(host).collect()
}

#[test]
fn the_first_list_is_due_at_once_and_the_same_one_never_again() {
    let (mut push, now) = (GatewayPush::default(), Instant::now());
    assert_eq!(push.due(hosts(0), now), GatewayDue::Now(hosts(0)));
    assert_eq!(push.due(hosts(0), now), GatewayDue::Never);
    assert_eq!(
        push.due(hosts(5), now + Duration::from_millis(5)),
        GatewayDue::Now(hosts(5))
    );
    assert_eq!(
        push.due(hosts(5), now + Duration::from_secs(9)),
        GatewayDue::Never
    );
}

#[test]
fn hosts_that_come_one_by_one_are_told_in_few_lists_and_none_is_left_out() {
    let (mut push, start) = (GatewayPush::default(), Instant::now());
    let (mut lists, mut told) = (0, 0);
    for count in 1..=75 {
        let now = start + Duration::from_millis(u64::from(count) * 10);
        if let GatewayDue::Now(list) = push.due(hosts(count), now) {
            lists += 1;
            told = list.len();
        }
    }
    assert!((10..30).contains(&lists), "{lists} lists");
    let end = start + Duration::from_millis(750);
    if told < 75 {
        let GatewayDue::After(rest) = push.due(hosts(75), end) else {
            panic!("the rest is due later");
        };
        assert_eq!(push.due(hosts(75), end + rest), GatewayDue::Now(hosts(75)));
    }
}
