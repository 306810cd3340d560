#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::cell::Cell;

use http::Request;
use linnet_telemetry::{EventRecorder, HybridClock};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;
use crate::gateway::tests::run;
use crate::notice_store::NoticeStore;
use crate::send_gate::SendKind;
use crate::upstream::tests::{direct_pool, read_request, response_text, start_target};

/// How long a request waits for its response.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request to a target of a service; returns whether a response arrived in time.
async fn send(pool: &UpstreamPool, address: SocketAddr, may_be_unframed: bool) -> bool {
    let clock = std::sync::Arc::new(HybridClock::new());
    let recorder = std::sync::Arc::new(EventRecorder::new("host", clock));
    let notices = NoticeStore::new(recorder, Rc::default());
    let request = Request::get("/")
        .body(http_body_util::Full::default())
        .unwrap();
    let gate = notices.gate("t", SendKind::Work);
    let gate = gate.with_may_be_unframed(may_be_unframed);
    let exchange = pool.exchange(address, request, gate);
    matches!(timeout(SEND_TIMEOUT, exchange).await, Ok(Ok(_)))
}

/// Guards against two connections for each request where hosts send few requests to each of many targets.
#[test]
fn targets_of_a_framed_service_get_one_connection_each() {
    run(async {
        let pool = direct_pool();
        for _ in 0..FRAMED_RUN * 2 {
            let address = start_target(|_, id| response_text(&[id], "whole")).await;
            assert!(send(&pool, address, pool.may_be_unframed("desk")).await);
            pool.record_framing("desk", BodyFraming::Length);
        }
        let opened = pool.opened_count();
        assert!(
            opened <= u64::from(FRAMED_RUN * 3),
            "{opened} connections for {} requests",
            FRAMED_RUN * 2
        );
    });
}

/// Guards against a spare connection that takes the place of the request it is to watch over.
#[test]
fn a_target_with_one_place_for_connections_answers() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        ntex::rt::spawn(async move {
            while let Ok((mut socket, _)) = listener.accept().await {
                while let Some(id) = read_request(&mut socket).await {
                    let response = response_text(&[&id], "whole");
                    let _ = socket.write_all(response.as_bytes()).await;
                }
            }
        });
        let pool = direct_pool();
        assert!(send(&pool, address, false).await, "without a spare one");
        drop(pool);
        sleep(Duration::from_millis(50)).await;
        let pool = direct_pool();
        assert!(send(&pool, address, true).await);
    });
}

/// Guards against a storm of connections to a target that takes no more of them.
#[test]
fn a_target_that_closes_spare_connections_is_not_flooded() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepted = Rc::new(Cell::new(0));
        let count = accepted.clone();
        ntex::rt::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                count.set(count.get() + 1);
                drop(socket);
            }
        });
        let pool = direct_pool();
        let _spare = pool.hold_spare(address);
        sleep(Duration::from_secs(1)).await;
        let accepted = accepted.get();
        assert!(accepted <= 10, "{accepted} connections within a second");
    });
}
