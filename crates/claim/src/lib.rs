//! Claims on request keys: who runs a request that may run at most once, and what came of it.
//!
//! - [`ClaimTable`] decides; it is part of the replicated state machine and uses no clock of its
//!   own.
//! - [`ClaimCommand`] and [`ClaimAnswer`] travel between entry hosts and the voters.

mod command;
mod table;

pub use command::{
    ClaimAnswer, ClaimCommand, ClaimKey, ClaimOutcome, ClaimReply, ClaimRequest, MAX_OUTCOME_BYTES,
};
pub use table::{CLAIM_KEEP_MS, ClaimTable, MAX_CLAIMS};
