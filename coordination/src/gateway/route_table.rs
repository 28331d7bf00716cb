//! Which route a request takes, and which of its services serves it.

use std::collections::HashMap;

use rosebend_state::deployment::{Deployment, Route, ServiceName};
use rosebend_util::hash_parts;

/// The routes of one version, by host.
#[derive(Clone, Debug)]
pub struct RouteTable {
    deployment: Deployment,
    /// Indexes into the deployment's routes, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Indexes a deployment.
    pub fn new(deployment: Deployment) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in deployment.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(deployment.routes[*index].prefix.len()));
        }
        Self {
            deployment,
            by_host,
        }
    }

    /// The deployment that the table was made of.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// The route of a request: of those of its host, the one with the longest
    /// prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host).to_ascii_lowercase();
        let indexes = self.by_host.get(&host)?;
        let mut routes = indexes.iter().map(|index| &self.deployment.routes[*index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// The service that serves a request of a route.
///
/// The same subject goes to the same service as long as the shares stay, so
/// that a program does not change its engines from one turn to the next.
pub fn service_for<'a>(route: &'a Route, subject: &str) -> &'a ServiceName {
    let total: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    let mut point = hash_parts(&[route.name.as_bytes(), subject.as_bytes()]) % total.max(1);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return &target.service;
        }
        point -= weight;
    }
    &route.targets[0].service
}
