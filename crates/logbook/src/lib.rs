//! Reads the lines that processes write to their logs, and tells from them what became of requests.
//!
//! - [`LogLine`] is one line in typed form.
//! - [`LossTable`] counts what became of requests, with planned against real times.
//! - [`explain_request`] gathers what all processes wrote of one request and of what decided it.

mod explain;
mod line;
mod losses;

pub use explain::{RequestHistory, explain_request};
pub use line::{LogLine, read_lines};
pub use losses::{LossGroup, LossRow, LossTable, Quantiles};
