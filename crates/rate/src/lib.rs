//! Rate limits that targets advertise for the requests of all entry hosts together: parsing them,
//! deciding which of several observations applies, and pacing requests accordingly.

mod limit;
mod observation;
mod pacer;
mod store;

pub use limit::{RateLimit, RateParseError, parse_rate_limit};
pub use observation::RateObservation;
pub use pacer::RatePacer;
pub use store::{IncarnationEffect, RateChange, RateChanges, RateStore};
