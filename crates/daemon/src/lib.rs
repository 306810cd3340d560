//! Common parts of the linnetdale daemons.
//!
//! - [`SettingCheck`] collects all invalid settings before a socket is opened.
//! - [`OperatorKeys`] protect the operators' port; [`ops_routes`] are its common pages.
//! - [`accept_peers`] serves the peer port; [`watch_key_file`] reloads the shared keys.
//! - [`StopSignals`] wait for a planned stop; [`exit_code`] returns the exit code of a daemon.
//! - [`start_logging`] initialises the log.

mod logging;
mod ops;
mod peer;
mod setting;
mod stop;

pub use logging::{LineQueue, flush_logs, start_logging};
pub use ops::{OperatorKeys, OpsContext, error_body, json_response, ops_routes, write_traffic};
pub use peer::{accept_peers, watch_key_file};
pub use setting::{SettingCheck, SettingError};
pub use stop::{StopSignals, exit_code};
