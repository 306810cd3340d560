//! Calls to stage targets that another host sends in place of the one that gathers them.

use std::net::SocketAddr;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tokio::sync::oneshot;

use super::StageClient;
use crate::coordinator::DelegatedCall;
use crate::piece_message::PieceRequest;
use crate::rendezvous;
use crate::stage_call::{CallEnd, StageCall, StageRelease};

/// Hosts that are looked at for one call. Each target has its own first one, which so keeps one
/// connection to it; the next are for the time in which that one cannot be reached.
const MAX_SENDERS: usize = 3;

/// Forgets a call when nobody waits for its end any more.
struct PendingCall {
    client: StageClient,
    address: SocketAddr,
    number: u64,
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        let mut state = self.client.state.borrow_mut();
        if let Some(link) = state.links.get_mut(&self.address) {
            link.calling.remove(&self.number);
        }
    }
}

impl StageClient {
    /// Hands a call to the host that sends to its target; nothing where this host sends it itself.
    pub(super) fn share_call(&self, call: &StageCall, hall: &str) -> Option<DelegatedCall> {
        let sender = self.sender_of(&call.target, hall)?;
        Some(DelegatedCall {
            sender,
            end: self.call_at(sender, call.clone()),
        })
    }

    /// Hands a release to the host that sends to its target; gives it back where this host sends it.
    pub(super) fn share_release(&self, release: StageRelease, hall: &str) -> Option<StageRelease> {
        let Some(sender) = self.sender_of(&release.target, hall) else {
            return Some(release);
        };
        self.send_to(sender, PieceRequest::Release(release), |_| {});
        None
    }

    /// Returns the host of a target's hall that sends calls to it. A call crosses halls in its short
    /// form then.
    fn sender_of(&self, target: &str, hall: &str) -> Option<SocketAddr> {
        let mut ranked: Vec<(u64, Option<SocketAddr>)> = {
            let state = self.state.borrow();
            let others = state.gateways.iter();
            let near = others
                .filter(|one| one.hall == hall && one.name != self.name && !one.stopping)
                .map(|one| (rendezvous::score(target, &one.name), Some(one.peer)));
            near.collect()
        };
        if hall == self.hall {
            ranked.push((rendezvous::score(target, &self.name), None));
        }
        ranked.sort_by(|a, b| b.cmp(a));
        for (_, address) in ranked.into_iter().take(MAX_SENDERS) {
            // This host is the first that can be used.
            let address = address?;
            // Asked first, since that opens the connection for the calls to come.
            if self.is_reachable(address) && self.state.borrow().is_up(address) {
                return Some(address);
            }
        }
        None
    }

    fn call_at(&self, address: SocketAddr, call: StageCall) -> LocalBoxFuture<'static, CallEnd> {
        let number = self.next_number();
        let (done, end) = oneshot::channel();
        self.send_to(address, PieceRequest::Call { number, call }, |link| {
            link.calling.insert(number, done);
        });
        let pending = PendingCall {
            client: self.clone(),
            address,
            number,
        };
        async move {
            let _pending = pending;
            end.await.unwrap_or(CallEnd::SenderLost)
        }
        .boxed_local()
    }

    pub(super) fn take_called(&self, address: SocketAddr, number: u64, end: CallEnd) {
        let mut state = self.state.borrow_mut();
        let link = state.links.get_mut(&address);
        if let Some(waiter) = link.and_then(|link| link.calling.remove(&number)) {
            // Nobody waits any more where the call was given up meanwhile.
            let _ = waiter.send(end);
        }
    }
}
