//! Requests of callers: found out whose they are, given to the owner, answered.

use std::time::Duration;

use rosebend_coordination::owner::{CallOutcome, CallRequest, CallStage, Event, Reply};
use rosebend_protocol::peer::ForwardRequest;
use rosebend_state::id::{CallId, ProgramId};
use rosebend_state::record::{CallKind, EndReason};
use serde_json::json;
use tokio::sync::oneshot;

use super::state::{Control, QueuedCaller};
use super::{ControlReply, Location, ProgramLimits};
use crate::problems;
use crate::request::{CallerRequest, Operation};

/// A caller that waits for the owner.
#[derive(Debug)]
pub(super) struct PendingCaller {
    pub(super) reply: oneshot::Sender<ControlReply>,
    pub(super) program: ProgramId,
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
            body: request.body,
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

    pub(super) fn answer_ticket(&mut self, ticket: u64, reply: Reply) {
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
}

fn stage_word(stage: CallStage) -> &'static str {
    match stage {
        CallStage::Waiting => "waiting",
        CallStage::InFlight => "in-flight",
        CallStage::Parked { .. } => "parked",
        CallStage::Ended { outcome, .. } => match outcome {
            CallOutcome::Done => "done",
            CallOutcome::Failed { .. } => "failed",
            CallOutcome::Unknown { .. } => "unknown",
            CallOutcome::Refused { .. } => "refused",
            CallOutcome::Parked { .. } => "parked",
            CallOutcome::Moved => "moved",
        },
    }
}
