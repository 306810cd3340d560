//! Requests to the placer of prompts on the engines of a service.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use tokio::time::timeout;

use super::guard::{Placement, PlacementHandle};
use super::{HostLocation, StageClient};
use crate::engine::{PlacementFacts, PlacementRequest};
use crate::metrics::PlacerReply;
use crate::piece_message::PieceRequest;
use crate::pool_key::placement_pool_key;
use crate::target::{ChosenTarget, TargetStore};

/// Timeout for the reply of a placer.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(60);

impl StageClient {
    /// Returns the placer of a prompt: that of the complete service or of a partition of its
    /// engines.
    fn placer_of(
        &self,
        targets: &RefCell<TargetStore>,
        request: &PlacementRequest,
    ) -> HostLocation {
        let key = {
            let store = targets.borrow();
            placement_pool_key(
                &request.service,
                store.hall_counts(&request.service),
                &request.prompt,
            )
        };
        self.reachable_host_of(&key)
    }

    /// Places a prompt by way of its placer. If the placer does not reply in time, this host places
    /// the prompt by its own estimate of the load.
    pub(crate) async fn place_prompt(
        &self,
        targets: &RefCell<TargetStore>,
        request: PlacementRequest,
    ) -> Option<(ChosenTarget, Placement)> {
        let mut request = request;
        if let HostLocation::Remote(address) = self.placer_of(targets, &request) {
            if let Some((engine, placement)) = self.place_at(address, request.clone()).await
                && let Some(chosen) = targets.borrow().find(&request.service, &engine)
            {
                return Some((chosen, placement));
            }
            // Only the placer limits the load of cold engines, so none is used without it.
            let cold = targets
                .borrow()
                .cold_targets(&request.service, Instant::now());
            request.excluded.extend(cold);
        }
        let store = targets.borrow();
        let placed = self
            .placer
            .borrow_mut()
            .place(&store, &request, Instant::now());
        let (key, chosen, estimate) = placed?;
        let placement = Placement {
            client: self.clone(),
            handle: PlacementHandle::Local(key),
            estimate: Some(estimate),
        };
        Some((chosen, placement))
    }

    async fn place_at(
        &self,
        address: SocketAddr,
        request: PlacementRequest,
    ) -> Option<(String, Placement)> {
        let number = self.next_number();
        let reply = self.query_placer(
            address,
            number,
            PieceRequest::PlacePrompt { number, request },
        );
        // The guard ends the placement at the placer even if its reply is late or lost.
        let mut placement = Placement {
            client: self.clone(),
            handle: PlacementHandle::Remote(address, number),
            estimate: None,
        };
        let (engine, estimate) = reply.await?;
        placement.estimate = Some(estimate);
        Some((engine, placement))
    }

    /// Requests the placer's present choice of an engine for a prompt, without placing the prompt.
    /// Falls back to this host's own estimate.
    pub(crate) async fn plan_placement(
        &self,
        targets: &RefCell<TargetStore>,
        request: PlacementRequest,
    ) -> Option<ChosenTarget> {
        if let HostLocation::Remote(address) = self.placer_of(targets, &request) {
            let number = self.next_number();
            let service = request.service.clone();
            let message = PieceRequest::PlanPlacement {
                number,
                request: request.clone(),
            };
            if let Some((engine, _)) = self.query_placer(address, number, message).await
                && let Some(chosen) = targets.borrow().find(&service, &engine)
            {
                return Some(chosen);
            }
        }
        let placer = self.placer.borrow();
        let planned = placer.plan(&targets.borrow(), &request, Instant::now());
        planned.map(|(chosen, _)| chosen)
    }

    /// Sends a request to a placer at once and returns a future that waits for the reply.
    fn query_placer(
        &self,
        address: SocketAddr,
        number: u64,
        request: PieceRequest,
    ) -> impl Future<Output = Option<(String, PlacementFacts)>> + use<> {
        let (done, reply) = oneshot::channel();
        self.send_to(address, request, |link| {
            link.pending_placements.insert(number, done);
        });
        let client = self.clone();
        async move {
            let reply = timeout(PLACEMENT_TIMEOUT, reply).await;
            let mut state = client.state.borrow_mut();
            if let Some(link) = state.links.get_mut(&address) {
                link.pending_placements.remove(&number);
            }
            let outcome = match &reply {
                Ok(Ok(_)) => PlacerReply::Answered,
                Ok(Err(_)) => PlacerReply::Lost,
                Err(_) => PlacerReply::Late,
            };
            client.metrics.count_placer_reply(outcome);
            reply.ok()?.ok()?
        }
    }

    pub(super) fn complete_placement(
        &self,
        address: SocketAddr,
        number: u64,
        engine: Option<(String, PlacementFacts)>,
    ) {
        let mut state = self.state.borrow_mut();
        let link = state.links.get_mut(&address);
        if let Some(waiter) = link.and_then(|link| link.pending_placements.remove(&number)) {
            let _ = waiter.send(engine);
        }
    }
}
