//! Gathers the pieces of stages from all entry hosts into calls.
//!
//! One entry host gathers for a service, so it knows which targets are free, what waits and how
//! much memory the results take. Should two hosts gather for one service, as when a data hall is
//! cut off, targets refuse the calls that are too many and the pieces wait on.

mod batch;
mod call;
mod delegation;
mod due_call;
mod pool;
mod queue;
mod result_memory;
mod stage_target;
mod state;

pub(crate) use batch::BatchKey;
pub(crate) use delegation::{CallDelegate, DelegatedCall};
pub(crate) use due_call::DueCall;
pub(crate) use pool::{LARGE_RESULT_BYTES, MIN_REFUSED_WAIT_MS};
pub(crate) use queue::Coordinator;
pub(crate) use state::ExpectationKey;
