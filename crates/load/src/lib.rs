//! An open-loop load generator: seeded arrivals at real entry hosts with fake targets.
//!
//! - [`LoadSettings`] are the command-line arguments; [`run_load`] runs the program.
//! - `scenario` defines load and faults, `arrival` generates the requests, `testbed` starts the
//!   system under test.
//! - `driver` sends the requests; `response` tells complete responses from truncated ones; `score`
//!   computes the share answered in time and the target time spent.
//! - `report` writes a CSV file and a chart; `rate` measures the latency that an entry host adds
//!   and its throughput.

mod arrival;
mod driver;
mod policy;
mod rate;
mod report;
mod response;
mod scenario;
mod score;
mod settings;
mod testbed;

pub use arrival::{Arrival, generate_arrivals};
pub use scenario::{Scenario, ScenarioAction, find_scenario, scenario_names};
pub use score::{RunScore, jain_index};
pub use settings::{LoadSettings, run_load};
