mod overload;
mod returns;
mod succession;

use linnet_directory::RoleStatement;
use linnet_telemetry::EventCode;
use tokio::sync::oneshot;

use super::batch_end::BatchEnd;
use super::*;
use crate::piece::PieceFault;

pub(crate) fn host(number: u16, stopping: bool) -> EntryHostRecord {
    EntryHostRecord {
        name: format!("host-{number}"),
        hall: format!("hall-{}", number % 2),
        peer: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        stopping,
        role: RoleStatement::default(),
    }
}

/// Returns the coordinator of a pool as each of the hosts chooses it.
fn coordinators(pool: &PoolKey, hosts: &[EntryHostRecord]) -> Vec<SocketAddr> {
    let coordinator = |me: &EntryHostRecord| {
        let better = CoordinatorRanking::new(pool, hosts).better_hosts(me, hosts);
        better.first().map_or(me.peer, |first| first.peer)
    };
    hosts.iter().map(coordinator).collect()
}

#[test]
fn all_hosts_choose_the_same_coordinator_while_one_is_stopping() {
    for stopping in 0..6 {
        for service in ["a", "b", "c", "d"] {
            let hosts: Vec<_> = (0..6)
                .map(|number| host(number, number == stopping))
                .collect();
            let chosen = coordinators(&PoolKey::whole(service), &hosts);
            assert!(
                chosen.iter().all(|address| *address == chosen[0]),
                "{chosen:?}"
            );
            assert_ne!(chosen[0], hosts[usize::from(stopping)].peer);
        }
    }
}

#[test]
fn a_stopping_host_is_its_own_coordinator_if_all_others_are_stopping() {
    let hosts = [host(0, true), host(1, true)];
    let chosen = coordinators(&PoolKey::whole("a"), &hosts);
    assert_eq!(chosen, [hosts[0].peer, hosts[1].peer]);
}

fn client(name: &str) -> StageClient {
    let clock = std::sync::Arc::new(linnet_telemetry::HybridClock::new());
    let recorder = linnet_telemetry::EventRecorder::new(name, clock.clone());
    let recorder = std::sync::Arc::new(recorder);
    let caller = crate::stage_call::StageTargetClient::new(
        crate::gateway::tests::protocol(),
        crate::upstream::tests::direct_pool(),
        Rc::new(crate::notice_store::NoticeStore::new(
            recorder.clone(),
            Rc::default(),
        )),
    );
    let coordinator = Rc::new(Coordinator::new(
        caller,
        recorder,
        250_000.0,
        crate::OverloadPolicy::default(),
    ));
    let identity = PeerIdentity {
        name: name.to_owned(),
        keys: linnet_wire::PeerKeyRing::new(vec![linnet_wire::PeerKey::new("key", [7; 32])]),
        clock,
    };
    let own = EntryHostRecord {
        name: name.to_owned(),
        ..host(0, false)
    };
    StageClient::new(
        identity,
        own,
        coordinator,
        Rc::default(),
        GatewayMetrics::new(),
    )
}

fn ranked_names(client: &StageClient) -> Vec<String> {
    let ranked = client.better_coordinators(&PoolKey::whole("a"));
    ranked.iter().map(|host| host.name.clone()).collect()
}

#[test]
fn cached_rankings_follow_the_list_of_hosts() {
    let client = client("host-0");
    let hosts: Vec<_> = (0..40).map(|number| host(number, false)).collect();
    client.set_entry_hosts(hosts.clone());
    let before = ranked_names(&client);
    assert!(!before.is_empty());
    // The first host is lost, then the next one announces that it is stopping.
    let fewer: Vec<_> = hosts
        .iter()
        .filter(|host| host.name != before[0])
        .cloned()
        .collect();
    client.set_entry_hosts(fewer.clone());
    assert_eq!(ranked_names(&client), before[1..]);
    let stopping = fewer.into_iter().map(|mut host| {
        host.stopping |= host.name == before[1];
        host
    });
    client.set_entry_hosts(stopping.collect());
    assert_eq!(ranked_names(&client), before[2..]);
    // A delayed host ranks itself by what it states; these hosts state nothing.
    client.set_delay(HostDelay::Delayed);
    assert_eq!(ranked_names(&client), before[2..]);
    // A host that is stopping ranks itself after all others.
    client.begin_stop();
    assert_eq!(ranked_names(&client).len(), 37);
}

/// Guards against calls to senders that have left or have become slow.
#[test]
fn cached_senders_follow_the_list_of_hosts() {
    let client = client("host-0");
    let mut hosts: Vec<_> = (0..40).map(|number| host(number, false)).collect();
    for host in &mut hosts {
        host.role.delay = HostDelay::Timely;
    }
    client.set_entry_hosts(hosts.clone());
    let before = client.sender_candidates("s-1", "hall-1");
    assert_eq!(client.sender_candidates("s-1", "hall-1"), before);
    assert_ne!(client.sender_candidates("s-1", "hall-0"), before);
    for host in hosts.iter_mut().filter(|host| Some(host.peer) == before[0]) {
        host.role.delay = HostDelay::Delayed;
    }
    client.set_entry_hosts(hosts.clone());
    let delayed = client.sender_candidates("s-1", "hall-1");
    assert_eq!(delayed[..2], before[1..]);
    hosts.retain(|host| Some(host.peer) != before[1]);
    client.set_entry_hosts(hosts);
    let lost = client.sender_candidates("s-1", "hall-1");
    assert_eq!(lost[0], before[2]);
    let targets = (0..100).map(|number| format!("s-{number}"));
    let is_sender = |target: &String| client.sender_candidates(target, "hall-0").contains(&None);
    let own: Vec<String> = targets.filter(is_sender).collect();
    assert!(!own.is_empty());
    client.set_delay(HostDelay::Delayed);
    assert!(!own.iter().any(is_sender));
}

fn link(state: LinkState, last_received: Instant) -> Link {
    Link {
        state,
        message_version: MessageVersion::NEWEST,
        last_received,
        last_heard: last_received,
        was_up: state == LinkState::Up,
        last_used: last_received,
        remote_holds: 0,
        outgoing: mpsc::unbounded_channel().0,
        pending_batches: HashMap::new(),
        pending_placements: HashMap::new(),
        pending_calls: HashMap::new(),
        pending_run_permits: HashMap::new(),
        pending_send_permits: HashMap::new(),
        pending_streams: HashMap::new(),
    }
}

/// Returns the number of connections to other hosts, in any state.
pub(crate) fn link_count(client: &StageClient) -> usize {
    client.state.borrow().links.len()
}

/// Adds a connection that is up, and returns the requests that are sent on it.
pub(crate) fn connect(
    client: &StageClient,
    host: &EntryHostRecord,
) -> mpsc::UnboundedReceiver<PieceRequest> {
    let (outgoing, requests) = mpsc::unbounded_channel();
    let mut up = link(LinkState::Up, Instant::now());
    up.outgoing = outgoing;
    // The host stays heard while a test is suspended.
    up.last_heard = Instant::now() + Duration::from_secs(60);
    client.state.borrow_mut().links.insert(host.peer, up);
    client.set_link_state(host.peer, LinkState::Up);
    requests
}

/// Marks a connection as lost, as its task does.
pub(crate) fn lose(client: &StageClient, host: &EntryHostRecord) {
    client.set_link_state(host.peer, LinkState::Lost);
}

#[test]
fn silence_counts_from_the_first_pending_request() {
    let long_ago = Instant::now() - IDLE_HEARTBEAT_INTERVAL;
    let mut link = link(LinkState::Up, long_ago);
    let late = Instant::now() + SILENCE_TIMEOUT;
    assert!(!link.is_silent(late), "no request is pending");
    link.send(PieceRequest::Heartbeat, |link| {
        link.pending_batches.insert(1, oneshot::channel().0);
    });
    let sent_at = link.last_received;
    assert!(sent_at > long_ago);
    assert!(!link.is_silent(sent_at + SILENCE_TIMEOUT));
    assert!(link.is_silent(sent_at + SILENCE_TIMEOUT + Duration::from_millis(1)));
    // A second request does not restart the measurement of the silence.
    link.send(PieceRequest::Heartbeat, |link| {
        link.pending_batches.insert(2, oneshot::channel().0);
    });
    assert_eq!(link.last_received, sent_at);
}

#[test]
fn an_idle_connection_counts_as_lost_for_its_hall_after_the_short_silence_timeout() {
    let received = Instant::now();
    let link = link(LinkState::Up, received);
    assert_eq!(
        link.hall_state_at(received + IDLE_HEARTBEAT_INTERVAL),
        LinkState::Up
    );
    let later = received + SILENCE_TIMEOUT + Duration::from_millis(1);
    assert_eq!(link.hall_state_at(later), LinkState::Lost);
}

/// Without this timeout, a host ends up connected to every coordinator and placer, with heartbeats
/// on each connection.
#[test]
fn an_unused_connection_is_closed_after_a_timeout() {
    let mut link = link(LinkState::Up, Instant::now());
    let unused =
        |link: &Link| link.is_unused(UNUSED_LINK_TIMEOUT, link.last_used + UNUSED_LINK_TIMEOUT);
    assert!(!link.is_unused(UNUSED_LINK_TIMEOUT, link.last_used));
    assert!(unused(&link));
    link.send(PieceRequest::Heartbeat, |link| {
        link.pending_batches.insert(1, oneshot::channel().0);
    });
    assert!(!unused(&link), "a reply is pending");
    link.pending_batches.clear();
    assert!(unused(&link));
}

/// The peer ends placements, announcements and run permits of this host when the connection closes.
#[test]
fn a_connection_is_kept_while_the_peer_holds_a_run_permit_of_this_host() {
    let mut link = link(LinkState::Up, Instant::now());
    let unused =
        |link: &Link| link.is_unused(UNUSED_LINK_TIMEOUT, link.last_used + UNUSED_LINK_TIMEOUT);
    let key =
        linnet_quarantine::RequestKey::parse("aae9eaeb7b607c9c61ca6441a4a53d14").expect("a key");
    let acquire = |number| PieceRequest::AcquireRunPermit {
        number,
        key,
        id: "a1".to_owned(),
    };
    link.send(acquire(1), |_| {});
    link.send(acquire(2), |_| {});
    link.send(PieceRequest::ReleaseRunPermit(1), |_| {});
    assert!(!unused(&link));
    link.send(PieceRequest::ReleaseRunPermit(2), |_| {});
    assert!(unused(&link));
}

/// Prints the time to rank 300 hosts for a pool, computed and cached, in nanoseconds.
#[test]
#[ignore = "measures"]
fn measure_coordinator_ranking() {
    let client = client("host-0");
    client.set_entry_hosts((0..300).map(|number| host(number, false)).collect());
    let pool = PoolKey::whole("a");
    const ROUNDS: u32 = 2_000;
    let timed = |step: &dyn Fn()| {
        let started = Instant::now();
        (0..ROUNDS).for_each(|_| step());
        started.elapsed().as_nanos() / u128::from(ROUNDS)
    };
    let computed = timed(&|| {
        client.state.borrow_mut().clear_rankings();
        let _ = (
            client.unreachable_halls(),
            client.better_coordinators(&pool),
        );
    });
    let cached = timed(&|| {
        let _ = (
            client.unreachable_halls(),
            client.better_coordinators(&pool),
        );
    });
    println!("ranking of 300 hosts: {computed} ns computed, {cached} ns cached");
}
