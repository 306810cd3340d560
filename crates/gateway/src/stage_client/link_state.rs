//! The state of a connection to another entry host, and the detection of a silent peer.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use linnet_streams::StreamOrigin;
use linnet_succession::LinkView;
use linnet_wire::MessageVersion;
use tokio::sync::{mpsc, oneshot};

use super::SILENCE_TIMEOUT;
use super::batch_end::BatchEnd;
use crate::engine::PlacementFacts;
use crate::piece_message::PieceRequest;
use crate::run_permit::RunPermitReply;
use crate::send_permit_issuer::SendPermitReply;
use crate::stage_call::CallOutcome;

/// The state of a connection to another entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    /// The first attempt to open the connection has been running since this time.
    Opening(Instant),
    /// The connection is up.
    Up,
    /// The connection was lost or could not be opened; it is retried in the background.
    Lost,
}

/// A connection to another entry host and the requests that await a reply on it, by their numbers.
pub(super) struct Link {
    pub(super) state: LinkState,
    /// The message version that the peer used last; the newest until it has announced one.
    pub(super) message_version: MessageVersion,
    /// The time of the last message from the peer, or of the first pending request if that is
    /// later.
    pub(super) last_received: Instant,
    /// The time of the last message from the peer.
    pub(super) last_heard: Instant,
    /// Whether the connection has been up.
    pub(super) was_up: bool,
    /// The time of the last message to the peer other than a heartbeat.
    pub(super) last_used: Instant,
    /// Number of placements, announcements and run permits at the peer that this host has not
    /// ended.
    pub(super) remote_holds: u32,
    pub(super) outgoing: mpsc::UnboundedSender<PieceRequest>,
    pub(super) pending_batches: HashMap<u64, oneshot::Sender<BatchEnd>>,
    pub(super) pending_placements: HashMap<u64, oneshot::Sender<Option<(String, PlacementFacts)>>>,
    /// Calls that are delegated to the peer.
    pub(super) pending_calls: HashMap<u64, oneshot::Sender<CallOutcome>>,
    pub(super) pending_run_permits: HashMap<u64, oneshot::Sender<RunPermitReply>>,
    pub(super) pending_send_permits: HashMap<u64, oneshot::Sender<SendPermitReply>>,
    /// Questions for the origin of a stream. They have a timeout of their own, also while the connection
    /// is up.
    pub(super) pending_streams: HashMap<u64, oneshot::Sender<Option<StreamOrigin>>>,
}

impl Link {
    /// Returns the state by which hosts for batches are chosen.
    pub(super) fn view(&self) -> LinkView {
        match self.state {
            LinkState::Opening(since) => LinkView::Opening { since },
            LinkState::Up => LinkView::Up {
                last_heard: self.last_heard,
                waiting_since: self.has_pending().then_some(self.last_received),
            },
            LinkState::Lost => LinkView::Lost,
        }
    }

    /// Returns whether a request awaits a reply.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending_batches.is_empty()
            || !self.pending_placements.is_empty()
            || !self.pending_calls.is_empty()
            || !self.pending_run_permits.is_empty()
            || !self.pending_send_permits.is_empty()
    }

    /// Sends a request; `record` stores the channel that receives the reply. An idle peer may be
    /// silent for longer, so its silence counts from now if this is the first pending request.
    pub(super) fn send(&mut self, request: PieceRequest, record: impl FnOnce(&mut Self)) {
        let was_idle = !self.has_pending();
        record(self);
        if was_idle && self.has_pending() {
            self.last_received = Instant::now();
        }
        self.last_used = Instant::now();
        self.count_remote_holds(&request);
        let _ = self.outgoing.send(request);
    }

    /// Counts what a request begins or ends at the peer; the peer ends all of it when the
    /// connection closes.
    fn count_remote_holds(&mut self, request: &PieceRequest) {
        match request {
            PieceRequest::PlacePrompt { .. }
            | PieceRequest::ExpectPieces { .. }
            | PieceRequest::AcquireRunPermit { .. } => self.remote_holds += 1,
            PieceRequest::EndPlacement(_)
            | PieceRequest::EndExpectation(_)
            | PieceRequest::ReleaseRunPermit(_) => {
                self.remote_holds = self.remote_holds.saturating_sub(1);
            }
            _ => {}
        }
    }

    /// Returns whether the connection has been unused for some time and may be closed.
    pub(super) fn is_unused(&self, min_idle: Duration, now: Instant) -> bool {
        let is_idle = now.saturating_duration_since(self.last_used) >= min_idle;
        is_idle && self.remote_holds == 0 && !self.has_pending()
    }

    /// Returns the state by which reachability of the peer's hall is judged. A connection without
    /// pending requests stays up through a longer silence, but counts as lost here: if all hosts of
    /// a hall are silent, the hall is unreachable.
    pub(super) fn hall_state_at(&self, now: Instant) -> LinkState {
        let silence = now.saturating_duration_since(self.last_received);
        match self.state {
            LinkState::Up if silence > SILENCE_TIMEOUT => LinkState::Lost,
            state => state,
        }
    }

    /// Returns whether a request is pending and the peer has been silent for too long.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.last_received);
        self.has_pending() && silence > SILENCE_TIMEOUT
    }
}
