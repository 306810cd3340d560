use std::net::SocketAddr;

use super::*;
use crate::RoleStatement;

fn record(number: u16) -> EntryHostRecord {
    EntryHostRecord {
        name: format!("host-{number}"),
        hall: "hall".to_owned(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        stopping: false,
        role: RoleStatement::default(),
    }
}

fn state(hosts: u16) -> NodeState {
    let mut state = NodeState::default();
    for number in 0..hosts {
        let subscriber = SubscriberState {
            is_control: false,
            acknowledged: 0,
            entry_host: None,
            document_version: 0,
            document_request: None,
            wants_lists: true,
            message_version: None,
        };
        state.subscribers.insert(u64::from(number), subscriber);
        assert_eq!(
            state.set_entry_host(u64::from(number), Some(record(number))),
            Some(true)
        );
    }
    state
}

fn names(list: &[EntryHostRecord]) -> Vec<&str> {
    list.iter().map(|one| one.name.as_str()).collect()
}

/// Guards against building the list again for each subscriber at each change.
#[test]
fn entry_host_list_is_built_once_per_change() {
    let (mut state, now) = (state(3), Instant::now());
    let list = state.entry_hosts(now);
    assert_eq!(names(&list), ["host-0", "host-1", "host-2"]);
    assert!(Arc::ptr_eq(&list, &state.entry_hosts(now)));
    assert_eq!(state.set_entry_host(1, Some(record(1))), Some(false));
    assert!(Arc::ptr_eq(&list, &state.entry_hosts(now)));
    assert_eq!(state.set_entry_host(1, Some(record(7))), Some(true));
    assert_eq!(
        names(&state.entry_hosts(now)),
        ["host-0", "host-2", "host-7"]
    );
    assert_eq!(
        state.set_entry_host(9, None),
        None,
        "a subscriber that is not known"
    );
}

#[test]
fn disconnected_entry_host_is_listed_for_the_retention_time() {
    let (mut state, now) = (state(2), Instant::now());
    state.mark_subscriber_lost(0, now);
    assert_eq!(names(&state.entry_hosts(now)), ["host-0", "host-1"]);
    let before = now + LOST_ENTRY_HOST_RETENTION - Duration::from_millis(1);
    assert_eq!(names(&state.entry_hosts(before)), ["host-0", "host-1"]);
    assert_eq!(
        names(&state.entry_hosts(now + LOST_ENTRY_HOST_RETENTION)),
        ["host-1"]
    );
}

/// Prints the cost of the list of 295 entry hosts for as many subscribers at one change, in
/// milliseconds.
#[test]
#[ignore = "measures"]
fn measure_lists_of_entry_hosts() {
    const HOSTS: u16 = 295;
    let (mut state, now) = (state(HOSTS), Instant::now());
    let began = Instant::now();
    for _ in 0..HOSTS {
        state.cached_list = None;
        let _ = state.entry_hosts(now);
    }
    let rebuilt = began.elapsed().as_secs_f64() * 1_000.0;
    let began = Instant::now();
    state.cached_list = None;
    for _ in 0..HOSTS {
        let _ = state.entry_hosts(now);
    }
    let cached = began.elapsed().as_secs_f64() * 1_000.0;
    println!(
        "list of {HOSTS} hosts for {HOSTS} subscribers: {rebuilt:.2} ms rebuilt, {cached:.2} ms cached"
    );
}

fn control(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 1_000 + number))
}

fn connected(numbers: &[u16]) -> LocalEntryHosts {
    LocalEntryHosts {
        connected: numbers.iter().map(|number| record(*number)).collect(),
        disconnected: Vec::new(),
    }
}

/// An entry host follows a few control hosts only, so no control host is connected to all of them.
#[test]
fn entry_hosts_of_other_control_hosts_are_listed() {
    let (mut state, now) = (state(2), Instant::now());
    state.set_remote_entry_hosts(control(0), connected(&[1, 5]));
    state.set_remote_entry_hosts(control(1), connected(&[5, 8]));
    assert_eq!(
        names(&state.entry_hosts(now)),
        ["host-0", "host-1", "host-5", "host-8"]
    );
    assert_eq!(*state.local_entry_hosts(now), connected(&[0, 1]));
    state.set_remote_entry_hosts(control(1), connected(&[8]));
    state.set_remote_entry_hosts(control(0), connected(&[1]));
    assert_eq!(
        names(&state.entry_hosts(now)),
        ["host-0", "host-1", "host-8"]
    );
}

#[test]
fn announced_stop_overrides_other_reports() {
    let (mut state, now) = (state(1), Instant::now());
    let mut stopping = connected(&[0]);
    stopping.connected[0].stopping = true;
    state.set_remote_entry_hosts(control(0), stopping.clone());
    assert_eq!(state.entry_hosts(now).to_vec(), stopping.connected);
}

#[test]
fn entry_hosts_of_a_lost_control_host_stay_listed_while_they_reconnect() {
    let (mut state, now) = (state(1), Instant::now());
    state.set_remote_entry_hosts(control(0), connected(&[5]));
    state.mark_control_lost(control(0), now);
    assert_eq!(names(&state.entry_hosts(now)), ["host-0", "host-5"]);
    let later = now + LOST_ENTRY_HOST_RETENTION;
    assert_eq!(names(&state.entry_hosts(later)), ["host-0"]);
}

/// Two control hosts lose an entry host one after the other, each while the other still reports it
/// as connected. Neither may drop its own record because of that report.
#[test]
fn entry_host_lost_by_all_control_hosts_stays_listed_by_each() {
    let (mut first, now) = (state(2), Instant::now());
    let mut second = state(2);
    let send = |from: &mut NodeState, to: &mut NodeState, number| {
        to.set_remote_entry_hosts(control(number), (*from.local_entry_hosts(now)).clone());
    };
    send(&mut first, &mut second, 0);
    send(&mut second, &mut first, 1);
    first.mark_subscriber_lost(1, now);
    send(&mut first, &mut second, 0);
    second.mark_subscriber_lost(1, now);
    send(&mut second, &mut first, 1);
    send(&mut first, &mut second, 0);
    for state in [&mut first, &mut second] {
        assert_eq!(names(&state.entry_hosts(now)), ["host-0", "host-1"]);
    }
    // A third control host, to which the entry host was never connected, lists it too.
    let mut third = state(1);
    send(&mut second, &mut third, 1);
    assert_eq!(names(&third.entry_hosts(now)), ["host-0", "host-1"]);
}

/// The entry host moved to another control host and stops there; the local record of its
/// disconnection must not keep it in the list.
#[test]
fn entry_host_that_moved_is_not_listed_as_disconnected() {
    let (mut state, now) = (state(2), Instant::now());
    state.mark_subscriber_lost(1, now);
    assert_eq!(names(&state.entry_hosts(now)), ["host-0", "host-1"]);
    state.set_remote_entry_hosts(control(0), connected(&[1]));
    assert_eq!(*state.local_entry_hosts(now), connected(&[0]));
    state.set_remote_entry_hosts(control(0), connected(&[]));
    assert_eq!(names(&state.entry_hosts(now)), ["host-0"]);
}

/// The former life of an entry host announced its stop to a control host that is cut off since.
#[test]
fn entry_host_that_started_again_is_not_stopping_by_the_report_of_a_lost_control_host() {
    let (mut state, now) = (state(1), Instant::now());
    let mut stopping = connected(&[0, 5]);
    stopping
        .connected
        .iter_mut()
        .for_each(|one| one.stopping = true);
    state.set_remote_entry_hosts(control(0), stopping.clone());
    state.mark_control_lost(control(0), now);
    let listed = [record(0), stopping.connected[1].clone()];
    assert_eq!(state.entry_hosts(now).to_vec(), listed);
}
