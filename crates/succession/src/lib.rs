//! Decides which entry host coordinates a pool while coordinators are lost and return. No sockets
//! and no clock.
//!
//! - [`BatchRoute`] chooses the host that takes a batch, and [`hosts_to_probe`] the hosts to which
//!   connections are opened in advance.
//! - [`PoolTenure`] decides when a host returns the queue of a pool to its submitters, as a better
//!   coordinator is reachable.

mod batch_route;
mod link_view;
mod pool_tenure;

pub use batch_route::{BatchRoute, MAX_ROUTE_ATTEMPTS, RouteChoice, hosts_to_probe};
pub use link_view::{CONNECT_TIMEOUT, Candidate, LinkView};
pub use pool_tenure::{PoolTenure, TenureDecision};
