//! The control daemon: a voter that keeps the table and the claims, and serves them.
//!
//! - [`ControlSettings`] are its settings; [`run_control`] runs it.
//! - [`ControlMachine`] is the replicated state machine; [`ControlCommand`] and [`ControlAnswer`]
//!   are what goes in and out of it.
//! - [`ControlStatus`], [`ChangeReply`] and [`FormRequest`] are its operators' interface.

mod board;
mod calls;
mod daemon;
mod ledger;
mod machine;
mod ops;
mod settings;

pub use daemon::run_control;
pub use ledger::{ChangeLedger, ChangeRecord, MAX_CHANGE_RECORDS};
pub use machine::{ControlAnswer, ControlCommand, ControlMachine};
pub use ops::{ChangeReply, ControlStatus, FormRequest, MAX_CHANGE_BYTES};
pub use settings::ControlSettings;
