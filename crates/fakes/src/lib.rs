//! Stand-ins for what linnetdale talks to, with faults to order and a ledger of what really ran.
//!
//! - [`FakeTarget`] stands in for a stage pool, a model engine or a plain service.
//! - [`FakeHostList`] stands in for the platform's list of hosts.
//! - [`FaultInjection`] makes a target misbehave; [`RunRecord`]s tell what it ran.
//! - [`expected_tokens`] computes what a pipeline must give, so that a mixed-up answer shows.
//!
//! They speak plain HTTP/1.1 over sockets of their own, because a fault such as a body cut short
//! is nothing that a well-behaved server library lets one do.

mod fault;
mod host_list;
mod http;
mod response;
mod settings;
mod target;

pub use fault::{FaultInjection, FaultKind};
pub use host_list::{FakeHostList, HostEntry, HostListBody};
pub use http::{FakeRequest, read_request};
pub use response::{engine_tokens, expected_tokens, stage_output};
pub use settings::{FakeSettings, TargetSpec, run_fakes};
pub use target::{FakeTarget, RunRecord, TargetBehaviour, TargetKind};
