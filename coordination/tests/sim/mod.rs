//! A deterministic simulation of three owner processes, two sidecars, one table
//! and three callers. Messages are delayed, lost, duplicated and reordered.
//!
//! A list of choices drives each run, so that proptest can shrink a failing run.

pub mod client;
pub mod invariants;
pub mod sidecar;
pub mod table;

mod fault_free;
mod faults;
mod network;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rosebend_coordination::owner::{
    Action, CallOutcome, CallStage, Event, NoPlacement, NoPlacementReason, Owner, OwnerConfig,
    Placement, RefusalReason, Reply, Ticket,
};
use rosebend_state::id::{CallId, Shard};
use rosebend_state::record::{EndReason, TurnState};

use client::{CallStatus, Client};
use invariants::InvariantChecker;
use network::Message;
use sidecar::{Dispatch, OwnerIncarnation, Sidecar};
use table::{Table, Write};

/// The number of shards that the owners share.
pub const SHARDS: u32 = 2;

/// The setting and the kinds of faults under which a simulation runs. Crashes
/// and the loss of messages occur in each mode.
#[derive(Clone, Copy, Debug)]
pub struct Mode {
    /// Whether owners report the outcome of a repeatable call to its caller
    /// before the outcome is durable.
    pub early_end: bool,
    /// Whether the table has outages.
    pub outages: bool,
    /// Whether a sidecar can be unreachable during a takeover.
    pub partitions: bool,
}

/// One owner process, which crashes and restarts during a run.
#[derive(Debug)]
pub struct Process {
    pub owner: Owner,
    /// The number of the current incarnation, incremented by each restart.
    pub generation: u32,
    /// Whether the process neither receives messages nor acts on time.
    pub is_paused: bool,
    /// Whether the table was available by the last notification that this
    /// process received.
    pub observed_table_up: bool,
    /// Commits that have not reached the table, in order, for each shard.
    pub writes: BTreeMap<Shard, VecDeque<Write>>,
}

/// A request of a caller that an owner has not answered.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The owner that the request was sent to.
    pub owner: OwnerIncarnation,
    /// The index of the caller.
    pub client: usize,
    /// The index of the call in the caller's script, or `None` for a request to
    /// open or end the program.
    pub index: Option<usize>,
}

/// The state of all simulated processes and of the messages between them.
pub struct Simulation {
    pub mode: Mode,
    pub now: Duration,
    pub processes: Vec<Process>,
    pub sidecars: Vec<Sidecar>,
    /// The generation of each sidecar that placement uses. It lags behind the
    /// actual one after a restart.
    pub seen_generations: Vec<u32>,
    pub table: Table,
    pub is_table_up: bool,
    pub clients: Vec<Client>,
    /// Messages that were sent and not delivered.
    pub messages: Vec<Message>,
    pub tickets: BTreeMap<Ticket, PendingRequest>,
    /// Tickets that wait for the outcome of a call at an owner.
    pub followers: BTreeMap<(OwnerIncarnation, CallId), Vec<Ticket>>,
    /// Attempts that outlived the incarnation of their sidecar and may still have
    /// their effect.
    pub detached_attempts: Vec<Dispatch>,
    pub checker: InvariantChecker,
    pub next_ticket: Ticket,
    /// The number of the next answer, which makes the digests of answers unique.
    pub next_answer: u64,
}

impl Simulation {
    /// Returns a simulation in which no process owns a shard. `seed` seeds the
    /// owners.
    pub fn new(mode: Mode, seed: u64) -> Self {
        let clients = vec![
            Client::new("renewal", true, 6, 0),
            Client::new("renewal/check", false, 5, 1),
            Client::new("booking", false, 6, 3),
        ];
        let mut checker = InvariantChecker::default();
        checker.budget.insert(clients[0].program.clone(), 260);
        checker.budget.insert(clients[2].program.clone(), 160);
        let process = |index: u64| Process {
            owner: Owner::new(config(mode, seed + index)),
            generation: 1,
            is_paused: false,
            observed_table_up: true,
            writes: BTreeMap::new(),
        };
        Self {
            mode,
            now: Duration::from_secs(1),
            processes: (0..3).map(process).collect(),
            sidecars: ["east", "west"]
                .map(|name| Sidecar::new(name, 1, BTreeMap::new()))
                .into(),
            seen_generations: vec![1, 1],
            table: Table::default(),
            is_table_up: true,
            clients,
            messages: Vec::new(),
            tickets: BTreeMap::new(),
            followers: BTreeMap::new(),
            detached_attempts: Vec::new(),
            checker,
            next_ticket: 1,
            next_answer: 1,
        }
    }

    /// Passes an event to an owner and performs the actions that it returns.
    pub fn step(&mut self, index: usize, event: Event) {
        let actions = self.processes[index].owner.step(self.now, event);
        for action in actions {
            self.perform(index, action);
        }
    }

    /// Performs an action of an owner. Panics if an owner acknowledges an
    /// answer whose call has no outcome in the table.
    fn perform(&mut self, index: usize, action: Action) {
        let owner_incarnation = self.incarnation_of(index);
        match action {
            Action::Reply { ticket, reply } => self.on_reply(index, ticket, reply),
            Action::Follow {
                ticket,
                call,
                recorded,
            } => self.follow(index, ticket, call, recorded),
            Action::CallEnded { call, outcome } => {
                let followers = self.followers.remove(&(owner_incarnation, call.clone()));
                for ticket in followers.unwrap_or_default() {
                    self.on_call_end(index, ticket, &call, outcome);
                }
            }
            Action::Place {
                call,
                attempt,
                warm,
                excluded,
                ..
            } => {
                let outcome = self.place(&warm, &excluded);
                self.send_local(
                    owner_incarnation,
                    Event::Placed {
                        call,
                        attempt,
                        outcome,
                    },
                );
            }
            Action::Dispatch {
                call,
                attempt,
                shard,
                epoch,
                placement,
                request,
                record,
                hold_kv,
                alone,
                ..
            } => self.send_dispatch(Dispatch {
                from: owner_incarnation,
                call,
                attempt,
                shard,
                epoch,
                placement,
                request,
                record: *record,
                hold_kv,
                alone,
            }),
            Action::Commit {
                commit,
                shard,
                epoch,
                programs,
                turns,
            } => {
                let writes = self.processes[index].writes.entry(shard).or_default();
                writes.push_back(Write {
                    generation: owner_incarnation.1,
                    commit,
                    shard,
                    epoch,
                    programs,
                    turns,
                });
            }
            Action::Claim {
                call,
                attempt,
                shard,
                epoch,
                placement,
            } => self.messages.push(Message::Claim {
                from: owner_incarnation,
                call,
                attempt,
                shard,
                epoch,
                placement,
            }),
            Action::Acknowledge {
                call,
                shard,
                epoch,
                placement,
            } => {
                let is_forgotten = !self.table.programs.contains_key(&call.program);
                assert!(
                    is_forgotten || self.table.is_settled(&call),
                    "acknowledged: {call} has no end in the table"
                );
                self.messages.push(Message::Acknowledge {
                    call,
                    shard,
                    epoch,
                    placement,
                });
            }
            Action::ReleaseHolds { program, endpoints } => {
                for endpoint in endpoints {
                    let program = program.clone();
                    self.messages.push(Message::Release { program, endpoint });
                }
            }
            Action::ShardDrained { shard } => self.handoff(index, shard),
            Action::Quarantine { .. } | Action::Count { .. } => {}
        }
    }

    /// Returns the current incarnation of a process.
    pub fn incarnation_of(&self, index: usize) -> OwnerIncarnation {
        (index, self.processes[index].generation)
    }

    /// Places a call on the warm endpoint, or else on one that depends on the
    /// time, skipping the excluded endpoints.
    fn place(&self, warm: &Option<String>, excluded: &[String]) -> Result<Placement, NoPlacement> {
        let allowed = |sidecar: &&(usize, &Sidecar)| !excluded.contains(&sidecar.1.name);
        let sidecars: Vec<_> = self.sidecars.iter().enumerate().collect();
        let allowed: Vec<_> = sidecars.iter().filter(allowed).collect();
        let warm = allowed
            .iter()
            .find(|sidecar| Some(&sidecar.1.name) == warm.as_ref());
        let pick = usize::try_from(self.now.as_millis()).expect("small") % allowed.len().max(1);
        let chosen = warm.or(allowed.get(pick)).ok_or(NoPlacement {
            reason: NoPlacementReason::NoEndpoint,
            retry_after: Duration::from_secs(1),
        })?;
        Ok(Placement {
            endpoint: chosen.1.name.clone(),
            incarnation: format!("{}-{}", chosen.1.name, self.seen_generations[chosen.0]),
        })
    }

    /// Updates the caller after a reply to its request.
    fn on_reply(&mut self, index: usize, ticket: Ticket, reply: Reply) {
        let Some(pending) = self.tickets.remove(&ticket) else {
            panic!("ticket {ticket} was answered twice");
        };
        match reply {
            Reply::Opened { .. } => self.clients[pending.client].is_open = true,
            Reply::Ended { .. } => self.clients[pending.client].has_ended = true,
            Reply::Refused { reason, .. } => self.on_refusal(index, &pending, reason),
            Reply::Undecided { .. } => {}
        }
    }

    /// Registers a ticket for the outcome of a call, or reports the outcome at
    /// once if it is recorded.
    fn follow(&mut self, index: usize, ticket: Ticket, call: CallId, recorded: bool) {
        let owner_incarnation = self.incarnation_of(index);
        if !recorded {
            return self
                .followers
                .entry((owner_incarnation, call))
                .or_default()
                .push(ticket);
        }
        let view = self.processes[index].owner.call(&call);
        let stage = view.expect("a followed call is known").stage;
        let CallStage::Ended { outcome, .. } = stage else {
            panic!("{call} is recorded and has not ended: {stage:?}");
        };
        self.on_call_end(index, ticket, &call, outcome);
    }

    /// Reports the outcome of a call to a caller that follows it, and checks it
    /// against earlier reports.
    fn on_call_end(&mut self, index: usize, ticket: Ticket, call: &CallId, outcome: CallOutcome) {
        let Some(pending) = self.tickets.remove(&ticket) else {
            panic!("ticket {ticket} was answered twice");
        };
        let position = pending.index.expect("only calls are followed");
        let planned_call = self.clients[pending.client].calls[position].clone();
        let shard = call.program.shard(SHARDS);
        let is_numbered = self.clients[pending.client].is_numbered;
        assert!(
            !is_numbered || call.sequence == position as u64 + 1,
            "order: {call} is call {position} of its caller"
        );
        let status = match outcome {
            CallOutcome::Done => {
                let digest = self.answer_digest(index, call);
                self.check_durable(index, call, planned_call.repeatable);
                self.checker.record_done(
                    &planned_call.key,
                    planned_call.repeatable,
                    call,
                    &digest,
                    shard,
                );
                CallStatus::Done
            }
            // An owner that lost its shard, and receives the notice of an outage
            // before that of the loss, can't determine the outcome that the next
            // owner found. It may report the outcome as unknown, but the table
            // must not record it so.
            CallOutcome::Unknown { .. } if !self.is_current_owner(index, shard) => {
                let was_done = self
                    .checker
                    .reported_answers
                    .contains_key(&planned_call.key);
                assert!(
                    !was_done || !self.table.is_unknown(call),
                    "history: {call} was done and is unknown in the table"
                );
                return;
            }
            CallOutcome::Failed { .. } | CallOutcome::Unknown { .. } => {
                self.checker.record_end_without_answer(
                    &planned_call.key,
                    planned_call.repeatable,
                    shard,
                );
                CallStatus::EndedWithoutAnswer
            }
            CallOutcome::Refused { reason, .. } => return self.on_refusal(index, &pending, reason),
            CallOutcome::Moved => return,
            // An owner never parks a call whose request it received itself.
            CallOutcome::Parked { .. } => panic!("ticket {ticket} follows a parked call"),
        };
        self.clients[pending.client].statuses[position] = status;
    }

    /// Returns the digest of the answer that the caller receives. The answer comes
    /// from the owner's memory, or else from the table.
    fn answer_digest(&self, index: usize, call: &CallId) -> String {
        if let Some(answer) = self.processes[index].owner.answer(call) {
            return answer.digest.clone();
        }
        let turn = self.table.turns.get(call);
        match turn.map(|turn| &turn.state) {
            Some(TurnState::Done { answer }) => answer.digest.clone(),
            other => panic!("history: {call} is reported as done and the table has {other:?}"),
        }
    }

    /// Checks that an outcome is durable before it is reported, unless the mode
    /// allows an earlier report.
    fn check_durable(&self, index: usize, call: &CallId, repeatable: bool) {
        let is_early = repeatable && self.mode.early_end;
        let observes_outage = self.mode.outages && !self.processes[index].observed_table_up;
        let outages_enabled = self.mode.outages;
        if !is_early && !observes_outage && !outages_enabled {
            assert!(
                self.table.has_end(call),
                "history: {call} is reported and not durable"
            );
        }
    }

    /// Updates the caller after a refusal. Records the refusal of a call that is
    /// not repeatable if the shard's current owner issued it and the caller has
    /// no other request for the call in progress.
    fn on_refusal(&mut self, index: usize, pending: &PendingRequest, reason: RefusalReason) {
        let Some(position) = pending.index else {
            if matches!(reason, RefusalReason::ProgramEnded(_)) {
                self.clients[pending.client].is_open = true;
            }
            return;
        };
        let client = &mut self.clients[pending.client];
        let is_final = matches!(
            reason,
            RefusalReason::ProgramEnded(_) | RefusalReason::BudgetExhausted
        ) || reason == RefusalReason::WrongSequence
            || (reason == RefusalReason::SequenceGap && client.has_call_without_answer());
        if reason == RefusalReason::SequenceGap {
            let shard = client.program.shard(SHARDS);
            let is_lost = |key: &str| self.checker.may_be_lost(key, true, shard);
            client.reset_lost_calls(position, is_lost);
        }
        if is_final && client.statuses[position] == CallStatus::Pending {
            client.statuses[position] = CallStatus::EndedWithoutAnswer;
        }
        let planned_call = client.calls[position].clone();
        let has_other_request = self.tickets.values().any(|other| {
            other.client == pending.client
                && other.index == pending.index
                && self.processes[other.owner.0].generation == other.owner.1
        });
        let shard = self.clients[pending.client].program.shard(SHARDS);
        if !planned_call.repeatable
            && !has_other_request
            && reason != RefusalReason::NotOwner
            && self.is_current_owner(index, shard)
        {
            self.checker.record_refusal(&planned_call.key);
        }
    }

    /// Returns whether a process owns a shard in the same epoch by its own state
    /// and by the table.
    pub fn is_current_owner(&self, index: usize, shard: Shard) -> bool {
        let row = self.table.shards.get(&shard);
        let shards = self.processes[index].owner.shards();
        shards
            .iter()
            .any(|view| view.shard == shard && row == Some(&(index, view.epoch)))
    }

    /// Sends a caller's request to an owner: the call at `index`, or without an
    /// index a request to open the program or, if it is open, to end it.
    pub fn send_request(&mut self, owner: usize, client: usize, index: Option<usize>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let owner_incarnation = self.incarnation_of(owner);
        self.tickets.insert(
            ticket,
            PendingRequest {
                owner: owner_incarnation,
                client,
                index,
            },
        );
        let caller = &self.clients[client];
        let program = caller.program.clone();
        let event = match index {
            Some(index) => {
                let request = caller.request(index);
                self.checker.refused_keys.remove(&caller.calls[index].key);
                Event::Submit { ticket, request }
            }
            None if !caller.is_open => Event::Open {
                ticket,
                budget_tokens: self.checker.budget.get(&program).copied().unwrap_or(0),
                program,
                turn_limit: None,
                wall_limit: None,
                body_digest: "open".to_owned(),
            },
            None => Event::End {
                ticket: Some(ticket),
                program,
                reason: EndReason::Requested,
            },
        };
        self.send_local(owner_incarnation, event);
    }
}

/// Returns the configuration of an owner.
fn config(mode: Mode, seed: u64) -> OwnerConfig {
    OwnerConfig {
        shard_count: SHARDS,
        seed,
        budget_chunk_tokens: 60,
        gap_wait: Duration::from_secs(1),
        claim_wait: Duration::from_secs(4),
        claim_interval: Duration::from_millis(300),
        early_end: mode.early_end,
        ..OwnerConfig::default()
    }
}
