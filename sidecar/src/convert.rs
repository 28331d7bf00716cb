//! Peer messages from and to the types of the decisions.

use std::time::Duration;

use bytes::Bytes;

use rosebend_coordination::endpoint::{
    EndpointLoad, RetainedCall,
    claim::ClaimOutcome,
    fence::Fence,
    outcome::{Failure, FailureReason, Finished, Outcome, Refusal, RefusalReason},
};
use rosebend_coordination::warmth::SharedPrefix;
use rosebend_protocol::peer::{self, answer_event, claim_reply};
use rosebend_state::id::{CallId, IdError};

use crate::answer::Progress;

/// Why a message was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum MessageError {
    #[error("the fence is missing")]
    NoFence,
    #[error("the call id is not accepted: {0}")]
    CallId(#[from] IdError),
    #[error("the kind of the call is missing")]
    NoKind,
    #[error("the tool's name is not accepted: {0}")]
    Target(IdError),
    #[error("the body is not a JSON object")]
    Body,
    #[error("the attempt is missing")]
    NoAttempt,
}

impl From<MessageError> for Refusal {
    fn from(error: MessageError) -> Self {
        Self::new(RefusalReason::Invalid, Duration::ZERO, error.to_string())
    }
}

pub(crate) fn fence(raw: Option<peer::Fence>) -> Result<Fence, MessageError> {
    let raw = raw.ok_or(MessageError::NoFence)?;
    Ok(Fence {
        shard: raw.shard,
        epoch: raw.epoch,
    })
}

pub(crate) fn call_id(raw: &str) -> Result<CallId, MessageError> {
    Ok(CallId::try_from(raw)?)
}

pub(crate) fn refusal(refusal: Refusal) -> peer::Refusal {
    peer::Refusal {
        reason: refusal_reason(refusal.reason).into(),
        retry_after_ms: millis(refusal.retry_after),
        detail: refusal.detail,
        owner_address: String::new(),
        epoch: refusal.epoch,
    }
}

pub(crate) fn failure(failure: Failure) -> peer::Failure {
    peer::Failure {
        reason: failure_reason(failure.reason).into(),
        may_have_run: failure.may_have_run,
        detail: failure.detail,
        suspects: failure.suspects.iter().map(CallId::to_string).collect(),
    }
}

pub(crate) fn finished(finished: Finished, load: peer::Load) -> peer::Finished {
    peer::Finished {
        parts: finished.parts,
        status: finished.status.into(),
        prompt_tokens: finished.prompt_tokens,
        cached_tokens: finished.cached_tokens,
        answer_tokens: finished.answer_tokens,
        digest: finished.digest,
        load: Some(load),
    }
}

pub(crate) fn answer_event(event: answer_event::Event) -> peer::AnswerEvent {
    peer::AnswerEvent { event: Some(event) }
}

pub(crate) fn refusal_event(reason: Refusal) -> peer::AnswerEvent {
    answer_event(answer_event::Event::Refusal(refusal(reason)))
}

pub(crate) fn failure_event(reason: Failure) -> peer::AnswerEvent {
    answer_event(answer_event::Event::Failure(failure(reason)))
}

pub(crate) fn ping_event() -> peer::AnswerEvent {
    answer_event(answer_event::Event::Ping(peer::Ping {}))
}

/// The events that tell a receiver of some progress.
pub(crate) fn progress_events(progress: Progress, load: &peer::Load) -> Vec<peer::AnswerEvent> {
    match progress {
        Progress::Admitted(queued) => {
            let admitted = peer::Admitted {
                queue_ms: millis(queued),
                incarnation: load.incarnation.clone(),
            };
            vec![answer_event(answer_event::Event::Admitted(admitted))]
        }
        Progress::Parts(first, parts) => (first..)
            .zip(parts)
            .map(|(offset, data)| {
                answer_event(answer_event::Event::Part(peer::Part { offset, data }))
            })
            .collect(),
        Progress::Ended(outcome) => vec![outcome_event(outcome, load)],
    }
}

fn outcome_event(outcome: Outcome, load: &peer::Load) -> peer::AnswerEvent {
    match outcome {
        Outcome::Finished(whole) => {
            answer_event(answer_event::Event::Finished(finished(whole, load.clone())))
        }
        Outcome::Failed(reason) => failure_event(reason),
        Outcome::Refused(reason) => refusal_event(reason),
    }
}

pub(crate) fn claim_reply(outcome: ClaimOutcome, load: &peer::Load) -> peer::ClaimReply {
    let outcome = match outcome {
        ClaimOutcome::Refused(reason) => claim_reply::Outcome::Refusal(refusal(reason)),
        ClaimOutcome::Finished(whole) => {
            claim_reply::Outcome::Finished(finished(whole, load.clone()))
        }
        ClaimOutcome::Running => claim_reply::Outcome::Running(peer::Admitted {
            queue_ms: 0,
            incarnation: load.incarnation.clone(),
        }),
        ClaimOutcome::Buried => claim_reply::Outcome::Buried(peer::Buried {}),
        ClaimOutcome::Unknown => claim_reply::Outcome::Unknown(peer::Unknown {}),
        ClaimOutcome::Failed(reason) => claim_reply::Outcome::Failure(failure(reason)),
    };
    peer::ClaimReply {
        outcome: Some(outcome),
    }
}

pub(crate) fn retained_call(call: RetainedCall, load: &peer::Load) -> peer::RetainedCall {
    peer::RetainedCall {
        call_id: call.id.to_string(),
        attempt: call.attempt,
        finished: call.ended,
        prompt_tokens: call
            .finished
            .as_ref()
            .map_or(0, |answer| answer.prompt_tokens),
        answer_tokens: call
            .finished
            .as_ref()
            .map_or(0, |answer| answer.answer_tokens),
        shard: call.shard,
        record: Bytes::copy_from_slice(&call.record),
        answer: call.finished.map(|answer| finished(answer, load.clone())),
    }
}

/// Writes the sidecar's own count over an earlier load.
pub(crate) fn set_load(load: &mut peer::Load, own: &EndpointLoad) {
    load.running = own.running;
    load.queued = own.queued;
    load.kv_tokens_limit = own.kv_tokens_limit;
    load.token_us = own.token_us;
    load.prefill_token_us = own.prefill_token_us;
    load.kv_tokens_in_flight = own.kv_tokens_in_flight;
    load.queued_tokens = own.queued_tokens;
    load.leaving = own.leaving;
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) fn refusal_reason(reason: RefusalReason) -> peer::RefusalReason {
    match reason {
        RefusalReason::Leaving => peer::RefusalReason::Leaving,
        RefusalReason::QueueFull => peer::RefusalReason::QueueFull,
        RefusalReason::RetentionFull => peer::RefusalReason::RetentionFull,
        RefusalReason::StaleEpoch => peer::RefusalReason::StaleEpoch,
        RefusalReason::OtherIncarnation => peer::RefusalReason::OtherIncarnation,
        RefusalReason::Buried => peer::RefusalReason::Buried,
        RefusalReason::TooLarge => peer::RefusalReason::TooLarge,
        RefusalReason::UnknownTarget => peer::RefusalReason::UnknownTarget,
        RefusalReason::Deadline => peer::RefusalReason::Deadline,
        RefusalReason::EndpointDown => peer::RefusalReason::EndpointDown,
        RefusalReason::Duplicate => peer::RefusalReason::Duplicate,
        RefusalReason::Invalid => peer::RefusalReason::Invalid,
    }
}

fn failure_reason(reason: FailureReason) -> peer::FailureReason {
    match reason {
        FailureReason::EndpointCrashed => peer::FailureReason::EndpointCrashed,
        FailureReason::EndpointTimeout => peer::FailureReason::EndpointTimeout,
        FailureReason::EndpointError => peer::FailureReason::EndpointError,
        FailureReason::Cancelled => peer::FailureReason::Cancelled,
    }
}

/// The word for a failure in logs.
pub(crate) fn failure_name(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::EndpointCrashed => "endpoint_crashed",
        FailureReason::EndpointTimeout => "endpoint_timeout",
        FailureReason::EndpointError => "endpoint_error",
        FailureReason::Cancelled => "cancelled",
    }
}

/// Prefixes of a prompt, cut where they are not each longer than the one
/// before.
pub(crate) fn shared_prefixes(raw: &[peer::SharedPrefix]) -> Vec<SharedPrefix> {
    let mut prefixes: Vec<SharedPrefix> = Vec::with_capacity(raw.len());
    for &peer::SharedPrefix { id, tokens } in raw {
        if prefixes.last().is_some_and(|last| last.tokens >= tokens) {
            break;
        }
        prefixes.push(SharedPrefix { id, tokens });
    }
    prefixes
}
