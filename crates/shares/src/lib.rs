//! Fair shares of a pool between client accounts.
//!
//! Entry hosts report to the coordinator of a pool what each account asks of it. The coordinator
//! limits accounts that ask for more than their share while the pool cannot serve all demand, and
//! the entry hosts apply its limits at admission. `R` is the rank of a request; the lower of two
//! ranks is the more urgent one.

mod account_key;
mod demand_record;
mod host_budget;
mod host_limits;
mod pool_shares;
mod use_meter;
mod water_fill;

pub use account_key::AccountKey;
pub use host_limits::{HostLimits, LIMITS_VALIDITY, ShareDecision};
pub use pool_shares::{AccountLimit, AccountShare, PoolShares, ShareWeights};
pub use use_meter::{AccountUse, UseMeter, UseReport};
pub use water_fill::{WeightedDemand, fill_factor};
