//! The searches for a target that failed within one dispatch, so that they are not repeated for
//! every queued piece.

use super::pool::QueuedPiece;
use crate::allowed_halls::AllowedHalls;

/// A search for a target that found none.
struct FailedSearch {
    allowed_halls: AllowedHalls,
    result_bytes: u64,
}

/// The failed searches of one dispatch. Targets only become fuller while it assigns pieces, so a
/// search that failed for one piece fails for each that needs as much memory in the same data
/// halls.
#[derive(Default)]
pub(super) struct FailedSearches {
    searches: Vec<FailedSearch>,
}

impl FailedSearches {
    /// Returns whether a search for a target for the piece would fail.
    pub(super) fn rule_out(&self, piece: &QueuedPiece) -> bool {
        let is_no_easier = |search: &FailedSearch| {
            piece.result_bytes >= search.result_bytes && piece.allowed_halls == search.allowed_halls
        };
        !piece.isolated && self.searches.iter().any(is_no_easier)
    }

    /// Records that no target was found for a piece. The search of an isolated piece says nothing
    /// of others, since it must not share a call.
    pub(super) fn record(&mut self, piece: &QueuedPiece) {
        if piece.isolated {
            return;
        }
        self.searches.push(FailedSearch {
            allowed_halls: piece.allowed_halls.clone(),
            result_bytes: piece.result_bytes,
        });
    }

    /// Forgets all searches.
    pub(super) fn clear(&mut self) {
        self.searches.clear();
    }
}
