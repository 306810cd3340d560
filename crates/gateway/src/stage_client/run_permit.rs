//! Requests to the host that issues run permits for requests that are suspected of crashing
//! targets.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use linnet_quarantine::{RequestKey, SuspectRecord};
use linnet_wire::MessageVersion;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::StageClient;
use crate::piece_message::PieceRequest;
use crate::rendezvous;
use crate::run_permit::RunPermitReply;

/// Timeout for the reply of the permit issuer.
const RUN_PERMIT_TIMEOUT: Duration = Duration::from_millis(200);

impl StageClient {
    /// Returns the host that issues the run permits of a request; `None` if that is this host.
    pub(crate) fn run_permit_host(&self, key: RequestKey) -> Option<SocketAddr> {
        let label = key.to_string();
        let unreachable = self.unreachable_halls();
        let mut ranked: Vec<(u64, Option<SocketAddr>)> = {
            let state = self.state.borrow();
            let others = state.entry_hosts.iter();
            let others = others.filter(|host| host.name != self.own.name && !host.stopping);
            let candidates = others.filter(|host| !unreachable.contains(&host.hall));
            let scored =
                candidates.map(|host| (rendezvous::score(&label, &host.name), Some(host.peer)));
            scored.collect()
        };
        ranked.push((rendezvous::score(&label, &self.own.name), None));
        ranked.sort_by_key(|candidate| Reverse(*candidate));
        let is_usable = |address: &Option<SocketAddr>| {
            address.is_none_or(|address| {
                self.connect_or_check(address) && self.supports(address, MessageVersion::V2)
            })
        };
        ranked
            .into_iter()
            .map(|(_, address)| address)
            .find(is_usable)?
    }

    /// Requests a run permit from another host. Returns the reply and the number that identifies
    /// the permit at that host; without a reply in time the result is [`RunPermitReply::Busy`].
    pub(crate) async fn request_run_permit(
        &self,
        address: SocketAddr,
        key: RequestKey,
        id: &str,
    ) -> (RunPermitReply, u64) {
        let number = self.next_number();
        let (done, reply) = oneshot::channel();
        let request = PieceRequest::AcquireRunPermit {
            number,
            key,
            id: id.to_owned(),
        };
        self.send_to(address, request, |link| {
            link.pending_run_permits.insert(number, done);
        });
        let mut guard = PendingRunPermitGuard {
            client: self.clone(),
            address,
            number,
            accepted: false,
        };
        let reply = timeout(RUN_PERMIT_TIMEOUT, reply).await;
        let Ok(Ok(reply)) = reply else {
            return (RunPermitReply::Busy, number);
        };
        // From here on the caller releases the permit.
        guard.accepted = reply == RunPermitReply::Granted;
        (reply, number)
    }

    /// Sends this host's record of a suspect request to another host.
    pub(crate) fn send_suspect_record(&self, address: SocketAddr, record: Option<SuspectRecord>) {
        if let Some(record) = record {
            self.send_to(address, PieceRequest::Suspects(vec![record]), |_| {});
        }
    }

    /// Releases a run permit at the host that issued it.
    pub(crate) fn release_run_permit(&self, address: SocketAddr, number: u64) {
        self.send_to(address, PieceRequest::ReleaseRunPermit(number), |_| {});
    }

    pub(super) fn complete_run_permit(
        &self,
        address: SocketAddr,
        number: u64,
        reply: RunPermitReply,
    ) {
        let mut state = self.state.borrow_mut();
        let link = state.links.get_mut(&address);
        if let Some(waiter) = link.and_then(|link| link.pending_run_permits.remove(&number)) {
            // The receiver is gone if the request ended meanwhile; its guard has released the
            // permit.
            let _ = waiter.send(reply);
        }
    }
}

/// Releases a run permit that may still be issued after its request ended or timed out.
struct PendingRunPermitGuard {
    client: StageClient,
    address: SocketAddr,
    number: u64,
    accepted: bool,
}

impl Drop for PendingRunPermitGuard {
    fn drop(&mut self) {
        if self.accepted {
            return;
        }
        let number = self.number;
        self.client.send_to(
            self.address,
            PieceRequest::ReleaseRunPermit(number),
            |link| {
                link.pending_run_permits.remove(&number);
            },
        );
    }
}
