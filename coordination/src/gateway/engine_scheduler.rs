//! Schedules the turns of all hosts on a group of model engines.
//!
//! The engines of one service in one availability zone form a group. One gateway
//! schedules each group: it assigns the slots of the engines to turns, so that no
//! turn waits at one engine while another one has a free slot, and turns that have to
//! wait do so in a defined order.
//!
//! | subject | module |
//! |---|---|
//! | engines, their free slots, and the choice of an engine | `engines` |
//! | smoothed durations of turns | `estimates` |
//! | turns of each host, and answers to repeated requests | `holders` |
//! | order of the waiting turns | `queue` |
//! | retry time of refused programs, and their return | `returns` |
//! | engine time and shares of customers | `shares` |
//! | admission of new programs | `starts` |
//! | messages between hosts | [`message`] |
//!
//! [`EngineScheduler`] combines them for one group. All of its state is soft: it starts
//! empty, learns from the reports of the hosts which turns are running, and forgets a host
//! that is silent.

use std::collections::HashSet;
use std::time::Duration;

use rosebend_state::deployment::EndpointIdentity;

pub use self::engines::EngineState;
use self::engines::{EngineChoice, Engines};
use self::estimates::Estimates;
use self::holders::{Holders, Placement, Turn};
use self::message::{
    AdmissionOutcome, AdmissionRequest, GroupStatus, HeldPlacement, PlacementOutcome,
    PlacementRefusal, PlacementRequest, ReleasedPlacement, RequestNumber,
};
use self::queue::{QueueKey, TurnQueue, WaitingTurn};
use self::returns::{Returns, retry_after_ms};
use self::shares::Shares;
use self::starts::{PendingStarts, StartLoad};
use crate::gateway::ledger::ProcessId;

mod engines;
mod estimates;
mod holders;
pub mod message;
mod queue;
mod returns;
mod shares;
mod starts;

/// Time for which a new scheduler assigns nothing. Hosts report the placements that they
/// hold every 250 ms.
const LEARNING_TIME: Duration = Duration::from_millis(500);
/// Time after an assignment in which a report that does not name it may be older.
const REPORT_TOLERANCE: Duration = Duration::from_millis(300);
/// Retry time while no engine can be used, in milliseconds. An engine that restarts is
/// away for longer, and a retry at another host may find another group.
const NO_ENGINE_RETRY_MS: f64 = 250.0;

/// Scheduler of one group of engines.
///
/// After each call that changes the state, [`Self::advance`] has to be called: it returns
/// the answers to turns that waited.
#[derive(Debug, Default)]
pub struct EngineScheduler {
    /// Time of the first call.
    started_at: Option<Duration>,
    engines: Engines,
    estimates: Estimates,
    holders: Holders,
    queue: TurnQueue,
    shares: Shares,
    starts: PendingStarts,
    returns: Returns,
    /// Whether the engines have changed since waiting turns were last checked for engines
    /// that they may use.
    engines_changed: bool,
}

impl EngineScheduler {
    /// Creates the scheduler of a group without engines.
    ///
    /// It answers `Unavailable` for the first 500 ms after the first call of any method
    /// that takes the time and changes the state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the set of usable engines. Engines missing from the new set get no further
    /// turns; the turns that they run keep their placements.
    pub fn set_engines(&mut self, engines: Vec<EngineState>, now: Duration) {
        self.record_start(now);
        self.engines.set(engines);
        self.engines_changed = true;
    }

    /// Returns the number of placements at an engine, from which the caller derives
    /// [`EngineState::unplaced_requests`].
    pub fn placements_at(&self, engine: &EndpointIdentity) -> u32 {
        self.engines.placements_at(engine)
    }

    /// Handles a placement request of a host. A repeated request (same process and number)
    /// gets the same answer and no second slot.
    pub fn place(
        &mut self,
        from: &ProcessId,
        request: &PlacementRequest,
        now: Duration,
    ) -> PlacementOutcome {
        let is_learning = self.is_learning(now);
        let holder = self.holders.heard(from, now);
        if let Some(answer) = holder.ended.get(request.number, now) {
            return answer;
        }
        match holder.turns.get_mut(&request.number) {
            Some(Turn::Placed(placement)) => {
                placement.confirmed_at = now;
                return PlacementOutcome::Assigned(placement.engine.clone());
            }
            Some(Turn::Waiting(key)) => {
                let key = *key;
                return self.repeat_wait(&key, now);
            }
            None if is_learning => return PlacementOutcome::Unavailable,
            None => {}
        }
        self.starts.remove(request.program);
        self.estimates.record_output(request.expected_output_tokens);
        self.place_new(from, request, now)
    }

    /// Decides whether a new program may start; assigns nothing.
    pub fn admit(
        &mut self,
        from: &ProcessId,
        request: &AdmissionRequest,
        now: Duration,
    ) -> AdmissionOutcome {
        let is_learning = self.is_learning(now);
        let holder = self.holders.heard(from, now);
        if is_learning {
            return AdmissionOutcome::Unavailable;
        }
        if let Some(answer) = holder.admissions.get(request.number, now) {
            return answer;
        }
        let outcome = self.admit_new(request, now);
        let holder = self.holders.heard(from, now);
        holder
            .admissions
            .insert(request.number, outcome.clone(), now);
        outcome
    }

    /// Ends placements: their slots become free, and their waiting turns leave the queue.
    pub fn release(&mut self, from: &ProcessId, released: &[ReleasedPlacement], now: Duration) {
        self.record_start(now);
        for ended in released {
            let holder = self.holders.heard(from, now);
            // A copy of the request that arrives after the release gets the same answer and
            // no slot.
            let answer = match holder.turns.remove(&ended.number) {
                Some(turn) => {
                    self.record_released(&turn, ended, now);
                    self.end(turn, now)
                }
                None => PlacementOutcome::Unavailable,
            };
            let holder = self.holders.heard(from, now);
            if holder.ended.get(ended.number, now).is_none() {
                holder.ended.insert(ended.number, answer, now);
            }
        }
    }

    /// Replaces the set of placements that a host holds. Placements that the host does not
    /// name have ended, unless they were assigned less than 300 ms ago: the report may be
    /// older.
    pub fn report_held(&mut self, from: &ProcessId, held: &[HeldPlacement], now: Duration) {
        self.record_start(now);
        self.holders.heard(from, now);
        for placement in held {
            if let Some(engine) = &placement.engine {
                self.learn(from, placement.number, engine, now);
            }
        }
        let named: HashSet<RequestNumber> = held.iter().map(|held| held.number).collect();
        let queue = &mut self.queue;
        let holder = self.holders.heard(from, now);
        let ended = holder.turns.extract_if(|number, turn| {
            let confirmed_at = match turn {
                Turn::Placed(placement) => Some(placement.confirmed_at),
                Turn::Waiting(key) => queue.get_mut(key).map(|waiting| waiting.repeated_at),
            };
            !named.contains(number) && confirmed_at.is_none_or(|at| at + REPORT_TOLERANCE <= now)
        });
        let ended: Vec<Turn> = ended.map(|(_, turn)| turn).collect();
        for turn in ended {
            self.end(turn, now);
        }
    }

    /// Assigns free slots to waiting turns and ends expired placements. Returns the answers
    /// to send.
    pub fn advance(&mut self, now: Duration) -> Vec<(ProcessId, u64, PlacementOutcome)> {
        self.record_start(now);
        for turn in self.holders.take_silent(now) {
            self.end(turn, now);
        }
        let mut answers = Vec::new();
        self.end_expired_waits(now, &mut answers);
        self.assign_free_slots(now, &mut answers);
        answers
    }

    /// Returns the state of the group.
    pub fn status(&self, now: Duration) -> GroupStatus {
        let started_at = self.started_at;
        if started_at.is_none_or(|started_at| now < started_at + LEARNING_TIME) {
            return GroupStatus::default();
        }
        GroupStatus {
            free_slots: self.engines.free_slots(),
            waiting: self.queue.len() as u32,
            expected_wait_ms: self.wait_ms(self.queue.len()) as u64,
        }
    }

    fn record_start(&mut self, now: Duration) {
        self.started_at.get_or_insert(now);
    }

    fn is_learning(&mut self, now: Duration) -> bool {
        let started_at = *self.started_at.get_or_insert(now);
        now < started_at + LEARNING_TIME
    }

    /// Returns the expected wait behind a number of waiting turns, in milliseconds.
    fn wait_ms(&self, ahead: usize) -> f64 {
        if self.engines.free_slots() > 0 {
            return 0.0;
        }
        self.estimates.wait_ms(ahead, self.engines.slots())
    }
}

/// Placement of turns.
impl EngineScheduler {
    fn repeat_wait(&mut self, key: &QueueKey, now: Duration) -> PlacementOutcome {
        if let Some(waiting) = self.queue.get_mut(key) {
            waiting.repeated_at = now;
        }
        let expected_wait_ms = self.wait_ms(self.queue.ahead(key)) as u64;
        PlacementOutcome::Queued { expected_wait_ms }
    }

    fn place_new(
        &mut self,
        from: &ProcessId,
        request: &PlacementRequest,
        now: Duration,
    ) -> PlacementOutcome {
        let choice = self.engines.choose(request, &self.estimates);
        let key = self.queue.key(request, now);
        let wait_ms = self.wait_ms(self.queue.ahead(&key));
        let needed_ms = wait_ms + self.estimates.first_event_ms();
        let cannot_end = (request.turn_remaining_ms as f64) < needed_ms;
        match choice {
            EngineChoice::NoEngine => self.refuse(from, request, PlacementRefusal::NoEngine, now),
            _ if cannot_end => self.refuse(from, request, PlacementRefusal::CannotEndInTime, now),
            // A turn does not overtake waiting turns, which `advance` places in order.
            EngineChoice::Free(engine) if self.queue.len() == 0 => {
                self.assign(from, request, &engine, now);
                PlacementOutcome::Assigned(engine)
            }
            EngineChoice::Free(_) | EngineChoice::Full => {
                self.enqueue(from, request, key, now);
                PlacementOutcome::Queued {
                    expected_wait_ms: wait_ms as u64,
                }
            }
        }
    }

    fn enqueue(
        &mut self,
        from: &ProcessId,
        request: &PlacementRequest,
        key: QueueKey,
        now: Duration,
    ) {
        let turn = WaitingTurn {
            process: from.clone(),
            request: request.clone(),
            deadline: now + Duration::from_millis(request.turn_remaining_ms),
            repeated_at: now,
        };
        let first_event_ms = self.estimates.first_event_ms();
        self.queue.insert(key, turn, first_event_ms);
        self.shares.start_wait(request.customer.as_ref(), now);
        let holder = self.holders.heard(from, now);
        holder.turns.insert(request.number, Turn::Waiting(key));
    }

    /// Gives a turn a slot. The host is known.
    fn assign(
        &mut self,
        to: &ProcessId,
        request: &PlacementRequest,
        engine: &EndpointIdentity,
        now: Duration,
    ) {
        self.engines.add(engine);
        self.shares.start_slot(request.customer.as_ref(), now);
        let placement = Placement {
            engine: engine.clone(),
            customer: request.customer.clone(),
            assigned_at: now,
            confirmed_at: now,
            work_time_percent: self.engines.work_time_percent(engine),
        };
        if let Some(holder) = self.holders.get_mut(to) {
            holder.turns.insert(request.number, Turn::Placed(placement));
        }
    }

    /// Refuses a turn and remembers the answer for copies of the request.
    fn refuse(
        &mut self,
        to: &ProcessId,
        request: &PlacementRequest,
        reason: PlacementRefusal,
        now: Duration,
    ) -> PlacementOutcome {
        let delay_ms = match reason {
            PlacementRefusal::NoEngine => NO_ENGINE_RETRY_MS,
            PlacementRefusal::CannotEndInTime => self.wait_ms(self.queue.len()),
        };
        let outcome = PlacementOutcome::Refused {
            reason,
            retry_after_ms: retry_after_ms(delay_ms, request.program, request.turn_remaining_ms),
        };
        if let Some(holder) = self.holders.get_mut(to) {
            holder.turns.remove(&request.number);
            holder.ended.insert(request.number, outcome.clone(), now);
        }
        outcome
    }

    fn record_released(&mut self, turn: &Turn, ended: &ReleasedPlacement, now: Duration) {
        if let Turn::Placed(placement) = turn {
            let held = now.saturating_sub(placement.assigned_at);
            let work_time_percent = placement.work_time_percent;
            self.estimates.record_end(held, work_time_percent, ended);
        }
    }

    /// Ends a turn that its holder does not list any more. Returns the last answer that the
    /// host got.
    fn end(&mut self, turn: Turn, now: Duration) -> PlacementOutcome {
        match turn {
            Turn::Placed(placement) => {
                self.engines.remove(&placement.engine);
                self.shares.end_slot(placement.customer.as_ref(), now);
                PlacementOutcome::Assigned(placement.engine)
            }
            Turn::Waiting(key) => {
                if let Some(waiting) = self.queue.remove(&key) {
                    self.shares.end_wait(waiting.request.customer.as_ref(), now);
                }
                PlacementOutcome::Unavailable
            }
        }
    }

    /// Registers a placement that a host reports.
    fn learn(
        &mut self,
        from: &ProcessId,
        number: RequestNumber,
        engine: &EndpointIdentity,
        now: Duration,
    ) {
        let holder = self.holders.heard(from, now);
        // The report may be older than the release.
        if holder.ended.get(number, now).is_some() {
            return;
        }
        let mut customer = None;
        match holder.turns.get(&number) {
            Some(Turn::Placed(placement)) if placement.engine == *engine => return,
            Some(Turn::Placed(placement)) => customer = placement.customer.clone(),
            Some(Turn::Waiting(key)) => {
                let waiting = self.queue.get_mut(key);
                customer = waiting.and_then(|waiting| waiting.request.customer.clone());
            }
            None => {}
        }
        if let Some(turn) = holder.turns.remove(&number) {
            self.end(turn, now);
        }
        self.engines.add(engine);
        self.shares.start_slot(customer.as_ref(), now);
        let placement = Placement {
            engine: engine.clone(),
            customer,
            assigned_at: now,
            confirmed_at: now,
            work_time_percent: self.engines.work_time_percent(engine),
        };
        let holder = self.holders.heard(from, now);
        holder.turns.insert(number, Turn::Placed(placement));
    }

    /// Removes the waiting turns that cannot end in time, and those that their host does
    /// not ask for any more.
    fn end_expired_waits(
        &mut self,
        now: Duration,
        answers: &mut Vec<(ProcessId, RequestNumber, PlacementOutcome)>,
    ) {
        let first_event_ms = self.estimates.first_event_ms();
        for key in self.queue.expired(first_event_ms, now) {
            let Some(waiting) = self.remove_waiting(&key, now) else {
                continue;
            };
            if waiting.is_too_late(first_event_ms, now) {
                let reason = PlacementRefusal::CannotEndInTime;
                let outcome = self.refuse(&waiting.process, &waiting.request, reason, now);
                answers.push((waiting.process, waiting.request.number, outcome));
            } else if let Some(holder) = self.holders.get_mut(&waiting.process) {
                holder.turns.remove(&waiting.request.number);
            }
        }
    }

    fn assign_free_slots(
        &mut self,
        now: Duration,
        answers: &mut Vec<(ProcessId, RequestNumber, PlacementOutcome)>,
    ) {
        let engines_changed = std::mem::take(&mut self.engines_changed);
        if self.queue.len() == 0 || self.is_learning(now) {
            return;
        }
        let mut next = self.queue.next(None);
        while let Some(key) = next {
            // Without a free slot, only turns that no engine can run are left to find.
            if self.engines.free_slots() == 0 && !engines_changed {
                break;
            }
            next = self.queue.next(Some(&key));
            let waiting = self.queue.get_mut(&key);
            let choice = waiting.map(|turn| self.engines.choose(&turn.request, &self.estimates));
            let Some(EngineChoice::Free(_) | EngineChoice::NoEngine) = choice else {
                continue;
            };
            let Some(turn) = self.remove_waiting(&key, now) else {
                continue;
            };
            let outcome = match choice {
                Some(EngineChoice::Free(engine)) => {
                    self.assign(&turn.process, &turn.request, &engine, now);
                    PlacementOutcome::Assigned(engine)
                }
                _ => {
                    let reason = PlacementRefusal::NoEngine;
                    self.refuse(&turn.process, &turn.request, reason, now)
                }
            };
            answers.push((turn.process, turn.request.number, outcome));
        }
    }

    fn remove_waiting(&mut self, key: &QueueKey, now: Duration) -> Option<WaitingTurn> {
        let waiting = self.queue.remove(key)?;
        self.shares.end_wait(waiting.request.customer.as_ref(), now);
        Some(waiting)
    }
}

/// Admission of programs.
impl EngineScheduler {
    fn admit_new(&mut self, request: &AdmissionRequest, now: Duration) -> AdmissionOutcome {
        let customer = request.customer.as_ref();
        self.shares.record_ask(customer, now);
        let load = StartLoad {
            free_slots: self.engines.free_slots(),
            waiting: self.queue.len(),
            pending: self.starts.count(now),
        };
        let slots = self.engines.slots();
        let wait_ms = self.estimates.wait_ms(load.ahead(), slots);
        let is_above_share = self.shares.is_above(customer, slots, now);
        let is_returning = self.returns.take(request.program, now);
        let refusal = starts::refusal(request, load, wait_ms, is_above_share, is_returning);
        let Some(reason) = refusal else {
            self.starts.insert(request.program, now);
            self.returns.record_admission(now);
            return AdmissionOutcome::Admitted;
        };
        self.shares.record_refusal(customer, now);
        let remaining_ms = request.turn_remaining_ms;
        AdmissionOutcome::Refused {
            reason,
            expected_wait_ms: wait_ms as u64,
            retry_after_ms: self
                .returns
                .record_refusal(request.program, remaining_ms, now),
        }
    }
}
