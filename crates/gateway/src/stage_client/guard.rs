//! What a request has begun at a coordinator or placer, ended when it is dropped.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use super::StageClient;
use crate::coordinator::{BatchKey, Coordinator, ExpectationKey};
use crate::engine::{PlacementFacts, PlacementKey};
use crate::piece_message::PieceRequest;

#[derive(Clone, Copy)]
pub(super) enum ExpectedAt {
    Here(ExpectationKey),
    Remote(SocketAddr, u64),
}

/// Pieces that are expected somewhere until this is dropped.
pub(crate) struct Expectation {
    pub(super) client: StageClient,
    pub(super) home: ExpectedAt,
}

impl Drop for Expectation {
    fn drop(&mut self) {
        match self.home {
            ExpectedAt::Here(key) => self.client.coordinator.end_expected(key),
            ExpectedAt::Remote(address, number) => {
                self.client
                    .send_to(address, PieceRequest::Arrived(number), |_| {});
            }
        }
    }
}

#[derive(Clone, Copy)]
pub(super) enum PlacedAt {
    Here(PlacementKey),
    Remote(SocketAddr, u64),
}

/// A prompt that was placed on an engine; it counts there until this is dropped.
pub(crate) struct Placement {
    pub(super) client: StageClient,
    pub(super) home: PlacedAt,
    /// What decided it; nothing where the placer did not answer in time.
    pub(super) facts: Option<PlacementFacts>,
}

impl Placement {
    /// Returns what decided it.
    pub(crate) fn facts(&self) -> Option<PlacementFacts> {
        self.facts
    }

    /// Tells the host that placed it that the engine cannot be reached.
    pub(crate) fn note_unreachable(&self, service: &str, engine: &str) {
        if let PlacedAt::Remote(address, _) = self.home {
            let word = PieceRequest::Unreachable {
                service: service.to_owned(),
                engine: engine.to_owned(),
            };
            self.client.send_to(address, word, |_| {});
        }
    }

    /// Notes that the engine has read the prompt.
    pub(crate) fn note_read(&self) {
        match self.home {
            PlacedAt::Here(key) => {
                let mut engines = self.client.engines.borrow_mut();
                engines.record_prefill(key, Instant::now());
            }
            PlacedAt::Remote(address, number) => {
                self.client
                    .send_to(address, PieceRequest::Read(number), |_| {});
            }
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        match self.home {
            PlacedAt::Here(key) => self.client.engines.borrow_mut().end_placement(key),
            PlacedAt::Remote(address, number) => {
                self.client
                    .send_to(address, PieceRequest::End(number), |link| {
                        link.placing.remove(&number);
                    });
            }
        }
    }
}

/// Withdraws a batch of this host when its request ends before it.
pub(super) struct LocalBatch {
    pub(super) coordinator: Rc<Coordinator>,
    pub(super) key: BatchKey,
}

impl Drop for LocalBatch {
    fn drop(&mut self) {
        self.coordinator.cancel(self.key);
    }
}

/// Withdraws a batch at another host when its request ends before it.
pub(super) struct RemoteBatch {
    pub(super) client: StageClient,
    pub(super) address: SocketAddr,
    pub(super) number: u64,
}

impl Drop for RemoteBatch {
    fn drop(&mut self) {
        let mut state = self.client.state.borrow_mut();
        let Some(link) = state.links.get_mut(&self.address) else {
            return;
        };
        if link.waiting.remove(&self.number).is_some() {
            let _ = link.outgoing.send(PieceRequest::Cancel(self.number));
        }
    }
}
