//! Asking the host that places prompts on the engines of a service.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use tokio::time::timeout;

use super::guard::{PlacedAt, Placement};
use super::{Home, StageClient};
use crate::engine::{PlaceAsk, PlaceFacts};
use crate::piece_message::PieceRequest;
use crate::pool_key::place_key;
use crate::target::{ChosenTarget, TargetStore};

/// How long the host that places prompts may take.
const PLACE_TIMEOUT: Duration = Duration::from_millis(60);

impl StageClient {
    /// Returns the host that places a prompt: one for the engines of a service, or for a part of them.
    fn placer_of(&self, targets: &RefCell<TargetStore>, ask: &PlaceAsk) -> Home {
        let key = {
            let book = targets.borrow();
            place_key(&ask.service, book.hall_counts(&ask.service), &ask.prompt)
        };
        self.home_of(&key)
    }

    /// Has a prompt placed by the host that places for its service. Where that host does not answer
    /// at once this one places it by what it knows itself.
    pub(crate) async fn place(
        &self,
        targets: &RefCell<TargetStore>,
        ask: PlaceAsk,
    ) -> Option<(ChosenTarget, Placement)> {
        let mut ask = ask;
        if let Home::Remote(address) = self.placer_of(targets, &ask) {
            if let Some((engine, placement)) = self.place_at(address, ask.clone()).await
                && let Some(chosen) = targets.borrow().find(&ask.service, &engine)
            {
                return Some((chosen, placement));
            }
            // Only the host that places for all counts what cold engines get.
            let cold = targets.borrow().cold_targets(&ask.service, Instant::now());
            ask.closed.extend(cold);
        }
        let book = targets.borrow();
        let placed = self.engines.borrow_mut().place(&book, &ask, Instant::now());
        let (key, chosen, facts) = placed?;
        let placement = Placement {
            client: self.clone(),
            home: PlacedAt::Here(key),
            facts: Some(facts),
        };
        Some((chosen, placement))
    }

    async fn place_at(&self, address: SocketAddr, ask: PlaceAsk) -> Option<(String, Placement)> {
        let number = self.next_number();
        let answer = self.ask_placer(address, number, PieceRequest::Place { number, ask });
        // From here on the placement is ended whatever becomes of the answer.
        let mut placement = Placement {
            client: self.clone(),
            home: PlacedAt::Remote(address, number),
            facts: None,
        };
        let (engine, facts) = answer.await?;
        placement.facts = Some(facts);
        Some((engine, placement))
    }

    /// Has a prompt planned by the host that places for its service, without placing it: returns
    /// the engine where it would go now.
    pub(crate) async fn plan(
        &self,
        targets: &RefCell<TargetStore>,
        ask: PlaceAsk,
    ) -> Option<ChosenTarget> {
        if let Home::Remote(address) = self.placer_of(targets, &ask) {
            let number = self.next_number();
            let service = ask.service.clone();
            let request = PieceRequest::Plan {
                number,
                ask: ask.clone(),
            };
            if let Some((engine, _)) = self.ask_placer(address, number, request).await
                && let Some(chosen) = targets.borrow().find(&service, &engine)
            {
                return Some(chosen);
            }
        }
        let engines = self.engines.borrow();
        let planned = engines.plan(&targets.borrow(), &ask, Instant::now());
        planned.map(|(chosen, _)| chosen)
    }

    /// Sends a request to a placer and waits for its answer; it is sent before this returns.
    fn ask_placer(
        &self,
        address: SocketAddr,
        number: u64,
        request: PieceRequest,
    ) -> impl Future<Output = Option<(String, PlaceFacts)>> + use<> {
        let (done, answer) = oneshot::channel();
        self.send_to(address, request, |link| {
            link.placing.insert(number, done);
        });
        let client = self.clone();
        async move {
            let answer = timeout(PLACE_TIMEOUT, answer).await;
            let mut state = client.state.borrow_mut();
            if let Some(link) = state.links.get_mut(&address) {
                link.placing.remove(&number);
            }
            answer.ok()?.ok()?
        }
    }

    pub(super) fn take_placed(
        &self,
        address: SocketAddr,
        number: u64,
        engine: Option<(String, PlaceFacts)>,
    ) {
        let mut state = self.state.borrow_mut();
        let link = state.links.get_mut(&address);
        if let Some(waiter) = link.and_then(|link| link.placing.remove(&number)) {
            let _ = waiter.send(engine);
        }
    }
}
