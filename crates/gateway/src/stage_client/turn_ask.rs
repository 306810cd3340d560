//! Asking the host that lets a request run which may end its targets.

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
use crate::turn::TurnAnswer;

/// How long the host that gives turns may take.
const TURN_TIMEOUT: Duration = Duration::from_millis(200);

impl StageClient {
    /// Returns the host that lets a request run; nothing where that is this one.
    pub(crate) fn turn_host(&self, key: RequestKey) -> Option<SocketAddr> {
        let label = key.to_string();
        let cut = self.cut_halls();
        let mut ranked: Vec<(u64, Option<SocketAddr>)> = {
            let state = self.state.borrow();
            let others = state.gateways.iter();
            let others = others.filter(|one| one.name != self.name && !one.stopping);
            let reached = others.filter(|one| !cut.contains(&one.hall));
            let scored = reached.map(|one| (rendezvous::score(&label, &one.name), Some(one.peer)));
            scored.collect()
        };
        ranked.push((rendezvous::score(&label, &self.name), None));
        ranked.sort_by_key(|one| Reverse(*one));
        let reached = |address: &Option<SocketAddr>| {
            address.is_none_or(|address| {
                self.is_reachable(address) && self.speaks(address, MessageVersion::V2)
            })
        };
        ranked
            .into_iter()
            .map(|(_, address)| address)
            .find(reached)?
    }

    /// Asks another host whether a request may run now. Returns with the answer the number under which that
    /// host knows it; without one in time the request is not to run.
    pub(crate) async fn ask_turn(
        &self,
        address: SocketAddr,
        key: RequestKey,
        id: &str,
    ) -> (TurnAnswer, u64) {
        let number = self.next_number();
        let (done, answer) = oneshot::channel();
        let request = PieceRequest::TakeTurn {
            number,
            key,
            id: id.to_owned(),
        };
        self.send_to(address, request, |link| {
            link.turns.insert(number, done);
        });
        let mut asked = TurnAsk {
            client: self.clone(),
            address,
            number,
            taken: false,
        };
        let answer = timeout(TURN_TIMEOUT, answer).await;
        let Ok(Ok(answer)) = answer else {
            return (TurnAnswer::Busy, number);
        };
        // From here on the turn is given back by whoever has it.
        asked.taken = answer == TurnAnswer::Granted;
        (answer, number)
    }

    /// Tells another host what is held against a request.
    pub(crate) fn tell_suspect(&self, address: SocketAddr, record: Option<SuspectRecord>) {
        if let Some(record) = record {
            self.send_to(address, PieceRequest::Suspects(vec![record]), |_| {});
        }
    }

    /// Gives a turn back.
    pub(crate) fn end_turn(&self, address: SocketAddr, number: u64) {
        self.send_to(address, PieceRequest::EndTurn(number), |_| {});
    }

    pub(super) fn take_turn_answer(&self, address: SocketAddr, number: u64, answer: TurnAnswer) {
        let mut state = self.state.borrow_mut();
        let link = state.links.get_mut(&address);
        if let Some(waiter) = link.and_then(|link| link.turns.remove(&number)) {
            // Nobody waits any more where the request ended meanwhile, which gives the turn back.
            let _ = waiter.send(answer);
        }
    }
}

/// A question that may be answered after the request ended; the turn is given back then.
struct TurnAsk {
    client: StageClient,
    address: SocketAddr,
    number: u64,
    taken: bool,
}

impl Drop for TurnAsk {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let number = self.number;
        self.client
            .send_to(self.address, PieceRequest::EndTurn(number), |link| {
                link.turns.remove(&number);
            });
    }
}
