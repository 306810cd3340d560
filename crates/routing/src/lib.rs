//! The routing configuration: which service receives a request, and what the operator allows.
//!
//! - [`RoutingConfig`] is one complete configuration under an operator-defined version.
//! - [`check_config`] finds all errors of a configuration at once.
//! - [`RouteTable`] is the indexed form that requests are matched against.

mod check;
mod config;
mod matching;

pub use check::{ConfigError, check_config};
pub use config::{
    Account, CallerLimits, EngineSpec, Route, RouteKind, RoutingConfig, Service, Split, StagePool,
    StageSpec,
};
pub use matching::{RouteMatch, RouteTable};
