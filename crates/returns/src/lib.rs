//! Refused callers that return: how long ago a caller first tried, and when a refused caller should
//! return.

mod patience;
mod refusal_meter;
mod retry_time;

pub use patience::{PatienceKey, PatienceTracker, StatedDeadline};
pub use refusal_meter::RefusalMeter;
pub use retry_time::{ReturnInputs, retry_after};
