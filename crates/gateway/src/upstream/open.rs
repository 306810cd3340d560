//! Opens connections to targets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::oneshot;

use super::UpstreamPool;
use super::bounded_stream::BoundedStream;
use super::connection::{Connection, DEFAULT_IDLE_TIMEOUT, TUNNEL_IDLE_TIMEOUT};
use super::connection_watch::ConnectionWatch;
use super::interim_count::InterimCount;
use super::shared_socket::SharedSocket;
use crate::connection_use::ConnectionUse;
use crate::dead_peer::{UNACKNOWLEDGED_DATA_TIMEOUT, detect_dead_peer};
use crate::send_error::SendError;
use crate::stated_start::StatedStart;
use crate::target_links::{ConnectPurpose, LinkError, TargetSocket};

impl UpstreamPool {
    /// Connects to a target.
    pub(super) async fn open(
        &self,
        address: SocketAddr,
        purpose: ConnectPurpose,
    ) -> Result<TargetSocket, LinkError> {
        let began_at = Instant::now();
        let socket = self.links.connect(address, purpose).await?;
        if matches!(socket, TargetSocket::Direct(_)) {
            let mut state = self.state.borrow_mut();
            state.accepted.insert(address, began_at);
        }
        Ok(socket)
    }

    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        connection_use: ConnectionUse,
    ) -> Result<Connection, SendError> {
        let socket = match self.open(address, ConnectPurpose::Request).await {
            Ok(socket) => socket,
            Err(error) if error.is_down => return Err(SendError::NotSent(error.to_string())),
            Err(error) => return Err(SendError::NoPath(error.to_string())),
        };
        self.establish(address, socket, connection_use).await
    }

    pub(super) async fn establish(
        &self,
        address: SocketAddr,
        socket: TargetSocket,
        connection_use: ConnectionUse,
    ) -> Result<Connection, SendError> {
        self.links.count_connection(connection_use);
        match socket {
            TargetSocket::Direct(socket) => {
                let _ = socket.set_nodelay(true);
                detect_dead_peer(&socket);
                let (counted, socket) = (self.links.count_open(), SharedSocket::new(socket));
                let watch = ConnectionWatch::Direct(socket.downgrade());
                let driver = (socket.clone(), counted);
                let mut connection = self.start_driver((address, None), driver, watch).await?;
                connection.socket = Some(socket);
                Ok(connection)
            }
            TargetSocket::Tunnel(tunnel, peer) => {
                let driven = Rc::new(());
                let watch = ConnectionWatch::Tunnel(Rc::downgrade(&driven));
                let driver = (tunnel, driven);
                let way = (address, Some(peer));
                let mut connection = self.start_driver(way, driver, watch).await?;
                connection.idle_timeout = TUNNEL_IDLE_TIMEOUT;
                Ok(connection)
            }
        }
    }

    /// Starts the task that drives a connection; it holds `guard` until the connection is closed.
    async fn start_driver<T, G>(
        &self,
        (address, peer): (SocketAddr, Option<SocketAddr>),
        (stream, guard): (T, G),
        watch: ConnectionWatch,
    ) -> Result<Connection, SendError>
    where
        T: AsyncRead + AsyncWrite + Unpin + 'static,
        G: 'static,
    {
        let interims = InterimCount::default();
        let stream = BoundedStream::new(stream, interims.clone());
        let (sender, driver) = Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let (closer, closed) = oneshot::channel::<()>();
        ntex::rt::spawn(async move {
            let _guard = guard;
            tokio::select! {
                _ = driver => {}
                _ = closed => {}
            }
        });
        let mut state = self.state.borrow_mut();
        state.opened_count += 1;
        Ok(Connection {
            sender,
            closer,
            idle_since: Instant::now(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            peer,
            socket: None,
            last_id: None,
            is_reusable: true,
            opened: Instant::now(),
            interims,
            unacknowledged_limit: UNACKNOWLEDGED_DATA_TIMEOUT,
            stated: StatedStart::Unasked,
            life: state.lives.add(address, peer, watch),
        })
    }
}
