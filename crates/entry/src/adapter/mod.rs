//! Clients of external systems, one module for each; another protocol is one new file.
//!
//! They implement the interface described in docs/TARGETS.md. Every request to a target carries the
//! id of the attempt, and a response with the id of another attempt is an error, never a result.

mod client;
pub mod engine;
mod error;
pub mod host_list;
pub mod service;
pub mod stage;

pub use client::{AttemptCall, TargetClients};
pub use error::{AttemptCause, AttemptError};
