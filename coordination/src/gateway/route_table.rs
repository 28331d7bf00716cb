//! Selects the route of a request, and the service of the route that serves it.

use std::collections::HashMap;

use rosebend_state::deployment::{Deployment, Route, ServiceName, UnusableRoute};
use rosebend_util::hash_parts;

/// The routes of one deployment version, indexed by host name.
#[derive(Clone, Debug)]
pub struct RouteTable {
    deployment: Deployment,
    /// Indexes of the routes of each host, in descending order of prefix length.
    by_host: HashMap<String, Vec<RouteIndex>>,
}

/// Index of a route in its list of the deployment.
#[derive(Clone, Copy, Debug)]
enum RouteIndex {
    Usable(usize),
    Unusable(usize),
}

/// Reason for which no route serves a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// No route matches the host and path.
    Unknown,
    /// The matching route has an invalid value. The request is not passed to a route
    /// with a shorter prefix, which might run it more often than is allowed.
    Unusable,
}

impl RouteTable {
    /// Creates the index of a deployment.
    pub fn new(deployment: Deployment) -> Self {
        let mut table = Self {
            by_host: HashMap::new(),
            deployment,
        };
        for index in 0..table.deployment.routes.len() {
            let host = table.deployment.routes[index].host.clone();
            table.add(&host, RouteIndex::Usable(index));
        }
        for index in 0..table.deployment.unusable_routes.len() {
            let host = table.deployment.unusable_routes[index].host.clone();
            table.add(&host, RouteIndex::Unusable(index));
        }
        table.sort_by_prefix_length();
        table
    }

    fn add(&mut self, host: &str, route_index: RouteIndex) {
        let host = host.to_ascii_lowercase();
        self.by_host.entry(host).or_default().push(route_index);
    }

    fn sort_by_prefix_length(&mut self) {
        let mut by_host = std::mem::take(&mut self.by_host);
        for route_indexes in by_host.values_mut() {
            route_indexes
                .sort_by_key(|route_index| std::cmp::Reverse(self.prefix(*route_index).len()));
        }
        self.by_host = by_host;
    }

    fn prefix(&self, route_index: RouteIndex) -> &str {
        match route_index {
            RouteIndex::Usable(index) => &self.deployment.routes[index].prefix,
            RouteIndex::Unusable(index) => &self.deployment.unusable_routes[index].prefix,
        }
    }

    /// Returns the deployment that the table indexes.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the routes with invalid values.
    pub fn unusable_routes(&self) -> &[UnusableRoute] {
        &self.deployment.unusable_routes
    }

    /// Returns the route of a request, which is the route of its host with the
    /// longest prefix of the path.
    ///
    /// # Errors
    ///
    /// Returns the reason for which no route serves the request.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, RouteError> {
        let host = strip_port(host).to_ascii_lowercase();
        let route_indexes = self.by_host.get(&host).ok_or(RouteError::Unknown)?;
        let mut route_indexes = route_indexes.iter();
        let route_index =
            route_indexes.find(|route_index| path.starts_with(self.prefix(**route_index)));
        match route_index.ok_or(RouteError::Unknown)? {
            RouteIndex::Usable(index) => Ok(&self.deployment.routes[*index]),
            RouteIndex::Unusable(_) => Err(RouteError::Unusable),
        }
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Selects the service that serves a request of a route, by a hash that follows the
/// weights of the services.
///
/// The same `affinity_key` selects the same service as long as the weights are
/// unchanged, so that the turns of a program go to the same engines.
pub fn service_for<'a>(route: &'a Route, affinity_key: &str) -> &'a ServiceName {
    let total: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    let mut point = hash_parts(&[route.name.as_bytes(), affinity_key.as_bytes()]) % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return &target.service;
        }
        point -= weight;
    }
    &route.targets[0].service
}
