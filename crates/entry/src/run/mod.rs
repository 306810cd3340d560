//! Runs one request from admission to its response.
//!
//! - [`RequestPlan`] describes the request; [`run_request`] runs it.
//! - `attempt` handles attempts: id, timeout, retry.
//! - `stage`, `stream` and `service` each run one kind of work.
//! - `claim` guards a request that may run at most once.

mod attempt;
mod claim;
mod plan;
mod request;
mod service;
mod stage;
mod stream;

pub(crate) use plan::{RequestPlan, RequestWork, RunResponse};
pub(crate) use request::run_request;
