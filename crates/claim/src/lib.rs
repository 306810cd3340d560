//! What the voters keep about requests: claims and deferred requests.
//!
//! - [`ClaimTable`] decides who runs a request that may run at most once, and keeps its end.
//! - [`DeferredTable`] keeps requests that run later, and their answers until acknowledged.
//! - [`ControlCall`] and [`CallAnswer`] travel between entry hosts and the leading voter.
//!
//! Both tables are part of the replicated state machine and use no clock of their own.

mod call;
mod command;
mod deferred;
mod deferred_table;
mod table;

pub use call::{CallAnswer, CallReply, CallRequest, ControlCall};
pub use command::{ClaimAnswer, ClaimCommand, ClaimKey, ClaimOutcome, MAX_OUTCOME_BYTES};
pub use deferred::{
    DeferredAnswer, DeferredCommand, DeferredJob, DeferredOutcome, DeferredQuery, DeferredReply,
    JobLease, MAX_INPUT_BYTES, MAX_RESULT_BYTES,
};
pub use deferred_table::{DeferredTable, JOB_KEEP_MS, MAX_JOB_BYTES, MAX_JOBS};
pub use table::{CLAIM_KEEP_MS, ClaimTable, MAX_CLAIM_BYTES, MAX_CLAIMS};
