//! What the answers of several peers say together about a target.

use crate::PeerAnswer;

/// Peers that have to agree that a target cannot be reached.
const REQUIRED_AGREEMENT: usize = 2;

/// The same at a host that has lost several targets lately: the peers may have lost them as well,
/// without knowing yet.
const REQUIRED_AGREEMENT_IN_DOUBT: usize = 4;

/// Maximum number of peers that are asked for one connection.
const MAX_ASKED: usize = 6;

/// Why a target could not be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathVerdict {
    /// Other entry hosts cannot reach it either.
    Down,
    /// Not enough other entry hosts could be asked.
    Unknown,
}

/// The answers of peers to the request for one connection.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTally {
    required: usize,
    asked: usize,
    agreed: usize,
}

impl AnswerTally {
    /// Begins a tally; `in_doubt` says whether this host has lost several targets lately.
    pub fn new(in_doubt: bool) -> Self {
        Self {
            required: if in_doubt {
                REQUIRED_AGREEMENT_IN_DOUBT
            } else {
                REQUIRED_AGREEMENT
            },
            asked: 0,
            agreed: 0,
        }
    }

    /// Adds an answer.
    pub fn add(&mut self, answer: PeerAnswer) {
        self.asked += 1;
        self.agreed += usize::from(answer.shows_target_down());
    }

    /// Returns whether another peer should be asked.
    pub fn is_open(&self) -> bool {
        self.agreed < self.required && self.asked < MAX_ASKED
    }

    /// Concludes from the answers; `peers_left` says whether any peer was not asked. If all were, a
    /// single agreeing peer is enough.
    pub fn verdict(&self, peers_left: bool) -> PathVerdict {
        if self.agreed >= self.required || (self.agreed > 0 && !peers_left) {
            PathVerdict::Down
        } else {
            PathVerdict::Unknown
        }
    }
}
