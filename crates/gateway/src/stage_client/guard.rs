//! Guards that, when dropped, end what a request has begun at a coordinator or placer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use super::StageClient;
use crate::coordinator::{BatchKey, Coordinator, ExpectationKey};
use crate::engine::{PlacementFacts, PlacementKey};
use crate::piece_message::PieceRequest;

/// Identifies announced pieces at their coordinator.
#[derive(Clone, Copy)]
pub(super) enum ExpectationHandle {
    Local(ExpectationKey),
    Remote(SocketAddr, u64),
}

/// Ends the announcement of pieces at their coordinator when it is dropped.
pub(crate) struct Expectation {
    pub(super) client: StageClient,
    pub(super) handle: ExpectationHandle,
}

impl Drop for Expectation {
    fn drop(&mut self) {
        match self.handle {
            ExpectationHandle::Local(key) => self.client.coordinator.end_expected(key),
            ExpectationHandle::Remote(address, number) => {
                self.client
                    .send_to(address, PieceRequest::EndExpectation(number), |_| {});
            }
        }
    }
}

/// Identifies a placement at its placer.
#[derive(Clone, Copy)]
pub(super) enum PlacementHandle {
    Local(PlacementKey),
    Remote(SocketAddr, u64),
}

/// The placement of a prompt on an engine; it counts towards the load of the engine until this is
/// dropped.
pub(crate) struct Placement {
    pub(super) client: StageClient,
    pub(super) handle: PlacementHandle,
    /// The estimate behind the choice; `None` until the placer replies.
    pub(super) estimate: Option<PlacementFacts>,
}

impl Placement {
    /// Returns the estimate by which the placer chose the engine.
    pub(crate) fn estimate(&self) -> Option<PlacementFacts> {
        self.estimate
    }

    /// Reports to the placer, if that is another host, that the engine cannot be reached.
    pub(crate) fn report_unreachable(&self, service: &str, engine: &str) {
        if let PlacementHandle::Remote(address, _) = self.handle {
            let report = PieceRequest::EngineUnreachable {
                service: service.to_owned(),
                engine: engine.to_owned(),
            };
            self.client.send_to(address, report, |_| {});
        }
    }

    /// Reports to the placer that the engine has finished the prefill of the prompt.
    pub(crate) fn report_prefill_done(&self) {
        match self.handle {
            PlacementHandle::Local(key) => {
                let mut placer = self.client.placer.borrow_mut();
                placer.record_prefill(key, Instant::now());
            }
            PlacementHandle::Remote(address, number) => {
                self.client
                    .send_to(address, PieceRequest::PrefillDone(number), |_| {});
            }
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        match self.handle {
            PlacementHandle::Local(key) => self.client.placer.borrow_mut().end_placement(key),
            PlacementHandle::Remote(address, number) => {
                self.client
                    .send_to(address, PieceRequest::EndPlacement(number), |link| {
                        link.pending_placements.remove(&number);
                    });
            }
        }
    }
}

/// Cancels a batch at this host when its request ends first.
pub(super) struct LocalBatchGuard {
    pub(super) coordinator: Rc<Coordinator>,
    pub(super) key: BatchKey,
}

impl Drop for LocalBatchGuard {
    fn drop(&mut self) {
        self.coordinator.cancel(self.key);
    }
}

/// Cancels a batch at another host when its request ends first.
pub(super) struct RemoteBatchGuard {
    pub(super) client: StageClient,
    pub(super) address: SocketAddr,
    pub(super) number: u64,
}

impl Drop for RemoteBatchGuard {
    fn drop(&mut self) {
        let mut state = self.client.state.borrow_mut();
        let Some(link) = state.links.get_mut(&self.address) else {
            return;
        };
        if link.pending_batches.remove(&self.number).is_some() {
            let _ = link.outgoing.send(PieceRequest::CancelBatch(self.number));
        }
    }
}
