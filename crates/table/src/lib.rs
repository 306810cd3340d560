//! The operators' table: pipelines, plain services, client accounts and their limits.
//!
//! - [`TableRow`] is one row, [`RowKey`] what names it; [`parse_csv`] and [`write_csv`] are its
//!   spreadsheet form.
//! - [`TableStore`] holds a version of the whole table in compact maps.
//! - [`TableChange`] is a set of rows taken as a whole; [`verify_change`] finds every fault of it
//!   and [`TableStore::apply`] takes it.
//! - [`diff_rows`] gives the change between two tables.

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
