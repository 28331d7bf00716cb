//! Which route a request takes, and which of its services serves it.

use std::collections::HashMap;

use rosebend_state::deployment::{Deployment, Route, ServiceName, UnusableRoute};
use rosebend_util::hash_parts;

/// The routes of one version, by host.
#[derive(Clone, Debug)]
pub struct RouteTable {
    deployment: Deployment,
    /// Where the routes stand, longest prefix first.
    by_host: HashMap<String, Vec<Place>>,
}

/// Index of a route in its list of the deployment.
#[derive(Clone, Copy, Debug)]
enum Place {
    Usable(usize),
    Unusable(usize),
}

/// Why no route serves a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// There is none for its host and path.
    Unknown,
    /// The route that it takes has a value that can't be used. The request goes
    /// to no other: it might be run more often there than it may be.
    Unusable,
}

impl RouteTable {
    /// Indexes a deployment.
    pub fn new(deployment: Deployment) -> Self {
        let mut table = Self {
            by_host: HashMap::new(),
            deployment,
        };
        for index in 0..table.deployment.routes.len() {
            let host = table.deployment.routes[index].host.clone();
            table.add(&host, Place::Usable(index));
        }
        for index in 0..table.deployment.unusable_routes.len() {
            let host = table.deployment.unusable_routes[index].host.clone();
            table.add(&host, Place::Unusable(index));
        }
        table.sort();
        table
    }

    fn add(&mut self, host: &str, place: Place) {
        let host = host.to_ascii_lowercase();
        self.by_host.entry(host).or_default().push(place);
    }

    fn sort(&mut self) {
        let mut by_host = std::mem::take(&mut self.by_host);
        for places in by_host.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(self.prefix(*place).len()));
        }
        self.by_host = by_host;
    }

    fn prefix(&self, place: Place) -> &str {
        match place {
            Place::Usable(index) => &self.deployment.routes[index].prefix,
            Place::Unusable(index) => &self.deployment.unusable_routes[index].prefix,
        }
    }

    /// The deployment that the table was made of.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Routes that can't be used.
    pub fn unusable_routes(&self) -> &[UnusableRoute] {
        &self.deployment.unusable_routes
    }

    /// The route of a request: of those of its host, the one with the longest
    /// prefix that begins the path.
    ///
    /// # Errors
    ///
    /// Tells why no route serves it.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, RouteError> {
        let host = without_port(host).to_ascii_lowercase();
        let places = self.by_host.get(&host).ok_or(RouteError::Unknown)?;
        let mut places = places.iter();
        let place = places.find(|place| path.starts_with(self.prefix(**place)));
        match place.ok_or(RouteError::Unknown)? {
            Place::Usable(index) => Ok(&self.deployment.routes[*index]),
            Place::Unusable(_) => Err(RouteError::Unusable),
        }
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
