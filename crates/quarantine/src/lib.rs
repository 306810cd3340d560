//! Requests that may end the targets that run them: who is accused, on what evidence, and what is done
//! with them.
//!
//! - [`RequestKey`] is what all sendings of one request have in common, whoever takes them.
//! - [`CrashKey`] names one end of one start of a target.
//! - [`SuspectRecord`] holds the ends under which a request was in flight. Records of different hosts merge
//!   into one, in any order, so hosts need no agreement to know the same.
//! - [`SuspectStore`] keeps the records of a process and says what holds of a request: its
//!   [`RequestStatus`].
//! - [`HeldLine`] is what operators are told of one.
//!
//! Nothing here reads a clock or sends anything.

mod attribution;
mod key;
mod line;
mod record;
mod store;

pub use attribution::HOLD_CRASHES;
pub use key::{CrashKey, RequestKey};
pub use line::{HELD_PATH, HeldLine};
pub use record::{RequestSubject, SuspectRecord};
pub use store::{MAX_SUSPECTS, SuspectChanges, SuspectStore};

/// What holds of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// It runs like any other.
    Clear,
    /// Two targets or more ended while it ran there and it has not run whole since: it runs once at a time in
    /// the fleet, away from others.
    Suspect,
    /// It would be held, but what else ran at the targets may not be known here yet. It does not run until
    /// that is settled, a moment later.
    Undecided,
    /// It ends the targets that run it, as far as is known: it is refused.
    Held {
        /// Whether it may be run once more to see whether that still holds.
        trial_due: bool,
    },
}
