//! A sidecar: the real machine, with an endpoint that runs what it is given.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rosebend_coordination::endpoint::claim::ClaimOutcome as Found;
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

/// Lease of a hold; far longer than a run.
const LEASE: Duration = Duration::from_secs(3600);

/// Which run of which owner process.
pub type OwnerRun = (usize, u32);
/// An event and the owner that it goes to.
pub type Sent = (OwnerRun, Event);

/// A dispatch as it reaches a sidecar.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub from: OwnerRun,
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

/// A call that was handed to the endpoint, or waits to be.
#[derive(Debug)]
pub struct Given {
    pub dispatch: Dispatch,
    pub is_running: bool,
    pub end: Option<Outcome>,
    /// Streams that are open on its answer.
    pub followers: BTreeSet<(OwnerRun, Attempt)>,
}

#[derive(Debug)]
pub struct Sidecar {
    pub name: String,
    pub run: u32,
    /// Epochs of the shards when this run started.
    pub started_at: BTreeMap<Shard, Epoch>,
    pub calls: Calls,
    pub given: BTreeMap<CallId, Given>,
}

impl Sidecar {
    pub fn new(name: &str, run: u32, epochs: BTreeMap<Shard, Epoch>) -> Self {
        let limits = EndpointLimits {
            queued: 2,
            running: 2,
            ..EndpointLimits::default()
        };
        let mut calls = Calls::new(format!("{name}-{run}"), limits);
        // A sidecar reads the shards' epochs before it takes any call.
        for (shard, epoch) in &epochs {
            let fence = fence(*shard, *epoch);
            calls.fences().check(fence).expect("nothing was seen yet");
        }
        Self {
            name: name.to_owned(),
            run,
            started_at: epochs,
            calls,
            given: BTreeMap::new(),
        }
    }

    pub fn dispatch(&mut self, now: Duration, dispatch: Dispatch) -> Vec<Sent> {
        let stream = (dispatch.from, dispatch.attempt);
        let call = dispatch.call.clone();
        match self.calls.dispatch(now, spec(&dispatch)) {
            Dispatched::Queued => {
                let given = Given {
                    dispatch,
                    is_running: false,
                    end: None,
                    followers: BTreeSet::from([stream]),
                };
                self.given.insert(call, given);
                self.admit(now)
            }
            Dispatched::Follow => self.follow(&call, stream),
            Dispatched::Refused(refusal) => vec![refused(stream, call, &refusal)],
            Dispatched::Ended(failure) => vec![failed(stream, call, &failure)],
        }
    }

    fn follow(&mut self, call: &CallId, stream: (OwnerRun, Attempt)) -> Vec<Sent> {
        let given = self.given.get_mut(call).expect("a followed call is known");
        given.followers.insert(stream);
        self.tell(call)
    }

    /// An owner follows a call that a claim found running.
    pub fn resume(&mut self, call: &CallId, stream: (OwnerRun, Attempt)) -> Vec<Sent> {
        match self.given.contains_key(call) {
            true => self.follow(call, stream),
            false => vec![broken(stream, call.clone())],
        }
    }

    /// Tells everyone who follows a call its end.
    fn tell(&mut self, call: &CallId) -> Vec<Sent> {
        let given = self.given.get_mut(call).expect("the call is known");
        let Some(end) = &given.end else {
            return Vec::new();
        };
        let tell = |stream: &(OwnerRun, Attempt)| match end {
            Outcome::Finished(finished) => finished_event(*stream, call.clone(), finished),
            Outcome::Failed(failure) => failed(*stream, call.clone(), failure),
            Outcome::Refused(refusal) => refused(*stream, call.clone(), refusal),
        };
        std::mem::take(&mut given.followers)
            .iter()
            .map(tell)
            .collect()
    }

    /// Tells followers of a call that a claim took out of the queue.
    pub fn tell_waiting(&mut self, call: &CallId) -> Vec<Sent> {
        match self.given.contains_key(call) {
            true => self.tell(call),
            false => Vec::new(),
        }
    }

    /// Hands over what fits, and tells what is given up in the queue.
    pub fn admit(&mut self, now: Duration) -> Vec<Sent> {
        let admission = self.calls.admit(now);
        for start in admission.starts {
            let given = self.given.get_mut(&start.id).expect("it waited");
            given.is_running = true;
        }
        let mut sent = Vec::new();
        for (call, refusal) in admission.refused {
            self.given.get_mut(&call).expect("it waited").end = Some(Outcome::Refused(refusal));
            sent.append(&mut self.tell(&call));
        }
        sent
    }

    /// The endpoint is done with a call.
    pub fn end(&mut self, now: Duration, call: &CallId, outcome: Outcome) -> Vec<Sent> {
        let outcome = self.calls.ended(now, call, outcome, 1);
        let given = self.given.get_mut(call).expect("it ran");
        given.is_running = false;
        given.end = Some(outcome);
        let mut sent = self.tell(call);
        sent.append(&mut self.admit(now));
        sent
    }

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
            Found::Refused(_) => ClaimOutcome::StaleEpoch,
            Found::Finished(finished) => ClaimOutcome::Finished(answer(&finished)),
            Found::Running => ClaimOutcome::Running,
            Found::Buried => {
                self.buried(call);
                ClaimOutcome::Buried
            }
            Found::Unknown => ClaimOutcome::Unknown,
            Found::Failed(failure) => ClaimOutcome::Failed {
                may_have_run: failure.may_have_run,
            },
        }
    }

    /// A claim took a call out of the queue.
    fn buried(&mut self, call: &CallId) {
        let waiting = self.given.get_mut(call);
        if let Some(given) = waiting.filter(|given| !given.is_running && given.end.is_none()) {
            let reason = RefusalReason::Buried;
            let refusal = Refusal::new(reason, Duration::ZERO, "claimed");
            given.end = Some(Outcome::Refused(refusal));
        }
    }

    /// What is retained for a shard; older owners are refused from now on.
    pub fn retained(&mut self, shard: Shard, epoch: Epoch) -> Vec<RetainedTurn> {
        let calls = self.calls.retained(&[fence(shard, epoch)]);
        let retained = calls.into_iter().map(|call| RetainedTurn {
            turn: serde_json::from_slice(&call.record).expect("the owner wrote it"),
            attempt: call.attempt,
            answer: call.finished.as_ref().map(answer),
        });
        retained.collect()
    }

    /// Calls at the endpoint now.
    pub fn running(&self) -> Vec<CallId> {
        let running = self.given.iter().filter(|(_, given)| given.is_running);
        running.map(|(call, _)| call.clone()).collect()
    }

    /// The owner's order to free what a program holds.
    pub fn release(&mut self, now: Duration, program: &ProgramId) {
        let others = self.held().into_iter().filter(|held| held != program);
        let others: HashSet<ProgramId> = others.collect();
        let shards = HashSet::from_iter(0..super::SHARDS);
        self.calls.holds().renew(now, &shards, &others, LEASE);
    }

    pub fn held(&mut self) -> Vec<ProgramId> {
        self.calls.holds().programs()
    }

    /// Frees the holds of an owner's shards that it does not list.
    pub fn renew(
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

/// The answer as an owner records it; its body is not looked at here.
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

fn finished_event((to, attempt): (OwnerRun, Attempt), call: CallId, finished: &Finished) -> Sent {
    let answer = answer(finished);
    let event = Event::Finished {
        call,
        attempt,
        answer,
    };
    (to, event)
}

fn refused((to, attempt): (OwnerRun, Attempt), call: CallId, refusal: &Refusal) -> Sent {
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

fn failed((to, attempt): (OwnerRun, Attempt), call: CallId, failure: &Failure) -> Sent {
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

/// The stream of a dispatch broke.
pub fn broken((to, attempt): (OwnerRun, Attempt), call: CallId) -> Sent {
    let event = Event::DispatchFailed {
        call,
        attempt,
        reason: DispatchFailure::ConnectionLost,
        may_have_run: true,
        suspects: Vec::new(),
    };
    (to, event)
}
