//! Which connections to an address are known to end at the same process.
//!
//! An address outlives the process that listens there. A connection does not: it ends with the process
//! that accepted it. So connections that were open at the same time belong to one process.

use std::collections::HashMap;
use std::net::SocketAddr;

/// A process behind an address, as far as connections tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LifeKey(u64);

/// A connection. Keys ascend in the order in which connections were opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionKey(u64);

/// A connection and the process that accepted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLife {
    pub(crate) connection: ConnectionKey,
    pub(crate) life: LifeKey,
    /// The host through which it was opened; `None` if directly.
    pub(crate) peer: Option<SocketAddr>,
}

/// A response on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ExchangeKey {
    pub(crate) on: ConnectionLife,
    /// Connections with lower keys were opened before the request was sent.
    pub(crate) sent_before: ConnectionKey,
}

/// A connection that was open when the table was last cleaned.
struct KnownConnection<W> {
    life: ConnectionLife,
    watch: W,
}

/// Connections by address; `W` tells whether one of them is open.
pub(super) struct LifeTable<W> {
    by_address: HashMap<SocketAddr, Vec<KnownConnection<W>>>,
    next_key: u64,
    /// Whether a connection is open.
    is_open: fn(&W) -> bool,
    /// Whether a connection that counts as open was open at this moment. The end of a tunnel arrives
    /// through another host, later than connections that a successor of the target accepts.
    is_exact: fn(&W) -> bool,
}

impl<W> LifeTable<W> {
    pub(super) fn new(is_open: fn(&W) -> bool, is_exact: fn(&W) -> bool) -> Self {
        Self {
            by_address: HashMap::new(),
            next_key: 0,
            is_open,
            is_exact,
        }
    }

    /// Adds a connection that has just been opened. It belongs to the same process as those that are
    /// open after it was accepted.
    pub(super) fn add(
        &mut self,
        address: SocketAddr,
        peer: Option<SocketAddr>,
        watch: W,
    ) -> ConnectionLife {
        let key = self.next_key;
        self.next_key += 1;
        let known = self.by_address.entry(address).or_default();
        known.retain(|one| (self.is_open)(&one.watch));
        let open = known.iter().rfind(|one| (self.is_exact)(&one.watch));
        let life = ConnectionLife {
            connection: ConnectionKey(key),
            life: open.map_or(LifeKey(key), |open| open.life.life),
            peer,
        };
        known.push(KnownConnection { life, watch });
        life
    }

    /// Returns the key of the next connection that is opened.
    pub(super) fn next_connection(&self) -> ConnectionKey {
        ConnectionKey(self.next_key)
    }

    /// Returns whether another connection to the process that sent a response is open, which shows
    /// that the process still runs. Connections from `ended_before` on do not count: they were opened
    /// after the response had ended.
    ///
    /// That is any connection of the same life. It is also any that was opened before the request was
    /// sent: what accepted it ran before and after the response, so nothing else listened meanwhile.
    ///
    /// Only connections that were opened the same way count: the end of one whose path is lost does not
    /// arrive, while that of another has.
    pub(super) fn has_sibling(
        &self,
        address: SocketAddr,
        exchange: ExchangeKey,
        ended_before: ConnectionKey,
    ) -> bool {
        let mut known = self.by_address.get(&address).into_iter().flatten();
        known.any(|one| {
            let ConnectionLife {
                connection,
                life,
                peer,
            } = one.life;
            let is_same_process = life == exchange.on.life || connection < exchange.sent_before;
            connection != exchange.on.connection
                && connection < ended_before
                && peer == exchange.on.peer
                && is_same_process
                && (self.is_open)(&one.watch)
        })
    }

    /// Forgets addresses that `keep` rejects once their connections have ended.
    pub(super) fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        let is_open = self.is_open;
        self.by_address.retain(|address, known| {
            known.retain(|one| is_open(&one.watch));
            keep(address) || !known.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
