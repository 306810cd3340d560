//! Delegated calls: calls to stage targets that another host sends in place of the coordinator.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tokio::sync::oneshot;

use super::StageClient;
use super::host_rank::HostRanking;
use crate::coordinator::DelegatedCall;
use crate::piece_message::PieceRequest;
use crate::stage_call::{CallOutcome, StageCall, StageRelease};

/// Number of candidate senders of a call. Each target has its own first candidate, so normally one
/// host has the connection to it; the others are used while the first cannot be reached.
const MAX_SENDER_CANDIDATES: usize = 3;

/// Number of targets whose candidates are kept, more than those of a large pool: targets that have left
/// stay until the list of hosts changes.
const MAX_CACHED_TARGETS: usize = 1_024;

/// The candidates of one target, the best first; `None` is this host.
pub(super) type SenderCandidates = Rc<[Option<SocketAddr>]>;

/// Removes the reply channel of a delegated call when its outcome is no longer awaited.
struct PendingCallGuard {
    client: StageClient,
    address: SocketAddr,
    number: u64,
}

impl Drop for PendingCallGuard {
    fn drop(&mut self) {
        let mut state = self.client.state.borrow_mut();
        if let Some(link) = state.links.get_mut(&self.address) {
            link.pending_calls.remove(&self.number);
        }
    }
}

impl StageClient {
    /// Delegates a call to the sender for its target; `None` if this host is the sender.
    pub(super) fn delegate_call(&self, call: &StageCall, hall: &str) -> Option<DelegatedCall> {
        let sender = self.sender_of(&call.target, hall)?;
        Some(DelegatedCall {
            sender,
            end: self.send_delegated(sender, call.clone()),
        })
    }

    /// Delegates a release to the sender for its target; returns it if this host is the sender.
    pub(super) fn delegate_release(
        &self,
        release: StageRelease,
        hall: &str,
    ) -> Option<StageRelease> {
        let Some(sender) = self.sender_of(&release.target, hall) else {
            return Some(release);
        };
        self.send_to(sender, PieceRequest::DelegateRelease(release), |_| {});
        None
    }

    /// Returns the entry host that sends calls to a target. The sender is in the hall of the
    /// target, so calls cross halls in the compact form that entry hosts use among each other.
    /// Returns `None` if this host sends the calls: it is the sender itself, or no other candidate
    /// is up.
    fn sender_of(&self, target: &str, hall: &str) -> Option<SocketAddr> {
        for address in self.sender_candidates(target, hall).iter() {
            // `None` stands for this host, which is the best usable candidate.
            let address = (*address)?;
            // This check comes first since it opens the connection for later calls.
            if self.connect_or_check(address) && self.state.borrow().is_up(address) {
                return Some(address);
            }
        }
        None
    }

    /// Returns the hosts that may send calls to a target, the best first; `None` is this host.
    pub(super) fn sender_candidates(&self, target: &str, hall: &str) -> SenderCandidates {
        let mut state = self.state.borrow_mut();
        let cached = state.senders.get(target);
        if let Some((_, candidates)) = cached.filter(|(known, _)| known == hall) {
            return candidates.clone();
        }
        let ranking = HostRanking::new(target, &state.entry_hosts);
        let others = state.entry_hosts.iter();
        let same_hall = others
            .filter(|host| host.hall == hall && host.name != self.own.name && !host.stopping)
            .map(|host| (ranking.rank(host), Some(host.peer)));
        let own = (ranking.rank(&self.own_record(&state)), None);
        let mut ranked: Vec<((bool, u64), Option<SocketAddr>)> = same_hall
            .chain((hall == self.own.hall).then_some(own))
            .collect();
        ranked.sort_by(|a, b| b.cmp(a));
        let first = ranked.into_iter().take(MAX_SENDER_CANDIDATES);
        let candidates: SenderCandidates = first.map(|(_, address)| address).collect();
        if state.senders.len() >= MAX_CACHED_TARGETS {
            state.senders.clear();
        }
        let entry = (hall.to_owned(), candidates.clone());
        state.senders.insert(target.to_owned(), entry);
        candidates
    }

    fn send_delegated(
        &self,
        address: SocketAddr,
        call: StageCall,
    ) -> LocalBoxFuture<'static, CallOutcome> {
        let number = self.next_number();
        let (done, outcome) = oneshot::channel();
        self.send_to(
            address,
            PieceRequest::DelegateCall { number, call },
            |link| {
                link.pending_calls.insert(number, done);
            },
        );
        let guard = PendingCallGuard {
            client: self.clone(),
            address,
            number,
        };
        async move {
            let _guard = guard;
            outcome.await.unwrap_or(CallOutcome::SenderLost)
        }
        .boxed_local()
    }

    pub(super) fn complete_call(&self, address: SocketAddr, number: u64, outcome: CallOutcome) {
        let mut state = self.state.borrow_mut();
        let link = state.links.get_mut(&address);
        if let Some(waiter) = link.and_then(|link| link.pending_calls.remove(&number)) {
            // The receiver is gone if the call was abandoned meanwhile.
            let _ = waiter.send(outcome);
        }
    }
}
