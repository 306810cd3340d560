//! The rate at which a target takes requests from all entry hosts together: how it is named, which of several words of it
//! holds, and how requests are paced by it.

mod limit;
mod observation;
mod pacer;
mod store;

pub use limit::{RateLimit, RateParseError, parse_rate_limit};
pub use observation::RateObservation;
pub use pacer::RatePacer;
pub use store::{IncarnationEffect, RateChange, RateChanges, RateStore};
