//! Fakes of the services that linnetdale calls, with fault injection and a ledger of the requests
//! that ran.
//!
//! - [`FakeTarget`] replaces a stage target, a model engine or a plain service.
//! - [`FakeHostList`] replaces the platform's list of targets.
//! - [`FaultInjection`] makes a target misbehave; [`RunRecord`]s state what it ran.
//! - [`expected_tokens`] computes the tokens that a pipeline must return, so that tests detect the
//!   response of another request.
//!
//! The fakes write HTTP/1.1 to sockets directly, because server libraries do not allow faults such
//! as a truncated body.

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
