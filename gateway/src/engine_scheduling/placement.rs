//! A slot at an engine for a turn.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::engine_scheduler::client::{
    Answer, Question, SchedulerClient, Step,
};
use rosebend_coordination::gateway::engine_scheduler::message::{
    GroupId, PlacementOutcome, PlacementRefusal, PlacementRequest, RequestNumber,
};
use rosebend_state::deployment::{EndpointIdentity, InstanceId};
use rosebend_transport::clock::whole_ms;
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_util::hash_parts;
use tokio::sync::Notify;

use super::{is_in_effect, known_engines, messages};
use crate::call::Call;
use crate::exchange::{SelectedEndpoint, WarmEndpoint};
use crate::gateway::Gateway;

/// Maximum number of assigned engines that this host rejects for one turn before it
/// selects an engine itself.
const MAX_REJECTED: usize = 3;

/// The engine of a turn.
#[derive(Debug)]
pub enum Placed {
    /// A scheduler assigned a slot at this engine.
    Assigned(SelectedEndpoint, Placement),
    /// This host selects the engine. The placement, if there is one, records it for the
    /// scheduler.
    Local(Option<Placement>),
    /// The turn cannot end before its deadline and is not sent to an engine.
    TooLate,
}

/// A request to a scheduler. Dropping it releases the slot, or withdraws the turn from the
/// queue.
#[derive(Debug)]
pub struct Placement {
    gateway: Rc<Gateway>,
    number: RequestNumber,
    first_event_ms: Cell<Option<u64>>,
}

impl Placement {
    /// Opens a request to the scheduler of a group. Returns `None` if no scheduler can be
    /// asked.
    pub(super) fn open(
        gateway: &Rc<Gateway>,
        group: &GroupId,
        question: impl FnOnce(RequestNumber) -> Question,
    ) -> Option<Self> {
        let scheduling = &gateway.engine_scheduling;
        let now = gateway.clock.now();
        if scheduling.client.borrow().has_new_scheduler(group, now) {
            // The scheduler has to know this host's turns before it assigns a slot.
            messages::send_reports(gateway, now);
        }
        let number = scheduling.client.borrow_mut().open(group, question, now)?;
        let waiting = Rc::new(Notify::new());
        scheduling.waiting.borrow_mut().insert(number, waiting);
        Some(Self {
            gateway: Rc::clone(gateway),
            number,
            first_event_ms: Cell::new(None),
        })
    }

    /// Sends the request until it is answered. Returns `None` if the scheduler is silent.
    pub(super) async fn answer(&self) -> Option<Answer> {
        let scheduling = &self.gateway.engine_scheduling;
        let waiting = scheduling.waiting.borrow().get(&self.number).cloned()?;
        loop {
            let now = self.gateway.clock.now();
            let step = scheduling.client.borrow_mut().next_step(self.number, now);
            match step {
                Step::Send(outgoing) => {
                    messages::send(&self.gateway, outgoing.address, outgoing.message);
                }
                Step::Wait(time) => {
                    // Either an answer has arrived or the next message is due.
                    let _ = tokio::time::timeout(time, waiting.notified()).await;
                }
                Step::Answered(answer) => return Some(answer),
                Step::Silent(backoff) => {
                    if let Some(backoff) = backoff {
                        self.log_backoff(backoff);
                    }
                    return None;
                }
            }
        }
    }

    fn log_backoff(&self, backoff: Duration) {
        let event = Event::new(EventKind::SchedulerAvoided).wait_ms(whole_ms(backoff));
        log_event(&event.host(&self.scheduler_host()));
    }

    /// Returns the name of the host that was asked.
    pub(super) fn scheduler_host(&self) -> String {
        let client = self.gateway.engine_scheduling.client.borrow();
        let asked = client.asked(self.number);
        asked.map_or_else(String::new, |asked| asked.host.clone())
    }

    /// Records that the turn runs at an engine that this host selected.
    pub fn hold(&self, engine: &EndpointIdentity) {
        let mut client = self.gateway.engine_scheduling.client.borrow_mut();
        client.hold(self.number, engine.clone());
    }

    /// Records the time from sending the turn to its first event.
    pub fn record_first_event(&self, elapsed: Duration) {
        self.first_event_ms.set(Some(whole_ms(elapsed)));
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let scheduling = &self.gateway.engine_scheduling;
        scheduling.waiting.borrow_mut().remove(&self.number);
        let first_event_ms = self.first_event_ms.get();
        let now = self.gateway.clock.now();
        let releases = scheduling
            .client
            .borrow_mut()
            .close(self.number, first_event_ms, now);
        for release in releases {
            messages::send(&self.gateway, release.address, release.message);
        }
    }
}

/// Gets a slot for a turn. `warm` is the engine that may have its prompt in memory, and
/// `tried` are the engines to which the turn was already sent.
pub async fn place(
    gateway: &Rc<Gateway>,
    call: &Call,
    warm: Option<&WarmEndpoint>,
    tried: &[EndpointIdentity],
) -> Placed {
    if !is_in_effect(gateway, call) {
        return Placed::Local(None);
    }
    let asked_at = gateway.clock.now();
    let mut turn = TurnToPlace {
        gateway,
        call,
        warm,
        tried,
        rejected: Vec::new(),
        asked_at,
    };
    for group in turn.groups() {
        match turn.ask_group(&group).await {
            GroupAnswer::Final(placed) => return placed,
            GroupAnswer::NoEngine => {}
        }
    }
    turn.bypass("no-engine", None)
}

/// The answer of one group.
enum GroupAnswer {
    Final(Placed),
    /// The turn may use no engine of the group; another group may have one.
    NoEngine,
}

struct TurnToPlace<'a> {
    gateway: &'a Rc<Gateway>,
    call: &'a Call,
    warm: Option<&'a WarmEndpoint>,
    tried: &'a [EndpointIdentity],
    /// Assigned engines that this host does not use.
    rejected: Vec<EndpointIdentity>,
    asked_at: Duration,
}

impl TurnToPlace<'_> {
    /// Returns the engines of a group that were tried or rejected, or that this host avoids.
    fn excluded(&self, group: &GroupId) -> Vec<InstanceId> {
        let tried = self.tried.iter().chain(&self.rejected);
        let engines = known_engines::of_service(self.gateway, &self.call.service);
        let is_in_group =
            |engine: &&EndpointIdentity| engines.zone(engine) == Some(&group.availability_zone);
        let avoided = engines.avoided.iter().filter(is_in_group);
        let excluded = tried.chain(avoided);
        excluded.map(|engine| engine.instance.clone()).collect()
    }

    /// Returns the groups in the order in which they are asked.
    fn groups(&self) -> Vec<GroupId> {
        let engines = known_engines::of_service(self.gateway, &self.call.service);
        let warm = self.warm.and_then(|warm| engines.zone(&warm.endpoint));
        let now = self.gateway.clock.now();
        let client = self.gateway.engine_scheduling.client.borrow();
        let mut groups = client.groups_to_ask(&self.call.service, &engines.zone_names, warm, now);
        if let Some(admitting) = &*self.call.admitting_group.borrow() {
            // Another group may have refused the program.
            SchedulerClient::<SocketAddr>::ask_first(&mut groups, admitting);
        }
        groups
    }

    async fn ask_group(&mut self, group: &GroupId) -> GroupAnswer {
        for _ in 0..=MAX_REJECTED {
            let excluded = self.excluded(group);
            let question = |number| Question::Place(self.request(number, excluded));
            let Some(placement) = Placement::open(self.gateway, group, question) else {
                return GroupAnswer::Final(self.bypass("no-scheduler", None));
            };
            // The scheduler refuses a waiting turn before its deadline; this is for one that
            // does not.
            let deadline = self.gateway.clock.instant(self.call.deadline);
            let answer = tokio::time::timeout_at(deadline, placement.answer()).await;
            let outcome = match answer {
                Ok(Some(Answer::Placed(outcome))) => outcome,
                Err(_) => PlacementOutcome::Refused {
                    reason: PlacementRefusal::CannotEndInTime,
                    retry_after_ms: 0,
                },
                Ok(Some(Answer::Admitted(_)) | None) => {
                    let placed = self.bypass("scheduler-silent", Some(placement));
                    return GroupAnswer::Final(placed);
                }
            };
            match outcome {
                PlacementOutcome::Assigned(engine) => match self.usable(&engine) {
                    Some(endpoint) => {
                        self.log_assigned(group, &placement, &engine);
                        return GroupAnswer::Final(Placed::Assigned(endpoint, placement));
                    }
                    None => self.rejected.push(engine),
                },
                PlacementOutcome::Refused { reason, .. } => {
                    return self.refused(group, &placement, reason);
                }
                PlacementOutcome::Unavailable | PlacementOutcome::Queued { .. } => {
                    let placed = self.bypass("scheduler-starting", Some(placement));
                    return GroupAnswer::Final(placed);
                }
            }
        }
        GroupAnswer::Final(self.bypass("engine-unusable", None))
    }

    fn request(&self, number: RequestNumber, excluded: Vec<InstanceId>) -> PlacementRequest {
        let now = self.gateway.clock.now();
        let call = self.call;
        PlacementRequest {
            number,
            customer: customer_name(call),
            program: program_hash(call),
            priority: call.urgency(),
            objective_ms: whole_ms(call.route.objective),
            turn_remaining_ms: whole_ms(call.remaining(now)),
            program_remaining_ms: program_remaining_ms(call, now),
            expected_output_tokens: call.header.expected_output_tokens,
            warm_engine: self.warm.map(|warm| warm.endpoint.clone()),
            warm_tokens: self.warm.map_or(0, |warm| warm.tokens),
            excluded,
        }
    }

    /// Returns an assigned engine, or `None` if this host does not list it, or avoids it,
    /// or has tried it.
    fn usable(&self, engine: &EndpointIdentity) -> Option<SelectedEndpoint> {
        let service = &self.call.service;
        if known_engines::of_service(self.gateway, service)
            .zone(engine)
            .is_none()
        {
            // The scheduler may have listed a new engine first.
            known_engines::list(self.gateway, service, self.gateway.clock.now());
        }
        let engines = known_engines::of_service(self.gateway, service);
        let mut tried = self.tried.iter().chain(&self.rejected);
        let is_rejected = tried.any(|tried| tried.instance == engine.instance)
            || engines.avoided.contains(engine)
            || engines.zone(engine).is_none();
        if is_rejected {
            return None;
        }
        let address = self.gateway.directory.borrow().address(engine)?;
        Some(SelectedEndpoint {
            identity: engine.clone(),
            address,
        })
    }

    fn refused(
        &self,
        group: &GroupId,
        placement: &Placement,
        reason: PlacementRefusal,
    ) -> GroupAnswer {
        let word = match reason {
            PlacementRefusal::NoEngine => "no-engine",
            PlacementRefusal::CannotEndInTime => "cannot-end-in-time",
        };
        self.count(word);
        let event = Event::new(EventKind::EngineDenied).reason(word);
        let event = self.with_inputs(event, group, placement);
        self.call.request_log.add_step(event);
        match reason {
            PlacementRefusal::NoEngine => GroupAnswer::NoEngine,
            // A turn that was already sent to an engine may have an answer that the caller
            // has in part, so it is sent to another one.
            PlacementRefusal::CannotEndInTime if !self.tried.is_empty() => {
                GroupAnswer::Final(self.bypass("cannot-end-in-time", None))
            }
            PlacementRefusal::CannotEndInTime => GroupAnswer::Final(Placed::TooLate),
        }
    }

    fn log_assigned(&self, group: &GroupId, placement: &Placement, engine: &EndpointIdentity) {
        self.count("assigned");
        let event = Event::new(EventKind::EnginePlaced).endpoint(&engine.instance);
        let event = self.with_inputs(event, group, placement);
        let is_warm = self.warm.is_some_and(|warm| warm.endpoint == *engine);
        self.call.request_log.add_step(match is_warm {
            true => event.reason("warm"),
            false => event,
        });
    }

    /// Counts and logs that this host selects the engine.
    fn bypass(&self, reason: &'static str, placement: Option<Placement>) -> Placed {
        let elapsed = self.gateway.clock.now().saturating_sub(self.asked_at);
        self.gateway.metrics.scheduling.count_bypass(reason);
        let event = Event::new(EventKind::SchedulerBypassed).reason(reason);
        let event = match &placement {
            Some(placement) => event.host(&placement.scheduler_host()),
            None => event,
        };
        self.call.request_log.add_step(event.elapsed(elapsed));
        Placed::Local(placement)
    }

    fn count(&self, reason: &'static str) {
        let elapsed = self.gateway.clock.now().saturating_sub(self.asked_at);
        let metrics = &self.gateway.metrics.scheduling;
        metrics.count_placement(reason, elapsed);
    }

    fn with_inputs(&self, event: Event, group: &GroupId, placement: &Placement) -> Event {
        let elapsed = self.gateway.clock.now().saturating_sub(self.asked_at);
        with_status(self.gateway, event, group, placement).elapsed(elapsed)
    }
}

/// Adds the scheduler and the status of its group to an event.
pub(super) fn with_status(
    gateway: &Gateway,
    event: Event,
    group: &GroupId,
    placement: &Placement,
) -> Event {
    let event = event.host(&placement.scheduler_host());
    let client = gateway.engine_scheduling.client.borrow();
    match client.status(group, gateway.clock.now()) {
        Some((status, age)) => event
            .count(u64::from(status.free_slots))
            .wait_ms(status.expected_wait_ms)
            .age(age),
        None => event,
    }
}

/// Returns the customer of a call.
pub(super) fn customer_name(call: &Call) -> Option<String> {
    call.customer.as_ref().map(|customer| customer.name.clone())
}

/// Returns a hash of the call's program, or of the call if it belongs to none.
pub(super) fn program_hash(call: &Call) -> u64 {
    let customer = call.customer.as_ref();
    let customer = customer.map_or("", |customer| customer.name.as_str());
    hash_parts(&[customer.as_bytes(), call.affinity_key().as_bytes()])
}

/// Returns the time until the call's program should be finished, if it is known.
pub(super) fn program_remaining_ms(call: &Call, now: Duration) -> Option<u64> {
    let program = call.header.program.as_ref()?;
    let remaining = program.remaining?.saturating_sub(call.elapsed(now));
    Some(whole_ms(remaining))
}
