//! A simulated sidecar: the production state machine of calls with a simulated
//! endpoint.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rosebend_coordination::endpoint::claim::ClaimOutcome as EndpointClaimOutcome;
use rosebend_coordination::endpoint::fence::Fence;
use rosebend_coordination::endpoint::outcome::{Failure, Finished, Outcome, Refusal};
use rosebend_coordination::endpoint::outcome::{FailureReason, RefusalReason};
use rosebend_coordination::endpoint::{CallSpec, Calls, Dispatched, EndpointLimits};
use rosebend_coordination::owner::{
    Attempt, CallRequest, ClaimOutcome, DispatchFailure, DispatchRefusal, Event, Placement,
    RetainedTurn,
};
use rosebend_state::id::{CallId, Epoch, ProgramId, Shard};
use rosebend_state::record::{AnswerBody, AnswerRecord, TurnRecord};

/// The lease of a hold, which is longer than the simulated time of any run.
const LEASE: Duration = Duration::from_secs(3600);

/// The index of an owner process and its generation.
pub type OwnerIncarnation = (usize, u32);
/// An event and the incarnation of the owner that it is addressed to.
pub type AddressedEvent = (OwnerIncarnation, Event);

/// A dispatch as an owner sends it to a sidecar.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub from: OwnerIncarnation,
    pub call: CallId,
    pub attempt: Attempt,
    pub shard: Shard,
    pub epoch: Epoch,
    pub placement: Placement,
    pub request: Arc<CallRequest>,
    pub record: TurnRecord,
    pub hold_kv: bool,
    pub alone: bool,
}

/// A call that was accepted by the sidecar: queued, running or ended.
#[derive(Debug)]
pub struct TrackedCall {
    pub dispatch: Dispatch,
    pub is_running: bool,
    pub end: Option<Outcome>,
    /// The streams that wait for the outcome.
    pub followers: BTreeSet<(OwnerIncarnation, Attempt)>,
}

/// One sidecar and its endpoint.
#[derive(Debug)]
pub struct Sidecar {
    pub name: String,
    /// The number of the current incarnation, incremented by each replacement.
    pub generation: u32,
    /// The epochs of the shards when this incarnation started.
    pub epochs_at_start: BTreeMap<Shard, Epoch>,
    pub calls: Calls,
    pub tracked_calls: BTreeMap<CallId, TrackedCall>,
}

impl Sidecar {
    /// Returns a sidecar without calls that refuses owners of earlier epochs.
    pub fn new(name: &str, generation: u32, epochs: BTreeMap<Shard, Epoch>) -> Self {
        let limits = EndpointLimits {
            queued: 2,
            running: 2,
            ..EndpointLimits::default()
        };
        let mut calls = Calls::new(format!("{name}-{generation}"), limits);
        // A sidecar reads the shards' epochs before it accepts any call.
        for (shard, epoch) in &epochs {
            let fence = fence(*shard, *epoch);
            calls.fences().check(fence).expect("the fences are empty");
        }
        Self {
            name: name.to_owned(),
            generation,
            epochs_at_start: epochs,
            calls,
            tracked_calls: BTreeMap::new(),
        }
    }

    /// Accepts, joins or refuses a dispatch.
    pub fn dispatch(&mut self, now: Duration, dispatch: Dispatch) -> Vec<AddressedEvent> {
        let stream = (dispatch.from, dispatch.attempt);
        let call = dispatch.call.clone();
        match self.calls.dispatch(now, spec(&dispatch)) {
            Dispatched::Queued => {
                let tracked_call = TrackedCall {
                    dispatch,
                    is_running: false,
                    end: None,
                    followers: BTreeSet::from([stream]),
                };
                self.tracked_calls.insert(call, tracked_call);
                self.admit(now)
            }
            Dispatched::Follow => self.follow(&call, stream),
            Dispatched::Refused(refusal) => vec![refused_event(stream, call, &refusal)],
            Dispatched::Ended(failure) => vec![failed_event(stream, call, &failure)],
        }
    }

    /// Adds a stream to a call, and sends it the outcome if the call has ended.
    fn follow(
        &mut self,
        call: &CallId,
        stream: (OwnerIncarnation, Attempt),
    ) -> Vec<AddressedEvent> {
        let tracked_call = self
            .tracked_calls
            .get_mut(call)
            .expect("a followed call is tracked");
        tracked_call.followers.insert(stream);
        self.notify_followers(call)
    }

    /// Adds a stream of an owner whose claim found the call running. The stream
    /// breaks if the sidecar has no such call.
    pub fn resume(
        &mut self,
        call: &CallId,
        stream: (OwnerIncarnation, Attempt),
    ) -> Vec<AddressedEvent> {
        match self.tracked_calls.contains_key(call) {
            true => self.follow(call, stream),
            false => vec![connection_lost_event(stream, call.clone())],
        }
    }

    /// Sends the outcome of a call to its followers, if the call has ended.
    fn notify_followers(&mut self, call: &CallId) -> Vec<AddressedEvent> {
        let tracked_call = self
            .tracked_calls
            .get_mut(call)
            .expect("the call is tracked");
        let Some(end) = &tracked_call.end else {
            return Vec::new();
        };
        let to_event = |stream: &(OwnerIncarnation, Attempt)| match end {
            Outcome::Finished(finished) => finished_event(*stream, call.clone(), finished),
            Outcome::Failed(failure) => failed_event(*stream, call.clone(), failure),
            Outcome::Refused(refusal) => refused_event(*stream, call.clone(), refusal),
        };
        std::mem::take(&mut tracked_call.followers)
            .iter()
            .map(to_event)
            .collect()
    }

    /// Sends the outcome of a call that a claim removed from the queue to its
    /// followers, if the sidecar has the call.
    pub fn notify_followers_if_tracked(&mut self, call: &CallId) -> Vec<AddressedEvent> {
        match self.tracked_calls.contains_key(call) {
            true => self.notify_followers(call),
            false => Vec::new(),
        }
    }

    /// Starts the queued calls that fit, and sends the refusals of queued calls to
    /// their followers.
    pub fn admit(&mut self, now: Duration) -> Vec<AddressedEvent> {
        let admission = self.calls.admit(now);
        for start in admission.starts {
            let tracked_call = self
                .tracked_calls
                .get_mut(&start.id)
                .expect("the call was queued");
            tracked_call.is_running = true;
        }
        let mut events = Vec::new();
        for (call, refusal) in admission.refused {
            self.tracked_calls
                .get_mut(&call)
                .expect("the call was queued")
                .end = Some(Outcome::Refused(refusal));
            events.append(&mut self.notify_followers(&call));
        }
        events
    }

    /// Records the outcome of a running call, sends it to the followers and admits
    /// queued calls.
    pub fn complete(
        &mut self,
        now: Duration,
        call: &CallId,
        outcome: Outcome,
    ) -> Vec<AddressedEvent> {
        let outcome = self.calls.ended(now, call, outcome, 1);
        let tracked_call = self
            .tracked_calls
            .get_mut(call)
            .expect("the call was running");
        tracked_call.is_running = false;
        tracked_call.end = Some(outcome);
        let mut events = self.notify_followers(call);
        events.append(&mut self.admit(now));
        events
    }

    /// Returns the state of an attempt to the shard's owner.
    pub fn claim(
        &mut self,
        now: Duration,
        call: &CallId,
        attempt: Attempt,
        (shard, epoch): (Shard, Epoch),
        placement: &Placement,
    ) -> ClaimOutcome {
        let fence = fence(shard, epoch);
        let found = self
            .calls
            .claim(now, fence, call, attempt, &placement.incarnation);
        match found {
            EndpointClaimOutcome::Refused(_) => ClaimOutcome::StaleEpoch,
            EndpointClaimOutcome::Finished(finished) => ClaimOutcome::Finished(answer(&finished)),
            EndpointClaimOutcome::Running => ClaimOutcome::Running,
            EndpointClaimOutcome::Buried => {
                self.mark_buried(call);
                ClaimOutcome::Buried
            }
            EndpointClaimOutcome::Unknown => ClaimOutcome::Unknown,
            EndpointClaimOutcome::Failed(failure) => ClaimOutcome::Failed {
                may_have_run: failure.may_have_run,
            },
        }
    }

    /// Records the refusal of a call that a claim removed from the queue.
    fn mark_buried(&mut self, call: &CallId) {
        let waiting = self.tracked_calls.get_mut(call);
        if let Some(tracked_call) =
            waiting.filter(|tracked_call| !tracked_call.is_running && tracked_call.end.is_none())
        {
            let reason = RefusalReason::Buried;
            let refusal = Refusal::new(reason, Duration::ZERO, "claimed");
            tracked_call.end = Some(Outcome::Refused(refusal));
        }
    }

    /// Returns the retained calls of a shard. Afterwards the sidecar refuses owners
    /// of earlier epochs.
    pub fn retained(&mut self, shard: Shard, epoch: Epoch) -> Vec<RetainedTurn> {
        let calls = self.calls.retained(&[fence(shard, epoch)]);
        let retained = calls.into_iter().map(|call| RetainedTurn {
            turn: serde_json::from_slice(&call.record).expect("the record is valid JSON"),
            attempt: call.attempt,
            answer: call.finished.as_ref().map(answer),
        });
        retained.collect()
    }

    /// Returns the calls that run at the endpoint.
    pub fn running(&self) -> Vec<CallId> {
        let running = self
            .tracked_calls
            .iter()
            .filter(|(_, tracked_call)| tracked_call.is_running);
        running.map(|(call, _)| call.clone()).collect()
    }

    /// Releases the holds of a program by renewing those of all others.
    pub fn release(&mut self, now: Duration, program: &ProgramId) {
        let others = self
            .held_programs()
            .into_iter()
            .filter(|held| held != program);
        let others: HashSet<ProgramId> = others.collect();
        let shards = HashSet::from_iter(0..super::SHARDS);
        self.calls.holds().renew(now, &shards, &others, LEASE);
    }

    /// Returns the programs that hold KV cache at the endpoint.
    pub fn held_programs(&mut self) -> Vec<ProgramId> {
        self.calls.holds().programs()
    }

    /// Renews the holds of the listed programs, and releases the other holds of the
    /// owner's shards. Shards of which the owner has an earlier epoch are skipped.
    pub fn renew_holds(
        &mut self,
        now: Duration,
        fences: &[(Shard, Epoch)],
        programs: &HashSet<ProgramId>,
    ) {
        let current = fences.iter().filter(|(shard, epoch)| {
            let fence = fence(*shard, *epoch);
            self.calls.fences().check(fence).is_ok()
        });
        let shards: HashSet<Shard> = current.map(|(shard, _)| *shard).collect();
        self.calls.holds().renew(now, &shards, programs, LEASE);
    }
}

fn fence(shard: Shard, epoch: Epoch) -> Fence {
    Fence { shard, epoch }
}

/// Returns a dispatch as the sidecar's state machine takes it.
fn spec(dispatch: &Dispatch) -> CallSpec {
    let fence = fence(dispatch.shard, dispatch.epoch);
    let request = &dispatch.request;
    let record = serde_json::to_vec(&dispatch.record).expect("records are JSON");
    CallSpec {
        attempt: dispatch.attempt,
        fingerprint: rosebend_util::hash_parts(&[request.fingerprint.as_bytes()]),
        repeatable: request.repeatable,
        prompt_tokens: request.prompt_tokens,
        max_answer_tokens: request.max_answer_tokens,
        alone: dispatch.alone,
        hold_kv: dispatch.hold_kv,
        record: Arc::from(record),
        ..CallSpec::new(
            dispatch.call.clone(),
            fence,
            &dispatch.placement.incarnation,
        )
    }
}

/// Returns an answer as an owner records it. The simulation checks only its
/// digest, so the digest stands for the body.
fn answer(finished: &Finished) -> AnswerRecord {
    AnswerRecord {
        status: finished.status,
        body: AnswerBody::Parts(vec![finished.digest.clone()]),
        prompt_tokens: finished.prompt_tokens,
        cached_tokens: finished.cached_tokens,
        answer_tokens: finished.answer_tokens,
        digest: finished.digest.clone(),
    }
}

/// Returns the event that sends an answer to an owner.
fn finished_event(
    (to, attempt): (OwnerIncarnation, Attempt),
    call: CallId,
    finished: &Finished,
) -> AddressedEvent {
    let answer = answer(finished);
    let event = Event::Finished {
        call,
        attempt,
        answer,
    };
    (to, event)
}

/// Returns the event that sends a refusal to an owner.
fn refused_event(
    (to, attempt): (OwnerIncarnation, Attempt),
    call: CallId,
    refusal: &Refusal,
) -> AddressedEvent {
    let reason = match refusal.reason {
        RefusalReason::Leaving => DispatchRefusal::Leaving,
        RefusalReason::QueueFull => DispatchRefusal::QueueFull,
        RefusalReason::RetentionFull => DispatchRefusal::RetentionFull,
        RefusalReason::StaleEpoch => DispatchRefusal::StaleEpoch,
        RefusalReason::OtherIncarnation => DispatchRefusal::OtherIncarnation,
        RefusalReason::Buried => DispatchRefusal::Buried,
        RefusalReason::TooLarge => DispatchRefusal::TooLarge,
        RefusalReason::UnknownTarget => DispatchRefusal::UnknownTarget,
        RefusalReason::Deadline => DispatchRefusal::Deadline,
        RefusalReason::EndpointDown => DispatchRefusal::EndpointDown,
        RefusalReason::Duplicate => DispatchRefusal::Duplicate,
        RefusalReason::Invalid => DispatchRefusal::Invalid,
    };
    let event = Event::DispatchRefused {
        call,
        attempt,
        reason,
        retry_after: refusal.retry_after,
    };
    (to, event)
}

/// Returns the event that sends a failure to an owner.
fn failed_event(
    (to, attempt): (OwnerIncarnation, Attempt),
    call: CallId,
    failure: &Failure,
) -> AddressedEvent {
    let reason = match failure.reason {
        FailureReason::EndpointCrashed => DispatchFailure::EndpointCrashed,
        FailureReason::EndpointTimeout => DispatchFailure::EndpointTimeout,
        FailureReason::EndpointError => DispatchFailure::EndpointError,
        FailureReason::Cancelled => DispatchFailure::Cancelled,
    };
    let event = Event::DispatchFailed {
        call,
        attempt,
        reason,
        may_have_run: failure.may_have_run,
        suspects: failure.suspects.clone(),
    };
    (to, event)
}

/// Returns the event that reports the loss of a dispatch's stream to its owner.
pub fn connection_lost_event(
    (to, attempt): (OwnerIncarnation, Attempt),
    call: CallId,
) -> AddressedEvent {
    let event = Event::DispatchFailed {
        call,
        attempt,
        reason: DispatchFailure::ConnectionLost,
        may_have_run: true,
        suspects: Vec::new(),
    };
    (to, event)
}
