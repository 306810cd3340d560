//! Replicated state about requests: claims and deferred requests.
//!
//! - [`ClaimTable`] decides which host runs a request that may run at most once, and stores its
//!   outcome.
//! - [`DeferredTable`] stores requests that run later, and their responses until acknowledged.
//! - [`ControlCall`] and [`ControlReply`] are exchanged between entry hosts and the leading voter.
//!
//! Both tables are part of the replicated state machine. They do not read a clock; commands carry
//! the time.

mod call;
mod command;
mod deferred;
mod deferred_table;
mod table;

pub use call::{CallReply, CallRequest, ControlCall, ControlReply};
pub use command::{ClaimCommand, ClaimKey, ClaimOutcome, ClaimReply, MAX_OUTCOME_BYTES};
pub use deferred::{
    DeferredCommand, DeferredCommandReply, DeferredJob, DeferredOutcome, DeferredQuery,
    DeferredQueryReply, JobLease, MAX_INPUT_BYTES, MAX_RESULT_BYTES,
};
pub use deferred_table::{DeferredTable, JOB_RETENTION_MS, MAX_JOB_BYTES, MAX_JOBS};
pub use table::{CLAIM_RETENTION_MS, ClaimTable, MAX_CLAIM_BODY_BYTES, MAX_CLAIMS};
