//! Whether a connection is open, without keeping it open.

use std::rc::Weak;

use rustix::event::{PollFd, PollFlags, poll};
use rustix::time::Timespec;
use tokio::net::TcpStream;

/// Tells whether a connection is open.
pub(super) enum ConnectionWatch {
    /// A connection of this host.
    Direct(Weak<TcpStream>),
    /// A connection through another host; the task that drives it holds the value.
    Tunnel(Weak<()>),
}

impl ConnectionWatch {
    pub(super) fn is_open(&self) -> bool {
        match self {
            Self::Direct(socket) => socket.upgrade().is_some_and(|socket| !has_ended(&socket)),
            Self::Tunnel(driver) => driver.strong_count() > 0,
        }
    }

    /// Returns whether the end of the connection is seen as soon as it has arrived at this host.
    pub(super) fn is_exact(&self) -> bool {
        matches!(self, Self::Direct(_))
    }
}

/// Returns whether the peer has closed or reset a connection, even if bytes before that are unread.
fn has_ended(socket: &TcpStream) -> bool {
    let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(socket, ends)];
    match poll(&mut polled, Some(&Timespec::default())) {
        Ok(_) => polled[0].revents().intersects(ends),
        Err(_) => true,
    }
}
