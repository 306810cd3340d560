//! The retry budget of a service, kept by all entry hosts together without a message between them.
//!
//! In any window, a service receives at most [`BudgetRule::ratio`] times its requests plus
//! [`BudgetRule::slack`] retries. No sockets and no clock: callers pass the time.
//!
//! - [`RetryLedger`] counts the requests and retries of this host, and decides about each retry.
//! - [`HostRoster`] holds the entry hosts that may send retries, and this host's part of the slack.
//!
//! The part that grows with the requests needs no agreement: each host pays from the requests that
//! it received itself. The slack is divided into whole retries among the hosts of the roster. The
//! division holds because the roster of each host that uses slack includes all others that do, or
//! did within the last window; [`HostRoster`] says how.

mod budget_rule;
mod host_roster;
mod retry_ledger;
mod service_window;

pub use budget_rule::BudgetRule;
pub use host_roster::{HostRoster, RosterTimes, SlackShare, SlackState};
pub use retry_ledger::{BudgetFacts, RetryLedger, ServiceKey, SpentRetry};
