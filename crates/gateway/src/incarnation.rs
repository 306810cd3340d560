//! Proof of the incarnation of a target that answers a request.
//!
//! A target may restart under its identity with another software version. Until its next heartbeat has
//! arrived, its record names the former incarnation. So a request that is bound to a version is sent
//! only on a connection whose process stated that it is the one that the record names.

mod check;
mod target_marks;

pub(crate) use check::{IncarnationCheck, ProvedIncarnation};
pub(crate) use target_marks::{await_records, unprovable_targets};

#[cfg(test)]
mod tests;
