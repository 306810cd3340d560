//! Overload of an entry host itself: its processor and its links.
//!
//! - [`DelayMeter`] keeps the delay that the host adds to whatever it does.
//! - [`ConnectMeter`] keeps the delay of new connections.
//! - [`RequestShedder`] learns from the delay how many requests the host can serve, and decides which
//!   ones it refuses, by rank and account.
//! - [`OwnTime`] forecasts how long a request waits for the host in all.
//! - [`RoleYield`] decides when other hosts should have its roles for pools.

mod admitted_rate;
mod connect_meter;
mod delay_meter;
mod own_time;
mod request_shedder;
mod role_yield;

pub use connect_meter::ConnectMeter;
pub use delay_meter::DelayMeter;
pub use own_time::OwnTime;
pub use request_shedder::{RequestShedder, ShedDecision};
pub use role_yield::RoleYield;
