//! Connections that are kept open beside responses without framing.
//!
//! Only a connection that was open during the whole response tells, after its end, whether the target
//! that sent it still runs.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

use super::UpstreamPool;
use super::connection::Connection;
use crate::body_framing::BodyFraming;
use crate::connection_use::ConnectionUse;
use crate::send_gate::SendGate;

/// Responses with a length or chunks in a row after which no target of a service is expected to send one
/// without. Until then, requests to them wait for a spare connection.
const FRAMED_RUN: u32 = 32;

/// How long a request waits for a spare connection, some round trips between halls. Without one the end of
/// a body that arrives at once with its head cannot be proved.
const SPARE_TIMEOUT: Duration = Duration::from_millis(25);

/// Time after which the second spare connection is opened. A target that closes idle connections closes
/// the two at times that lie apart by more than it takes to judge an end.
const SECOND_DELAY: Duration = Duration::from_millis(50);

/// Minimum interval between two spare connections to a target that closes them. After one that was closed
/// within this time the next interval is longer by [`REPLACE_FACTOR`]: the target takes no more.
const REPLACE_INTERVAL: Duration = Duration::from_millis(20);
const REPLACE_FACTOR: u32 = 4;
const MAX_REPLACE_INTERVAL: Duration = Duration::from_secs(5);

/// How long a connection may have been idle to be used as a spare one: targets that close idle
/// connections rarely do so earlier than after a second.
const MAX_IDLE_TIME: Duration = Duration::from_millis(500);

/// Keeps two connections to a target open until it is dropped; the second one follows later.
pub(crate) struct SpareConnection {
    _held: oneshot::Sender<()>,
    is_open: watch::Receiver<bool>,
}

impl SpareConnection {
    /// Returns whether the first connection was lost and none could be opened in its place.
    pub(crate) fn has_failed(&self) -> bool {
        self.is_open.has_changed().is_err()
    }
}

impl UpstreamPool {
    /// Keeps a connection to a target open beside a request whose response may end with its connection;
    /// returns `None` if none may. The connection for the request is open already, for targets that
    /// serve one after the other.
    pub(super) async fn open_spare(
        &self,
        address: SocketAddr,
        gate: &SendGate<'_>,
    ) -> Option<Rc<SpareConnection>> {
        if !gate.may_be_unframed() {
            return None;
        }
        let spare = self.hold_spare(address);
        let mut is_open = spare.is_open.clone();
        // Without a spare connection the request is sent all the same.
        let _ = timeout(SPARE_TIMEOUT, is_open.wait_for(|is_open| *is_open)).await;
        Some(spare)
    }

    /// Returns whether the targets of a service may send responses that end with their connections.
    pub(crate) fn may_be_unframed(&self, service: &str) -> bool {
        let framed = self.state.borrow().framed.get(service).copied();
        framed.is_none_or(|framed| framed < FRAMED_RUN)
    }

    /// Records how a response of a target of a service delimited its body.
    pub(crate) fn record_framing(&self, service: &str, framing: BodyFraming) {
        let mut state = self.state.borrow_mut();
        if !state.framed.contains_key(service) {
            state.framed.insert(service.to_owned(), 0);
        }
        let Some(framed) = state.framed.get_mut(service) else {
            return;
        };
        *framed = match framing {
            BodyFraming::Close => 0,
            BodyFraming::Length | BodyFraming::Chunks => framed.saturating_add(1),
        };
    }

    /// Keeps a connection to a target open; all responses of the target share it.
    pub(crate) fn hold_spare(&self, address: SocketAddr) -> Rc<SpareConnection> {
        let mut state = self.state.borrow_mut();
        let held = state.spares.get(&address).and_then(Weak::upgrade);
        if let Some(spare) = held.filter(|spare| !spare.has_failed()) {
            return spare;
        }
        let (held, released) = oneshot::channel();
        let (opened, is_open) = watch::channel(false);
        let spare = Rc::new(SpareConnection {
            _held: held,
            is_open,
        });
        state.spares.retain(|_, spare| spare.strong_count() > 0);
        state.spares.insert(address, Rc::downgrade(&spare));
        let pool = self.clone();
        ntex::rt::spawn(async move {
            let first = pool.keep_spare(address, opened);
            let second = pool.keep_second_spare(address);
            tokio::select! {
                _ = async { tokio::join!(first, second) } => {}
                _ = released => {}
            }
        });
        spare
    }

    /// Keeps a spare connection open. Returns if none can be opened.
    async fn keep_spare(&self, address: SocketAddr, opened: watch::Sender<bool>) {
        let mut next = self.take_spare(address).await;
        let mut interval = REPLACE_INTERVAL;
        while let Some(connection) = next {
            opened.send_replace(true);
            let lasted = self.hold_open(address, connection).await;
            opened.send_replace(false);
            interval = next_interval(interval, lasted);
            sleep(interval.saturating_sub(lasted)).await;
            next = self.take_spare(address).await;
        }
    }

    /// Same as [`UpstreamPool::keep_spare`] for the second connection, which is always a new one.
    async fn keep_second_spare(&self, address: SocketAddr) {
        sleep(SECOND_DELAY).await;
        let mut interval = REPLACE_INTERVAL;
        while let Ok(connection) = self.connect(address, ConnectionUse::Spare).await {
            let lasted = self.hold_open(address, connection).await;
            interval = next_interval(interval, lasted);
            sleep(interval.saturating_sub(lasted)).await;
        }
    }

    /// Holds a connection until the target closes it; returns how long that was. If dropped before, returns
    /// the connection to the pool.
    async fn hold_open(&self, address: SocketAddr, connection: Connection) -> Duration {
        let opened_at = Instant::now();
        let mut held = HeldConnection {
            pool: self,
            address,
            connection: Some(connection),
        };
        held.wait_closed().await;
        opened_at.elapsed()
    }

    /// Takes an idle connection, or opens one.
    async fn take_spare(&self, address: SocketAddr) -> Option<Connection> {
        if let Some(connection) = self.take_recent_idle(address, MAX_IDLE_TIME) {
            return Some(connection);
        }
        self.connect(address, ConnectionUse::Spare).await.ok()
    }
}

/// Returns the interval after a spare connection that lasted for a time.
fn next_interval(interval: Duration, lasted: Duration) -> Duration {
    match lasted < REPLACE_INTERVAL {
        true => (interval * REPLACE_FACTOR).min(MAX_REPLACE_INTERVAL),
        false => REPLACE_INTERVAL,
    }
}

/// A connection that returns to the pool when it is dropped, unless it has been closed.
struct HeldConnection<'a> {
    pool: &'a UpstreamPool,
    address: SocketAddr,
    connection: Option<Connection>,
}

impl HeldConnection<'_> {
    /// Waits until the target closes the connection.
    async fn wait_closed(&mut self) {
        if let Some(connection) = &mut self.connection {
            connection.closer.closed().await;
        }
        self.connection = None;
    }
}

impl Drop for HeldConnection<'_> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.keep_idle(self.address, connection);
        }
    }
}

#[cfg(test)]
mod tests;
