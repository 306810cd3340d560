//! The rate at which a target takes requests from all entry hosts together: how it is named, which of several words of it
//! holds, and how requests are paced by it.

mod book;
mod named;
mod pacer;
mod word;

pub use book::{ChangedRates, RateBook, RateChange, StartChange};
pub use named::{NamedRate, RateFault, read_rate};
pub use pacer::RatePacer;
pub use word::RateWord;
