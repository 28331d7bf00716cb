//! The groups of engines that this host schedules.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rosebend_coordination::gateway::engine_scheduler::message::{
    AdmissionOutcome, AdmissionRequest, GroupId, GroupStatus, HeldPlacement, MessageContent,
    PlacementOutcome, PlacementRequest, ReleasedPlacement, RequestNumber, SchedulerMessage,
};
use rosebend_coordination::gateway::engine_scheduler::placement_history::PlacementHistory;
use rosebend_coordination::gateway::engine_scheduler::{EngineScheduler, EngineState};
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_state::deployment::{Customers, DeploymentVersion, RouteKind};

use super::{is_service_scheduled, messages};
use crate::gateway::Gateway;

/// Interval at which the engines of a group are listed again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the last message about it for which a group is kept that this host does
/// not schedule by its own table.
const UNUSED_RETENTION: Duration = Duration::from_secs(10);
/// Interval at which this host checks which groups it schedules.
const OPEN_INTERVAL: Duration = Duration::from_millis(250);

/// The groups that this host schedules.
#[derive(Debug, Default)]
pub(super) struct ScheduledGroups {
    groups: HashMap<GroupId, ScheduledGroup>,
    opened_at: Option<Duration>,
}

impl ScheduledGroups {
    /// Returns whether turns wait at any group.
    pub(super) fn has_waiting(&self) -> bool {
        self.groups.values().any(|group| group.has_waiting)
    }
}

/// A group that this host schedules.
#[derive(Debug)]
pub(super) struct ScheduledGroup {
    scheduler: EngineScheduler,
    history: PlacementHistory,
    refreshed_at: Option<Duration>,
    /// Version of the routes from which the weights of customers were taken.
    weights_version: Option<DeploymentVersion>,
    used_at: Duration,
    /// Whether turns waited when the group last changed.
    has_waiting: bool,
}

impl ScheduledGroup {
    fn new(now: Duration) -> Self {
        Self {
            scheduler: EngineScheduler::new(),
            history: PlacementHistory::default(),
            refreshed_at: None,
            weights_version: None,
            used_at: now,
            has_waiting: false,
        }
    }

    /// Gives the scheduler the usable engines, unless it got them just before.
    fn refresh(&mut self, gateway: &Gateway, id: &GroupId, now: Duration) {
        let refreshed_at = self.refreshed_at;
        if refreshed_at.is_some_and(|at| now.saturating_sub(at) < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at = Some(now);
        let directory = gateway.directory.borrow();
        let listed = directory.engines(&id.service, &id.availability_zone, now);
        let history = &mut self.history;
        let identities: HashSet<_> = listed.iter().map(|engine| &engine.identity).collect();
        history.retain(|engine| identities.contains(engine));
        let mut engines = Vec::with_capacity(listed.len());
        for engine in listed {
            let placements = self.scheduler.placements_at(&engine.identity);
            history.record(&engine.identity, placements, now);
            let unplaced_requests = engine.report.map_or(0, |report| {
                history.unplaced_requests(&engine.identity, report.requests, report.age, now)
            });
            engines.push(EngineState {
                identity: engine.identity,
                slots: engine.slots,
                work_time_percent: engine.work_time_percent,
                unplaced_requests,
                is_avoided: engine.is_avoided,
            });
        }
        self.scheduler.set_engines(engines, now);
        self.refresh_weights(gateway);
    }

    /// Gives the scheduler the rate limits of customers if the routes have changed.
    fn refresh_weights(&mut self, gateway: &Gateway) {
        let Some(routes) = gateway.routes() else {
            return;
        };
        let deployment = routes.deployment();
        if self.weights_version.replace(deployment.version) == Some(deployment.version) {
            return;
        }
        let limits = deployment.customers.as_ref().map(Customers::limits);
        let weights = limits.unwrap_or_default().into_iter();
        let weights = weights.map(|(customer, limit)| (customer, limit.rate_per_s));
        self.scheduler.set_share_weights(weights.collect());
    }

    fn record_assignment(&mut self, outcome: &PlacementOutcome, now: Duration) {
        if let PlacementOutcome::Assigned(engine) = outcome {
            let placements = self.scheduler.placements_at(engine);
            self.history.record(engine, placements, now);
        }
    }

    /// Handles a placement request.
    pub(super) fn place(
        &mut self,
        from: &ProcessId,
        request: &PlacementRequest,
        now: Duration,
    ) -> PlacementOutcome {
        let outcome = self.scheduler.place(from, request, now);
        self.record_assignment(&outcome, now);
        self.has_waiting |= matches!(outcome, PlacementOutcome::Queued { .. });
        outcome
    }

    /// Decides whether a program may start.
    pub(super) fn admit(
        &mut self,
        from: &ProcessId,
        request: &AdmissionRequest,
        now: Duration,
    ) -> AdmissionOutcome {
        self.scheduler.admit(from, request, now)
    }

    /// Ends placements.
    pub(super) fn release(
        &mut self,
        from: &ProcessId,
        released: &[ReleasedPlacement],
        now: Duration,
    ) {
        self.scheduler.release(from, released, now);
    }

    /// Replaces the placements of a host.
    pub(super) fn report_held(&mut self, from: &ProcessId, held: &[HeldPlacement], now: Duration) {
        self.scheduler.report_held(from, held, now);
    }

    /// Returns the state of the group.
    pub(super) fn status(&self, now: Duration) -> GroupStatus {
        self.scheduler.status(now)
    }

    /// Returns the state of the group, or `None` while the scheduler learns which turns run:
    /// its status then looks like that of an idle group.
    pub(super) fn known_status(&self, now: Duration) -> Option<GroupStatus> {
        (!self.scheduler.is_learning(now)).then(|| self.status(now))
    }

    fn advance(&mut self, now: Duration) -> Vec<(ProcessId, RequestNumber, PlacementOutcome)> {
        let answers = self.scheduler.advance(now);
        for (_, _, outcome) in &answers {
            self.record_assignment(outcome, now);
        }
        self.has_waiting = self.scheduler.status(now).waiting > 0;
        answers
    }
}

/// Applies a message to a group, which is created if this host does not schedule it yet.
/// Returns `None` if the group is not one that this host may schedule.
pub(super) fn with_group<T>(
    gateway: &Gateway,
    id: &GroupId,
    now: Duration,
    apply: impl FnOnce(&mut ScheduledGroup) -> T,
) -> Option<T> {
    let mut groups = gateway.engine_scheduling.groups.borrow_mut();
    if !groups.groups.contains_key(id) {
        // Only declared services are scheduled, so that messages cannot create more groups.
        let is_declared = gateway
            .routes()
            .is_some_and(|routes| routes.deployment().services.contains_key(&id.service));
        if !is_declared || id.availability_zone != gateway.settings().availability_zone {
            return None;
        }
        groups.groups.insert(id.clone(), ScheduledGroup::new(now));
    }
    let group = groups.groups.get_mut(id)?;
    group.used_at = now;
    group.refresh(gateway, id, now);
    Some(apply(group))
}

/// Returns the groups that this host schedules.
pub(super) fn scheduled(gateway: &Gateway) -> Vec<GroupId> {
    let groups = gateway.engine_scheduling.groups.borrow();
    groups.groups.keys().cloned().collect()
}

/// Creates the groups of which this host is the scheduler by its own table, so that they
/// know the running turns when the first request arrives. Removes groups that are not
/// used any more.
pub(super) fn open_own(gateway: &Gateway, now: Duration) {
    let scheduling = &gateway.engine_scheduling;
    let opened_at = scheduling.groups.borrow().opened_at;
    if opened_at.is_some_and(|at| now.saturating_sub(at) < OPEN_INTERVAL) {
        return;
    }
    scheduling.groups.borrow_mut().opened_at = Some(now);
    let Some(routes) = gateway.routes() else {
        return;
    };
    let availability_zone = gateway.settings().availability_zone.clone();
    let routes = routes.deployment().routes.iter();
    let streaming = routes.filter(|route| route.kind == RouteKind::Streaming);
    for target in streaming.flat_map(|route| &route.targets) {
        let id = GroupId {
            service: target.service.clone(),
            availability_zone: availability_zone.clone(),
        };
        if is_service_scheduled(gateway, &id.service) && scheduling.client.borrow().is_own(&id, now)
        {
            with_group(gateway, &id, now, |_| {});
        }
    }
    let mut groups = scheduling.groups.borrow_mut();
    groups
        .groups
        .retain(|_, group| now.saturating_sub(group.used_at) <= UNUSED_RETENTION);
}

/// Assigns the free slots of a group and sends the answers to the turns that waited.
pub(super) fn advance(gateway: &Gateway, id: &GroupId, now: Duration) {
    let (answers, status) = {
        let mut groups = gateway.engine_scheduling.groups.borrow_mut();
        let Some(group) = groups.groups.get_mut(id) else {
            return;
        };
        group.refresh(gateway, id, now);
        let answers = group.advance(now);
        (answers, group.status(now))
    };
    for (to, number, outcome) in answers {
        let message = SchedulerMessage {
            from: gateway.commits.process_id().clone(),
            to,
            group: id.clone(),
            content: MessageContent::Placed {
                number,
                outcome,
                status,
            },
        };
        messages::send_to_process(gateway, message);
    }
}

/// Sets the gauges of the groups that this host schedules.
pub(super) fn update_gauges(gateway: &Gateway, now: Duration) {
    let groups = gateway.engine_scheduling.groups.borrow();
    let statuses = groups.groups.values().map(|group| group.status(now));
    let sum = statuses.fold(GroupStatus::default(), |sum, status| GroupStatus {
        free_slots: sum.free_slots.saturating_add(status.free_slots),
        waiting: sum.waiting.saturating_add(status.waiting),
        expected_wait_ms: sum.expected_wait_ms.max(status.expected_wait_ms),
    });
    let groups = groups.groups.len() as u64;
    let scheduling = &gateway.metrics.scheduling;
    scheduling.set_groups(groups, &sum);
}
