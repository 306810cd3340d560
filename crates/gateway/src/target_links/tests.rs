use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use linnet_paths::{PeerAnswer, PeerTable};
use linnet_wire::accept_peer;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::*;
use crate::gateway::tests::run;
use crate::notice_store::NoticeStore;
use crate::send_error::SendError;
use crate::send_gate::SendKind;
use crate::tunnel::open_tunnel;
use crate::tunnel::tests::{closed_address, identity, listen, start_helper};
use crate::upstream::tests::{read_request, response_text};
use crate::upstream::{ProbeOutcome, UpstreamPool};
use http::HeaderName;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";

fn pool(peers: &[SocketAddr]) -> UpstreamPool {
    let clock = Arc::new(linnet_telemetry::HybridClock::new());
    let links = TargetLinks::new(TunnelContext {
        identity: identity("asking"),
        recorder: Arc::new(EventRecorder::new("asking", clock)),
        metrics: GatewayMetrics::new(),
    });
    links.set_peers(peers.iter().enumerate().map(|(number, address)| PeerHost {
        name: format!("host-{number}"),
        address: *address,
    }));
    UpstreamPool::new(links, HeaderName::from_static("x-request"))
}

fn notices() -> NoticeStore {
    let clock = Arc::new(linnet_telemetry::HybridClock::new());
    let recorder = Arc::new(EventRecorder::new("asking", clock));
    NoticeStore::new(recorder, Rc::default())
}

async fn exchange(pool: &UpstreamPool, target: SocketAddr) -> Result<Bytes, SendError> {
    let notices = notices();
    let request = Request::get("/").body(Full::new(Bytes::new())).unwrap();
    let gate = notices.gate("t", SendKind::Work);
    let (_, body) = pool.exchange(target, request, gate).await?;
    Ok(body)
}

/// How a target ends its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseEnd {
    Fin,
    Reset,
}

/// Serves one request per connection with a body that has no length.
async fn run_target(listener: TcpListener, end: ResponseEnd) {
    loop {
        let (mut socket, _) = listener.accept().await.unwrap();
        ntex::rt::spawn(async move {
            let mut request = [0; 1_024];
            if socket.read(&mut request).await.unwrap_or(0) == 0 {
                return;
            }
            socket.write_all(HEAD).await.unwrap();
            socket.write_all(b"whole").await.unwrap();
            // The bytes arrive before a reset discards them.
            tokio::time::sleep(Duration::from_millis(50)).await;
            if end == ResponseEnd::Reset {
                let linger = Some(Duration::ZERO);
                SockRef::from(&socket).set_linger(linger).unwrap();
            }
        });
    }
}

/// Guards against a broken off response without length that counts as whole, on any way.
#[test]
fn responses_through_a_peer_end_as_direct_ones_do() {
    run(async {
        for end in [ResponseEnd::Fin, ResponseEnd::Reset] {
            let (listener, target) = listen().await;
            ntex::rt::spawn(run_target(listener, end));
            let (_gateway, helper) = start_helper(&[target]).await;
            for is_lost in [false, true] {
                let pool = pool(&[helper]);
                if is_lost {
                    pool.links().record_lost(target, helper, "test");
                }
                let received = exchange(&pool, target).await;
                match end {
                    ResponseEnd::Fin => assert_eq!(received.unwrap(), "whole", "{is_lost}"),
                    ResponseEnd::Reset => {
                        let error = received.unwrap_err();
                        let is_broken = matches!(error, SendError::MayHaveRun { broken: true, .. });
                        assert!(is_broken, "{is_lost} {error}");
                    }
                }
                let context = pool.links().context.as_ref().unwrap();
                let opened = context.metrics.tunnels_opened.get();
                assert_eq!(opened, u64::from(is_lost));
            }
        }
    });
}

/// Guards against callers that get a refusal although the next peer would have helped: the first is
/// of an earlier build, the second does not list the target, the third is gone.
#[test]
fn peers_that_cannot_help_are_passed_over() {
    run(async {
        let (listener, target) = listen().await;
        ntex::rt::spawn(run_target(listener, ResponseEnd::Fin));
        let (earlier_listener, earlier) = listen().await;
        ntex::rt::spawn(async move {
            loop {
                let (socket, from) = earlier_listener.accept().await.unwrap();
                let _closed = accept_peer(&identity("earlier"), socket, from).await;
            }
        });
        let (_unlisted, without_target) = start_helper(&[]).await;
        let (_gateway, helper) = start_helper(&[target]).await;
        let peers = [earlier, without_target, closed_address().await, helper];
        for round in 0..4 {
            let mut peers = peers;
            peers.rotate_left(round);
            let pool = pool(&peers);
            pool.links().record_lost(target, helper, "test");
            assert_eq!(exchange(&pool, target).await.unwrap(), "whole");
        }
    });
}

/// Guards against two hosts that pass a request to each other: the helping host has a peer, and asks
/// it for nothing.
#[test]
fn a_helping_host_asks_no_other_host() {
    run(async {
        let closed = closed_address().await;
        let (gateway, helper) = start_helper(&[closed]).await;
        let (third, third_address) = listen().await;
        gateway.upstream.links().set_peers([PeerHost {
            name: "third".to_owned(),
            address: third_address,
        }]);
        let asking = pool(&[helper]);
        for is_lost in [false, true] {
            if is_lost {
                gateway
                    .upstream
                    .links()
                    .record_lost(closed, third_address, "test");
            }
            let error = exchange(&asking, closed).await.unwrap_err();
            let is_unsent = matches!(error, SendError::NotSent(_) | SendError::NoPath(_));
            assert!(is_unsent, "{error}");
        }
        let asked = timeout(Duration::from_millis(50), third.accept()).await;
        assert!(asked.is_err(), "the helping host asked another one");
    });
}

/// Guards against requests that are accused of a crash because a partition refuses connections.
#[test]
fn a_refused_connection_is_a_crash_only_if_peers_agree() {
    run(async {
        let closed = closed_address().await;
        let (_gateway, agreeing) = start_helper(&[closed]).await;
        let (_unlisted, without_target) = start_helper(&[]).await;
        let cases: [(&str, Vec<SocketAddr>, ProbeOutcome); 4] = [
            ("no other host", vec![], ProbeOutcome::Refused),
            ("a peer agrees", vec![agreeing], ProbeOutcome::Refused),
            ("no peer knows", vec![without_target], ProbeOutcome::Silent),
            (
                "no peer answers",
                vec![closed_address().await],
                ProbeOutcome::Silent,
            ),
        ];
        for (name, peers, expected) in cases {
            assert_eq!(pool(&peers).probe(closed).await, expected, "{name}");
        }
        let (listener, target) = listen().await;
        ntex::rt::spawn(run_target(listener, ResponseEnd::Fin));
        let (_gateway, helper) = start_helper(&[target]).await;
        let pool = pool(&[helper]);
        pool.links().record_lost(target, helper, "test");
        assert_eq!(pool.probe(target).await, ProbeOutcome::Open);
    });
}

#[test]
fn a_target_that_was_silent_for_all_hosts_counts_as_crashed() {
    run(async {
        let (_listener, target) = listen().await;
        let peer = closed_address().await;
        let pool = pool(&[peer]);
        pool.links().record_lost(target, peer, "test");
        let record_silence = |peers: &mut PeerTable| {
            peers.record(peer, target, PeerAnswer::Silent, Instant::now());
        };
        record_silence(&mut pool.links().peers.borrow_mut());
        assert_eq!(pool.probe(target).await, ProbeOutcome::Silent);
    });
}

/// Guards against hosts that keep using tunnels after the partition has ended.
#[test]
fn the_path_is_direct_again_once_a_direct_attempt_succeeds() {
    run(async {
        let (listener, target) = listen().await;
        ntex::rt::spawn(run_target(listener, ResponseEnd::Fin));
        let (_gateway, helper) = start_helper(&[target]).await;
        let pool = pool(&[helper]);
        pool.links().record_lost(target, helper, "test");
        pool.probe_lost_targets().await;
        assert!(pool.links().paths.borrow().is_lost(target), "not due yet");
        tokio::time::sleep(Duration::from_millis(510)).await;
        pool.probe_lost_targets().await;
        assert!(!pool.links().paths.borrow().is_lost(target));
        assert_eq!(exchange(&pool, target).await.unwrap(), "whole");
        let context = pool.links().context.as_ref().unwrap();
        assert_eq!(context.metrics.tunnels_opened.get(), 0);
    });
}

/// Serves requests on kept connections.
async fn run_keeping_target(listener: TcpListener) {
    loop {
        let (mut socket, _) = listener.accept().await.unwrap();
        ntex::rt::spawn(async move {
            while let Some(id) = read_request(&mut socket).await {
                let response = response_text(&[&id], "whole");
                if socket.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(5), polling).await.unwrap();
}

/// Guards against requests that are cut when a helping host stops as planned: it takes no new tunnel,
/// and waits for the others, so the asking host closes idle ones.
#[test]
fn tunnels_leave_a_host_that_is_about_to_stop() {
    run(async {
        let (listener, target) = listen().await;
        ntex::rt::spawn(run_keeping_target(listener));
        let (gateway, helper) = start_helper(&[target]).await;
        let pool = pool(&[helper]);
        pool.links().record_lost(target, helper, "test");
        let opened = || {
            let context = pool.links().context.as_ref().unwrap();
            context.metrics.tunnels_opened.get()
        };
        for _ in 0..3 {
            assert_eq!(exchange(&pool, target).await.unwrap(), "whole");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(opened(), 1, "an idle tunnel is used again");
        assert_eq!(gateway.served_tunnels(), 1);

        gateway.begin_stop(Instant::now() + Duration::from_secs(60));
        let answer = open_tunnel(&identity("asking"), helper, target).await;
        assert_eq!(answer.err(), Some(linnet_paths::PeerAnswer::Full));
        assert_eq!(exchange(&pool, target).await.unwrap(), "whole");
        tokio::time::sleep(Duration::from_millis(20)).await;

        // The directory lists the host as stopping.
        pool.links().set_peers([]);
        pool.close_expired();
        wait_until(|| gateway.served_tunnels() == 0).await;
    });
}

/// Guards against tunnels that stay in use although the path is direct again, and against direct
/// connections that are used although the path is lost.
#[test]
fn idle_connections_follow_the_path() {
    run(async {
        let (listener, target) = listen().await;
        ntex::rt::spawn(run_keeping_target(listener));
        let (gateway, helper) = start_helper(&[target]).await;
        let pool = pool(&[helper]);
        exchange(&pool, target).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        pool.links().record_lost(target, helper, "test");
        exchange(&pool, target).await.unwrap();
        assert_eq!(gateway.served_tunnels(), 1);
        tokio::time::sleep(Duration::from_millis(20)).await;
        pool.links().record_open(target);
        let opened = pool.opened_count();
        exchange(&pool, target).await.unwrap();
        assert_eq!(pool.opened_count(), opened + 1);
        wait_until(|| gateway.served_tunnels() == 0).await;
    });
}
