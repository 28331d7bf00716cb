//! Every call of one endpoint, from its dispatch until it is forgotten.

mod backlog;
mod intake;
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
    backlog::smooth,
    intake::{buried, leaving, untold},
    record::{CallState, Record},
};
use super::{
    claim::ClaimOutcome,
    fence::{Fence, Fences},
    hold::Holds,
    outcome::{FailureReason, Outcome, Refusal, RefusalReason},
    suspect::Suspects,
};

/// How long a call that is over is remembered, so that a message delayed or
/// doubled by less than this does not run it again.
pub const REMEMBERED: Duration = Duration::from_secs(600);
/// Shortest time to come back that a refusal names.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest time to come back that a refusal names.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Weight of the newest call in the mean service time, as a divisor.
const SERVICE_SMOOTHING: u32 = 8;

/// All calls of one endpoint, from their dispatch until they are forgotten.
///
/// A call is handed over at most once in one run of the sidecar, unless it is
/// repeatable, its last attempt failed, and a higher attempt is dispatched.
#[derive(Clone, Debug)]
pub struct Calls {
    incarnation: Incarnation,
    limits: EndpointLimits,
    leaving: bool,
    fences: Fences,
    holds: Holds,
    suspects: Suspects,
    /// Every call in the queue is `Queued` here, and the other way round.
    records: HashMap<CallId, Record>,
    queue: VecDeque<CallId>,
    running: HashSet<CallId>,
    /// A call that runs alone.
    alone: Option<CallId>,
    /// Ended calls in the order in which they ended; some may be gone.
    ended: VecDeque<CallId>,
    /// Calls that are over, in the order in which they are forgotten.
    remembered: VecDeque<(Duration, CallId)>,
    /// Answers released under pressure that the caller has not taken yet.
    released: Vec<CallId>,
    kv_tokens_in_flight: u64,
    queued_tokens: u64,
    expected_bytes: u64,
    retained_bytes: u64,
    retained: usize,
    mean_service: Duration,
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
            queue: VecDeque::new(),
            running: HashSet::new(),
            alone: None,
            ended: VecDeque::new(),
            remembered: VecDeque::new(),
            released: Vec::new(),
            kv_tokens_in_flight: 0,
            queued_tokens: 0,
            expected_bytes: 0,
            retained_bytes: 0,
            retained: 0,
            mean_service: Duration::ZERO,
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
        match self.refusal_for(now, &spec) {
            Some(refusal) => {
                if is_passing(refusal.reason) {
                    self.remember_refused(now, spec);
                }
                Dispatched::Refused(refusal)
            }
            None => {
                self.enqueue(now, spec);
                Dispatched::Queued
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
                record.spec.fence = fence;
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
            let mut spec = CallSpec::new(id.clone(), fence, incarnation);
            spec.attempt = attempt;
            self.bury(now, spec);
            return ClaimOutcome::Buried;
        };
        record.spec.fence = fence;
        match &record.state {
            CallState::Finished { finished, .. } => ClaimOutcome::Finished(finished.clone()),
            CallState::Running { .. } => ClaimOutcome::Running,
            CallState::Failed { failure, .. } => ClaimOutcome::Failed(failure.clone()),
            CallState::Acknowledged { .. } => ClaimOutcome::Unknown,
            CallState::Queued { .. } | CallState::Buried { .. }
                if incarnation != self.incarnation =>
            {
                ClaimOutcome::Unknown
            }
            CallState::Queued { .. } => {
                record.spec.attempt = record.spec.attempt.max(attempt);
                self.unqueue(now, id);
                self.claimed_after_queue(id)
            }
            CallState::Buried { .. } => {
                let attempt = record.spec.attempt.max(attempt);
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
        let dropped: Vec<_> = ids
            .iter()
            .filter(|id| self.acknowledge_one(now, fence, id))
            .cloned()
            .collect();
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
            .values()
            .filter(|record| shards.contains(&record.spec.fence.shard))
            .filter_map(Record::retained)
            .collect();
        calls.sort_by(|a, b| a.id.cmp(&b.id));
        calls
    }

    /// Hands over what fits now.
    pub fn admit(&mut self, now: Duration) -> Admission {
        let mut admission = Admission::default();
        while let Some(id) = self.next_queued() {
            if let Some(refusal) = self.expired(now, &id) {
                self.unqueue(now, &id);
                admission.refused.push((id, refusal));
            } else if self.fits(&id) {
                admission.starts.push(self.start(now, &id));
            } else {
                break;
            }
        }
        admission
    }

    /// Gives up what has waited past its deadline or lost its owner, frees
    /// holds whose leases ran out, and forgets what is over.
    pub fn sweep(&mut self, now: Duration) -> (Vec<(CallId, Refusal)>, Vec<ProgramId>) {
        let expired: Vec<_> = self
            .queue
            .iter()
            .filter_map(|id| Some((id.clone(), self.expired(now, id)?)))
            .collect();
        for (id, _) in &expired {
            self.unqueue(now, id);
        }
        self.forget(now);
        (expired, self.holds.expire(now))
    }

    /// The endpoint is done with a call. Returns the outcome to retain, with
    /// the suspects filled in after a crash.
    pub fn ended(&mut self, now: Duration, id: &CallId, outcome: Outcome, bytes: u64) -> Outcome {
        let outcome = self.name_suspects(id, outcome);
        if !self.running.remove(id) {
            return outcome;
        }
        if self.alone.as_ref() == Some(id) {
            self.alone = None;
        }
        let Some(record) = self.records.get_mut(id) else {
            return outcome;
        };
        self.kv_tokens_in_flight -= record.spec.kv_tokens;
        self.expected_bytes -= record.spec.answer_bytes;
        if let CallState::Running { since } = record.state {
            let served = now.saturating_sub(since);
            self.mean_service = smooth(self.mean_service, served);
        }
        if record.spec.hold_kv && !matches!(outcome, Outcome::Refused(_)) {
            let program = record.spec.id.program.clone();
            self.holds.add(now, program, record.spec.fence.shard);
        }
        match &outcome {
            Outcome::Finished(finished) => {
                let finished = finished.clone();
                record.state = CallState::Finished { finished, bytes };
                self.retained_bytes += bytes;
                self.retained += 1;
                self.ended.push_back(id.clone());
            }
            Outcome::Failed(failure) => self.fail(now, id, failure.clone()),
            Outcome::Refused(_) => self.give_up(now, id),
        }
        outcome
    }

    /// Takes no new work from now on; returns the waiting calls, which are
    /// refused.
    pub fn leave(&mut self, now: Duration) -> Vec<(CallId, Refusal)> {
        self.leaving = true;
        let waiting: Vec<_> = self.queue.iter().cloned().collect();
        waiting
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

    /// Programs with a call at the endpoint that will hold its cache.
    pub fn programs_that_will_hold(&self) -> HashSet<ProgramId> {
        self.running
            .iter()
            .filter(|id| self.records.get(id).is_some_and(|r| r.spec.hold_kv))
            .map(|id| id.program.clone())
            .collect()
    }

    /// The sidecar's own count.
    pub fn load(&self) -> EndpointLoad {
        EndpointLoad {
            running: self.running.len(),
            queued: self.queue.len(),
            kv_tokens_in_flight: self.kv_tokens_in_flight,
            queued_tokens: self.queued_tokens,
            retained_bytes: self.retained_bytes,
            retained: self.retained,
            holds: self.holds.len(),
            leaving: self.leaving,
        }
    }
}

impl Calls {
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

/// Whether the same message might not be refused when it comes again. For the
/// other reasons it always is, in this run of the sidecar.
fn is_passing(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::QueueFull | RefusalReason::RetentionFull => true,
        RefusalReason::Leaving
        | RefusalReason::StaleEpoch
        | RefusalReason::OtherIncarnation
        | RefusalReason::Buried
        | RefusalReason::TooLarge
        | RefusalReason::UnknownTarget
        | RefusalReason::Deadline
        | RefusalReason::EndpointDown
        | RefusalReason::Invalid => false,
    }
}
