//! What every linnetdale daemon does the same way.
//!
//! - [`SettingCheck`] collects every wrong setting before a socket opens.
//! - [`OperatorKeys`] guard the operators' port; [`ops_routes`] are its common pages.
//! - [`accept_peers`] serves the port for peers; [`watch_key_file`] lets keys roll.
//! - [`StopSignals`] tell when a planned stop is asked for; [`exit_code`] ends a daemon.
//! - [`start_logging`] sets up the log.

mod logging;
mod ops;
mod peer;
mod setting;
mod stop;

pub use logging::{LineQueue, flush_logs, start_logging};
pub use ops::{OperatorKeys, OpsContext, error_body, json_response, ops_routes};
pub use peer::{accept_peers, watch_key_file};
pub use setting::{SettingCheck, SettingFault};
pub use stop::{StopSignals, exit_code};
