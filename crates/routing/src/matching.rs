//! Lookup of the route and the client account of a request.

use std::collections::HashMap;

use crate::{Account, Route, RoutingConfig, Service};

/// A configuration indexed for matching requests.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: RoutingConfig,
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    services: HashMap<String, usize>,
}

/// The route and client account of a request.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a Route,
    /// The account, if the route requires one.
    pub account: Option<&'a Account>,
}

impl RouteTable {
    /// Creates the table of a valid configuration.
    pub fn new(config: RoutingConfig) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(index);
        }
        // Sorted by length, so that the first matching prefix is the longest.
        for routes in by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].path_prefix.len()));
        }
        let keys = config.accounts.iter().enumerate();
        let by_key = keys
            .flat_map(|(index, account)| account.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        let named = config.services.iter().enumerate();
        let services = named
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            config,
            by_host,
            by_key,
            services,
        }
    }

    /// Returns the configuration.
    pub fn config(&self) -> &RoutingConfig {
        &self.config
    }

    /// Finds the route with the longest prefix of the path. The host may include a port.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .map(|index| &self.config.routes[*index])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Finds the account that a key belongs to.
    pub fn find_account(&self, key: &str) -> Option<&Account> {
        let index = self.by_key.get(key)?;
        self.config.accounts.get(*index)
    }

    /// Returns whether a request of this route must carry a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.public && !self.config.accounts.is_empty()
    }

    /// Finds a service by name.
    pub fn find_service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        self.config.services.get(*index)
    }
}
