//! The entry daemon: callers' HTTP interface, pipelines, targets.
//!
//! - [`EntrySettings`] are its settings; [`run_entry`] runs it.
//! - `caller` checks requests and writes answers; [`CallerError`] is the one shape of an error.
//! - `run` takes a request through its stages; `adapter` holds one module for each outside system.
//! - `hall` and `source` keep the table in force, also where the hall is cut off.
//! - `control_link` asks the leading control host; `deferred` keeps and runs requests for later.

pub mod adapter;
mod caller;
mod context;
mod control_link;
mod daemon;
mod deferred;
mod hall;
mod hosts;
mod ops;
mod run;
mod settings;
mod shares;
mod source;
mod stats;

pub use caller::{CallerError, ErrorCode, RanState};
pub use daemon::run_entry;
pub use ops::EntryStatus;
pub use settings::EntrySettings;
