//! An open-loop load program: seeded arrivals against real entry hosts and fake targets.
//!
//! - [`LoadSettings`] are its arguments; [`run_load`] runs it.
//! - `scenario` says what befalls the system, `arrival` who asks when, `testbed` what stands behind.
//! - `driver` sends the requests; `score` compares what callers got with what targets spent.
//! - `report` writes CSV and a picture; `rate` measures what an entry host adds and carries.

mod arrival;
mod driver;
mod policy;
mod rate;
mod report;
mod scenario;
mod score;
mod settings;
mod testbed;

pub use arrival::{Arrival, generate_arrivals};
pub use scenario::{Scenario, ScenarioAction, find_scenario, scenario_names};
pub use score::{RunScore, jain_index};
pub use settings::{LoadSettings, run_load};
