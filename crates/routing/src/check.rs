//! Validation of a configuration; all errors are reported at once.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;

use crate::{Account, Route, RoutingConfig};

/// An error in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ConfigError {
    /// A route or stage names an unknown service.
    #[display("route {route}: unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The unknown name.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[display("routes {first} and {second} share host and prefix")]
    DuplicatePrefix {
        /// The earlier route.
        first: String,
        /// The later route.
        second: String,
    },
    /// The weights of a route add up to 0.
    #[display("route {route}: the weights add up to 0")]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// The timeout of a route is 0.
    #[display("route {route}: the timeout is 0")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[display("route {route}: the prefix does not begin and end with a slash")]
    InvalidPrefix {
        /// The route.
        route: String,
    },
    /// A stage depends on itself or on a later stage.
    #[display(
        "route {route}: stage {stage} takes results of stage {after}, which is not before it"
    )]
    InvalidStageOrder {
        /// The route.
        route: String,
        /// The index of the stage.
        stage: usize,
        /// The index of the stage that it depends on.
        after: usize,
    },
    /// Two client accounts share a key. The key is secret and not part of the error.
    #[display("accounts {first} and {second} share a key")]
    SharedKey {
        /// The earlier account.
        first: String,
        /// The later account.
        second: String,
    },
}

/// Returns all errors of a configuration; an empty list if it is valid.
pub fn check_config(config: &RoutingConfig) -> Vec<ConfigError> {
    let services: BTreeSet<&str> = config
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let mut errors = Vec::new();
    let mut routes_by_prefix = BTreeMap::new();
    for route in &config.routes {
        check_services(route, &services, &mut errors);
        check_limits(route, &mut errors);
        check_stage_order(route, &mut errors);
        let prefix = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(first) = routes_by_prefix.insert(prefix, route.name.as_str()) {
            errors.push(ConfigError::DuplicatePrefix {
                first: first.to_owned(),
                second: route.name.clone(),
            });
        }
    }
    check_keys(&config.accounts, &mut errors);
    errors
}

fn check_services(route: &Route, services: &BTreeSet<&str>, errors: &mut Vec<ConfigError>) {
    let split = route.split.iter().map(|part| &part.service);
    let stages = route.stages.iter().map(|stage| &stage.service);
    for service in split.chain(stages) {
        if !services.contains(service.as_str()) {
            errors.push(ConfigError::UnknownService {
                route: route.name.clone(),
                service: service.clone(),
            });
        }
    }
}

fn check_limits(route: &Route, errors: &mut Vec<ConfigError>) {
    let name = || route.name.clone();
    let weight: u64 = route.split.iter().map(|part| u64::from(part.weight)).sum();
    if weight == 0 {
        errors.push(ConfigError::ZeroWeight { route: name() });
    }
    if route.timeout_ms == 0 {
        errors.push(ConfigError::ZeroTimeout { route: name() });
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        errors.push(ConfigError::InvalidPrefix { route: name() });
    }
}

fn check_stage_order(route: &Route, errors: &mut Vec<ConfigError>) {
    for (index, stage) in route.stages.iter().enumerate() {
        for after in stage.depends_on.iter().filter(|after| **after >= index) {
            errors.push(ConfigError::InvalidStageOrder {
                route: route.name.clone(),
                stage: index,
                after: *after,
            });
        }
    }
}

fn check_keys(accounts: &[Account], errors: &mut Vec<ConfigError>) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for account in accounts {
        for key in &account.keys {
            match owners.insert(key, &account.name) {
                Some(first) if first != account.name => errors.push(ConfigError::SharedKey {
                    first: first.to_owned(),
                    second: account.name.clone(),
                }),
                _ => {}
            }
        }
    }
}
