//! Every call of one endpoint, from its dispatch until it is forgotten.

mod backlog;
mod intake;
mod prefix;
mod record;
mod room;
mod spec;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use rosebend_state::id::{CallId, Incarnation, ProgramId};

pub use self::spec::{
    Admission, CallSpec, Dispatched, EndpointLimits, EndpointLoad, RetainedCall, Start,
};
use self::{
    intake::{buried, is_passing, leaving, untold},
    prefix::WarmPrefixes,
    record::{CallState, Record},
};
use super::{
    claim::ClaimOutcome,
    fence::{Fence, Fences},
    hold::Holds,
    outcome::{FailureReason, Outcome, Refusal, RefusalReason},
    suspect::Suspects,
};
use crate::queue::{Queue, QueueSettings};

/// How long a call that is over is remembered, so that a message delayed or
/// doubled by less than this does not run it again.
pub const REMEMBERED: Duration = Duration::from_secs(600);
/// How long an answer is kept for an owner that does not acknowledge it. It
/// is far longer than the platform's outages, in which no owner can.
pub const RETAINED: Duration = Duration::from_secs(2 * 60 * 60);

/// All calls of one endpoint, from their dispatch until they are forgotten.
///
/// A call is handed over at most once in one run of the sidecar, unless it is
/// repeatable, its last attempt failed, and a higher attempt is dispatched.
#[derive(Debug)]
pub struct Calls {
    incarnation: Incarnation,
    limits: EndpointLimits,
    leaving: bool,
    fences: Fences,
    holds: Holds,
    suspects: Suspects,
    /// Every call in the queue is `Queued` here, and the other way round.
    records: HashMap<CallId, Record>,
    queue: Queue,
    prefixes: WarmPrefixes,
    /// Exactly the calls that are `Running` here.
    running: HashSet<CallId>,
    /// Ended calls in the order in which they ended; some may be gone.
    ended: VecDeque<(Duration, CallId)>,
    /// Calls that are over, in the order in which they are forgotten.
    remembered: VecDeque<(Duration, CallId)>,
    /// Answers released under pressure that the caller has not taken yet.
    released: Vec<CallId>,
    /// Calls that were forgotten and that the caller has not taken yet.
    forgotten: Vec<CallId>,
    expected_bytes: u64,
    retained_bytes: u64,
    retained: u64,
}

impl Calls {
    /// An endpoint without calls, for a run of the sidecar.
    pub fn new(incarnation: Incarnation, limits: EndpointLimits) -> Self {
        Self {
            incarnation,
            limits,
            leaving: false,
            fences: Fences::default(),
            holds: Holds::default(),
            suspects: Suspects::default(),
            records: HashMap::new(),
            queue: Queue::new(queue_settings(&limits)),
            prefixes: WarmPrefixes::new(),
            running: HashSet::new(),
            ended: VecDeque::new(),
            remembered: VecDeque::new(),
            released: Vec::new(),
            forgotten: Vec::new(),
            expected_bytes: 0,
            retained_bytes: 0,
            retained: 0,
        }
    }

    /// The fences of all shards.
    pub fn fences(&mut self) -> &mut Fences {
        &mut self.fences
    }

    /// The KV holds.
    pub fn holds(&mut self) -> &mut Holds {
        &mut self.holds
    }

    /// Takes a dispatched call, joins it to the one that is here, or refuses.
    pub fn dispatch(&mut self, now: Duration, spec: CallSpec) -> Dispatched {
        if let Err(refusal) = self.check_fence(spec.fence) {
            return Dispatched::Refused(refusal);
        }
        if let Some(dispatched) = self.join(&spec) {
            return dispatched;
        }
        let taken = match self.refusal_for(now, &spec) {
            Some(refusal) => Err(refusal),
            None => self.enqueue(now, &spec),
        };
        match taken {
            Ok(()) => Dispatched::Queued,
            Err(refusal) => {
                if is_passing(refusal.reason) {
                    self.remember_refused(now, &spec);
                }
                Dispatched::Refused(refusal)
            }
        }
    }

    /// Asks for the answer of a call that was dispatched earlier.
    pub fn resume(&mut self, fence: Fence, id: &CallId) -> Dispatched {
        if let Err(refusal) = self.check_fence(fence) {
            return Dispatched::Refused(refusal);
        }
        let Some(record) = self.records.get_mut(id) else {
            return Dispatched::Ended(untold("the call is not known to this run"));
        };
        match record.state {
            CallState::Buried { .. } => Dispatched::Refused(buried()),
            CallState::Acknowledged { .. } => Dispatched::Ended(untold("it was acknowledged")),
            _ => {
                record.fence = fence;
                Dispatched::Follow
            }
        }
    }

    /// Tells a call's outcome, or makes sure that no attempt up to `attempt`
    /// runs here. The claim names the incarnation that the call was given to.
    pub fn claim(
        &mut self,
        now: Duration,
        fence: Fence,
        id: &CallId,
        attempt: u32,
        incarnation: &str,
    ) -> ClaimOutcome {
        if let Err(refusal) = self.check_fence(fence) {
            return ClaimOutcome::Refused(refusal);
        }
        let Some(record) = self.records.get_mut(id) else {
            if incarnation != self.incarnation {
                return ClaimOutcome::Unknown;
            }
            self.bury(now, id, fence, attempt);
            return ClaimOutcome::Buried;
        };
        record.fence = fence;
        // A later attempt than any that came joins this one if it comes after
        // all. What runs or ran here may be another request under the same id,
        // so its answer is not given for the later attempt, however often that
        // is claimed.
        let is_unseen = attempt > record.joined && record.repeatable;
        match &record.state {
            CallState::Finished { .. } | CallState::Running if is_unseen => {
                record.attempt = record.attempt.max(attempt);
                ClaimOutcome::Buried
            }
            CallState::Finished { finished, .. } => ClaimOutcome::Finished(finished.clone()),
            CallState::Running => ClaimOutcome::Running,
            CallState::Failed { failure, .. } => ClaimOutcome::Failed(failure.clone()),
            CallState::Acknowledged { .. } => ClaimOutcome::Unknown,
            CallState::Queued | CallState::Buried { .. } if incarnation != self.incarnation => {
                ClaimOutcome::Unknown
            }
            CallState::Queued => {
                record.attempt = record.attempt.max(attempt);
                self.unqueue(now, id);
                self.claimed_in_queue(id)
            }
            CallState::Buried { .. } => {
                self.raise_buried(now, id, attempt);
                ClaimOutcome::Buried
            }
        }
    }

    /// Drops answers that are durable at their owner; returns the calls whose
    /// answers are dropped.
    pub fn acknowledge(&mut self, now: Duration, fence: Fence, ids: &[CallId]) -> Vec<CallId> {
        if self.check_fence(fence).is_err() {
            return Vec::new();
        }
        let dropped = ids
            .iter()
            .filter(|id| self.acknowledge_one(now, fence, id))
            .cloned()
            .collect();
        self.compact_ended();
        dropped
    }

    /// The calls of some shards that are not acknowledged. A shard with a
    /// stale epoch is left out.
    pub fn retained(&mut self, fences: &[Fence]) -> Vec<RetainedCall> {
        let shards: HashSet<_> = fences
            .iter()
            .filter(|fence| self.fences.check(**fence).is_ok())
            .map(|fence| fence.shard)
            .collect();
        let mut calls: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| shards.contains(&record.fence.shard))
            .filter_map(|(id, record)| record.retained(id))
            .collect();
        calls.sort_by(|a, b| a.id.cmp(&b.id));
        calls
    }

    /// Hands over what fits now.
    pub fn admit(&mut self, now: Duration) -> Admission {
        let mut admission = Admission::default();
        while let Some(admitted) = self.queue.next(now) {
            match self.start(now, admitted) {
                Ok(start) => admission.starts.push(start),
                Err(refused) => admission.refused.push(refused),
            }
        }
        let load = self.queue.load();
        let room = load
            .kv_tokens_limit
            .saturating_sub(load.kv_tokens_in_flight);
        let in_flight = self.programs_that_will_hold();
        admission.freed = self.holds.trim(room, &in_flight);
        admission
    }

    /// Gives up what has waited past its deadline or lost its owner, frees
    /// holds whose leases ran out, and forgets what is over.
    pub fn sweep(&mut self, now: Duration) -> (Vec<(CallId, Refusal)>, Vec<ProgramId>) {
        let mut refused = Vec::new();
        for id in self.queue.expire(now) {
            self.unqueued(now, &id);
            let detail = "the deadline passed in the queue";
            let refusal = Refusal::new(RefusalReason::Deadline, Duration::ZERO, detail);
            refused.push((id, refusal));
        }
        self.release_old(now);
        self.forget(now);
        (refused, self.holds.expire(now))
    }

    /// The endpoint gave the first part of a call's answer.
    pub fn first_part(&mut self, now: Duration, id: &CallId) {
        self.queue.first_token(now, id);
        self.prefixes.computed(now, id);
    }

    /// The endpoint is done with a call. Returns the outcome to retain, with
    /// the suspects filled in after a crash.
    pub fn ended(&mut self, now: Duration, id: &CallId, outcome: Outcome, bytes: u64) -> Outcome {
        let outcome = self.name_suspects(id, outcome);
        if !self.running.remove(id) {
            return outcome;
        }
        let answer_tokens = match &outcome {
            Outcome::Finished(finished) => {
                self.queue.cached(id, finished.cached_tokens);
                finished.answer_tokens
            }
            Outcome::Failed(failure) if failure.reason == FailureReason::EndpointCrashed => {
                self.prefixes = WarmPrefixes::new();
                0
            }
            Outcome::Failed(_) | Outcome::Refused(_) => 0,
        };
        self.prefixes.dropped(id);
        self.queue.finished(now, id, answer_tokens);
        let Some(record) = self.records.get_mut(id) else {
            return outcome;
        };
        self.expected_bytes -= record.answer_bytes;
        if record.hold_kv && !matches!(outcome, Outcome::Refused(_)) {
            let tokens = held_tokens(&outcome);
            self.holds
                .add(now, id.program.clone(), record.fence.shard, tokens);
        }
        match &outcome {
            Outcome::Finished(finished) => {
                let finished = finished.clone();
                let bytes = bytes + record.record.len() as u64;
                record.state = CallState::Finished { finished, bytes };
                self.retained_bytes += bytes;
                self.retained += 1;
                self.ended.push_back((now, id.clone()));
            }
            Outcome::Failed(failure) => self.fail(now, id, failure.clone()),
            Outcome::Refused(_) => self.give_up(now, id),
        }
        outcome
    }

    /// Whether a crash with these suspects has just been noticed.
    pub fn is_first_of_crash(&self, suspects: &[CallId]) -> bool {
        self.suspects.is_first(suspects)
    }

    /// Takes no new work from now on; returns the waiting calls, which are
    /// refused.
    pub fn leave(&mut self, now: Duration) -> Vec<(CallId, Refusal)> {
        self.leaving = true;
        self.waiting()
            .into_iter()
            .map(|id| {
                self.unqueue(now, &id);
                (id, leaving())
            })
            .collect()
    }

    /// Answers that were released under pressure since the last question.
    pub fn take_released(&mut self) -> Vec<CallId> {
        std::mem::take(&mut self.released)
    }

    /// Calls that were forgotten since the last question; a failure's answer
    /// may be dropped.
    pub fn take_forgotten(&mut self) -> Vec<CallId> {
        std::mem::take(&mut self.forgotten)
    }

    /// Programs with a call at the endpoint that will hold its cache.
    pub fn programs_that_will_hold(&self) -> HashSet<ProgramId> {
        self.running
            .iter()
            .filter(|id| self.records.get(id).is_some_and(|r| r.hold_kv))
            .map(|id| id.program.clone())
            .collect()
    }

    /// The sidecar's own count.
    pub fn load(&self) -> EndpointLoad {
        let queue = self.queue.load();
        EndpointLoad {
            running: queue.running,
            queued: queue.queued,
            kv_tokens_in_flight: queue.kv_tokens_in_flight,
            kv_tokens_limit: queue.kv_tokens_limit,
            queued_tokens: queue.queued_tokens,
            token_us: queue.token_us,
            prefill_token_us: queue.prefill_token_us,
            retained_bytes: self.retained_bytes,
            retained: self.retained,
            holds: self.holds.len() as u64,
            leaving: self.leaving,
        }
    }

    fn name_suspects(&mut self, id: &CallId, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Failed(mut failure) if failure.reason == FailureReason::EndpointCrashed => {
                failure.suspects = self.suspects.crashed(id, self.running.iter());
                Outcome::Failed(failure)
            }
            other => {
                self.suspects.ended(id);
                other
            }
        }
    }
}

/// New programs find the queue full when half of it is taken, so that those
/// under way can go on.
fn queue_settings(limits: &EndpointLimits) -> QueueSettings {
    QueueSettings {
        max_queued: limits.queued,
        max_queued_for_new: limits.queued.div_ceil(2),
        ..QueueSettings::for_engine(limits.running, limits.kv_tokens)
    }
}

/// Tokens of the cache that stays after a call.
fn held_tokens(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::Finished(finished) => finished.prompt_tokens + finished.answer_tokens,
        Outcome::Failed(_) | Outcome::Refused(_) => 0,
    }
}
