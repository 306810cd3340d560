//! Pool of connections to targets. A connection carries one request at a time.

mod bounded_stream;
mod connection;
mod connection_watch;
mod exchange_id;
mod incarnation;
mod interim_count;
mod life_table;
mod open;
mod release_connection;
mod shared_socket;
mod spare_connection;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use linnet_paths::{RESTORE_INTERVAL, SILENCE_BEFORE_CHECK};
use tokio::time::{sleep, timeout};

use connection::Connection;
use connection_watch::ConnectionWatch;
use exchange_id::{ExchangeIds, IdEcho};
use life_table::LifeTable;

pub(crate) use connection::ConnectionLease;
pub(crate) use interim_count::TooManyInterims;
pub(crate) use life_table::{ConnectionKey, ExchangeKey};
pub(crate) use spare_connection::SpareConnection;

use crate::connection_use::ConnectionUse;
use crate::dead_peer::unacknowledged_limit;
use crate::held_bytes::HeldBytes;
use crate::message_heads::SendDeadline;
use crate::response_body::{MAX_CONTROL_BYTES, read_response_body};
use crate::send_error::{ForeignCause, SendError, check_status};
use crate::send_gate::SendGate;
use crate::target_links::{ConnectPurpose, TargetLinks, TargetSocket};

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

struct PoolState {
    idle: HashMap<SocketAddr, Vec<Connection>>,
    /// Idle connections that carry releases of results only.
    release_idle: HashMap<SocketAddr, Vec<Connection>>,
    lives: LifeTable<ConnectionWatch>,
    /// Connections that are kept open beside responses.
    spares: HashMap<SocketAddr, Weak<SpareConnection>>,
    /// How many responses with framing the targets of a service have sent since the last one without.
    framed: HashMap<String, u32>,
    /// When the last direct attempt to connect began that a target accepted.
    accepted: HashMap<SocketAddr, Instant>,
    /// Targets that are not asked for reports, and until when.
    unreported: HashMap<SocketAddr, Instant>,
    opened_count: u64,
}

impl Default for PoolState {
    fn default() -> Self {
        Self {
            idle: HashMap::new(),
            release_idle: HashMap::new(),
            lives: LifeTable::new(ConnectionWatch::is_open, ConnectionWatch::is_exact),
            spares: HashMap::new(),
            framed: HashMap::new(),
            accepted: HashMap::new(),
            unreported: HashMap::new(),
            opened_count: 0,
        }
    }
}

/// Idle connections by address. Cheap to clone.
#[derive(Clone)]
pub(crate) struct UpstreamPool {
    state: Rc<RefCell<PoolState>>,
    links: Rc<TargetLinks>,
    ids: Rc<ExchangeIds>,
    held: HeldBytes,
}

impl UpstreamPool {
    /// Creates a pool that opens connections through these links. Requests and responses have their
    /// identifiers in `id_header`.
    pub(crate) fn new(links: TargetLinks, id_header: HeaderName) -> Self {
        Self {
            state: Rc::default(),
            links: Rc::new(links),
            ids: Rc::new(ExchangeIds::new(id_header)),
            held: HeldBytes::default(),
        }
    }

    /// Returns the links to the targets.
    pub(crate) fn links(&self) -> &Rc<TargetLinks> {
        &self.links
    }

    /// Returns what this host holds of unfinished answers of targets.
    pub(crate) fn held(&self) -> &HeldBytes {
        &self.held
    }

    /// Returns how many connections have been opened.
    pub(crate) fn opened_count(&self) -> u64 {
        self.state.borrow().opened_count
    }

    /// Sends a request and returns the head of the response, which belongs to the request: it echoes the
    /// identifier of the request, or is the first one on its connection. The gate is checked right
    /// before bytes are written, since opening a connection takes time, more so through another host.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        mut gate: SendGate<'_>,
    ) -> Result<(Response<Incoming>, ConnectionLease), SendError> {
        let id = self.ids.assign(request.headers_mut());
        while let Some(idle) = self.take_idle(address, &id) {
            let checked = self.check_incarnation(address, idle, &gate).await?;
            let Some(mut connection) = checked else {
                continue;
            };
            let spare = self.open_spare(address, &gate).await;
            if let Err(error) = gate.begin_send() {
                self.keep_idle(address, connection);
                return Err(error);
            }
            let sent_before = self.next_connection();
            match self.exchange_head(address, &mut connection, request).await {
                Ok(response) => {
                    let received = (connection, sent_before, response);
                    let matched = self.match_response(address, received, id, &gate);
                    return matched.map(|(response, lease)| (response, lease.with_spare(spare)));
                }
                Err(mut error) => match error.take_message() {
                    // The connection was already closed; the request was never written.
                    Some(unsent) => {
                        gate.take_back();
                        request = unsent;
                    }
                    None => return Err(SendError::may_have_run(&error.into_error())),
                },
            }
        }
        let mut connection = self.connect_for(address, &gate).await?;
        let spare = self.open_spare(address, &gate).await;
        if let Err(error) = gate.begin_send() {
            self.keep_idle(address, connection);
            return Err(error);
        }
        let sent_before = self.next_connection();
        match self.exchange_head(address, &mut connection, request).await {
            Ok(response) => {
                let received = (connection, sent_before, response);
                let matched = self.match_response(address, received, id, &gate);
                matched.map(|(response, lease)| (response, lease.with_spare(spare)))
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error();
                if unsent {
                    gate.take_back();
                    return Err(SendError::NotSent(error.to_string()));
                }
                Err(SendError::may_have_run(&error))
            }
        }
    }

    /// Checks that a response has a valid status and belongs to the request with this identifier. If not,
    /// the connection is closed, since the response that does may follow on it.
    fn match_response(
        &self,
        address: SocketAddr,
        (mut connection, sent_before, response): (Connection, ConnectionKey, Response<Incoming>),
        id: HeaderValue,
        gate: &SendGate<'_>,
    ) -> Result<(Response<Incoming>, ConnectionLease), SendError> {
        check_status(response.status())?;
        let cause = match self.ids.echo_of(response.headers(), &id) {
            IdEcho::Same => None,
            IdEcho::Missing if connection.last_id.is_none() => {
                connection.is_reusable = false;
                None
            }
            IdEcho::Missing => Some(ForeignCause::NoId),
            IdEcho::Foreign(cause) => Some(cause),
        };
        if let Some(cause) = cause {
            gate.record_foreign_response(cause, &id);
            return Err(SendError::Foreign(cause));
        }
        connection.last_id = Some(id);
        let exchange = ExchangeKey {
            on: connection.life,
            sent_before,
        };
        let lease = ConnectionLease {
            pool: self.clone(),
            address,
            connection,
            exchange,
            spare: None,
        };
        Ok((response, lease))
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
        let body = read_response_body(body, MAX_CONTROL_BYTES, &self.held)
            .await
            .map_err(|error| SendError::MayHaveRun {
                cause: error.to_string(),
                broken: error.is_peer_disconnect(),
            })?;
        lease.release(&head.headers);
        Ok((head, body))
    }

    /// Sends a request on a connection and waits for the head of the response. The time left is
    /// written anew, since opening the connection takes time. A direct target that is silent for some
    /// time is checked in the background: its path may be lost.
    async fn exchange_head(
        &self,
        address: SocketAddr,
        connection: &mut Connection,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        SendDeadline::refresh(&mut request);
        connection.interims.begin(&mut request);
        let (bytes, time_left) = (
            request.body().size_hint().lower(),
            SendDeadline::time_left(&request),
        );
        connection.set_unacknowledged_limit(unacknowledged_limit(bytes, time_left));
        let is_direct = connection.peer.is_none();
        let mut response = pin!(connection.sender.try_send_request(request));
        let result = match timeout(SILENCE_BEFORE_CHECK, &mut response).await {
            Ok(result) => result,
            Err(_) => {
                if is_direct && self.links.begin_check(address) {
                    let pool = self.clone();
                    ntex::rt::spawn(async move { pool.check_path(address).await });
                }
                response.await
            }
        };
        if is_direct && result.is_ok() {
            self.links.record_response(address);
        }
        result
    }

    /// Opens a connection to check whether a target has crashed. The connection stays idle for the
    /// next request. A target that only this host cannot reach counts as open.
    pub(crate) async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        let socket = match self.open(address, ConnectPurpose::CrashCheck).await {
            Ok(socket) => socket,
            Err(error) if error.is_refused => return ProbeOutcome::Refused,
            Err(_) => return ProbeOutcome::Silent,
        };
        if let Ok(connection) = self
            .establish(address, socket, ConnectionUse::CrashCheck)
            .await
        {
            self.keep_idle(address, connection);
        }
        ProbeOutcome::Open
    }

    /// Finds out whether the path to a silent target is lost.
    async fn check_path(&self, address: SocketAddr) {
        if let Ok(socket) = self.open(address, ConnectPurpose::Request).await
            && let Ok(connection) = self
                .establish(address, socket, ConnectionUse::PathCheck)
                .await
        {
            self.keep_idle(address, connection);
        }
    }

    /// Makes direct attempts to lost targets, as far as they are due.
    pub(crate) async fn probe_lost_targets(&self) {
        while let Some(address) = self.links.next_probe() {
            let Some(socket) = self.links.probe_direct(address).await else {
                return;
            };
            let socket = TargetSocket::Direct(socket);
            if let Ok(connection) = self
                .establish(address, socket, ConnectionUse::Restore)
                .await
            {
                self.keep_idle(address, connection);
            }
            sleep(RESTORE_INTERVAL).await;
        }
    }

    /// Closes idle connections to addresses that `keep` rejects.
    pub(crate) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.links.retain(&keep);
        let mut state = self.state.borrow_mut();
        state.idle.retain(|address, _| keep(address));
        state.release_idle.retain(|address, _| keep(address));
        state.accepted.retain(|address, _| keep(address));
        state.unreported.retain(|address, _| keep(address));
        state.lives.retain(keep);
    }

    /// Closes connections that have been idle for too long, or whose path is lost.
    pub(crate) fn close_expired(&self) {
        let mut state = self.state.borrow_mut();
        let PoolState {
            idle, release_idle, ..
        } = &mut *state;
        for (address, idle) in idle.iter_mut().chain(release_idle) {
            idle.retain(|connection| self.is_usable(*address, connection));
        }
    }

    /// Returns whether the process that sent a response has kept another connection open.
    /// Only connections before `ended_before` count.
    pub(crate) fn has_sibling(
        &self,
        address: SocketAddr,
        exchange: ExchangeKey,
        ended_before: ConnectionKey,
    ) -> bool {
        let lives = &self.state.borrow().lives;
        lives.has_sibling(address, exchange, ended_before)
    }

    /// Returns the key of the next connection that is opened.
    pub(crate) fn next_connection(&self) -> ConnectionKey {
        self.state.borrow().lives.next_connection()
    }

    /// Returns when the last direct attempt to connect began that a target accepted.
    pub(crate) fn accepted_at(&self, address: SocketAddr) -> Option<Instant> {
        self.state.borrow().accepted.get(&address).copied()
    }

    /// Returns whether a target closed an idle connection that has not been removed yet.
    pub(crate) fn has_closed_idle(&self, address: SocketAddr) -> bool {
        let state = self.state.borrow();
        let mut idle = state.idle.get(&address).into_iter().flatten();
        idle.any(|connection| {
            let socket = connection.socket.as_ref();
            socket.is_some_and(|socket| connection.sender.is_closed() || socket.has_unread_end())
        })
    }

    fn is_usable(&self, address: SocketAddr, connection: &Connection) -> bool {
        connection.is_usable() && self.links.may_use_idle(address, connection.peer)
    }

    /// Puts a connection back into the pool for the next request; nothing was sent on it.
    fn keep_idle(&self, address: SocketAddr, connection: Connection) {
        let mut state = self.state.borrow_mut();
        state.idle.entry(address).or_default().push(connection);
    }

    /// Returns a connection that has been idle for less than `max_idle`.
    fn take_recent_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let mut state = self.state.borrow_mut();
        let idle = state.idle.get_mut(&address)?;
        let is_recent = |connection: &Connection| {
            connection.idle_since.elapsed() < max_idle && self.is_usable(address, connection)
        };
        let index = idle.iter().rposition(is_recent)?;
        Some(idle.remove(index))
    }

    /// Returns an idle connection for the request with this identifier. If the last request on a
    /// connection had the same one, a surplus response could not be told from the one that is due.
    fn take_idle(&self, address: SocketAddr, id: &HeaderValue) -> Option<Connection> {
        let mut state = self.state.borrow_mut();
        let idle = state.idle.get_mut(&address)?;
        let is_of_another = |connection: &Connection| connection.last_id.as_ref() != Some(id);
        while let Some(index) = idle.iter().rposition(is_of_another) {
            let connection = idle.remove(index);
            if self.is_usable(address, &connection) {
                return Some(connection);
            }
        }
        None
    }
}

#[cfg(test)]
pub(crate) mod tests;
