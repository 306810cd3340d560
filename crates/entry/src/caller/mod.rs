//! The callers' HTTP interface: request validation, responses, errors.

mod check;
mod deferred;
mod error;
mod routes;

pub(crate) use check::{CheckedHead, check_head, read_limited_body};
pub use error::{CallerError, ErrorCode, RanState};
pub(crate) use routes::{caller_routes, refuse_path};
