//! Dispatch decisions: which target runs a stage, when to queue, when to refuse.
//!
//! - [`TargetDispatcher`] assigns targets: [`TargetDispatcher::acquire`] waits in a fair queue and
//!   returns a [`TargetPermit`].
//! - [`QuotaTable`] enforces the limits of accounts; [`RetryBudget`] limits retries.
//! - [`FairQueue`], [`TargetWindow`] and [`StageEstimate`] are the components of the dispatcher.
//! - [`PolicyChoice`] can replace each mechanism by a baseline, for comparison.

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

pub use admission::{AdmissionRequest, AdmittedRequest};
pub use choose::{TargetCandidate, choose_target};
pub use dispatcher::{TargetDispatcher, TargetRequest};
pub use estimate::StageEstimate;
pub use fair_queue::FairQueue;
pub use listing::{ListingChange, PoolReport, TargetListing, TargetReport};
pub use permit::{AttemptOutcome, TargetPermit};
pub use policy::{PolicyChoice, QueueRule, TargetRule};
pub use quota::{QuotaGuard, QuotaTable};
pub use refusal::{DispatchRefusal, RefusalCause};
pub use retry::RetryBudget;
pub use share::{ShareInputs, compute_share};
pub use target::{ListedState, LoadReport, PoolId, TargetId, TargetState};
pub use window::TargetWindow;
