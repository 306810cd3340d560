//! Decisions: which target takes a stage, when to queue, when to refuse.
//!
//! - [`TargetDispatcher`] hands out targets: [`TargetDispatcher::acquire`] waits in a fair queue
//!   and returns a [`TargetPermit`].
//! - [`QuotaTable`] holds the limits of accounts; [`RetryBudget`] those of retries.
//! - [`FairQueue`], [`TargetWindow`] and [`StageEstimate`] are the parts that the dispatcher is
//!   made of.
//! - [`PolicyChoice`] switches each mechanism to its baseline, so that they can be compared.

mod admission;
mod choose;
mod context;
mod dispatcher;
mod estimate;
mod fair_queue;
mod listing;
mod permit;
mod policy;
mod quota;
mod refusal;
mod retry;
mod share;
mod target;
mod window;

pub use admission::{AdmissionAsk, AdmittedRequest};
pub use choose::{TargetSample, choose_target};
pub use dispatcher::{StageAsk, TargetDispatcher};
pub use estimate::StageEstimate;
pub use fair_queue::FairQueue;
pub use listing::{ListingChange, PoolReport, TargetListing, TargetReport};
pub use permit::{AttemptOutcome, TargetPermit};
pub use policy::{PolicyChoice, QueueRule, TargetRule};
pub use quota::{QuotaHold, QuotaTable};
pub use refusal::{DispatchRefusal, RefusalCause};
pub use retry::RetryBudget;
pub use share::{ShareFacts, share_of};
pub use target::{ListedState, LoadReport, PoolId, TargetId, TargetState};
pub use window::TargetWindow;
