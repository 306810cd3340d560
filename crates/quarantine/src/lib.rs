//! Quarantine of requests that may crash the targets that run them: the evidence against a request,
//! and what follows from it.
//!
//! - [`RequestKey`] identifies a request across its retries and the hosts that receive it.
//! - [`CrashKey`] identifies the crash of one incarnation of a target.
//! - [`SuspectRecord`] holds the crashes during which a request was in flight. Records of different
//!   hosts merge in any order, so hosts converge without an agreement protocol.
//! - [`SuspectStore`] keeps the records of a process and derives the [`RequestStatus`] of a
//!   request.
//! - [`PartStore`] does the same for parts of prompts that different requests share.
//! - [`HeldLine`] describes a suspect request to operators.
//!
//! This crate reads no clock and sends nothing.

mod attribution;
mod changes;
mod instant;
mod key;
mod line;
mod parts;
mod record;
mod store;
mod trial;

pub use attribution::HOLD_CRASHES;
pub use changes::RecordChanges;
pub use key::{CrashKey, RequestKey};
pub use line::{HELD_PATH, HeldLine};
pub use parts::{
    HELD_PARTS_PATH, OriginTag, PartChanges, PartCrash, PartKey, PartLine, PartRecord, PartScope,
    PartStatus, PartStore, PartSubject, RUN_SETTLE_TIME, RunTag,
};
pub use record::{RequestSubject, SuspectRecord};
pub use store::{MAX_SUSPECTS, SuspectChanges, SuspectStore};

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStatus {
    /// The request runs without restriction.
    Clear,
    /// At least two targets crashed while the request ran there, and it has not completed since. It
    /// runs once at a time in the fleet, apart from other requests.
    Suspect,
    /// The request may become held, but other hosts may not have reported yet what else ran at the
    /// targets. It waits for the decision, which follows shortly.
    Undecided,
    /// The request was found to crash the targets that run it, and is refused.
    Held {
        /// Whether it may run once as a trial, to find out whether it still crashes targets.
        trial_due: bool,
    },
}
