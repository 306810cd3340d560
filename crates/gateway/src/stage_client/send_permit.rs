//! Requests to the host that issues send permits for a target with a rate limit.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use linnet_wire::MessageVersion;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::StageClient;
use crate::piece_message::PieceRequest;
use crate::rendezvous;
use crate::send_permit_issuer::{SendPermitReply, SendPermitRequest};

/// Timeout for the reply of the permit issuer.
const SEND_PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

/// The entry host that issues the send permits for a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendPermitHost {
    /// This host.
    Local,
    /// Another host, by the address of its peer port.
    Remote(SocketAddr),
    /// No issuer can be reached from this host.
    Unreachable,
}

impl StageClient {
    /// Returns the host that issues the send permits for a target in a hall. As long as any host of
    /// that hall is known it is one of these: if the network is partitioned, only one side contains
    /// the hall and issues permits.
    pub(crate) fn send_permit_host(&self, target: &str, hall: &str) -> SendPermitHost {
        for address in self.permit_candidates(target, hall) {
            let Some(address) = address else {
                return SendPermitHost::Local;
            };
            // This check also opens the connection.
            if self.connect_or_check(address) {
                return SendPermitHost::Remote(address);
            }
        }
        SendPermitHost::Unreachable
    }

    /// Returns the hosts that may issue permits for a target, the best first; `None` stands for
    /// this host.
    fn permit_candidates(&self, target: &str, hall: &str) -> Vec<Option<SocketAddr>> {
        let state = self.state.borrow();
        let others = state.entry_hosts.iter();
        let others = others.filter(|host| host.name != self.own.name && !host.stopping);
        let others = others.map(|host| (host.hall.as_str(), host.name.as_str(), Some(host.peer)));
        let mut known: Vec<(&str, &str, Option<SocketAddr>)> = others.collect();
        if !state.stopping || known.is_empty() {
            known.push((&self.own.hall, &self.own.name, None));
        }
        // Hosts with an older message version issue no send permits.
        let issues_permits = |address: &Option<SocketAddr>| {
            let link = address.and_then(|address| state.links.get(&address));
            link.is_none_or(|link| link.message_version >= MessageVersion::V4)
        };
        known.retain(|(.., address)| issues_permits(address));
        if known.iter().any(|(host_hall, ..)| *host_hall == hall) {
            known.retain(|(host_hall, ..)| *host_hall == hall);
        }
        let scored = known.into_iter();
        let scored = scored.map(|(_, name, address)| (rendezvous::score(target, name), address));
        let mut ranked: Vec<(u64, Option<SocketAddr>)> = scored.collect();
        ranked.sort_by_key(|candidate| Reverse(*candidate));
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns whether this host knows no other entry host, or reaches at least one. Opens a
    /// connection if none is up.
    pub(crate) fn reaches_any_host(&self) -> bool {
        let others: Vec<SocketAddr> = {
            let state = self.state.borrow();
            let others = state
                .entry_hosts
                .iter()
                .filter(|host| host.name != self.own.name);
            others.map(|host| host.peer).collect()
        };
        if others.is_empty()
            || others
                .iter()
                .any(|address| self.state.borrow().is_up(*address))
        {
            return true;
        }
        others
            .into_iter()
            .any(|address| self.connect_or_check(address))
    }

    /// Requests a send permit from another host. Without a reply in time no permit is issued for
    /// now.
    pub(crate) async fn request_send_permit(
        &self,
        address: SocketAddr,
        request: SendPermitRequest,
    ) -> SendPermitReply {
        let number = self.next_number();
        let (done, reply) = oneshot::channel();
        self.send_to(
            address,
            PieceRequest::AcquireSendPermit { number, request },
            |link| {
                link.pending_send_permits.insert(number, done);
            },
        );
        let guard = PendingPermitGuard {
            client: self.clone(),
            address,
            number,
        };
        let reply = timeout(SEND_PERMIT_TIMEOUT, reply).await;
        drop(guard);
        match reply {
            Ok(Ok(reply)) => reply,
            _ => SendPermitReply::UNREACHABLE,
        }
    }

    pub(super) fn complete_send_permit(
        &self,
        address: SocketAddr,
        number: u64,
        reply: SendPermitReply,
    ) {
        let mut state = self.state.borrow_mut();
        let link = state.links.get_mut(&address);
        if let Some(waiter) = link.and_then(|link| link.pending_send_permits.remove(&number)) {
            // The receiver is gone if the request ended meanwhile.
            let _ = waiter.send(reply);
        }
    }
}

/// Removes the reply channel of a permit request when the reply is no longer awaited.
struct PendingPermitGuard {
    client: StageClient,
    address: SocketAddr,
    number: u64,
}

impl Drop for PendingPermitGuard {
    fn drop(&mut self) {
        let mut state = self.client.state.borrow_mut();
        if let Some(link) = state.links.get_mut(&self.address) {
            link.pending_send_permits.remove(&self.number);
        }
    }
}
