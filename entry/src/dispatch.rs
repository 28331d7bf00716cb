//! Runs one attempt of a call at a sidecar, to an end that is certain.
//!
//! The stream may fall silent or break at any moment. Then it is resumed, on a
//! new connection, from the first part that is missing. When the sidecar does
//! not know the call, the call is claimed: from then on it cannot run there,
//! and only then is it reported as not run. What cannot be settled is reported
//! as a failure after which the call may have run.

use std::{sync::Arc, time::Duration};

use actix_rt::time::{sleep, timeout};
use rosebend_protocol::peer::{
    self, AnswerEvent, ClaimRequest, DispatchRequest, FailureReason, Finished, RefusalReason,
    ResumeRequest, answer_event::Event, claim_reply::Outcome, sidecar_client::SidecarClient,
};
use rosebend_transport::peers::{MAX_MESSAGE_BYTES, PROGRESS_TIMEOUT, Peers};
use tonic::{Streaming, transport::Channel};

use crate::answer::LiveAnswer;

/// Longest wait for the answer of a request that is not a stream.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Tries to find the sidecar again after its stream broke.
const RESUME_TRIES: u32 = 5;
/// Wait before the first of these tries; it doubles.
const RESUME_WAIT: Duration = Duration::from_millis(50);

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptEnd {
    /// All parts are in the answer.
    Finished(Finished),
    /// The call did not run in this attempt and never will.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When it is worth trying again, in milliseconds.
        retry_after_ms: u64,
        /// The epoch that the sidecar knows, when it refused a stale one.
        epoch: u64,
    },
    /// The call was handed over and has no whole answer.
    Failed {
        /// What happened.
        reason: FailureReason,
        /// Whether it may have had its effect.
        may_have_run: bool,
        /// Calls in flight when the endpoint crashed.
        suspects: Vec<String>,
    },
}

/// Where an attempt runs and what it may do there.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The sidecar's address.
    pub address: String,
    /// The request, with fence, call and incarnation.
    pub request: DispatchRequest,
    /// Where the parts go.
    pub answer: Arc<LiveAnswer>,
    /// The call is already at the sidecar: resume it, never dispatch it.
    pub is_resume: bool,
}

enum StreamEnd {
    Ended(AttemptEnd),
    /// The connection broke or fell silent.
    Broken,
    /// The sidecar does not know the call.
    UnknownCall,
}

/// Runs an attempt to its end.
pub async fn run(peers: Peers, attempt: Attempt) -> AttemptEnd {
    let Ok(channel) = peers.channel(&attempt.address).await else {
        return if attempt.is_resume {
            settle(&peers, &attempt).await
        } else {
            not_run(RefusalReason::EndpointDown)
        };
    };
    let first = if attempt.is_resume {
        resume(channel, &attempt).await
    } else {
        dispatch(channel, &attempt).await
    };
    match first {
        StreamEnd::Ended(end) => end,
        StreamEnd::Broken | StreamEnd::UnknownCall => {
            peers.forget(&attempt.address);
            settle(&peers, &attempt).await
        }
    }
}

/// Finds out what became of a call whose stream broke, and reads the rest.
async fn settle(peers: &Peers, attempt: &Attempt) -> AttemptEnd {
    let mut wait = RESUME_WAIT;
    for _ in 0..RESUME_TRIES {
        if let Ok(channel) = peers.channel(&attempt.address).await {
            match resume(channel.clone(), attempt).await {
                StreamEnd::Ended(end) => return end,
                StreamEnd::Broken => peers.forget(&attempt.address),
                StreamEnd::UnknownCall => {
                    if let Some(end) = bury(channel, attempt).await {
                        return end;
                    }
                }
            }
        }
        sleep(wait).await;
        wait *= 2;
    }
    failed(FailureReason::SidecarStopped, true)
}

fn client(channel: Channel) -> SidecarClient<Channel> {
    SidecarClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

async fn dispatch(channel: Channel, attempt: &Attempt) -> StreamEnd {
    let opened = timeout(
        PROGRESS_TIMEOUT,
        client(channel).dispatch(attempt.request.clone()),
    )
    .await;
    match opened {
        Ok(Ok(reply)) => read(reply.into_inner(), attempt).await,
        _ => StreamEnd::Broken,
    }
}

async fn resume(channel: Channel, attempt: &Attempt) -> StreamEnd {
    let request = ResumeRequest {
        fence: attempt.request.fence,
        call_id: attempt.request.call_id.clone(),
        offset: attempt.answer.len(),
    };
    match timeout(PROGRESS_TIMEOUT, client(channel).resume(request)).await {
        Ok(Ok(reply)) => match read(reply.into_inner(), attempt).await {
            StreamEnd::Ended(AttemptEnd::NotRun {
                reason: RefusalReason::Invalid,
                ..
            }) => StreamEnd::UnknownCall,
            end => end,
        },
        _ => StreamEnd::Broken,
    }
}

async fn read(mut stream: Streaming<AnswerEvent>, attempt: &Attempt) -> StreamEnd {
    // Parts of this attempt start at offset zero or where the resumption asked.
    loop {
        let event = match timeout(PROGRESS_TIMEOUT, stream.message()).await {
            Ok(Ok(Some(AnswerEvent { event: Some(event) }))) => event,
            _ => return StreamEnd::Broken,
        };
        match event {
            Event::Part(part) => {
                if attempt.answer.add(part.offset, part.data).is_err() {
                    return StreamEnd::Ended(failed(FailureReason::EndpointError, true));
                }
            }
            Event::Finished(finished) if finished.parts == attempt.answer.len() => {
                return StreamEnd::Ended(AttemptEnd::Finished(finished));
            }
            Event::Finished(_) => return StreamEnd::Broken,
            Event::Refusal(refusal) => return StreamEnd::Ended(refused(&refusal)),
            Event::Failure(failure) => return StreamEnd::Ended(failure_end(&failure)),
            Event::Admitted(_) | Event::Ping(_) => {}
        }
    }
}

/// Makes sure that a call which the sidecar does not know never runs there.
async fn bury(channel: Channel, attempt: &Attempt) -> Option<AttemptEnd> {
    match claim_on(channel, attempt).await? {
        Outcome::Buried(_) => Some(not_run(RefusalReason::Buried)),
        Outcome::Refusal(refusal) => Some(match refused(&refusal) {
            // Another owner decides about the call now, and this one must not
            // say that it was not run.
            AttemptEnd::NotRun {
                reason: RefusalReason::StaleEpoch,
                ..
            } => failed(FailureReason::Cancelled, true),
            _ => failed(FailureReason::SidecarStopped, true),
        }),
        Outcome::Unknown(_) => Some(failed(FailureReason::SidecarStopped, true)),
        Outcome::Failure(failure) => Some(failure_end(&failure)),
        // It is known after all; the next round resumes it.
        Outcome::Finished(_) | Outcome::Running(_) => None,
    }
}

/// Claims the call of an attempt. None when the sidecar did not answer.
pub async fn claim(peers: &Peers, attempt: &Attempt) -> Option<Outcome> {
    let channel = peers.channel(&attempt.address).await.ok()?;
    let outcome = claim_on(channel, attempt).await;
    if outcome.is_none() {
        peers.forget(&attempt.address);
    }
    outcome
}

async fn claim_on(channel: Channel, attempt: &Attempt) -> Option<Outcome> {
    let request = ClaimRequest {
        fence: attempt.request.fence,
        call_id: attempt.request.call_id.clone(),
        incarnation: attempt.request.incarnation.clone(),
        attempt: attempt.request.attempt,
    };
    let reply = timeout(REQUEST_TIMEOUT, client(channel).claim(request))
        .await
        .ok()?
        .ok()?;
    reply.into_inner().outcome
}

fn refused(refusal: &peer::Refusal) -> AttemptEnd {
    AttemptEnd::NotRun {
        reason: refusal.reason(),
        retry_after_ms: refusal.retry_after_ms,
        epoch: refusal.epoch,
    }
}

fn not_run(reason: RefusalReason) -> AttemptEnd {
    AttemptEnd::NotRun {
        reason,
        retry_after_ms: 0,
        epoch: 0,
    }
}

fn failure_end(failure: &peer::Failure) -> AttemptEnd {
    AttemptEnd::Failed {
        reason: failure.reason(),
        may_have_run: failure.may_have_run,
        suspects: failure.suspects.clone(),
    }
}

fn failed(reason: FailureReason, may_have_run: bool) -> AttemptEnd {
    AttemptEnd::Failed {
        reason,
        may_have_run,
        suspects: Vec::new(),
    }
}
