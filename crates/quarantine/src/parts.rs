//! Quarantine of parts of prompts that crash the targets which answer on them, whatever else the
//! requests hold.
//!
//! - [`PartKey`] identifies a part within a service, for one account or for all.
//! - [`PartRecord`] holds the crashes during which requests with the part were in flight, and runs of
//!   such requests that completed.
//! - [`PartStore`] keeps the records of a process and derives the [`PartStatus`] of a prompt.
//!
//! Whether a part is held is derived from its record and those of other parts, so processes with the
//! same records decide the same.

mod attribution;
mod key;
mod line;
mod record;
mod retention;
mod store;

pub use key::{OriginTag, PartKey, PartScope, RunTag};
pub use line::{HELD_PARTS_PATH, PartLine};
pub use record::{PartRecord, PartSubject};
pub use store::{PartChanges, PartCrash, PartStore, RUN_SETTLE_TIME};

/// How a request is to be treated because of the parts of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartStatus {
    /// The request runs without restriction.
    Clear,
    /// Several targets crashed under requests with one of the parts, and no such request completed.
    /// The request runs, but is not retried after it was in flight at a crash.
    Suspect,
    /// A part may become held, but other hosts may not have reported yet what else ran at the
    /// targets. The request waits for the decision, which follows shortly.
    Undecided,
    /// The request has all parts of a group that crashes targets, and is refused.
    Held {
        /// The first part of the group.
        part: PartKey,
        /// Whether a request with the group may run once as a trial.
        trial_due: bool,
    },
}
