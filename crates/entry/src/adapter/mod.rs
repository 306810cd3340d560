//! One module for each outside system; another dialect is one new file.
//!
//! Each speaks the interface that docs/TARGETS.md describes. Every request to a target carries
//! the attempt's name, and an answer that names another attempt is an error, never a result.

mod client;
pub mod engine;
mod error;
pub mod host_list;
pub mod service;
pub mod stage;

pub use client::{AttemptCall, TargetClients};
pub use error::{AttemptCause, AttemptError};
