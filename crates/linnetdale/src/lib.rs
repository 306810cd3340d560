//! linnetdale: a serving system for multi-stage model pipelines and plain services.
//!
//! This crate re-exports the component crates and contains the programs.
//! docs/ARCHITECTURE.md describes how the components work together.

pub use linnet_claim as claim;
pub use linnet_control as control;
pub use linnet_ctl as ctl;
pub use linnet_daemon as daemon;
pub use linnet_dispatch as dispatch;
pub use linnet_entry as entry;
pub use linnet_fakes as fakes;
pub use linnet_feed as feed;
pub use linnet_journal as journal;
pub use linnet_load as load;
pub use linnet_quorum as quorum;
pub use linnet_table as table;
pub use linnet_telemetry as telemetry;
pub use linnet_wire as wire;
