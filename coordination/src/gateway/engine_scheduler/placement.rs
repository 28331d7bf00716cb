//! Placement of turns: they get a slot, wait, are refused, or end.

use std::time::Duration;

use rosebend_state::deployment::EndpointIdentity;

use super::EngineScheduler;
use super::engines::EngineChoice;
use super::estimates::INITIAL_FIRST_EVENT_MS;
use super::holders::{Placement, Turn};
use super::message::{
    PlacementOutcome, PlacementRefusal, PlacementRequest, ReleasedPlacement, RequestNumber,
};
use super::queue::{self, QueueKey, WaitingTurn};
use super::returns::retry_after_ms;
use crate::gateway::ledger::ProcessId;

/// Retry time while no engine can be used, in milliseconds. An engine that restarts is
/// away for longer, and a retry at another host may find another group.
const NO_ENGINE_RETRY_MS: f64 = 250.0;

impl EngineScheduler {
    /// Handles the repeated request of a waiting turn.
    ///
    /// The answer states the wait that was expected when the turn was queued. To count the
    /// turns before it with every repetition would cost a visit of each of them.
    pub(super) fn repeat_wait(&mut self, key: &QueueKey, now: Duration) -> PlacementOutcome {
        let waiting = self.queue.get_mut(key);
        let expected_wait_ms = waiting.map_or(0, |waiting| {
            waiting.repeated_at = now;
            waiting.expected_wait_ms
        });
        PlacementOutcome::Queued { expected_wait_ms }
    }

    /// Handles the first request of a turn.
    pub(super) fn place_new(
        &mut self,
        from: &ProcessId,
        request: &PlacementRequest,
        now: Duration,
    ) -> PlacementOutcome {
        let deadline = now + Duration::from_millis(request.turn_remaining_ms);
        let choice = self.engines.choose(request, &self.estimates, false);
        let allowance = queue::allowance(
            request.priority,
            request.objective_ms,
            request.program_remaining_ms,
        );
        let key = self.queue.key(allowance, now);
        let wait_ms = self.wait_ms(self.queue.ahead(&key));
        // While a slot is free, only the engine can tell whether it is slower than usual.
        let needed_ms = match &choice {
            EngineChoice::Free(_) => INITIAL_FIRST_EVENT_MS,
            EngineChoice::Full | EngineChoice::NoEngine => {
                wait_ms + self.estimates.first_event_ms(now)
            }
        };
        let cannot_end = (request.turn_remaining_ms as f64) < needed_ms;
        match choice {
            EngineChoice::NoEngine => {
                self.refuse(from, request, PlacementRefusal::NoEngine, deadline, now)
            }
            _ if cannot_end => {
                let reason = PlacementRefusal::CannotEndInTime;
                self.refuse(from, request, reason, deadline, now)
            }
            // A turn does not overtake waiting turns, which `advance` places in order.
            EngineChoice::Free(engine) if self.queue.len() == 0 => {
                self.assign(from, request, &engine, now);
                PlacementOutcome::Assigned(engine)
            }
            EngineChoice::Free(_) | EngineChoice::Full => {
                let expected_wait_ms = wait_ms as u64;
                let turn = WaitingTurn {
                    process: from.clone(),
                    request: request.clone(),
                    deadline,
                    repeated_at: now,
                    expected_wait_ms,
                };
                self.enqueue(key, turn, now);
                PlacementOutcome::Queued { expected_wait_ms }
            }
        }
    }

    fn enqueue(&mut self, key: QueueKey, turn: WaitingTurn, now: Duration) {
        self.shares.start_wait(turn.request.customer.as_ref(), now);
        let holder = self.holders.record_message(&turn.process, now);
        holder.turns.insert(turn.request.number, Turn::Waiting(key));
        let first_event_ms = self.estimates.first_event_ms(now);
        self.queue.insert(key, turn, first_event_ms);
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
        deadline: Duration,
        now: Duration,
    ) -> PlacementOutcome {
        let remaining_ms = deadline.saturating_sub(now).as_millis() as u64;
        let delay_ms = match reason {
            PlacementRefusal::NoEngine => NO_ENGINE_RETRY_MS,
            PlacementRefusal::CannotEndInTime => self.wait_ms(self.queue.len()),
        };
        let outcome = PlacementOutcome::Refused {
            reason,
            retry_after_ms: retry_after_ms(delay_ms, request.program, remaining_ms),
        };
        if let Some(holder) = self.holders.get_mut(to) {
            holder.turns.remove(&request.number);
            holder.ended.insert(request.number, outcome.clone(), now);
        }
        outcome
    }

    /// Records how long a turn that ended held its slot.
    pub(super) fn record_released(
        &mut self,
        turn: &Turn,
        ended: &ReleasedPlacement,
        now: Duration,
    ) {
        if let Turn::Placed(placement) = turn {
            let held = now.saturating_sub(placement.assigned_at);
            let work_time_percent = placement.work_time_percent;
            self.estimates
                .record_end(held, work_time_percent, ended, now);
        }
    }

    /// Ends a turn that its holder does not list any more. Returns the last answer that the
    /// host got.
    pub(super) fn end(&mut self, turn: Turn, now: Duration) -> PlacementOutcome {
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
    pub(super) fn learn(
        &mut self,
        from: &ProcessId,
        number: RequestNumber,
        engine: &EndpointIdentity,
        now: Duration,
    ) {
        let holder = self.holders.record_message(from, now);
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
        let holder = self.holders.record_message(from, now);
        holder.turns.insert(number, Turn::Placed(placement));
    }

    /// Removes the waiting turns that cannot end in time, and those that their host does
    /// not ask for any more.
    pub(super) fn end_expired_waits(
        &mut self,
        now: Duration,
        answers: &mut Vec<(ProcessId, RequestNumber, PlacementOutcome)>,
    ) {
        let first_event_ms = self.estimates.first_event_ms(now);
        for key in self.queue.expired(first_event_ms, now) {
            let Some(waiting) = self.remove_waiting(&key, now) else {
                continue;
            };
            if waiting.is_too_late(first_event_ms, now) {
                let reason = PlacementRefusal::CannotEndInTime;
                let outcome = self.refuse(
                    &waiting.process,
                    &waiting.request,
                    reason,
                    waiting.deadline,
                    now,
                );
                answers.push((waiting.process, waiting.request.number, outcome));
            } else if let Some(holder) = self.holders.get_mut(&waiting.process) {
                holder.turns.remove(&waiting.request.number);
            }
        }
    }

    /// Gives free slots to waiting turns in order, and refuses turns that no engine can run.
    ///
    /// Turns with the same exclusions may use the same engines, so only the first of them is
    /// visited while these have no place: the cost does not grow with the queue.
    pub(super) fn assign_free_slots(
        &mut self,
        now: Duration,
        answers: &mut Vec<(ProcessId, RequestNumber, PlacementOutcome)>,
    ) {
        if self.queue.len() == 0 || self.is_learning(now) {
            return;
        }
        let mut candidates = self.queue.first_by_exclusions();
        while let Some(key) = candidates.pop_first() {
            let Some(waiting) = self.queue.get(&key) else {
                continue;
            };
            let choice = self.engines.choose(&waiting.request, &self.estimates, true);
            if matches!(choice, EngineChoice::Full) {
                continue;
            }
            candidates.extend(self.queue.next_with_same_exclusions(&key));
            let Some(turn) = self.remove_waiting(&key, now) else {
                continue;
            };
            let outcome = match choice {
                EngineChoice::Free(engine) => {
                    self.assign(&turn.process, &turn.request, &engine, now);
                    PlacementOutcome::Assigned(engine)
                }
                EngineChoice::Full | EngineChoice::NoEngine => {
                    let reason = PlacementRefusal::NoEngine;
                    self.refuse(&turn.process, &turn.request, reason, turn.deadline, now)
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
