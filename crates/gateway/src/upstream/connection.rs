//! Connections to targets, idle or in use.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::interim_count::InterimCount;
use super::life_table::{ConnectionLife, ExchangeKey};
use super::shared_socket::SharedSocket;
use super::{SpareConnection, UpstreamPool};
use crate::response_body::{MAX_UNREAD_BYTES, read_response_body};
use crate::stated_start::StatedStart;

/// How long the rest of a body that nobody reads may take before its connection is closed.
const UNREAD_BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a connection may take to be ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(200);

/// Idle timeout of a connection if the target announces none.
pub(super) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Idle timeout of a tunnel, which occupies a place at the helping host.
pub(super) const TUNNEL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Share of the target's idle timeout after which a connection is not reused.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;

/// A connection to a target.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Closes the connection at once when dropped.
    pub(super) closer: oneshot::Sender<()>,
    pub(super) idle_since: Instant,
    pub(super) idle_timeout: Duration,
    /// The entry host that opened the connection, if it is another one.
    pub(super) peer: Option<SocketAddr>,
    /// The socket of a direct connection.
    pub(super) socket: Option<SharedSocket>,
    /// The identifier of the last request that was answered on the connection.
    pub(super) last_id: Option<HeaderValue>,
    /// Whether its responses have identifiers. Otherwise a late surplus response could not be told from
    /// that to the next request.
    pub(super) is_reusable: bool,
    pub(super) opened: Instant,
    pub(super) interims: InterimCount,
    /// How long sent data may stay unacknowledged.
    pub(super) unacknowledged_limit: Duration,
    /// What the target stated about itself on the connection.
    pub(super) stated: StatedStart,
    pub(super) life: ConnectionLife,
}

/// A connection in use. If it is dropped before [`ConnectionLease::release`], the connection is
/// closed, by which the target detects that nobody waits for the response.
pub(crate) struct ConnectionLease {
    pub(super) pool: UpstreamPool,
    pub(super) address: SocketAddr,
    pub(super) connection: Connection,
    pub(super) exchange: ExchangeKey,
    /// Is kept open beside it.
    pub(super) spare: Option<Rc<SpareConnection>>,
}

impl Connection {
    pub(super) fn is_usable(&self) -> bool {
        let is_fresh = self.idle_since.elapsed() < self.idle_timeout.mul_f64(IDLE_TIMEOUT_SHARE);
        let has_unread_end = || {
            let socket = self.socket.as_ref();
            socket.is_some_and(SharedSocket::has_unread_end)
        };
        is_fresh && !self.sender.is_closed() && !self.closer.is_closed() && !has_unread_end()
    }

    /// Sets how long sent data may stay unacknowledged, on a direct connection.
    pub(super) fn set_unacknowledged_limit(&mut self, limit: Duration) {
        if let Some(socket) = &self.socket
            && self.unacknowledged_limit != limit
        {
            socket.set_unacknowledged_limit(limit);
            self.unacknowledged_limit = limit;
        }
    }

    /// Starts the idle time after a complete response.
    pub(super) fn begin_idle(&mut self, head: &HeaderMap) {
        self.idle_timeout = keep_alive_timeout(head).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        if self.peer.is_some() {
            self.idle_timeout = self.idle_timeout.min(TUNNEL_IDLE_TIMEOUT);
        }
        self.idle_since = Instant::now();
    }

    /// Waits until another request can be sent; returns whether one can. That is once the task of the
    /// connection has seen the end of the response. If the response was sent before the request's body
    /// was read, it never is.
    pub(super) async fn wait_ready(&mut self) -> bool {
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        matches!(ready, Ok(Ok(())))
    }
}

impl ConnectionLease {
    /// Returns whether the response echoed the identifier of its request.
    pub(crate) fn has_echoed_id(&self) -> bool {
        self.connection.is_reusable
    }

    pub(super) fn with_spare(mut self, spare: Option<Rc<SpareConnection>>) -> Self {
        self.spare = spare;
        self
    }

    pub(crate) fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    /// Returns the connection that is kept open beside it.
    pub(crate) fn spare(&self) -> Option<&Rc<SpareConnection>> {
        self.spare.as_ref()
    }

    /// Returns the address of the target.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the exchange that the connection is in use for.
    pub(crate) fn exchange(&self) -> ExchangeKey {
        self.exchange
    }

    /// Returns the connection to the pool once the rest of a body that nobody reads has arrived, and
    /// closes it if that takes too long or is too much.
    pub(crate) fn release_after(self, body: Incoming, head: HeaderMap) {
        ntex::rt::spawn(async move {
            let drained = timeout(
                UNREAD_BODY_TIMEOUT,
                read_response_body(body, MAX_UNREAD_BYTES, self.pool.held()),
            )
            .await;
            if matches!(drained, Ok(Ok(_))) {
                self.release(&head);
            }
        });
    }

    /// Returns the connection to the pool after a complete response, unless the response closes it.
    pub(crate) fn release(self, head: &HeaderMap) {
        let Self {
            pool,
            address,
            mut connection,
            ..
        } = self;
        if has_close_option(head) || !connection.is_reusable {
            return;
        }
        connection.begin_idle(head);
        ntex::rt::spawn(async move {
            if connection.wait_ready().await {
                pool.keep_idle(address, connection);
            }
        });
    }
}

pub(super) fn has_close_option(head: &HeaderMap) -> bool {
    let values = head.get_all(http::header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

fn keep_alive_timeout(head: &HeaderMap) -> Option<Duration> {
    let value = head.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))
        .or(Some(value))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
