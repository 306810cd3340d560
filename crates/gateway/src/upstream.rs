//! Pool of connections to targets. A connection carries one request at a time.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::Display;
use http::response::Parts;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::send_gate::SendGate;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time after which the operating system starts to send keep-alive probes.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);

/// Interval between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long sent data may stay unacknowledged before the operating system closes the connection.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle timeout of a connection if the target announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Share of the target's idle timeout after which a connection is not reused.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;

/// Why a request got no response.
#[derive(Debug, Display, derive_more::Error)]
pub(crate) enum SendError {
    /// The request did not reach the target.
    #[display("connect: {_0}")]
    #[error(ignore)]
    NotSent(String),
    /// Nothing was written, since the target does not accept requests now.
    #[display("withheld")]
    Withheld,
    /// The request may have reached the target.
    #[display("send: {cause}")]
    MayHaveRun {
        cause: String,
        /// Whether the target broke (closed or reset) the connection.
        broken: bool,
    },
}

impl SendError {
    fn may_have_run(error: &hyper::Error) -> Self {
        Self::MayHaveRun {
            cause: error.to_string(),
            broken: is_peer_disconnect(error),
        }
    }
}

/// Returns whether an error means that the peer closed or reset the connection. A connection that
/// was closed because the peer was silent says nothing about the target.
pub(crate) fn is_peer_disconnect(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(current) = cause {
        if let Some(error) = current.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                ErrorKind::ConnectionReset
                    | ErrorKind::ConnectionAborted
                    | ErrorKind::BrokenPipe
                    | ErrorKind::UnexpectedEof
            );
        }
        cause = current.source();
    }
    let error = error.downcast_ref::<hyper::Error>();
    error.is_some_and(|error| error.is_incomplete_message() || error.is_closed())
}

/// What an attempt to connect shows about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// The target accepts connections.
    Open,
    /// Nothing listens at the address of the target.
    Refused,
    /// The connection attempt timed out or failed otherwise.
    Silent,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Closes the connection at once when dropped.
    closer: oneshot::Sender<()>,
    idle_since: Instant,
    idle_timeout: Duration,
}

#[derive(Default)]
struct PoolState {
    idle: HashMap<SocketAddr, Vec<Connection>>,
    opened_count: u64,
}

/// Idle connections by address. Cheap to clone.
#[derive(Clone, Default)]
pub(crate) struct UpstreamPool {
    state: Rc<RefCell<PoolState>>,
    address_map: Rc<BTreeMap<IpAddr, IpAddr>>,
}

/// A connection in use. If it is dropped before [`ConnectionLease::release`], the connection is
/// closed, by which the target detects that nobody waits for the response.
pub(crate) struct ConnectionLease {
    pool: UpstreamPool,
    address: SocketAddr,
    connection: Connection,
}

impl UpstreamPool {
    /// Creates a pool that connects to the mapped address in place of the registered one.
    pub(crate) fn new(address_map: BTreeMap<IpAddr, IpAddr>) -> Self {
        Self {
            state: Rc::default(),
            address_map: Rc::new(address_map),
        }
    }

    /// Returns the address to connect to for a target with a registered address.
    fn connect_address(&self, registered: SocketAddr) -> SocketAddr {
        let mapped = self.address_map.get(&registered.ip());
        SocketAddr::new(
            mapped.copied().unwrap_or(registered.ip()),
            registered.port(),
        )
    }

    /// Returns how many connections have been opened.
    pub(crate) fn opened_count(&self) -> u64 {
        self.state.borrow().opened_count
    }

    /// Sends a request and returns the head of the response. The gate is checked right before bytes
    /// are written, since opening a connection can take up to 300 ms.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        mut gate: SendGate<'_>,
    ) -> Result<(Response<Incoming>, ConnectionLease), SendError> {
        while let Some(mut connection) = self.take_idle(address) {
            if !gate.try_pass() {
                self.keep_idle(address, connection);
                return Err(SendError::Withheld);
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, self.lease(address, connection))),
                Err(mut error) => match error.take_message() {
                    // The connection was already closed; the request was never written.
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::may_have_run(&error.into_error())),
                },
            }
        }
        let mut connection = self.connect(address).await?;
        if !gate.try_pass() {
            self.keep_idle(address, connection);
            return Err(SendError::Withheld);
        }
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, self.lease(address, connection))),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                Err(if unsent {
                    SendError::NotSent(error.to_string())
                } else {
                    SendError::may_have_run(&error)
                })
            }
        }
    }

    /// Sends a request and returns the complete response.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        gate: SendGate<'_>,
    ) -> Result<(Parts, Bytes), SendError> {
        let (response, lease) = self.send(address, request, gate).await?;
        let (head, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| SendError::may_have_run(&error))?;
        lease.release(&head.headers);
        Ok((head, body.to_bytes()))
    }

    /// Opens a connection to check whether a target is alive. The connection stays idle for the
    /// next request.
    pub(crate) async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        let socket = match timeout(
            CONNECT_TIMEOUT,
            TcpStream::connect(self.connect_address(address)),
        )
        .await
        {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return ProbeOutcome::Refused;
            }
            _ => return ProbeOutcome::Silent,
        };
        if let Ok(connection) = self.establish(socket).await {
            self.keep_idle(address, connection);
        }
        ProbeOutcome::Open
    }

    /// Closes idle connections to addresses that `keep` rejects.
    pub(crate) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.state
            .borrow_mut()
            .idle
            .retain(|address, _| keep(address));
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        for idle in self.state.borrow_mut().idle.values_mut() {
            idle.retain(Connection::is_usable);
        }
    }

    fn lease(&self, address: SocketAddr, connection: Connection) -> ConnectionLease {
        ConnectionLease {
            pool: self.clone(),
            address,
            connection,
        }
    }

    /// Puts a connection back into the pool for the next request; nothing was sent on it.
    fn keep_idle(&self, address: SocketAddr, connection: Connection) {
        let mut state = self.state.borrow_mut();
        state.idle.entry(address).or_default().push(connection);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut state = self.state.borrow_mut();
        let idle = state.idle.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, SendError> {
        let socket = match timeout(
            CONNECT_TIMEOUT,
            TcpStream::connect(self.connect_address(address)),
        )
        .await
        {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) => return Err(SendError::NotSent(error.to_string())),
            Err(_) => {
                return Err(SendError::NotSent(format!(
                    "not established within {} ms",
                    CONNECT_TIMEOUT.as_millis()
                )));
            }
        };
        self.establish(socket).await
    }

    async fn establish(&self, socket: TcpStream) -> Result<Connection, SendError> {
        let _ = socket.set_nodelay(true);
        // Without these a connection across a network partition hangs for minutes.
        let options = SockRef::from(&socket);
        let _ = options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT));
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE_TIME)
            .with_interval(KEEPALIVE_INTERVAL);
        let _ = options.set_tcp_keepalive(&keepalive);
        let (sender, driver) = Builder::new()
            .handshake(TokioIo::new(socket))
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let (closer, closed) = oneshot::channel::<()>();
        ntex::rt::spawn(async move {
            tokio::select! {
                _ = driver => {}
                _ = closed => {}
            }
        });
        self.state.borrow_mut().opened_count += 1;
        Ok(Connection {
            sender,
            closer,
            idle_since: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }
}

impl Connection {
    fn is_usable(&self) -> bool {
        let is_fresh = self.idle_since.elapsed() < self.idle_timeout.mul_f64(IDLE_TIMEOUT_SHARE);
        is_fresh && !self.sender.is_closed() && !self.closer.is_closed()
    }
}

impl ConnectionLease {
    /// Returns the connection to the pool after a complete response, unless the response closes it.
    pub(crate) fn release(self, head: &HeaderMap) {
        let Self {
            pool,
            address,
            mut connection,
        } = self;
        if has_close_option(head) {
            return;
        }
        connection.idle_timeout = keep_alive_timeout(head).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        connection.idle_since = Instant::now();
        // The connection is ready for another request only once its task has seen the end of the
        // response. If the response was sent before the request's body was read, it never becomes
        // ready.
        ntex::rt::spawn(async move {
            let ready = timeout(Duration::from_millis(200), connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let mut state = pool.state.borrow_mut();
                state.idle.entry(address).or_default().push(connection);
            }
        });
    }
}

fn has_close_option(head: &HeaderMap) -> bool {
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
