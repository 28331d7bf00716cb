//! Calls: from callers to the owner, and from the owner to sidecars.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rosebend_coordination::owner::{
    Action, CallOutcome, CallRequest, CallStage, ClaimOutcome, DispatchFailure, DispatchRefusal,
    Event, Metric, NoPlacement, NoPlacementReason, Placement, Reply,
};
use rosebend_coordination::routing::{CallEnd, NoEndpointReason, Request};
use rosebend_coordination::warmth::SharedPrefix;
use rosebend_protocol::peer::{
    self, DispatchRequest, FailureReason, Fence, Finished, ForwardRequest, RefusalReason,
    claim_reply::Outcome,
};
use rosebend_state::id::{CallId, EndpointId, Epoch, ProgramId, Shard};
use rosebend_state::record::{
    AnswerBody, AnswerRecord, CallKind, EndReason, TurnRecord, TurnState,
};
use serde_json::json;
use tokio::sync::oneshot;

use super::state::{Control, QueuedCaller};
use super::{Command, ControlReply, Location, ProgramLimits};
use crate::answer::{AnswerEnd, LiveAnswer};
use crate::dispatch::{self, Attempt, AttemptEnd};
use crate::problems;
use crate::request::{CallerRequest, Operation};
use crate::rows;

/// Bytes of ended answers that are kept in memory for late readers; older ones
/// are read from the table.
const ENDED_BYTES_KEPT: usize = 16 << 20;

/// A caller that waits for the owner.
#[derive(Debug)]
pub(super) struct PendingCaller {
    pub(super) reply: oneshot::Sender<ControlReply>,
    pub(super) program: ProgramId,
}

/// A call whose answer is in memory.
#[derive(Debug)]
pub(super) struct LiveCall {
    pub(super) answer: Arc<LiveAnswer>,
    /// Where the attempt under way runs.
    pub(super) placement: Option<Placement>,
}

impl Control {
    /// Where a request is to be served.
    pub(super) fn locate(&self, request: &ForwardRequest) -> Location {
        let Ok(checked) = CallerRequest::try_from(request) else {
            // Whoever serves it says what is wrong with it.
            return Location::Here;
        };
        let shard = checked.program.shard(self.settings.shard_count);
        if self.ownership.owns(shard) {
            return Location::Here;
        }
        match self.ownership.owner_address(shard) {
            Some(address) if address != self.settings.peer_address => {
                Location::There(address.to_owned())
            }
            _ => Location::Nowhere,
        }
    }

    /// Takes a caller's request, if this entry owns the program.
    pub(super) fn caller(&mut self, request: CallerRequest, reply: oneshot::Sender<ControlReply>) {
        let shard = request.program.shard(self.settings.shard_count);
        if let Some(waiting) = self.loading.get_mut(&shard) {
            waiting.push(QueuedCaller { request, reply });
            return;
        }
        if !self.epochs.contains_key(&shard) || self.successors.contains_key(&shard) {
            let address = self.ownership.owner_address(shard).map(str::to_owned);
            let _ = reply.send(ControlReply::NotOwner { address });
            return;
        }
        match request.operation.clone() {
            Operation::Show => {
                let _ = reply.send(self.show(&request.program));
            }
            Operation::Fetch { sequence, .. } => {
                let call = CallId {
                    program: request.program,
                    sequence,
                };
                self.fetch(call, reply);
            }
            Operation::Open(_) | Operation::End | Operation::Model(_) | Operation::Tool(_) => {
                self.ask_owner(request, reply);
            }
        }
    }

    fn ask_owner(&mut self, request: CallerRequest, reply: oneshot::Sender<ControlReply>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let program = request.program.clone();
        let event = match &request.operation {
            Operation::Open(body) => {
                let asked = ProgramLimits {
                    budget_tokens: body.budget_tokens,
                    turn_limit: body.turn_limit,
                    wall_limit_ms: body.wall_limit_ms,
                };
                let limits = self.directory.limits(&program, asked);
                Event::Open {
                    ticket,
                    budget_tokens: limits.budget_tokens,
                    turn_limit: Some(limits.turn_limit),
                    wall_limit: Some(Duration::from_millis(limits.wall_limit_ms)),
                    body_digest: rosebend_util::digest_hex(&request.body),
                    program: program.clone(),
                }
            }
            Operation::End => Event::End {
                ticket: Some(ticket),
                program: program.clone(),
                reason: EndReason::Requested,
            },
            _ => Event::Submit {
                ticket,
                request: self.call_request(request),
            },
        };
        self.pending
            .insert(ticket, PendingCaller { reply, program });
        self.owner_event(event);
    }

    fn call_request(&self, request: CallerRequest) -> CallRequest {
        let shared_prefixes = match &request.operation {
            Operation::Model(call) => call.shared_prefixes.clone(),
            _ => Vec::new(),
        };
        let (kind, target, repeatable, prompt_tokens, max_answer_tokens) = match &request.operation
        {
            Operation::Model(call) => (
                CallKind::Model,
                call.model.clone(),
                true,
                call.prompt_tokens,
                call.max_answer_tokens,
            ),
            Operation::Tool(call) => {
                let repeatable = self.directory.is_repeatable(&call.tool, call.repeatable);
                (CallKind::Tool, call.tool.clone(), repeatable, 0, 0)
            }
            _ => (CallKind::Tool, String::new(), false, 0, 0),
        };
        let body_hash = rosebend_util::digest_hex(&request.body);
        let customer = request.program.customer();
        CallRequest {
            fingerprint: rosebend_util::digest_hex(format!("{customer}\n{body_hash}").as_bytes()),
            body_digest: rosebend_util::digest_hex(format!("{target}\n{body_hash}").as_bytes()),
            program: request.program,
            key: request.key,
            sequence: request.sequence,
            kind,
            target,
            repeatable,
            body: Arc::from(request.body.as_ref()),
            prompt_tokens,
            max_answer_tokens,
            shared_prefixes,
            deadline: request.deadline.map(|wait| self.now() + wait),
        }
    }

    fn show(&self, program: &ProgramId) -> ControlReply {
        let Some(view) = self.owner.program(self.now(), program) else {
            return ControlReply::Problem(problems::unknown_program(program));
        };
        let calls: Vec<_> = view
            .calls
            .iter()
            .filter_map(|sequence| {
                let call = CallId {
                    program: program.clone(),
                    sequence: *sequence,
                };
                let view = self.owner.call(&call)?;
                Some(json!({
                    "sequence": sequence,
                    "kind": view.kind,
                    "target": view.target,
                    "repeatable": view.repeatable,
                    "stage": stage_word(view.stage),
                    "attempts": view.attempt,
                    "endpoint": view.placement.map(|placement| placement.endpoint),
                }))
            })
            .collect();
        ControlReply::Document {
            status: 200,
            document: json!({
                "customer": program.customer(),
                "session": program.session(),
                "state": view.state,
                "budget_tokens": view.budget_tokens,
                "spent_tokens": view.spent_tokens,
                "reserved_tokens": view.reserved_tokens,
                "turn_limit": view.turn_limit,
                "age_ms": u64::try_from(view.age.as_millis()).unwrap_or(u64::MAX),
                "calls": calls,
            }),
        }
    }

    fn fetch(&mut self, call: CallId, reply: oneshot::Sender<ControlReply>) {
        if self.owner.call(&call).is_none() {
            let _ = reply.send(ControlReply::Problem(problems::unknown_call(&call)));
            return;
        }
        let answer = self.live_answer(&call);
        let _ = reply.send(ControlReply::Follow { call, answer });
    }

    /// The answer of a call: growing, ended, or being read from the table.
    fn live_answer(&mut self, call: &CallId) -> Arc<LiveAnswer> {
        if let Some(live) = self.live.get(call) {
            return live.answer.clone();
        }
        let answer = LiveAnswer::new();
        self.keep_live(call, answer.clone());
        if let Some(CallStage::Ended { outcome, .. }) = self.owner.call(call).map(|view| view.stage)
        {
            self.end_answer(call, outcome);
        }
        answer
    }

    fn keep_live(&mut self, call: &CallId, answer: Arc<LiveAnswer>) {
        self.live.insert(
            call.clone(),
            LiveCall {
                answer,
                placement: None,
            },
        );
    }

    /// Ends the answer of a call in memory, with the parts that are recorded.
    fn end_answer(&mut self, call: &CallId, outcome: CallOutcome) {
        let Some(live) = self.live.get(call) else {
            return;
        };
        let answer = live.answer.clone();
        match outcome {
            CallOutcome::Done => match self.owner.answer(call).cloned() {
                Some(record) => fill(&answer, &record),
                None => return self.read_answer(call.clone()),
            },
            CallOutcome::Moved => answer.finish(AnswerEnd::Moved),
            CallOutcome::Failed { reason } => {
                answer.finish(AnswerEnd::Problem(problems::call_failed(reason)));
            }
            CallOutcome::Unknown { reason } => {
                answer.finish(AnswerEnd::Problem(problems::outcome_unknown(reason)));
            }
            CallOutcome::Refused {
                reason,
                retry_after,
            } => {
                answer.finish(AnswerEnd::Problem(problems::refused(reason, retry_after)));
            }
        }
        self.note_ended(call, outcome);
    }

    /// Bounds the ended answers in memory. One that has moved or was refused
    /// must not be found again: the call may go on elsewhere or anew.
    fn note_ended(&mut self, call: &CallId, outcome: CallOutcome) {
        if matches!(outcome, CallOutcome::Moved | CallOutcome::Refused { .. }) {
            self.live.remove(call);
            return;
        }
        let bytes = self
            .live
            .get(call)
            .map_or(0, |live| live.answer.size_bytes());
        self.ended_bytes += bytes;
        self.ended.push_back((call.clone(), bytes));
        while self.ended_bytes > ENDED_BYTES_KEPT {
            let Some((oldest, bytes)) = self.ended.pop_front() else {
                return;
            };
            self.ended_bytes -= bytes;
            self.live.remove(&oldest);
        }
    }

    /// Reads the answer of an ended call back from the table.
    fn read_answer(&self, call: CallId) {
        let shard = call.program.shard(self.settings.shard_count);
        let key = rows::call_key(shard, &call);
        let platform = self.platform.clone();
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            let rows = platform.read(vec![key]).await.unwrap_or_default();
            let turn = rows
                .into_iter()
                .find_map(|row| serde_json::from_value::<TurnRecord>(row.value).ok());
            let answer = turn.and_then(|turn| match turn.state {
                TurnState::Done { answer } => Some(answer),
                _ => None,
            });
            handle.send(Command::AnswerRead { call, answer });
        });
    }

    pub(super) fn answer_read(&mut self, call: &CallId, record: Option<AnswerRecord>) {
        let Some(live) = self.live.get(call) else {
            return;
        };
        match record {
            Some(record) => {
                fill(&live.answer, &record);
                self.note_ended(call, CallOutcome::Done);
            }
            None => {
                live.answer
                    .finish(AnswerEnd::Problem(problems::answer_not_read()));
                self.live.remove(call);
            }
        }
    }

    /// Tells the owner something and does what it wants done.
    pub(super) fn owner_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.now();
            for action in self.owner.step(now, event) {
                events.extend(self.owner_action(action));
            }
        }
    }

    fn owner_action(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Reply { ticket, reply } => self.answer_ticket(ticket, reply),
            Action::Follow { ticket, call, .. } => {
                let answer = self.live_answer(&call);
                if let Some(caller) = self.pending.remove(&ticket) {
                    let _ = caller.reply.send(ControlReply::Follow { call, answer });
                }
            }
            Action::Place { .. } => return self.place(action),
            Action::Dispatch { .. } => self.dispatch(action),
            Action::Commit {
                commit,
                shard,
                epoch,
                programs,
                turns,
            } => {
                let records = rows::record_puts(shard, &programs, &turns);
                self.committer.push(shard, epoch, commit, records);
            }
            Action::Claim {
                call,
                attempt,
                shard,
                epoch,
                placement,
            } => {
                self.claim(call, attempt, shard, epoch, &placement);
            }
            Action::Acknowledge {
                call,
                shard,
                epoch,
                placement,
            } => {
                self.acknowledge(&call, shard, epoch, &placement.endpoint);
            }
            Action::CallEnded { call, outcome } => self.end_answer(&call, outcome),
            Action::ReleaseHolds { program, endpoints } => {
                self.router.program_ended(&program);
                self.holds_due.extend(endpoints);
            }
            Action::ShardDrained { shard } => self.pass_on(shard),
            Action::Quarantine { fingerprint } => self.quarantine(fingerprint),
            Action::Count { metric } => self.count(metric),
        }
        None
    }

    fn answer_ticket(&mut self, ticket: u64, reply: Reply) {
        let Some(caller) = self.pending.remove(&ticket) else {
            return;
        };
        let program = &caller.program;
        let answer = match reply {
            Reply::Opened { created } => ControlReply::Document {
                status: if created { 201 } else { 200 },
                document: json!({"customer": program.customer(), "session": program.session()}),
            },
            Reply::Ended { reason } => ControlReply::Document {
                status: 200,
                document: json!({
                    "customer": program.customer(),
                    "session": program.session(),
                    "state": {"ended": {"reason": reason}},
                }),
            },
            Reply::Refused {
                reason,
                retry_after,
            } => problems::refused_reply(reason, retry_after),
            Reply::Undecided { retry_after } => {
                ControlReply::Problem(problems::undecided(retry_after))
            }
        };
        let _ = caller.reply.send(answer);
    }

    fn place(&mut self, action: Action) -> Option<Event> {
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

    fn dispatch(&mut self, action: Action) {
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
            body: Bytes::copy_from_slice(&request.body),
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
    fn claim(
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

    fn quarantine(&mut self, fingerprint: String) {
        // Durable and everywhere: the row is read with the configuration.
        let platform = self.platform.clone();
        actix_rt::spawn(async move {
            let transaction = rows::quarantine_transaction(&fingerprint);
            for _ in 0..QUARANTINE_TRIES {
                if platform.transact(&transaction).await.is_ok() {
                    return;
                }
                actix_rt::time::sleep(QUARANTINE_WAIT).await;
            }
        });
    }

    fn count(&mut self, metric: Metric) {
        let metrics = &self.settings.metrics;
        match metric {
            Metric::Refusal(reason) => metrics.count_refusal(reason.label()),
            Metric::Retry(reason) => metrics.count_retry(reason.label()),
            _ => {}
        }
    }
}

/// Tries to make a quarantined request known to all.
const QUARANTINE_TRIES: u32 = 600;
/// Wait between these tries.
const QUARANTINE_WAIT: Duration = Duration::from_secs(1);

fn fill(answer: &LiveAnswer, record: &AnswerRecord) {
    if let AnswerBody::Parts(parts) = &record.body {
        for (offset, part) in (0..).zip(parts) {
            // Parts that callers have already are the same; see `LiveAnswer::add`.
            let _ = answer.add(offset, Bytes::copy_from_slice(part.as_bytes()));
        }
    }
    answer.finish(AnswerEnd::Whole {
        status: record.status,
    });
}

/// The record of an answer whose parts are all in memory.
pub(super) fn answer_record(answer: &LiveAnswer, finished: &Finished) -> AnswerRecord {
    let parts = answer.parts();
    let texts = parts
        .iter()
        .map(|part| String::from_utf8_lossy(part).into_owned())
        .collect();
    AnswerRecord {
        status: u16::try_from(finished.status).unwrap_or(200),
        body: AnswerBody::Parts(texts),
        prompt_tokens: finished.prompt_tokens,
        cached_tokens: finished.cached_tokens,
        answer_tokens: finished.answer_tokens,
        digest: finished.digest.clone(),
    }
}

fn stage_word(stage: CallStage) -> &'static str {
    match stage {
        CallStage::Waiting => "waiting",
        CallStage::InFlight => "in-flight",
        CallStage::Ended { outcome, .. } => match outcome {
            CallOutcome::Done => "done",
            CallOutcome::Failed { .. } => "failed",
            CallOutcome::Unknown { .. } => "unknown",
            CallOutcome::Refused { .. } => "refused",
            CallOutcome::Moved => "moved",
        },
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
