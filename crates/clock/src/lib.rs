//! Clocks by which promises between processes are measured.

mod boot_instant;

pub use boot_instant::BootInstant;
