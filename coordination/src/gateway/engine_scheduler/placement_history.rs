//! The recent numbers of placements at the engines of a group.
//!
//! A load report describes an engine up to 200 ms ago. Requests that the scheduler did
//! not place are those of the report less the placements at that time. Compared with the
//! present placements, each turn that has just ended would count as an unknown request,
//! and its slot would stay empty until the next report.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rosebend_state::deployment::EndpointIdentity;

/// Maximum age of a load report that is compared with placements.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(200);
/// Time between the moment that a report describes and its arrival, which is added to
/// its age.
const REPORT_TRANSIT: Duration = Duration::from_millis(30);
/// Time for which numbers are kept.
const RETENTION: Duration = MAX_REPORT_AGE.saturating_add(REPORT_TRANSIT);

/// The recent numbers of placements at each engine of a group.
#[derive(Debug, Default)]
pub struct PlacementHistory {
    engines: HashMap<EndpointIdentity, VecDeque<(Duration, u32)>>,
}

impl PlacementHistory {
    /// Records the number of placements at an engine. It has to be called after each
    /// increase; a decrease may be recorded later.
    pub fn record(&mut self, engine: &EndpointIdentity, placements: u32, now: Duration) {
        if !self.engines.contains_key(engine) {
            self.engines.insert(engine.clone(), VecDeque::new());
        }
        let Some(samples) = self.engines.get_mut(engine) else {
            return;
        };
        if samples.back().is_none_or(|(_, last)| *last != placements) {
            samples.push_back((now, placements));
        }
        // The last sample before the retention time is the number at its begin.
        while samples.get(1).is_some_and(|(at, _)| *at + RETENTION < now) {
            samples.pop_front();
        }
    }

    /// Returns the number of requests at an engine that the scheduler did not place,
    /// according to a load report of this age. A report that is too old counts as none.
    pub fn unplaced_requests(
        &self,
        engine: &EndpointIdentity,
        reported_requests: u32,
        report_age: Duration,
        now: Duration,
    ) -> u32 {
        if report_age > MAX_REPORT_AGE {
            return 0;
        }
        let since = now.saturating_sub(report_age + REPORT_TRANSIT);
        let Some(samples) = self.engines.get(engine) else {
            return reported_requests;
        };
        let before = samples.iter().rev().find(|(at, _)| *at < since);
        let within = samples.iter().filter(|(at, _)| *at >= since);
        let most = within
            .chain(before)
            .map(|(_, placements)| *placements)
            .max();
        reported_requests.saturating_sub(most.unwrap_or(0))
    }

    /// Removes the engines for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&EndpointIdentity) -> bool) {
        self.engines.retain(|engine, _| is_listed(engine));
    }
}
