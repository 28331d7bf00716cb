//! Attempts of calls: placed at an endpoint, sent to its sidecar, claimed there.

use std::time::Duration;

use rosebend_coordination::owner::{
    Action, ClaimOutcome, DispatchFailure, DispatchRefusal, Event, NoPlacement, NoPlacementReason,
    Placement,
};
use rosebend_coordination::routing::{CallEnd, NoEndpointReason, Request};
use rosebend_coordination::warmth::SharedPrefix;
use rosebend_protocol::peer::{
    self, DispatchRequest, FailureReason, Fence, RefusalReason, claim_reply::Outcome,
};
use rosebend_state::id::{CallId, EndpointId, Epoch, Shard};
use rosebend_state::record::CallKind;

use super::Command;
use super::answers::answer_record;
use super::state::Control;
use crate::dispatch::{self, Attempt, AttemptEnd};

impl Control {
    pub(super) fn place(&mut self, action: Action) -> Option<Event> {
        let Action::Place {
            call,
            attempt,
            target,
            prompt_tokens,
            shared_prefixes,
            warm,
            excluded,
            ..
        } = action
        else {
            return None;
        };
        let now = self.now();
        let request = Request {
            program: &call.program,
            target: &target,
            prompt_tokens,
            warm: warm.as_ref().map(|endpoint| (endpoint, prompt_tokens)),
            shared_prefixes: &shared_prefixes,
            excluded: &excluded,
        };
        let outcome = match self.router.choose(now, &request) {
            Ok(choice) => {
                self.router.sent(now, &call, &request, &choice);
                Ok(Placement {
                    endpoint: choice.endpoint,
                    incarnation: choice.incarnation,
                })
            }
            Err(none) => Err(NoPlacement {
                reason: match none.reason {
                    NoEndpointReason::UnknownTarget => NoPlacementReason::UnknownTarget,
                    NoEndpointReason::NoneLive => NoPlacementReason::NoEndpoint,
                    NoEndpointReason::AllRefuse => NoPlacementReason::Saturated,
                },
                retry_after: none.retry_after,
            }),
        };
        Some(Event::Placed {
            call,
            attempt,
            outcome,
        })
    }

    pub(super) fn dispatch(&mut self, action: Action) {
        let Action::Dispatch {
            call,
            attempt,
            shard,
            epoch,
            placement,
            request,
            record,
            attained_tokens,
            program_age,
            hold_kv,
            alone,
        } = action
        else {
            return;
        };
        let now = self.now();
        let address = self.sidecar_address(&placement.endpoint);
        let dispatch_request = DispatchRequest {
            fence: Some(Fence { shard, epoch }),
            call_id: call.to_string(),
            attempt,
            kind: match request.kind {
                CallKind::Model => peer::CallKind::Model.into(),
                CallKind::Tool => peer::CallKind::Tool.into(),
            },
            target: request.target.clone(),
            repeatable: request.repeatable,
            body: request.body.clone(),
            incarnation: placement.incarnation.clone(),
            prompt_tokens: request.prompt_tokens,
            max_answer_tokens: request.max_answer_tokens,
            deadline_ms: request
                .deadline
                .map_or(0, |at| millis(at.saturating_sub(now)).max(1)),
            attained_tokens,
            program_age_ms: millis(program_age),
            fingerprint: request.fingerprint.clone(),
            config_revision: self.configuration.revision(),
            hold_kv,
            alone,
            share_weight: self.directory.share_weight(call.program.customer()),
            record: serde_json::to_vec(&record).unwrap_or_default().into(),
            shared_prefixes: request
                .shared_prefixes
                .iter()
                .map(|&SharedPrefix { id, tokens }| peer::SharedPrefix { id, tokens })
                .collect(),
        };
        let answer = self.live_answer(&call);
        answer.begin_attempt();
        if let Some(live) = self.live.get_mut(&call) {
            live.placement = Some(placement);
        }
        let job = Attempt {
            address,
            request: dispatch_request,
            answer,
            is_resume: false,
        };
        self.run_attempt(call, attempt, job);
    }

    fn run_attempt(&self, call: CallId, attempt: u32, job: Attempt) {
        let handle = self.handle.clone();
        self.traffic.spawn(move |peers| async move {
            let end = dispatch::run(peers, job).await;
            handle.send(Command::AttemptEnded { call, attempt, end });
        });
    }

    pub(super) fn attempt_ended(&mut self, call: CallId, attempt: u32, end: AttemptEnd) {
        let now = self.now();
        let placement = self.live.get(&call).and_then(|live| live.placement.clone());
        let endpoint = placement.map(|placement| placement.endpoint);
        let event = match end {
            AttemptEnd::Finished(finished) => {
                let answer_tokens = finished.answer_tokens;
                self.router
                    .ended(now, &call, CallEnd::Finished { answer_tokens });
                if let (Some(endpoint), Some(load)) = (&endpoint, &finished.load) {
                    self.take_load(endpoint, now, load);
                }
                let Some(live) = self.live.get(&call) else {
                    return;
                };
                let answer = answer_record(&live.answer, &finished);
                Event::Finished {
                    call,
                    attempt,
                    answer,
                }
            }
            AttemptEnd::NotRun {
                reason,
                retry_after_ms,
                ..
            } => {
                let retry_after = Duration::from_millis(retry_after_ms);
                self.router
                    .ended(now, &call, CallEnd::Refused { retry_after });
                self.note_refusal(endpoint.as_ref(), reason);
                let reason = dispatch_refusal(reason);
                Event::DispatchRefused {
                    call,
                    attempt,
                    reason,
                    retry_after,
                }
            }
            AttemptEnd::Failed {
                reason,
                may_have_run,
                suspects,
            } => {
                self.router.ended(now, &call, CallEnd::Failed);
                if let (
                    Some(endpoint),
                    FailureReason::EndpointCrashed | FailureReason::SidecarStopped,
                ) = (&endpoint, reason)
                {
                    self.router.down(now, endpoint);
                }
                let suspects = suspects
                    .iter()
                    .filter_map(|id| CallId::try_from(id.as_str()).ok())
                    .collect();
                let reason = dispatch_failure(reason);
                Event::DispatchFailed {
                    call,
                    attempt,
                    reason,
                    may_have_run,
                    suspects,
                }
            }
        };
        self.owner_event(event);
    }

    fn note_refusal(&mut self, endpoint: Option<&EndpointId>, reason: RefusalReason) {
        let now = self.now();
        self.settings
            .metrics
            .count_refusal(rosebend_transport::metrics_page::refusal_label(reason));
        let Some(endpoint) = endpoint else {
            return;
        };
        match reason {
            RefusalReason::Leaving => self.router.leaving(endpoint),
            RefusalReason::EndpointDown => self.router.down(now, endpoint),
            RefusalReason::OtherIncarnation => self.poll_sidecar(&endpoint.clone()),
            _ => {}
        }
    }

    /// Claims a call; an answer that is retained there is read before the
    /// owner is told, and a call that runs there is followed to its end.
    pub(super) fn claim(
        &mut self,
        call: CallId,
        attempt: u32,
        shard: Shard,
        epoch: Epoch,
        placement: &Placement,
    ) {
        let fence = Some(Fence { shard, epoch });
        let address = self.sidecar_address(&placement.endpoint);
        let answer = self.live_answer(&call);
        if let Some(live) = self.live.get_mut(&call) {
            live.placement = Some(placement.clone());
        }
        let request = DispatchRequest {
            fence,
            call_id: call.to_string(),
            attempt,
            incarnation: placement.incarnation.clone(),
            ..DispatchRequest::default()
        };
        let job = Attempt {
            address,
            request,
            answer,
            is_resume: true,
        };
        let handle = self.handle.clone();
        self.traffic.spawn(move |peers| async move {
            let outcome = dispatch::claim(&peers, &job).await;
            let (outcome, is_running) = match outcome {
                None => (ClaimOutcome::Unreachable, false),
                Some(Outcome::Running(_)) => (ClaimOutcome::Running, true),
                Some(Outcome::Finished(_)) => match dispatch::run(peers.clone(), job.clone()).await
                {
                    AttemptEnd::Finished(finished) => (
                        ClaimOutcome::Finished(answer_record(&job.answer, &finished)),
                        false,
                    ),
                    _ => (ClaimOutcome::Unreachable, false),
                },
                Some(Outcome::Buried(_)) => (ClaimOutcome::Buried, false),
                Some(Outcome::Unknown(_)) => (ClaimOutcome::Unknown, false),
                Some(Outcome::Failure(failure)) => (
                    ClaimOutcome::Failed {
                        may_have_run: failure.may_have_run,
                    },
                    false,
                ),
                Some(Outcome::Refusal(refusal)) => match refusal.reason() {
                    RefusalReason::StaleEpoch => (ClaimOutcome::StaleEpoch, false),
                    _ => (ClaimOutcome::Unreachable, false),
                },
            };
            handle.send(Command::Claimed {
                call: call.clone(),
                attempt,
                outcome,
            });
            if is_running {
                let end = dispatch::run(peers, job).await;
                handle.send(Command::AttemptEnded { call, attempt, end });
            }
        });
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn dispatch_refusal(reason: RefusalReason) -> DispatchRefusal {
    match reason {
        RefusalReason::Leaving => DispatchRefusal::Leaving,
        RefusalReason::QueueFull => DispatchRefusal::QueueFull,
        RefusalReason::RetentionFull => DispatchRefusal::RetentionFull,
        RefusalReason::StaleEpoch | RefusalReason::NotOwner => DispatchRefusal::StaleEpoch,
        RefusalReason::OtherIncarnation => DispatchRefusal::OtherIncarnation,
        RefusalReason::Buried => DispatchRefusal::Buried,
        RefusalReason::TooLarge => DispatchRefusal::TooLarge,
        RefusalReason::UnknownTarget => DispatchRefusal::UnknownTarget,
        RefusalReason::Deadline => DispatchRefusal::Deadline,
        RefusalReason::EndpointDown => DispatchRefusal::EndpointDown,
        RefusalReason::Quarantined => DispatchRefusal::Quarantined,
        RefusalReason::Duplicate => DispatchRefusal::Duplicate,
        RefusalReason::Invalid | RefusalReason::Unspecified => DispatchRefusal::Invalid,
    }
}

fn dispatch_failure(reason: FailureReason) -> DispatchFailure {
    match reason {
        FailureReason::EndpointCrashed => DispatchFailure::EndpointCrashed,
        FailureReason::EndpointTimeout => DispatchFailure::EndpointTimeout,
        FailureReason::EndpointError | FailureReason::Unspecified => DispatchFailure::EndpointError,
        FailureReason::Cancelled => DispatchFailure::Cancelled,
        FailureReason::SidecarStopped => DispatchFailure::SidecarStopped,
    }
}
