//! The engines of each service as this host last listed them.
//!
//! Every turn needs the availability zones of its service's engines and the engines that
//! this host avoids. Listing them costs a pass over all endpoints, so the result is used
//! for a short while.

use std::cell::Ref;
use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::deployment::{EndpointIdentity, ServiceName};
use rosebend_state::id::AvailabilityZone;

use crate::gateway::Gateway;

/// Time for which a list is used for turns. Engines join and leave every few seconds.
const MAX_AGE: Duration = Duration::from_millis(100);
/// Time for which a list is used to tell whether engines report a speed. Deployments in
/// which none does should not pay for the lists.
const MAX_SPEED_AGE: Duration = Duration::from_millis(500);

/// The lists of all services that were asked for.
#[derive(Debug, Default)]
pub(super) struct KnownEngines {
    services: HashMap<ServiceName, ServiceEngines>,
}

/// The engines of a service.
#[derive(Debug, Default)]
pub(super) struct ServiceEngines {
    listed_at: Duration,
    /// Whether an engine reported a speed recently.
    reports_speed: bool,
    /// Availability zone of each usable engine.
    zones: HashMap<EndpointIdentity, AvailabilityZone>,
    /// Availability zones that have usable engines, in order.
    pub(super) zone_names: Vec<AvailabilityZone>,
    /// Engines that this host avoids. Those of an availability zone are left out if there
    /// are no others in it, because then they are used.
    pub(super) avoided: Vec<EndpointIdentity>,
}

impl ServiceEngines {
    /// Returns the availability zone of an engine, or `None` if it is not usable.
    pub(super) fn zone(&self, engine: &EndpointIdentity) -> Option<&AvailabilityZone> {
        self.zones.get(engine)
    }
}

/// Returns the engines of a service, which are listed again if the last list is too old.
pub(super) fn of_service<'a>(gateway: &'a Gateway, service: &str) -> Ref<'a, ServiceEngines> {
    not_older_than(gateway, service, MAX_AGE)
}

fn not_older_than<'a>(
    gateway: &'a Gateway,
    service: &str,
    max_age: Duration,
) -> Ref<'a, ServiceEngines> {
    let now = gateway.clock.now();
    let known = &gateway.engine_scheduling.known_engines;
    let is_recent = known.borrow().services.get(service).is_some_and(|engines| {
        !engines.listed_at.is_zero() && now.saturating_sub(engines.listed_at) <= max_age
    });
    if !is_recent {
        list(gateway, service, now);
    }
    Ref::map(known.borrow(), |known| &known.services[service])
}

/// Lists the engines of a service again.
pub(super) fn list(gateway: &Gateway, service: &str, now: Duration) {
    let scheduling = &gateway.engine_scheduling;
    let client = scheduling.client.borrow();
    let directory = gateway.directory.borrow();
    let mut known = scheduling.known_engines.borrow_mut();
    let engines = known.services.entry(service.to_owned()).or_default();
    engines.listed_at = now;
    engines.reports_speed = directory.reports_speed(service, now);
    engines.zones.clear();
    engines.zone_names.clear();
    engines.avoided.clear();
    for (zone, listed) in directory.engines_by_zone(service, now) {
        if !client.schedulers().has_zone(&zone) {
            continue;
        }
        let all_avoided = listed.iter().all(|engine| engine.is_avoided);
        engines.zone_names.push(zone.clone());
        for engine in listed {
            if engine.is_avoided && !all_avoided {
                engines.avoided.push(engine.identity.clone());
            }
            engines.zones.insert(engine.identity, zone.clone());
        }
    }
}

/// Returns whether an engine of the service reported a speed recently.
pub(super) fn reports_speed(gateway: &Gateway, service: &str) -> bool {
    not_older_than(gateway, service, MAX_SPEED_AGE).reports_speed
}
