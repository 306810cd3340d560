//! The configuration table: pipelines, plain services, client accounts and their limits.
//!
//! - [`TableRow`] is one row and [`RowKey`] identifies it; [`parse_csv`] and [`write_csv`] convert
//!   rows from and to CSV.
//! - [`TableStore`] stores one version of the complete table in compact maps.
//! - [`TableChange`] is a set of rows that is applied atomically; [`verify_change`] finds all
//!   faults in it and [`TableStore::apply`] applies it.
//! - [`diff_rows`] computes the difference between two tables.

mod change;
mod csv_format;
mod diff;
mod fault;
mod row;
mod store;
mod verify;

pub use change::{ChangeConflict, ChangeRefusal, TableChange};
pub use csv_format::{COLUMNS, ParsedTable, parse_csv, write_csv};
pub use diff::{RowDiff, diff_rows};
pub use fault::{FaultCause, RowFault};
pub use row::{
    AccountRow, KeyDigest, LimitRow, PipelineRow, RowKey, RowLimits, ServiceRow, StageRow, TableRow,
};
pub use store::{
    AccountEntry, AccountId, RouteEntry, RouteId, RouteKind, TableStore, VersionedRow,
};
pub use verify::{MAX_STAGES, verify_change, verify_rows};
