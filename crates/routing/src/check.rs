//! Checks of a configuration; all faults are told at once.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;

use crate::{Account, Route, RoutingConfig};

/// One fault of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ConfigError {
    /// A route or stage names a service that is not there.
    #[display("route {route}: unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The name that it gives.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[display("routes {first} and {second} share host and prefix")]
    DuplicatePrefix {
        /// The earlier route.
        first: String,
        /// The later route.
        second: String,
    },
    /// The weights of a route add up to nothing.
    #[display("route {route}: the weights add up to 0")]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// A route gives its requests no time.
    #[display("route {route}: the timeout is 0")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[display("route {route}: the prefix does not begin and end with a slash")]
    InvalidPrefix {
        /// The route.
        route: String,
    },
    /// A stage takes results of itself or of a later stage.
    #[display(
        "route {route}: stage {stage} takes results of stage {after}, which is not before it"
    )]
    InvalidStageOrder {
        /// The route.
        route: String,
        /// The stage.
        stage: usize,
        /// The stage that it names.
        after: usize,
    },
    /// Two accounts show the same key. The key itself is secret and is not told.
    #[display("accounts {first} and {second} share a key")]
    SharedKey {
        /// The earlier account.
        first: String,
        /// The later account.
        second: String,
    },
}

/// Returns every fault of a configuration; an empty list where it is valid.
pub fn check_config(config: &RoutingConfig) -> Vec<ConfigError> {
    let services: BTreeSet<&str> = config
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let mut faults = Vec::new();
    let mut routes_by_prefix = BTreeMap::new();
    for route in &config.routes {
        check_services(route, &services, &mut faults);
        check_limits(route, &mut faults);
        check_stage_order(route, &mut faults);
        let prefix = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(first) = routes_by_prefix.insert(prefix, route.name.as_str()) {
            faults.push(ConfigError::DuplicatePrefix {
                first: first.to_owned(),
                second: route.name.clone(),
            });
        }
    }
    check_keys(&config.accounts, &mut faults);
    faults
}

fn check_services(route: &Route, services: &BTreeSet<&str>, faults: &mut Vec<ConfigError>) {
    let split = route.split.iter().map(|part| &part.service);
    let stages = route.stages.iter().map(|stage| &stage.service);
    for service in split.chain(stages) {
        if !services.contains(service.as_str()) {
            faults.push(ConfigError::UnknownService {
                route: route.name.clone(),
                service: service.clone(),
            });
        }
    }
}

fn check_limits(route: &Route, faults: &mut Vec<ConfigError>) {
    let name = || route.name.clone();
    let weight: u64 = route.split.iter().map(|part| u64::from(part.weight)).sum();
    if weight == 0 {
        faults.push(ConfigError::ZeroWeight { route: name() });
    }
    if route.timeout_ms == 0 {
        faults.push(ConfigError::ZeroTimeout { route: name() });
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        faults.push(ConfigError::InvalidPrefix { route: name() });
    }
}

fn check_stage_order(route: &Route, faults: &mut Vec<ConfigError>) {
    for (number, stage) in route.stages.iter().enumerate() {
        for after in stage.depends_on.iter().filter(|after| **after >= number) {
            faults.push(ConfigError::InvalidStageOrder {
                route: route.name.clone(),
                stage: number,
                after: *after,
            });
        }
    }
}

fn check_keys(accounts: &[Account], faults: &mut Vec<ConfigError>) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for account in accounts {
        for key in &account.keys {
            match owners.insert(key, &account.name) {
                Some(first) if first != account.name => faults.push(ConfigError::SharedKey {
                    first: first.to_owned(),
                    second: account.name.clone(),
                }),
                _ => {}
            }
        }
    }
}
