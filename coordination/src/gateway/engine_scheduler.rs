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
//! | placement of turns, and their end | `placement` |
//! | order of the waiting turns | `queue` |
//! | retry time of refused programs, and their return | `returns` |
//! | engine time and shares of customers | `shares` |
//! | admission of new programs | `starts` |
//! | messages between hosts | [`message`] |
//! | requests of a host to schedulers | [`client`], `open_request` |
//! | the gateway that schedules a group | [`schedulers`] |
//! | recent placements, compared with load reports | [`placement_history`] |
//!
//! [`EngineScheduler`] combines them for one group. All of its state is soft: it starts
//! empty, learns from the reports of the hosts which turns are running, and forgets a host
//! that is silent.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rosebend_state::deployment::{CustomerName, EndpointIdentity};

pub use self::engines::EngineState;
use self::engines::Engines;
use self::estimates::Estimates;
use self::holders::{Holders, Turn};
use self::message::{
    AdmissionOutcome, AdmissionRequest, GroupStatus, HeldPlacement, PlacementOutcome,
    PlacementRequest, ReleasedPlacement, RequestNumber,
};
use self::queue::TurnQueue;
use self::returns::Returns;
use self::shares::Shares;
use self::starts::{PendingStarts, StartLoad};
use crate::gateway::admission::Urgency;
use crate::gateway::ledger::ProcessId;

pub mod client;
mod engines;
mod estimates;
mod holders;
pub mod message;
mod open_request;
mod placement;
pub mod placement_history;
mod queue;
mod returns;
pub mod schedulers;
mod shares;
mod starts;

/// Time for which a new scheduler assigns nothing. Hosts report the placements that they
/// hold every 250 ms.
const LEARNING_TIME: Duration = Duration::from_millis(500);
/// Longest time between two calls. A scheduler that its host calls less often was frozen or
/// not in use, and does not know which turns are running: it handled the messages of hosts too
/// late, and their placements may have expired.
const CALL_GAP_LIMIT: Duration = Duration::from_millis(500);
/// Longest time without a message of a host. All hosts have been unknown for 1 s then, and
/// may have used another scheduler. A shorter limit would make hosts select engines
/// themselves after each pause between turns; a host reports for 2 s after its last turn.
const MESSAGE_GAP_LIMIT: Duration = Duration::from_secs(2);
/// Time after an assignment in which a report that does not name it may be older.
const REPORT_TOLERANCE: Duration = Duration::from_millis(300);

/// Scheduler of one group of engines.
///
/// After each call that changes the state, [`Self::advance`] has to be called: it returns
/// the answers to turns that waited.
#[derive(Debug, Default)]
pub struct EngineScheduler {
    /// Time since which the scheduler has been learning or has learned.
    started_at: Option<Duration>,
    /// Time of the last call that changes the state.
    called_at: Duration,
    /// Time of the last message of a host.
    last_message_at: Option<Duration>,
    engines: Engines,
    estimates: Estimates,
    holders: Holders,
    queue: TurnQueue,
    shares: Shares,
    starts: PendingStarts,
    returns: Returns,
}

impl EngineScheduler {
    /// Creates the scheduler of a group without engines.
    ///
    /// It answers `Unavailable` for the first 500 ms after the first call of any method
    /// that takes the time and changes the state. It does so again if more than 500 ms pass
    /// between two such calls, and from the first message of a host after more than 2 s
    /// without any.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the set of usable engines. Engines missing from the new set get no further
    /// turns; the turns that they run keep their placements.
    pub fn set_engines(&mut self, engines: Vec<EngineState>, now: Duration) {
        self.record_call(now);
        self.engines.set(engines);
    }

    /// Replaces the weights by which customers share the slots, which are their declared
    /// rate limits. A customer without one has the mean weight.
    pub fn set_share_weights(&mut self, weights: HashMap<CustomerName, f64>) {
        self.shares.set_weights(weights);
    }

    /// Returns the number of placements at an engine, from which the caller derives
    /// [`EngineState::unplaced_requests`].
    pub fn placements_at(&self, engine: &EndpointIdentity) -> u32 {
        self.engines.placements_at(engine)
    }

    /// Handles a placement request of a host. A repeated request (same process and number)
    /// gets the same answer and no second slot, also within 1 s after its end. A host that
    /// asks for another engine uses another number.
    pub fn place(
        &mut self,
        from: &ProcessId,
        request: &PlacementRequest,
        now: Duration,
    ) -> PlacementOutcome {
        self.record_message(now);
        let is_learning = self.is_learning(now);
        let holder = self.holders.record_message(from, now);
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
        self.record_message(now);
        let is_learning = self.is_learning(now);
        let holder = self.holders.record_message(from, now);
        if is_learning {
            return AdmissionOutcome::Unavailable;
        }
        if let Some(answer) = holder.admissions.get(request.number, now) {
            return answer;
        }
        let outcome = self.admit_new(request, now);
        let holder = self.holders.record_message(from, now);
        holder
            .admissions
            .insert(request.number, outcome.clone(), now);
        outcome
    }

    /// Ends placements: their slots become free, and their waiting turns leave the queue.
    pub fn release(&mut self, from: &ProcessId, released: &[ReleasedPlacement], now: Duration) {
        self.record_message(now);
        for ended in released {
            let holder = self.holders.record_message(from, now);
            // A copy of the request that arrives after the release gets the same answer and
            // no slot.
            let answer = match holder.turns.remove(&ended.number) {
                Some(turn) => {
                    self.record_released(&turn, ended, now);
                    self.end(turn, now)
                }
                None => PlacementOutcome::Unavailable,
            };
            let holder = self.holders.record_message(from, now);
            if holder.ended.get(ended.number, now).is_none() {
                holder.ended.insert(ended.number, answer, now);
            }
        }
    }

    /// Replaces the set of placements that a host holds. Placements that the host does not
    /// name have ended, unless they were assigned less than 300 ms ago: the report may be
    /// older.
    pub fn report_held(&mut self, from: &ProcessId, held: &[HeldPlacement], now: Duration) {
        self.record_message(now);
        self.holders.record_message(from, now);
        for placement in held {
            if let Some(engine) = &placement.engine {
                self.learn(from, placement.number, engine, now);
            }
        }
        let named: HashSet<RequestNumber> = held.iter().map(|held| held.number).collect();
        let queue = &mut self.queue;
        let holder = self.holders.record_message(from, now);
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
        self.record_call(now);
        for turn in self.holders.take_silent(now) {
            self.end(turn, now);
        }
        let mut answers = Vec::new();
        self.end_expired_waits(now, &mut answers);
        self.assign_free_slots(now, &mut answers);
        answers
    }

    /// Returns whether the scheduler does not know yet which turns are running. Its status
    /// says nothing about the group then, and must not be compared with that of others.
    pub fn is_learning(&self, now: Duration) -> bool {
        let is_started = self
            .started_at
            .is_some_and(|started_at| started_at + LEARNING_TIME <= now);
        !is_started || self.called_at + CALL_GAP_LIMIT < now
    }

    /// Returns the state of the group, which is that of an idle group without slots while
    /// [`Self::is_learning`].
    pub fn status(&self, now: Duration) -> GroupStatus {
        if self.is_learning(now) {
            return GroupStatus::default();
        }
        GroupStatus {
            free_slots: self.engines.free_slots(),
            waiting: self.queue.len() as u32,
            expected_wait_ms: self.wait_ms(self.queue.len()) as u64,
        }
    }

    /// Starts to learn at the first call, and after a time without calls.
    fn record_call(&mut self, now: Duration) {
        if self.started_at.is_none() || self.called_at + CALL_GAP_LIMIT < now {
            self.started_at = Some(now);
        }
        self.called_at = self.called_at.max(now);
    }

    /// Records a message of a host. Starts to learn after a time without messages.
    fn record_message(&mut self, now: Duration) {
        self.record_call(now);
        let quiet_since = self.last_message_at.max(self.started_at);
        if quiet_since.is_some_and(|quiet_since| quiet_since + MESSAGE_GAP_LIMIT < now) {
            self.started_at = Some(now);
        }
        self.last_message_at = self.last_message_at.max(Some(now));
    }

    /// Returns the expected wait behind a number of waiting turns, in milliseconds.
    fn wait_ms(&self, ahead: usize) -> f64 {
        if self.engines.free_slots() > 0 {
            return 0.0;
        }
        self.estimates.wait_ms(ahead, self.engines.slots())
    }
}

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
        let ahead = load.ahead(self.waiting_ahead(request, now));
        let wait_ms = self.estimates.wait_ms(ahead, slots);
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

    /// Returns the number of waiting turns that count against a new program.
    ///
    /// A turn of an urgent route waits only for the turns before it in the queue, so that a
    /// burst of a less urgent route does not refuse the urgent one. Turns of other routes
    /// are overtaken by turns that arrive later, so all waiting turns count for them.
    fn waiting_ahead(&self, request: &AdmissionRequest, now: Duration) -> usize {
        match request.priority {
            Urgency::Route | Urgency::Both => {
                let allowance = queue::allowance(
                    request.priority,
                    request.objective_ms,
                    request.program_remaining_ms,
                );
                self.queue.ahead(&self.queue.key(allowance, now))
            }
            Urgency::Normal | Urgency::Customer => self.queue.len(),
        }
    }
}
