//! Takes one request from admission to its end.
//!
//! - [`RequestPlan`] is what was asked; [`run_request`] runs it.
//! - `attempt` has what every attempt needs: its name, its time, whether another may follow.
//! - `stage`, `stream` and `service` run one kind of work each.
//! - `claim` wraps a request that may run at most once.

mod attempt;
mod claim;
mod plan;
mod request;
mod service;
mod stage;
mod stream;

pub(crate) use plan::{RequestPlan, RunAnswer, RunTarget};
pub(crate) use request::run_request;
