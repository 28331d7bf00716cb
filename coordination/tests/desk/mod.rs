//! An owner with one shard, a table that answers at once, and endpoints that
//! the test speaks for. What the owner does is noted as short lines.

use std::sync::Arc;
use std::time::Duration;

use rosebend_coordination::owner::{
    Action, Attempt, CallOutcome, CallRequest, DispatchFailure, Event, Owner, OwnerConfig,
    Placement, Reply,
};
use rosebend_state::id::{CallId, ProgramId};
use rosebend_state::record::{AnswerRecord, CallKind};

pub struct Desk {
    pub owner: Owner,
    pub now: Duration,
    /// Whether commits take effect.
    pub is_table_up: bool,
    /// What the owner did, a line each.
    pub lines: Vec<String>,
    /// Commits that came while they took no effect.
    unanswered: Vec<Event>,
    /// Calls at endpoints.
    pub sent: Vec<(CallId, Attempt)>,
    next_ticket: u64,
}

impl Desk {
    pub fn new(config: OwnerConfig) -> Self {
        let config = OwnerConfig {
            shard_count: 1,
            ..config
        };
        let mut desk = Self {
            owner: Owner::new(config),
            now: Duration::from_secs(1),
            is_table_up: true,
            unanswered: Vec::new(),
            lines: Vec::new(),
            sent: Vec::new(),
            next_ticket: 1,
        };
        desk.event(Event::ShardGained {
            shard: 0,
            epoch: 1,
            programs: Vec::new(),
            turns: Vec::new(),
            retained: Vec::new(),
            under_way: Vec::new(),
            retained_after: Some(0),
        });
        desk
    }

    pub fn event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.owner.step(self.now, event) {
                events.extend(self.act(action));
            }
        }
    }

    /// Notes what the owner does, and answers for the table and the routing.
    fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Place {
                call,
                attempt,
                excluded,
                ..
            } => Some(Event::Placed {
                call,
                attempt,
                outcome: Ok(Placement {
                    endpoint: format!("e{}", excluded.len() + 1),
                    incarnation: "1".to_owned(),
                }),
            }),
            Action::Commit { commit, .. } if self.is_table_up => Some(Event::Committed { commit }),
            Action::Commit { commit, .. } => {
                self.unanswered.push(Event::Committed { commit });
                None
            }
            Action::Dispatch {
                call,
                attempt,
                placement,
                alone,
                ..
            } => {
                let alone = if alone { " alone" } else { "" };
                self.note(format!("dispatch {call} to {}{alone}", placement.endpoint));
                self.sent.push((call, attempt));
                None
            }
            Action::Reply { ticket, reply } => {
                let reply = match reply {
                    Reply::Refused { reason, .. } => format!("refused {reason:?}"),
                    Reply::Undecided { .. } => "undecided".to_owned(),
                    other => format!("{other:?}"),
                };
                self.note(format!("ticket {ticket}: {reply}"));
                None
            }
            Action::Follow { ticket, call, .. } => {
                self.note(format!("ticket {ticket} follows {call}"));
                None
            }
            Action::CallEnded { call, outcome } => {
                let outcome = match outcome {
                    CallOutcome::Refused { reason, .. } => format!("refused {reason:?}"),
                    other => format!("{other:?}"),
                };
                self.note(format!("{call} ended: {outcome}"));
                None
            }
            Action::ReleaseHolds { program, endpoints } => {
                self.note(format!("release {program} at {endpoints:?}"));
                None
            }
            Action::Quarantine { fingerprint } => {
                self.note(format!("quarantine {fingerprint}"));
                None
            }
            Action::ShardDrained { shard } => {
                self.note(format!("drained {shard}"));
                None
            }
            Action::Claim { call, .. } => {
                self.note(format!("claim {call}"));
                None
            }
            Action::Acknowledge { .. } | Action::Count { .. } => None,
        }
    }

    fn note(&mut self, line: String) {
        self.lines.push(line);
    }

    fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket - 1
    }

    pub fn open(&mut self, session: &str, budget_tokens: u64) {
        let ticket = self.ticket();
        self.event(Event::Open {
            ticket,
            program: program(session),
            budget_tokens,
            turn_limit: None,
            wall_limit: None,
            body_digest: "open".to_owned(),
        });
    }

    pub fn submit(&mut self, request: CallRequest) {
        let ticket = self.ticket();
        self.event(Event::Submit { ticket, request });
    }

    /// The oldest call at an endpoint is answered.
    pub fn finish(&mut self, answer_tokens: u64) {
        let (call, attempt) = self.sent.remove(0);
        let answer = AnswerRecord {
            status: 200,
            answer_tokens,
            ..AnswerRecord::default()
        };
        self.event(Event::Finished {
            call,
            attempt,
            answer,
        });
    }

    /// The endpoint crashes with all that is sent.
    pub fn crash(&mut self) {
        let sent = std::mem::take(&mut self.sent);
        let suspects: Vec<CallId> = sent.iter().map(|(call, _)| call.clone()).collect();
        for (call, attempt) in sent {
            self.event(Event::DispatchFailed {
                call,
                attempt,
                reason: DispatchFailure::EndpointCrashed,
                may_have_run: true,
                suspects: suspects.clone(),
            });
        }
    }

    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        self.event(Event::Tick);
    }

    pub fn table(&mut self, answering: bool) {
        self.is_table_up = answering;
        self.event(Event::TableState { answering });
    }

    /// Commits take effect again, those that waited first.
    pub fn commit_waiting(&mut self) {
        self.is_table_up = true;
        for committed in std::mem::take(&mut self.unanswered) {
            self.event(committed);
        }
    }

    /// What was noted since the last look.
    pub fn seen(&mut self) -> String {
        std::mem::take(&mut self.lines).join("\n")
    }
}

pub fn program(session: &str) -> ProgramId {
    ProgramId::new("caribmar", session).expect("a valid name")
}

/// A repeatable model call.
pub fn call(session: &str, key: &str) -> CallRequest {
    CallRequest {
        program: program(session),
        key: Some(key.to_owned()),
        sequence: None,
        kind: CallKind::Model,
        target: "agent-llm".to_owned(),
        repeatable: true,
        body: Arc::from(key.as_bytes()),
        body_digest: key.to_owned(),
        fingerprint: key.to_owned(),
        prompt_tokens: 0,
        max_answer_tokens: 10,
        shared_prefixes: Vec::new(),
        deadline: None,
    }
}

/// A tool call that may not be repeated.
pub fn fee(session: &str, key: &str) -> CallRequest {
    CallRequest {
        kind: CallKind::Tool,
        target: "fee".to_owned(),
        repeatable: false,
        max_answer_tokens: 0,
        ..call(session, key)
    }
}
