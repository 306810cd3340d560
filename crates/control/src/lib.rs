//! The control daemon: a voter that replicates the table and the claims, and serves them.
//!
//! - [`ControlSettings`] are its settings; [`run_control`] runs it.
//! - [`ControlMachine`] is the replicated state machine; [`ControlCommand`] and
//!   [`ControlCommandReply`] are its commands and their replies.
//! - [`ControlStatus`], [`ChangeResponse`] and [`FormClusterRequest`] are the messages of its
//!   operators' interface.

mod calls;
mod change_store;
mod daemon;
mod host_reports;
mod machine;
mod ops;
mod settings;

pub use change_store::{ChangeRecord, ChangeStore, MAX_CHANGE_RECORDS};
pub use daemon::run_control;
pub use machine::{ControlCommand, ControlCommandReply, ControlMachine};
pub use ops::{ChangeResponse, ControlStatus, FormClusterRequest, MAX_CHANGE_BYTES};
pub use settings::ControlSettings;
