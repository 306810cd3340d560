use std::net::SocketAddr;

use super::*;
use crate::RoleStatement;

fn hosts(count: u16) -> Arc<[EntryHostRecord]> {
    let host = |number: u16| EntryHostRecord {
        name: format!("host-{number}"),
        hall: "hall".to_owned(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        stopping: false,
        role: RoleStatement::default(),
    };
    (0..count).map(host).collect()
}

#[test]
fn first_list_is_due_at_once_and_an_unchanged_one_never() {
    let (mut push, now) = (EntryHostPush::default(), Instant::now());
    assert_eq!(push.due(hosts(0), now), PushDue::Now(hosts(0)));
    assert_eq!(push.due(hosts(0), now), PushDue::UpToDate);
    assert_eq!(
        push.due(hosts(5), now + Duration::from_millis(5)),
        PushDue::Now(hosts(5))
    );
    assert_eq!(
        push.due(hosts(5), now + Duration::from_secs(9)),
        PushDue::UpToDate
    );
}

#[test]
fn hosts_connecting_one_by_one_are_pushed_in_few_lists() {
    let (mut push, start) = (EntryHostPush::default(), Instant::now());
    let (mut lists, mut listed) = (0, 0);
    for count in 1..=75 {
        let now = start + Duration::from_millis(u64::from(count) * 10);
        if let PushDue::Now(list) = push.due(hosts(count), now) {
            lists += 1;
            listed = list.len();
        }
    }
    assert!((10..30).contains(&lists), "{lists} lists");
    let end = start + Duration::from_millis(750);
    if listed < 75 {
        let PushDue::After(rest) = push.due(hosts(75), end) else {
            panic!("the rest is due later");
        };
        assert_eq!(push.due(hosts(75), end + rest), PushDue::Now(hosts(75)));
    }
}
