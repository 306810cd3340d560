//! Detection of connections whose other end is gone.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which the operating system starts to send keep-alive probes.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);

/// Interval between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which a tunnel is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// How long sent data may stay unacknowledged before the operating system closes the connection.
pub(crate) const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum size of a request that the system of a target acknowledges although the target reads nothing;
/// below the first receive window of Linux, 64 KiB.
const MAX_BUFFERED_BYTES: u64 = 32 * 1024;

/// Returns how long the data of a request with a body of `bytes` may stay unacknowledged. A larger one
/// waits until its target reads, which says nothing about the connection, so only its deadline ends it.
pub(crate) fn unacknowledged_limit(bytes: u64, time_left: Duration) -> Duration {
    match bytes <= MAX_BUFFERED_BYTES {
        true => UNACKNOWLEDGED_DATA_TIMEOUT,
        false => UNACKNOWLEDGED_DATA_TIMEOUT.max(time_left),
    }
}

/// Makes the operating system close a connection whose other end is gone. Without this a connection
/// across a network partition hangs for minutes.
pub(crate) fn detect_dead_peer(socket: &TcpStream) {
    let options = SockRef::from(socket);
    let _ = options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT));
    let _ = options.set_tcp_keepalive(&keepalive());
}

/// Same as [`detect_dead_peer`] for the connections of a tunnel. Whether its ends read is up to the target
/// and the caller, so unacknowledged data does not close it, only keep-alive probes do.
pub(crate) fn detect_dead_tunnel(socket: &TcpStream) {
    let keepalive = keepalive().with_retries(KEEPALIVE_RETRIES);
    let _ = SockRef::from(socket).set_tcp_keepalive(&keepalive);
}

fn keepalive() -> TcpKeepalive {
    TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
}
