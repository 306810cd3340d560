use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use linnet_telemetry::{EventRecorder, HybridClock};
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use super::*;
use crate::gateway::tests::run;
use crate::notice_store::NoticeStore;
use crate::send_gate::SendKind;
use crate::upstream::tests::{direct_pool, read_request, response_text, start_target};

/// Sends a release; returns whether the head of the response is known to belong to it.
async fn release(pool: &UpstreamPool, address: SocketAddr) -> Result<bool, SendError> {
    let recorder = EventRecorder::new("host", Arc::new(HybridClock::new()));
    let notices = NoticeStore::new(Arc::new(recorder), Rc::default());
    let request = Request::get("/").body(Full::new(Bytes::new())).unwrap();
    let gate = notices.gate("t", SendKind::Control);
    let head = pool.send_release(address, request, gate).await?;
    Ok(head.is_some())
}

#[test]
fn a_response_without_identifier_tells_nothing_on_a_connection_that_was_used_before() {
    run(async {
        let address = start_target(|number, id| match number {
            2 => response_text(&[id], ""),
            _ => response_text(&[], ""),
        })
        .await;
        let pool = direct_pool();
        for is_own in [true, false, true, false] {
            assert_eq!(release(&pool, address).await.unwrap(), is_own);
        }
        assert_eq!(pool.opened_count(), 1);
    });
}

#[test]
fn a_request_does_not_use_the_connection_of_releases() {
    run(async {
        let address = start_target(|_, _| response_text(&[], "")).await;
        let pool = direct_pool();
        release(&pool, address).await.unwrap();
        let id = http::HeaderValue::from_static("r0");
        assert!(pool.take_idle(address, &id).is_none());
        assert!(
            pool.take_recent_idle(address, Duration::from_secs(1))
                .is_none()
        );
    });
}

#[test]
fn a_connection_that_its_target_announces_to_close_carries_one_release() {
    run(async {
        let address = start_target(|_, _| {
            response_text(&[], "").replace("content-length", "connection: close\r\ncontent-length")
        })
        .await;
        let pool = direct_pool();
        for opened in 1..=3 {
            release(&pool, address).await.unwrap();
            sleep(Duration::from_millis(5)).await;
            assert_eq!(pool.opened_count(), opened);
        }
    });
}

/// Guards against connections of a burst that take memory until they expire.
#[test]
fn few_connections_stay_open_after_a_burst_of_releases() {
    run(async {
        let address = start_target(|_, _| response_text(&[], "")).await;
        let pool = direct_pool();
        let burst = (0..20).map(|_| release(&pool, address));
        let sent = futures_util::future::join_all(burst).await;
        assert!(sent.iter().all(Result::is_ok), "{sent:?}");
        let idle = pool.state.borrow().release_idle[&address].len();
        assert_eq!(idle, MAX_IDLE_CONNECTIONS);
    });
}

#[test]
fn a_release_is_sent_on_a_new_connection_if_the_idle_one_is_closed() {
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        ntex::rt::spawn(async move {
            while let Ok((mut socket, _)) = listener.accept().await {
                if read_request(&mut socket).await.is_some() {
                    let response = response_text(&[], "");
                    let _ = socket.write_all(response.as_bytes()).await;
                }
                // Long enough for the connection to be idle.
                sleep(Duration::from_millis(20)).await;
            }
        });
        let pool = direct_pool();
        for opened in 1..=3 {
            release(&pool, address).await.unwrap();
            sleep(Duration::from_millis(40)).await;
            assert_eq!(pool.opened_count(), opened);
        }
    });
}
