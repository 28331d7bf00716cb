//! Faults of a trace, load reports and samples.

use std::time::Duration;

use rosebend_coordination::queue::LoadView;
use rosebend_coordination::retry::RetryReason;
use rosebend_coordination::routing::{CallEnd, EndpointState};

use super::{Event, REPORT_INTERVAL_US, Replay, SAMPLE_INTERVAL_US, Work};
use crate::program::HOP_US;
use crate::site::Backend;
use crate::trace::FaultKind;

/// Time between looks whether a leaving endpoint is idle.
const DRAIN_LOOK_US: u64 = 100_000;

impl Replay<'_> {
    pub(super) fn fault_begins(&mut self, index: usize) {
        let fault = &self.trace.faults[index];
        let site = self.site_by_id[&fault.endpoint];
        let lasts_us = fault.for_ms * 1_000;
        match fault.kind {
            FaultKind::Slow(factor) => self.set_slow(site, factor),
            FaultKind::Crash => self.crash(site),
            FaultKind::Restart if !self.drain(site) => {
                return self.after(DRAIN_LOOK_US, Event::FaultBegins(index));
            }
            FaultKind::Restart => {}
        }
        self.after(lasts_us, Event::FaultEnds(index));
    }

    pub(super) fn fault_ends(&mut self, index: usize) {
        let fault = &self.trace.faults[index];
        let site = self.site_by_id[&fault.endpoint];
        match fault.kind {
            FaultKind::Slow(_) => self.set_slow(site, 1),
            FaultKind::Crash => self.sites[site].state = EndpointState::Live,
            FaultKind::Restart => self.sites[site].restart(),
        }
    }

    /// Every endpoint that runs tells its load; entries hear of it late.
    pub(super) fn report(&mut self) {
        let lag_us = self.trace.setting("report_lag_ms", 500) * 1_000;
        for site in 0..self.sites.len() {
            if self.sites[site].state != EndpointState::Live {
                continue;
            }
            let incarnation = self.sites[site].incarnation();
            let load = self.sites[site].load();
            let age = Duration::from_micros(lag_us);
            self.after(lag_us, Event::Reported(site, incarnation, load, age));
        }
        self.after(REPORT_INTERVAL_US, Event::Report);
    }

    pub(super) fn reported(
        &mut self,
        site: usize,
        incarnation: &String,
        load: LoadView,
        age: Duration,
    ) {
        let now = self.now();
        let id = &self.sites[site].id;
        for router in &mut self.routers {
            router.report(now, id, incarnation, age, load);
        }
    }

    pub(super) fn sample(&mut self) {
        let engines = self.sites.iter().filter(|site| {
            site.state == EndpointState::Live && matches!(site.backend, Backend::Engine(_))
        });
        let calls = engines.map(|site| site.load().running + site.load().queued);
        let calls: Vec<u64> = calls.collect();
        let mean = calls.iter().sum::<u64>() as f64 / calls.len().max(1) as f64;
        let largest = calls.into_iter().max().unwrap_or(0);
        self.measures.spread.push((largest, mean));
        self.after(SAMPLE_INTERVAL_US, Event::Sample);
    }

    fn set_slow(&mut self, site: usize, factor: u64) {
        match &mut self.sites[site].backend {
            Backend::Engine(engine) => engine.slow_factor = factor,
            Backend::Service { slow_factor } => *slow_factor = factor,
        }
    }

    /// Takes an endpoint out of service; tells whether its calls have ended.
    fn drain(&mut self, site: usize) -> bool {
        let id = self.sites[site].id.clone();
        if self.sites[site].state == EndpointState::Live {
            self.sites[site].state = EndpointState::Leaving;
            for router in &mut self.routers {
                router.leaving(&id);
            }
        }
        if !self.sites[site].calls.is_empty() {
            return false;
        }
        self.free_all_of_site(site);
        self.sites[site].crash();
        true
    }

    fn crash(&mut self, site: usize) {
        self.free_all_of_site(site);
        let queue = &self.sites[site].queue;
        let was_running = |call: usize| queue.is_running(&self.calls[call].id);
        let calls: Vec<(usize, bool)> = self.sites[site]
            .calls
            .values()
            .map(|&call| (call, was_running(call)))
            .collect();
        self.sites[site].crash();
        for (call, was_running) in calls {
            self.lost_in_crash(site, call, was_running);
        }
    }

    fn lost_in_crash(&mut self, site: usize, index: usize, was_running: bool) {
        let entry = self.entry(index);
        let now = self.now();
        let endpoint = self.sites[site].id.clone();
        self.routers[entry].ended(now, &self.calls[index].id, CallEnd::Failed);
        self.routers[entry].down(now, &endpoint);
        let repeatable = match self.calls[index].work {
            Work::Model { .. } => true,
            Work::Tool { repeatable, .. } => repeatable,
        };
        if was_running && !repeatable {
            // It may have acted; it is never sent again.
            self.measures.count("unknown");
            self.calls[index].attempt += 1;
            let thread = self.calls[index].thread;
            return self.after(2 * HOP_US, Event::Advance(thread));
        }
        self.send_again(index, RetryReason::EndpointDown);
    }
}
