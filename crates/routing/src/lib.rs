//! The routing configuration: which service takes a request, and what the operator allows.
//!
//! - [`RoutingConfig`] is one whole configuration under an outside version.
//! - [`check_config`] finds every fault of one at once.
//! - [`RouteTable`] is the form that requests are matched against.

mod check;
mod config;
mod matching;

pub use check::{ConfigError, check_config};
pub use config::{
    Account, CallerLimits, EngineSpec, Route, RouteKind, RoutingConfig, Service, Split, StagePool,
    StageSpec,
};
pub use matching::{RouteMatch, RouteTable};
