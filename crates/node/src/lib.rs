//! The two daemons around the routing configuration: a control host with the directory, and an
//! entry host with the gateway. How they speak to the outside is a [`NodeDialect`].
//!
//! - [`NodeSettings`] is the settings file; every fault of it is told at once.
//! - [`run_control_node`] and [`run_entry_node`] run until a planned stop.

mod control;
mod dialect;
mod entry;
mod held_door;
mod http_door;
mod metrics_page;
mod notices_page;
mod peers;
mod reload;
mod rollout_door;
mod settings;

pub use control::run_control_node;
pub use dialect::{ControlAsk, ControlDialect, ControlFault, NodeDialect};
pub use entry::run_entry_node;
pub use settings::{
    ClusterSettings, ListenSettings, NodeSettings, RetrySettings, SettingsFault, TimeSettings,
};
