//! Connections to targets. One connection carries one request at a time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
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

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a connection may be silent before the system asks whether the other side is there.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long sent bytes may stay unacknowledged before the system gives a connection up.
const SILENT_PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long a connection may rest where the target does not say.
const DEFAULT_REST: Duration = Duration::from_secs(20);

/// Part of the rest that a target allows after which a connection is not used any more.
const USED_REST_PART: f64 = 0.7;

/// Why a request got no answer.
#[derive(Debug, Display, derive_more::Error)]
pub(crate) enum SendError {
    /// Nothing of it reached the target.
    #[display("connect: {_0}")]
    #[error(ignore)]
    NotSent(String),
    /// Nothing of it was written, since the target wants nothing now.
    #[display("withheld")]
    Withheld,
    /// It may have reached the target.
    #[display("send: {cause}")]
    MayHaveRun {
        cause: String,
        /// Whether the other side ended the connection.
        broke: bool,
    },
}

impl SendError {
    fn may_have_run(error: &hyper::Error) -> Self {
        Self::MayHaveRun {
            cause: error.to_string(),
            broke: is_break(error),
        }
    }
}

/// Says whether a connection ended since the other side closed or reset it. One that was given up since the
/// other side was silent says nothing of the target.
pub(crate) fn is_break(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(one) = cause {
        if let Some(error) = one.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                ErrorKind::ConnectionReset
                    | ErrorKind::ConnectionAborted
                    | ErrorKind::BrokenPipe
                    | ErrorKind::UnexpectedEof
            );
        }
        cause = one.source();
    }
    let error = error.downcast_ref::<hyper::Error>();
    error.is_some_and(|error| error.is_incomplete_message() || error.is_closed())
}

/// What a new connection to a target tells of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// It takes connections.
    Open,
    /// Nothing listens there.
    Refused,
    /// No answer came.
    Silent,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Dropped to close the connection at once.
    closer: oneshot::Sender<()>,
    rested_since: Instant,
    rest: Duration,
}

#[derive(Default)]
struct PoolState {
    resting: HashMap<SocketAddr, Vec<Connection>>,
    opened: u64,
}

/// Resting connections by address. Cheap to clone.
#[derive(Clone, Default)]
pub(crate) struct UpstreamPool {
    state: Rc<RefCell<PoolState>>,
}

/// A connection in use. Dropped before [`Lease::finish`] it is closed, which tells the target that
/// nobody waits for the answer.
pub(crate) struct Lease {
    pool: UpstreamPool,
    address: SocketAddr,
    connection: Connection,
}

impl UpstreamPool {
    /// Returns how many connections were opened.
    pub(crate) fn opened(&self) -> u64 {
        self.state.borrow().opened
    }

    /// Sends a request and returns the head of the answer. The gate is asked right before bytes are written:
    /// a connection may take 300 ms to open.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        mut gate: SendGate<'_>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        while let Some(mut connection) = self.take_resting(address) {
            if !gate.try_pass() {
                self.rest(address, connection);
                return Err(SendError::Withheld);
            }
            match connection.sender.try_send_request(request).await {
                Ok(answer) => return Ok((answer, self.lease(address, connection))),
                Err(mut error) => match error.take_message() {
                    // The connection had ended; the request was never written.
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::may_have_run(&error.into_error())),
                },
            }
        }
        let mut connection = self.open(address).await?;
        if !gate.try_pass() {
            self.rest(address, connection);
            return Err(SendError::Withheld);
        }
        match connection.sender.try_send_request(request).await {
            Ok(answer) => Ok((answer, self.lease(address, connection))),
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

    /// Sends a request and returns the whole answer.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        gate: SendGate<'_>,
    ) -> Result<(Parts, Bytes), SendError> {
        let (answer, lease) = self.send(address, request, gate).await?;
        let (head, body) = answer.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| SendError::may_have_run(&error))?;
        lease.finish(&head.headers);
        Ok((head, body.to_bytes()))
    }

    /// Opens a connection to see whether a target is there; it rests for the next request.
    pub(crate) async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        let socket = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return ProbeOutcome::Refused;
            }
            _ => return ProbeOutcome::Silent,
        };
        if let Ok(connection) = self.prepare(socket).await {
            self.rest(address, connection);
        }
        ProbeOutcome::Open
    }

    /// Closes the resting connections to addresses that are not in use any more.
    pub(crate) fn retain(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        self.state
            .borrow_mut()
            .resting
            .retain(|address, _| wanted(address));
    }

    /// Closes connections that have rested too long.
    pub(crate) fn close_rested(&self) {
        for resting in self.state.borrow_mut().resting.values_mut() {
            resting.retain(Connection::is_usable);
        }
    }

    fn lease(&self, address: SocketAddr, connection: Connection) -> Lease {
        Lease {
            pool: self.clone(),
            address,
            connection,
        }
    }

    /// Keeps a connection that nothing was sent on for the next request.
    fn rest(&self, address: SocketAddr, connection: Connection) {
        let mut state = self.state.borrow_mut();
        state.resting.entry(address).or_default().push(connection);
    }

    fn take_resting(&self, address: SocketAddr) -> Option<Connection> {
        let mut state = self.state.borrow_mut();
        let resting = state.resting.get_mut(&address)?;
        while let Some(connection) = resting.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, SendError> {
        let socket = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) => return Err(SendError::NotSent(error.to_string())),
            Err(_) => return Err(SendError::NotSent("no answer in time".to_owned())),
        };
        self.prepare(socket).await
    }

    async fn prepare(&self, socket: TcpStream) -> Result<Connection, SendError> {
        let _ = socket.set_nodelay(true);
        // Without these a connection behind a cut hangs for minutes.
        let options = SockRef::from(&socket);
        let _ = options.set_tcp_user_timeout(Some(SILENT_PEER_TIMEOUT));
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
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
        self.state.borrow_mut().opened += 1;
        Ok(Connection {
            sender,
            closer,
            rested_since: Instant::now(),
            rest: DEFAULT_REST,
        })
    }
}

impl Connection {
    fn is_usable(&self) -> bool {
        let rested = self.rested_since.elapsed() < self.rest.mul_f64(USED_REST_PART);
        rested && !self.sender.is_closed() && !self.closer.is_closed()
    }
}

impl Lease {
    /// Gives the connection back after a whole answer, unless its head said that it closes.
    pub(crate) fn finish(self, head: &HeaderMap) {
        let Self {
            pool,
            address,
            mut connection,
        } = self;
        if says_close(head) {
            return;
        }
        connection.rest = allowed_rest(head).unwrap_or(DEFAULT_REST);
        connection.rested_since = Instant::now();
        // The connection is ready for another request only once its task has seen the end of the
        // answer. A request that was answered before its body was read is never ready again.
        ntex::rt::spawn(async move {
            let ready = timeout(Duration::from_millis(200), connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let mut state = pool.state.borrow_mut();
                state.resting.entry(address).or_default().push(connection);
            }
        });
    }
}

fn says_close(head: &HeaderMap) -> bool {
    let values = head.get_all(http::header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

fn allowed_rest(head: &HeaderMap) -> Option<Duration> {
    let value = head.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))
        .or(Some(value))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
