//! A harness that drives one shard owner without a network. Placement and table
//! writes succeed at once unless the test makes the table unavailable, and the
//! test supplies the endpoints' answers. Each action of the owner is logged as a
//! short line, so that tests can compare the log with a snapshot.

use std::time::Duration;

use bytes::Bytes;
use rosebend_coordination::owner::{
    Action, Attempt, CallOutcome, CallRequest, DispatchFailure, Event, Owner, OwnerConfig,
    Placement, Reply,
};
use rosebend_state::id::{CallId, ProgramId};
use rosebend_state::record::{AnswerRecord, CallKind};

/// An owner of one shard with a simulated table and simulated endpoints.
pub struct OwnerHarness {
    pub owner: Owner,
    /// Simulated time since an arbitrary origin.
    pub now: Duration,
    /// Whether commits are confirmed at once.
    /// If false, they are added to `pending_commits`.
    pub is_table_up: bool,
    /// Actions of the owner since the last call of `take_log`, one line each.
    pub log: Vec<String>,
    /// Confirmations of the commits that the owner sent while the table was
    /// unavailable, in order.
    pending_commits: Vec<Event>,
    /// Attempts that were dispatched and have not ended, oldest first.
    pub in_flight: Vec<(CallId, Attempt)>,
    next_ticket: u64,
}

impl OwnerHarness {
    /// Returns a harness whose owner has acquired shard 0 in epoch 1, without
    /// any records.
    pub fn new(config: OwnerConfig) -> Self {
        let config = OwnerConfig {
            shard_count: 1,
            ..config
        };
        let mut harness = Self {
            owner: Owner::new(config),
            now: Duration::from_secs(1),
            is_table_up: true,
            pending_commits: Vec::new(),
            log: Vec::new(),
            in_flight: Vec::new(),
            next_ticket: 1,
        };
        harness.handle(Event::ShardGained {
            shard: 0,
            epoch: 1,
            programs: Vec::new(),
            turns: Vec::new(),
            retained: Vec::new(),
            under_way: Vec::new(),
            retained_after: Some(0),
        });
        harness
    }

    /// Passes an event to the owner, performs the resulting actions and repeats
    /// this with the events that they cause.
    pub fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.owner.step(self.now, event) {
                events.extend(self.perform(action));
            }
        }
    }

    /// Logs an action and returns the reply of the table or of placement, if the
    /// action asks for one.
    fn perform(&mut self, action: Action) -> Option<Event> {
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
                self.pending_commits.push(Event::Committed { commit });
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
                self.record(format!("dispatch {call} to {}{alone}", placement.endpoint));
                self.in_flight.push((call, attempt));
                None
            }
            Action::Reply { ticket, reply } => {
                let reply = match reply {
                    Reply::Refused { reason, .. } => format!("refused {reason:?}"),
                    Reply::Undecided { .. } => "undecided".to_owned(),
                    other => format!("{other:?}"),
                };
                self.record(format!("ticket {ticket}: {reply}"));
                None
            }
            Action::Follow { ticket, call, .. } => {
                self.record(format!("ticket {ticket} follows {call}"));
                None
            }
            Action::CallEnded { call, outcome } => {
                let outcome = match outcome {
                    CallOutcome::Refused { reason, .. } => format!("refused {reason:?}"),
                    other => format!("{other:?}"),
                };
                self.record(format!("{call} ended: {outcome}"));
                None
            }
            Action::ReleaseHolds { program, endpoints } => {
                self.record(format!("release {program} at {endpoints:?}"));
                None
            }
            Action::Quarantine { fingerprint } => {
                self.record(format!("quarantine {fingerprint}"));
                None
            }
            Action::ShardDrained { shard } => {
                self.record(format!("drained {shard}"));
                None
            }
            Action::Claim { call, .. } => {
                self.record(format!("claim {call}"));
                None
            }
            Action::Acknowledge { .. } | Action::Count { .. } => None,
        }
    }

    fn record(&mut self, line: String) {
        self.log.push(line);
    }

    fn allocate_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket - 1
    }

    /// Asks the owner to open a program with the default limits.
    pub fn open_program(&mut self, session: &str, budget_tokens: u64) {
        let ticket = self.allocate_ticket();
        self.handle(Event::Open {
            ticket,
            program: program_id(session),
            budget_tokens,
            turn_limit: None,
            wall_limit: None,
            body_digest: "open".to_owned(),
        });
    }

    /// Submits a call under a new ticket.
    pub fn submit(&mut self, request: CallRequest) {
        let ticket = self.allocate_ticket();
        self.handle(Event::Submit { ticket, request });
    }

    /// Completes the oldest attempt in flight with status 200.
    pub fn complete_oldest_call(&mut self, answer_tokens: u64) {
        let (call, attempt) = self.in_flight.remove(0);
        let answer = AnswerRecord {
            status: 200,
            answer_tokens,
            ..AnswerRecord::default()
        };
        self.handle(Event::Finished {
            call,
            attempt,
            answer,
        });
    }

    /// Fails all attempts in flight as an endpoint crash would, with each of
    /// them as a suspect.
    pub fn crash_endpoint(&mut self) {
        let sent = std::mem::take(&mut self.in_flight);
        let suspects: Vec<CallId> = sent.iter().map(|(call, _)| call.clone()).collect();
        for (call, attempt) in sent {
            self.handle(Event::DispatchFailed {
                call,
                attempt,
                reason: DispatchFailure::EndpointCrashed,
                may_have_run: true,
                suspects: suspects.clone(),
            });
        }
    }

    /// Advances the time and sends the owner a tick.
    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.handle(Event::Tick);
    }

    /// Sets whether the table answers, and notifies the owner.
    pub fn set_table_state(&mut self, answering: bool) {
        self.is_table_up = answering;
        self.handle(Event::TableState { answering });
    }

    /// Makes the table available again and confirms the pending commits in order.
    pub fn complete_pending_commits(&mut self) {
        self.is_table_up = true;
        for confirmation in std::mem::take(&mut self.pending_commits) {
            self.handle(confirmation);
        }
    }

    /// Returns the log since the last call, and clears it.
    pub fn take_log(&mut self) -> String {
        std::mem::take(&mut self.log).join("\n")
    }
}

/// Returns the id of a program of the customer `caribmar`.
pub fn program_id(session: &str) -> ProgramId {
    ProgramId::new("caribmar", session).expect("a valid name")
}

/// Returns a repeatable model call whose body, digest and fingerprint are `key`.
pub fn model_call(session: &str, key: &str) -> CallRequest {
    CallRequest {
        program: program_id(session),
        key: Some(key.to_owned()),
        sequence: None,
        kind: CallKind::Model,
        target: "agent-llm".to_owned(),
        repeatable: true,
        body: Bytes::copy_from_slice(key.as_bytes()),
        body_digest: key.to_owned(),
        fingerprint: key.to_owned(),
        prompt_tokens: 0,
        max_answer_tokens: 10,
        shared_prefixes: Vec::new(),
        deadline: None,
    }
}

/// Returns a tool call that must not be repeated.
pub fn tool_call(session: &str, key: &str) -> CallRequest {
    CallRequest {
        kind: CallKind::Tool,
        target: "fee".to_owned(),
        repeatable: false,
        max_answer_tokens: 0,
        ..model_call(session, key)
    }
}
