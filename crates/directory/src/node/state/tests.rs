use std::net::SocketAddr;

use super::*;

fn record(number: u16) -> GatewayRecord {
    GatewayRecord {
        name: format!("host-{number}"),
        hall: "hall".to_owned(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        stopping: false,
    }
}

fn state(hosts: u16) -> NodeState {
    let mut state = NodeState::default();
    for number in 0..hosts {
        let subscriber = SubscriberState {
            control: false,
            acknowledged: 0,
            gateway: None,
            document_version: 0,
            want: None,
            lists: true,
            form: None,
        };
        state.subscribers.insert(u64::from(number), subscriber);
        assert_eq!(
            state.set_gateway(u64::from(number), Some(record(number))),
            Some(true)
        );
    }
    state
}

fn names(list: &[GatewayRecord]) -> Vec<&str> {
    list.iter().map(|one| one.name.as_str()).collect()
}

/// The list was worked out anew for each subscriber at each change.
#[test]
fn the_list_of_entry_hosts_is_worked_out_once_a_change() {
    let (mut state, now) = (state(3), Instant::now());
    let list = state.gateways(now);
    assert_eq!(names(&list), ["host-0", "host-1", "host-2"]);
    assert!(Arc::ptr_eq(&list, &state.gateways(now)));
    assert_eq!(state.set_gateway(1, Some(record(1))), Some(false));
    assert!(Arc::ptr_eq(&list, &state.gateways(now)));
    assert_eq!(state.set_gateway(1, Some(record(7))), Some(true));
    assert_eq!(names(&state.gateways(now)), ["host-0", "host-2", "host-7"]);
    assert_eq!(
        state.set_gateway(9, None),
        None,
        "a subscriber that is not known"
    );
}

#[test]
fn a_host_that_was_lost_is_told_on_and_no_longer() {
    let (mut state, now) = (state(2), Instant::now());
    state.lose_subscriber(0, now);
    assert_eq!(names(&state.gateways(now)), ["host-0", "host-1"]);
    let before = now + LOST_GATEWAY_TOLD - Duration::from_millis(1);
    assert_eq!(names(&state.gateways(before)), ["host-0", "host-1"]);
    assert_eq!(names(&state.gateways(now + LOST_GATEWAY_TOLD)), ["host-1"]);
}

/// Prints what the list of 295 entry hosts costs each of as many subscribers at a change, in
/// milliseconds.
#[test]
#[ignore = "measures"]
fn measure_lists_of_entry_hosts() {
    const HOSTS: u16 = 295;
    let (mut state, now) = (state(HOSTS), Instant::now());
    let began = Instant::now();
    for _ in 0..HOSTS {
        state.gateway_list = None;
        let _ = state.gateways(now);
    }
    let anew = began.elapsed().as_secs_f64() * 1_000.0;
    let began = Instant::now();
    state.gateway_list = None;
    for _ in 0..HOSTS {
        let _ = state.gateways(now);
    }
    let kept = began.elapsed().as_secs_f64() * 1_000.0;
    println!("list of {HOSTS} hosts for {HOSTS} subscribers: {anew:.2} ms anew, {kept:.2} ms kept");
}

fn control(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 1_000 + number))
}

fn heard(numbers: &[u16]) -> OwnGateways {
    OwnGateways {
        heard: numbers.iter().map(|number| record(*number)).collect(),
        lost: Vec::new(),
    }
}

/// An entry host follows a few control hosts, so that none hears all of them.
#[test]
fn entry_hosts_that_other_control_hosts_hear_are_told_too() {
    let (mut state, now) = (state(2), Instant::now());
    state.take_gateways(control(0), heard(&[1, 5]));
    state.take_gateways(control(1), heard(&[5, 8]));
    assert_eq!(
        names(&state.gateways(now)),
        ["host-0", "host-1", "host-5", "host-8"]
    );
    assert_eq!(*state.own_gateways(now), heard(&[0, 1]));
    state.take_gateways(control(1), heard(&[8]));
    state.take_gateways(control(0), heard(&[1]));
    assert_eq!(names(&state.gateways(now)), ["host-0", "host-1", "host-8"]);
}

#[test]
fn whoever_heard_that_an_entry_host_stops_is_right() {
    let (mut state, now) = (state(1), Instant::now());
    let mut stopping = heard(&[0]);
    stopping.heard[0].stopping = true;
    state.take_gateways(control(0), stopping.clone());
    assert_eq!(state.gateways(now).to_vec(), stopping.heard);
}

#[test]
fn entry_hosts_of_a_lost_control_host_are_told_on_until_they_have_found_another() {
    let (mut state, now) = (state(1), Instant::now());
    state.take_gateways(control(0), heard(&[5]));
    state.lose_control(control(0), now);
    assert_eq!(names(&state.gateways(now)), ["host-0", "host-5"]);
    let later = now + LOST_GATEWAY_TOLD;
    assert_eq!(names(&state.gateways(later)), ["host-0"]);
}

/// Two control hosts lose an entry host in turn, each while the other still tells that it hears it: neither may take
/// the other's word for more than that.
#[test]
fn an_entry_host_that_all_control_hosts_lose_is_told_on_by_each() {
    let (mut first, now) = (state(2), Instant::now());
    let mut second = state(2);
    let tell = |from: &mut NodeState, to: &mut NodeState, number| {
        to.take_gateways(control(number), (*from.own_gateways(now)).clone());
    };
    tell(&mut first, &mut second, 0);
    tell(&mut second, &mut first, 1);
    first.lose_subscriber(1, now);
    tell(&mut first, &mut second, 0);
    second.lose_subscriber(1, now);
    tell(&mut second, &mut first, 1);
    tell(&mut first, &mut second, 0);
    for state in [&mut first, &mut second] {
        assert_eq!(names(&state.gateways(now)), ["host-0", "host-1"]);
    }
    // A third one, which never heard it, tells it too.
    let mut third = state(1);
    tell(&mut second, &mut third, 1);
    assert_eq!(names(&third.gateways(now)), ["host-0", "host-1"]);
}

/// It has left this control host for another one, and ends there: nothing here brings it back.
#[test]
fn an_entry_host_that_went_to_another_control_host_is_not_told_as_lost_here() {
    let (mut state, now) = (state(2), Instant::now());
    state.lose_subscriber(1, now);
    assert_eq!(names(&state.gateways(now)), ["host-0", "host-1"]);
    state.take_gateways(control(0), heard(&[1]));
    assert_eq!(*state.own_gateways(now), heard(&[0]));
    state.take_gateways(control(0), heard(&[]));
    assert_eq!(names(&state.gateways(now)), ["host-0"]);
}
