//! Overload of an entry host itself: its processor and its links.
//!
//! - [`DelayMeter`] keeps the delay that the host adds to whatever it does.
//! - [`ConnectMeter`] keeps the delay of new connections.
//! - [`RequestShedder`] learns from the delay how many requests the host can serve, and decides which
//!   ones it refuses, by rank and account.
//! - [`RoleYield`] decides when other hosts should have its roles for pools.

mod admitted_rate;
mod connect_meter;
mod delay_meter;
mod request_shedder;
mod role_yield;

pub use connect_meter::ConnectMeter;
pub use delay_meter::DelayMeter;
pub use request_shedder::{RequestShedder, ShedDecision};
pub use role_yield::RoleYield;
