//! The two daemons around the routing configuration: a control host with the directory, and an
//! entry host with the gateway. A [`NodeProtocol`] defines the external formats that they use.
//!
//! - [`NodeSettings`] is the settings file; all its errors are reported at once.
//! - [`run_control_node`] and [`run_entry_node`] run until a planned stop.

mod control;
mod entry;
mod held_api;
mod http_server;
mod metrics_page;
mod operator_pages;
mod peers;
mod protocol;
mod reload;
mod rollout_api;
mod settings;

pub use control::run_control_node;
pub use entry::run_entry_node;
pub use protocol::{ControlProtocol, ControlRequest, ControlRequestError, NodeProtocol};
pub use settings::{
    ClusterSettings, ListenSettings, NodeSettings, RetrySettings, SettingsError, TimeSettings,
};
