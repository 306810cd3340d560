//! Where a connection to another entry host stands, and whether the other side is silent.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use linnet_wire::MessageVersion;
use tokio::sync::{mpsc, oneshot};

use super::{Results, SILENCE_LIMIT};
use crate::engine::PlaceFacts;
use crate::piece_message::PieceRequest;
use crate::rate_turn::RateAnswer;
use crate::stage_call::CallEnd;
use crate::turn::TurnAnswer;

/// Where a connection to another entry host stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkState {
    /// It is being opened for the first time, since then.
    Opening(Instant),
    /// It is up.
    Up,
    /// It was lost, or could not be opened; it is tried again in the background.
    Lost,
}

/// A connection to another entry host, and what is waited for on it.
pub(super) struct Link {
    pub(super) state: LinkState,
    /// The form of messages that the other side spoke last.
    pub(super) form: MessageVersion,
    /// When the other side was heard last, or something was first waited for since.
    pub(super) heard: Instant,
    /// When something was sent last, beside signs of life.
    pub(super) used: Instant,
    /// What this host has begun at the other side and not ended: placements, expected pieces, turns.
    pub(super) held: u32,
    pub(super) outgoing: mpsc::UnboundedSender<PieceRequest>,
    pub(super) waiting: HashMap<u64, oneshot::Sender<Results>>,
    pub(super) placing: HashMap<u64, oneshot::Sender<Option<(String, PlaceFacts)>>>,
    /// Calls that this host has the other one send.
    pub(super) calling: HashMap<u64, oneshot::Sender<CallEnd>>,
    /// Questions whether a request may run.
    pub(super) turns: HashMap<u64, oneshot::Sender<TurnAnswer>>,
    /// Questions whether a request may go to a target that names a rate.
    pub(super) rates: HashMap<u64, oneshot::Sender<RateAnswer>>,
}

impl Link {
    /// Says whether something is waited for.
    pub(super) fn is_waited_on(&self) -> bool {
        !self.waiting.is_empty()
            || !self.placing.is_empty()
            || !self.calling.is_empty()
            || !self.turns.is_empty()
            || !self.rates.is_empty()
    }

    /// Sends a request whose answer `note` lets wait. While nothing was waited for the other side had
    /// reason to be silent, so its silence counts from now.
    pub(super) fn send(&mut self, request: PieceRequest, note: impl FnOnce(&mut Self)) {
        let was_idle = !self.is_waited_on();
        note(self);
        if was_idle && self.is_waited_on() {
            self.heard = Instant::now();
        }
        self.used = Instant::now();
        self.note_held(&request);
        let _ = self.outgoing.send(request);
    }

    /// Counts what is begun at the other side, and ends with the connection.
    fn note_held(&mut self, request: &PieceRequest) {
        match request {
            PieceRequest::Place { .. }
            | PieceRequest::Expect { .. }
            | PieceRequest::TakeTurn { .. } => self.held += 1,
            PieceRequest::End(_) | PieceRequest::Arrived(_) | PieceRequest::EndTurn(_) => {
                self.held = self.held.saturating_sub(1);
            }
            _ => {}
        }
    }

    /// Says whether nothing has needed it for a span.
    pub(super) fn is_unused(&self, span: Duration, now: Instant) -> bool {
        let rested = now.saturating_duration_since(self.used) >= span;
        rested && self.held == 0 && !self.is_waited_on()
    }

    /// Returns where the connection stands for the reach of its hall. One that nothing is waited for on is
    /// kept up for longer, but where all of a hall are silent the hall is out of reach.
    pub(super) fn state_at(&self, now: Instant) -> LinkState {
        let silence = now.saturating_duration_since(self.heard);
        match self.state {
            LinkState::Up if silence > SILENCE_LIMIT => LinkState::Lost,
            state => state,
        }
    }

    /// Says whether the other side should have been heard by now.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.heard);
        self.is_waited_on() && silence > SILENCE_LIMIT
    }
}
