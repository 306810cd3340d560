#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use super::*;
use crate::gateway::tests::run;

/// Returns a pool with an idle connection, and the target's end of it.
async fn idle_connection() -> (UpstreamPool, SocketAddr, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let pool = UpstreamPool::default();
    let connection = pool.connect(address).await.unwrap();
    pool.keep_idle(address, connection);
    let (accepted, _) = listener.accept().unwrap();
    (pool, address, accepted)
}

#[test]
fn an_idle_connection_is_reused() {
    run(async {
        let (pool, address, _accepted) = idle_connection().await;
        assert!(!pool.has_closed_idle(address));
        assert!(pool.take_idle(address).is_some());
    });
}

/// Guards against a request that is written on a connection which its target has closed, while the task that
/// drives the connection has not run since.
#[test]
fn a_connection_that_its_target_has_just_closed_is_not_reused() {
    for is_reset in [false, true] {
        run(async move {
            let (pool, address, accepted) = idle_connection().await;
            if is_reset {
                let linger = Some(Duration::ZERO);
                socket2::SockRef::from(&accepted)
                    .set_linger(linger)
                    .unwrap();
            }
            drop(accepted);
            // Blocks the runtime, so that no other task runs.
            std::thread::sleep(Duration::from_millis(50));
            assert!(pool.has_closed_idle(address), "reset {is_reset}");
            assert!(pool.take_idle(address).is_none(), "reset {is_reset}");
        });
    }
}
