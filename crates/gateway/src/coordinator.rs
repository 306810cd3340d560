//! Collects the stage pieces of all entry hosts into calls to stage targets.
//!
//! One entry host coordinates each service, so it knows which targets are free, how many pieces are
//! queued and how much memory the results take. If two hosts coordinate the same service, for
//! example while a data hall is unreachable, targets refuse the excess calls and the pieces stay
//! queued.

mod assignment;
mod batch;
mod call;
mod delegation;
mod due_call;
mod failed_search;
mod pool;
mod pool_overload;
mod queue;
mod queue_order;
mod queue_return;
mod result_memory;
mod stage_target;
mod state;

pub(crate) use batch::{BatchKey, BatchOutcome};
pub(crate) use delegation::{CallDelegate, DelegatedCall};
pub(crate) use due_call::DueCall;
pub(crate) use pool::LARGE_RESULT_BYTES;
pub(crate) use queue::Coordinator;
pub(crate) use queue_return::{ReturnCounts, ReturnRule};
pub(crate) use state::ExpectationKey;
