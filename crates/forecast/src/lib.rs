//! Forecasts of how long the stages of a request take, from what the pools on its path measure, and
//! the admission decision that follows from them.
//!
//! `R` is the rank of a request; the lower of two ranks is the more urgent one.

mod admission;
mod arrival_meter;
mod drain_meter;
mod error_model;
mod figures;
mod pool_meter;
mod stage;

pub use admission::{
    AdmissionDecision, AdmissionLimits, LATE_WAIT_SHARE, MIN_REFUSED_WAIT_MS, decide_admission,
};
pub use error_model::{Correction, ErrorModel};
pub use pool_meter::{PoolMeter, PoolTimes};
pub use stage::{StageForecast, StageInputs, forecast_stage, full_call_rate};
