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
use rosebend_transport::peers::{MAX_MESSAGE_BYTES, PROGRESS_TIMEOUT, PeerChannel, Peers};
use tonic::Streaming;

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
    Broken {
        /// Whether the sidecar said anything, and so has the call.
        is_known: bool,
    },
}

/// Runs an attempt to its end.
pub async fn run(peers: Peers, attempt: Attempt) -> AttemptEnd {
    let is_known = if attempt.is_resume {
        true
    } else {
        let Ok(channel) = peers.channel(&attempt.address).await else {
            return not_run(RefusalReason::EndpointDown);
        };
        match dispatch(channel, &attempt).await {
            StreamEnd::Ended(end) => return end,
            StreamEnd::Broken { is_known } => {
                peers.forget(&attempt.address);
                is_known
            }
        }
    };
    settle(&peers, &attempt, is_known).await
}

/// Finds out what became of a call whose stream broke, and reads the rest. A
/// sidecar that may not have the call is made to tell or to bury it.
async fn settle(peers: &Peers, attempt: &Attempt, mut is_known: bool) -> AttemptEnd {
    let mut wait = RESUME_WAIT;
    for _ in 0..RESUME_TRIES {
        if let Ok(channel) = peers.channel(&attempt.address).await {
            if !is_known {
                match bury(channel.clone(), attempt).await {
                    Buried::Ended(end) => return end,
                    Buried::IsKnown => is_known = true,
                    Buried::NoAnswer => peers.forget(&attempt.address),
                }
            }
            if is_known {
                match resume(channel, attempt).await {
                    StreamEnd::Ended(end) => return end,
                    StreamEnd::Broken { .. } => peers.forget(&attempt.address),
                }
            }
        }
        sleep(wait).await;
        wait *= 2;
    }
    failed(FailureReason::SidecarStopped, true)
}

fn client(channel: PeerChannel) -> SidecarClient<PeerChannel> {
    SidecarClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

async fn dispatch(channel: PeerChannel, attempt: &Attempt) -> StreamEnd {
    let request = attempt.request.clone();
    match timeout(PROGRESS_TIMEOUT, client(channel).dispatch(request)).await {
        Ok(Ok(reply)) => read(reply.into_inner(), attempt).await,
        _ => StreamEnd::Broken { is_known: false },
    }
}

async fn resume(channel: PeerChannel, attempt: &Attempt) -> StreamEnd {
    let request = ResumeRequest {
        fence: attempt.request.fence,
        call_id: attempt.request.call_id.clone(),
        offset: attempt.answer.len(),
    };
    match timeout(PROGRESS_TIMEOUT, client(channel).resume(request)).await {
        Ok(Ok(reply)) => read(reply.into_inner(), attempt).await,
        _ => StreamEnd::Broken { is_known: true },
    }
}

/// Reads parts, from offset zero or from where the resumption asked.
async fn read(mut stream: Streaming<AnswerEvent>, attempt: &Attempt) -> StreamEnd {
    let mut is_known = false;
    loop {
        let event = match timeout(PROGRESS_TIMEOUT, stream.message()).await {
            Ok(Ok(Some(AnswerEvent { event: Some(event) }))) => event,
            _ => return StreamEnd::Broken { is_known },
        };
        is_known = true;
        match event {
            Event::Part(part) => {
                if attempt.answer.add(part.offset, part.data).is_err() {
                    return StreamEnd::Ended(failed(FailureReason::EndpointError, true));
                }
            }
            Event::Finished(finished) if finished.parts != attempt.answer.len() => {
                return StreamEnd::Broken { is_known };
            }
            Event::Finished(finished) => {
                return StreamEnd::Ended(checked(finished, attempt));
            }
            Event::Refusal(refusal) => return StreamEnd::Ended(refused(&refusal)),
            Event::Failure(failure) => return StreamEnd::Ended(failure_end(&failure)),
            Event::Admitted(_) | Event::Ping(_) => {}
        }
    }
}

/// An answer is whole only when it is the one that the sidecar retains.
fn checked(finished: Finished, attempt: &Attempt) -> AttemptEnd {
    let digest = rosebend_util::digest_hex(&attempt.answer.parts().concat());
    if digest == finished.digest {
        AttemptEnd::Finished(finished)
    } else {
        failed(FailureReason::EndpointError, true)
    }
}

enum Buried {
    Ended(AttemptEnd),
    IsKnown,
    NoAnswer,
}

/// Makes sure that a call which the sidecar does not have never runs there.
async fn bury(channel: PeerChannel, attempt: &Attempt) -> Buried {
    let Some(outcome) = claim_on(channel, attempt).await else {
        return Buried::NoAnswer;
    };
    let end = match outcome {
        Outcome::Finished(_) | Outcome::Running(_) => return Buried::IsKnown,
        Outcome::Buried(_) => not_run(RefusalReason::Buried),
        // Another owner decides about the call now, and this one must not say
        // that it was not run.
        Outcome::Refusal(refusal) if refusal.reason() == RefusalReason::StaleEpoch => {
            failed(FailureReason::Cancelled, true)
        }
        Outcome::Refusal(_) | Outcome::Unknown(_) => failed(FailureReason::SidecarStopped, true),
        Outcome::Failure(failure) => failure_end(&failure),
    };
    Buried::Ended(end)
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

async fn claim_on(channel: PeerChannel, attempt: &Attempt) -> Option<Outcome> {
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
