//! Clocks for leases and other time limits that processes agree on.

mod boot_instant;

pub use boot_instant::BootInstant;
