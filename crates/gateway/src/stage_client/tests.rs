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
        before.first().map_or(me.peer, |first| first.peer)
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

fn client(name: &str) -> StageClient {
    let clock = std::sync::Arc::new(linnet_telemetry::HybridClock::new());
    let recorder = linnet_telemetry::EventRecorder::new(name, clock.clone());
    let recorder = std::sync::Arc::new(recorder);
    let caller = crate::stage_call::StageCaller::new(
        crate::gateway::tests::dialect(),
        crate::upstream::UpstreamPool::default(),
        Rc::new(crate::notice_book::NoticeBook::new(
            recorder.clone(),
            Rc::default(),
        )),
    );
    let coordinator = Rc::new(Coordinator::new(caller, recorder, 250_000.0));
    let identity = PeerIdentity {
        name: name.to_owned(),
        keys: linnet_wire::PeerKeyRing::new(vec![linnet_wire::PeerKey::new("key", [7; 32])]),
        clock,
    };
    let hall = "hall-0".to_owned();
    StageClient::new(identity, name.to_owned(), hall, coordinator, Rc::default())
}

fn ranked(client: &StageClient) -> Vec<String> {
    let ranked = client.ranked_hosts(&PoolKey::whole("a"));
    ranked.iter().map(|one| one.name.clone()).collect()
}

#[test]
fn ranks_that_are_kept_follow_the_hosts() {
    let client = client("host-0");
    let hosts: Vec<_> = (0..40).map(|number| host(number, false)).collect();
    client.set_gateways(hosts.clone());
    let before = ranked(&client);
    assert!(!before.is_empty());
    // The first of them is lost, then another one says that it stops.
    let fewer: Vec<_> = hosts
        .iter()
        .filter(|one| one.name != before[0])
        .cloned()
        .collect();
    client.set_gateways(fewer.clone());
    assert_eq!(ranked(&client), before[1..]);
    let stopping = fewer.into_iter().map(|mut one| {
        one.stopping |= one.name == before[1];
        one
    });
    client.set_gateways(stopping.collect());
    assert_eq!(ranked(&client), before[2..]);
    // A host that stops itself ranks behind all others.
    client.begin_stop();
    assert_eq!(ranked(&client).len(), 37);
}

fn link(state: LinkState, heard: Instant) -> Link {
    Link {
        state,
        form: MessageVersion::NEWEST,
        heard,
        used: heard,
        held: 0,
        outgoing: mpsc::unbounded_channel().0,
        waiting: HashMap::new(),
        placing: HashMap::new(),
        calling: HashMap::new(),
        turns: HashMap::new(),
        rates: HashMap::new(),
    }
}

#[test]
fn silence_counts_from_the_moment_at_which_something_is_waited_for() {
    let long_ago = Instant::now() - IDLE_PERIOD;
    let mut link = link(LinkState::Up, long_ago);
    let late = Instant::now() + SILENCE_LIMIT;
    assert!(!link.is_silent(late), "nothing is waited for");
    link.send(PieceRequest::Alive, |link| {
        link.waiting.insert(1, oneshot::channel().0);
    });
    let asked = link.heard;
    assert!(asked > long_ago);
    assert!(!link.is_silent(asked + SILENCE_LIMIT));
    assert!(link.is_silent(asked + SILENCE_LIMIT + Duration::from_millis(1)));
    // A second request does not make up for the silence since the first.
    link.send(PieceRequest::Alive, |link| {
        link.waiting.insert(2, oneshot::channel().0);
    });
    assert_eq!(link.heard, asked);
}

#[test]
fn a_connection_that_nothing_is_waited_for_on_counts_as_lost_for_the_reach_of_its_hall() {
    let heard = Instant::now();
    let link = link(LinkState::Up, heard);
    assert_eq!(link.state_at(heard + IDLE_PERIOD), LinkState::Up);
    let later = heard + SILENCE_LIMIT + Duration::from_millis(1);
    assert_eq!(link.state_at(later), LinkState::Lost);
}

/// A host would come to be connected with all that gather or place, with signs of life on each connection.
#[test]
fn a_connection_is_given_up_when_nothing_has_needed_it_for_a_while() {
    let mut link = link(LinkState::Up, Instant::now());
    let unused = |link: &Link| link.is_unused(UNUSED_KEPT, link.used + UNUSED_KEPT);
    assert!(!link.is_unused(UNUSED_KEPT, link.used));
    assert!(unused(&link));
    link.send(PieceRequest::Alive, |link| {
        link.waiting.insert(1, oneshot::channel().0);
    });
    assert!(!unused(&link), "an answer is waited for");
    link.waiting.clear();
    assert!(unused(&link));
}

/// What was begun at the other side would end there with the connection.
#[test]
fn a_connection_is_kept_while_the_other_side_holds_something_for_this_host() {
    let mut link = link(LinkState::Up, Instant::now());
    let unused = |link: &Link| link.is_unused(UNUSED_KEPT, link.used + UNUSED_KEPT);
    let key =
        linnet_quarantine::RequestKey::parse("aae9eaeb7b607c9c61ca6441a4a53d14").expect("a key");
    let turn = |number| PieceRequest::TakeTurn {
        number,
        key,
        id: "a1".to_owned(),
    };
    link.send(turn(1), |_| {});
    link.send(turn(2), |_| {});
    link.send(PieceRequest::EndTurn(1), |_| {});
    assert!(!unused(&link));
    link.send(PieceRequest::EndTurn(2), |_| {});
    assert!(unused(&link));
}

/// Prints what ranking 300 hosts for a pool costs, anew and kept, in nanoseconds.
#[test]
#[ignore = "measures"]
fn measure_ranks_of_hosts() {
    let client = client("host-0");
    client.set_gateways((0..300).map(|number| host(number, false)).collect());
    let pool = PoolKey::whole("a");
    const ROUNDS: u32 = 2_000;
    let timed = |step: &dyn Fn()| {
        let began = Instant::now();
        (0..ROUNDS).for_each(|_| step());
        began.elapsed().as_nanos() / u128::from(ROUNDS)
    };
    let anew = timed(&|| {
        client.state.borrow_mut().forget_ranks();
        let _ = (client.cut_halls(), client.ranked_hosts(&pool));
    });
    let kept = timed(&|| {
        let _ = (client.cut_halls(), client.ranked_hosts(&pool));
    });
    println!("ranks of 300 hosts: {anew} ns anew, {kept} ns kept");
}
