//! What the answers of several peers say together about a target.

use crate::PeerAnswer;

/// Maximum number of peers that are asked for one connection.
pub const MAX_ASKED: usize = 6;

/// Minimum number of new answers before a target counts as down, also if former answers suggest it:
/// the peers that were asked before may be cut off as well.
const MIN_NEW_ANSWERS: usize = 2;

/// How sure a host has to be before it takes a target as down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Certainty {
    /// For a request, which can go to another target.
    Usual,
    /// The same at a host that has lost several targets lately: its peers may have lost them as
    /// well, without knowing yet.
    InDoubt,
    /// For the conclusion that the target crashed while requests ran on it.
    Crash,
}

impl Certainty {
    fn required_agreement(self) -> usize {
        match self {
            Self::Usual => 2,
            Self::InDoubt => 4,
            Self::Crash => MAX_ASKED,
        }
    }
}

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
    certainty: Certainty,
    /// Number of peers whose agreement makes the target count as down.
    required: usize,
    /// Peers that agreed a moment ago.
    remembered: usize,
    asked: usize,
    agreed: usize,
}

impl AnswerTally {
    /// Begins a tally with `peers` known peers, of which the `remembered` ones could not reach the
    /// target a moment ago.
    pub fn new(certainty: Certainty, peers: usize, remembered: usize) -> Self {
        Self {
            certainty,
            required: certainty.required_agreement().min(peers).max(1),
            remembered,
            asked: 0,
            agreed: 0,
        }
    }

    /// Adds an answer.
    pub fn add(&mut self, answer: PeerAnswer) {
        self.asked += 1;
        self.agreed += usize::from(answer.shows_target_down());
    }

    /// Returns whether another peer should be asked, if there is one.
    pub fn is_open(&self) -> bool {
        let has_agreement = self.remembered + self.agreed >= self.required;
        self.asked < MAX_ASKED && !(has_agreement && self.agreed >= MIN_NEW_ANSWERS)
    }

    /// Concludes from the answers; `peers_left` says whether a peer may still reach the target, see
    /// [`crate::PeerTable::may_be_reached`]. If none does, a single agreeing peer is enough, except
    /// for a host in doubt.
    pub fn verdict(&self, peers_left: bool) -> PathVerdict {
        let agreed = self.remembered + self.agreed;
        let is_last_peer = !peers_left && self.certainty != Certainty::InDoubt;
        if agreed >= self.required || (agreed > 0 && is_last_peer) {
            PathVerdict::Down
        } else {
            PathVerdict::Unknown
        }
    }
}
