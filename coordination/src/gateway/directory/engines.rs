//! The engines of one service in one availability zone, for an engine scheduler.

use std::collections::BTreeMap;
use std::time::Duration;

use rosebend_state::deployment::EndpointIdentity;
use rosebend_state::id::AvailabilityZone;

use super::Directory;
use super::endpoint::Endpoint;

/// Work time of an engine without a report, in percent of the usual time.
const USUAL_WORK_TIME_PERCENT: u32 = 100;
/// Failure rate from which an endpoint counts as failing. Two failures in a row exceed
/// it; a single one does not.
const FAILING_RATE: f64 = 0.2;

/// State of a usable engine, as a gateway knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineStatus {
    /// Incarnation of the engine.
    pub identity: EndpointIdentity,
    /// Number of requests that the engine runs at once.
    pub slots: u32,
    /// Expected work time in percent of the usual time; 100 without a report.
    pub work_time_percent: u32,
    /// The last load report, if there was one.
    pub report: Option<RequestReport>,
    /// True if the engine is in backoff or failing, or if its entry expired in an
    /// outage of the store.
    pub is_avoided: bool,
}

/// Number of requests at an engine according to a load report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestReport {
    /// Running and waiting requests of all gateways.
    pub requests: u32,
    /// Age of the report.
    pub age: Duration,
}

impl Directory {
    /// Returns the usable engines of a service in an availability zone, ordered by id.
    /// Engines that drain or whose entry is invalid are left out.
    pub fn engines(
        &self,
        service: &str,
        availability_zone: &str,
        now: Duration,
    ) -> Vec<EngineStatus> {
        let is_listed = |endpoint: &&Endpoint| {
            endpoint.record.service == service
                && endpoint.record.availability_zone == availability_zone
                && endpoint.accepts_requests()
        };
        let engines = self.endpoints.values().filter(is_listed);
        let mut engines: Vec<EngineStatus> = engines
            .map(|endpoint| engine_status(endpoint, now))
            .collect();
        engines.sort_by(|a, b| a.identity.instance.cmp(&b.identity.instance));
        engines
    }

    /// Returns the usable engines of a service in each availability zone that has some, as
    /// [`Self::engines`] does, in one pass over all endpoints.
    pub fn engines_by_zone(
        &self,
        service: &str,
        now: Duration,
    ) -> BTreeMap<AvailabilityZone, Vec<EngineStatus>> {
        let mut zones: BTreeMap<AvailabilityZone, Vec<EngineStatus>> = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            let record = &endpoint.record;
            if record.service == service && endpoint.accepts_requests() {
                let engines = zones.entry(record.availability_zone.clone()).or_default();
                engines.push(engine_status(endpoint, now));
            }
        }
        for engines in zones.values_mut() {
            engines.sort_by(|a, b| a.identity.instance.cmp(&b.identity.instance));
        }
        zones
    }
}

fn engine_status(endpoint: &Endpoint, now: Duration) -> EngineStatus {
    let work_time = endpoint
        .work_time
        .filter(|work_time| work_time.is_recent(now));
    let report = endpoint.load.map(|report| RequestReport {
        // A response or a peer's datagram may contain any numbers.
        requests: report.load.running.saturating_add(report.load.waiting),
        age: now.saturating_sub(report.at),
    });
    EngineStatus {
        identity: endpoint.record.identity.clone(),
        slots: endpoint.record.slots,
        work_time_percent: work_time
            .map_or(USUAL_WORK_TIME_PERCENT, |work_time| work_time.percent(now)),
        report,
        is_avoided: now < endpoint.backoff_until
            || endpoint.failure_rate(now) > FAILING_RATE
            || endpoint.lapse_deadline.is_some(),
    }
}
