//! Parses the logs of all processes and derives the outcomes of requests from them.
//!
//! - [`LogLine`] is one parsed line.
//! - [`LossTable`] counts the outcomes of requests and compares planned with actual times.
//! - [`explain_request`] collects the lines of all processes about one request and the causes of
//!   its outcome.

mod explain;
mod line;
mod losses;

pub use explain::{RequestHistory, explain_request};
pub use line::{LogLine, read_lines};
pub use losses::{LossGroup, LossRow, LossTable, Quantiles};
