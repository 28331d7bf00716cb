/*!
The owner of program shards: which call runs when, what must be durable
before, and what a caller may be told.

An [`Owner`] is a state machine. It is given the time and an [`Event`], and
returns [`Action`]s for the process around it:

```
use std::time::Duration;
use rosebend_coordination::owner::{Action, Event, Owner, OwnerConfig, RefusalReason, Reply};
use rosebend_state::id::ProgramId;

let mut owner = Owner::new(OwnerConfig::default());
let program = ProgramId::new("caribmar", "renewal-17")?;
let actions = owner.step(Duration::ZERO, Event::End {
    ticket: Some(1),
    program,
    reason: rosebend_state::record::EndReason::Requested,
});
// The shard belongs to another entry, or to none yet.
let refused = |action: &Action| matches!(action, Action::Reply {
    ticket: 1,
    reply: Reply::Refused { reason: RefusalReason::NotOwner, .. },
});
assert!(actions.iter().any(refused));
# Ok::<(), rosebend_state::id::IdError>(())
```

# The way of a call

A call waits until it has its turn, which is when every call before it has
ended. It then reserves its worst case from the budget and asks for an
endpoint. A repeatable call is dispatched at once. For one that is not, an
intent is written first, and only `Committed` lets it go. When it has ended,
its end is written together with what it spent, and then acknowledged to the
sidecar, which drops its copy of the answer.

Followers of a call are told its end once that is durable. Followers of a
repeatable call are told at once if [`OwnerConfig::early_end`] is set, and
during an outage of the table everyone is: then the sidecar's copy is the
second one, and an end is lost only if the owner and that sidecar are both
lost before the write.

# What the process around it must keep to

- A `Dispatch` is sent at most once. When its connection breaks, the process
  resumes the stream; it does not send the call again.
- `DispatchRefused` is told only for a refusal that the sidecar gave, or when
  nothing was sent at all.
- The commits of one shard take effect in the order in which they are given.
- Sidecars are asked for what they retain, under the new epoch, before
  `ShardGained` is told, so that the last owner's dispatches are refused from
  then on. The table is read after the epoch is taken.
- The process hears of the loss of a shard before it can gain it again.
- When a claim finds a call running, the process resumes its stream.
- Sidecars tell attempts of a call apart, and refuse a call whose fingerprint
  differs from the one they know under the same id.
- A sidecar keeps, beside an answer, the `record` that came with its dispatch,
  and hands it to the next owner. Without it a retained answer can't be found
  by its key.

# What moves with a shard

`ShardGained` carries what sidecars retain, and from which epoch on that is
everything. A call that the shard's next owner has to finish ends as
[`CallOutcome::Moved`]. [`Owner::records`] gives the successor of a drained shard
its durable records, so that it need not wait for the table, and the calls that
have none yet, which it claims where sidecars did not tell. A caller whose
opening or ending of a program was being written when the table stopped
answering is told [`Reply::Undecided`].
*/

mod account;
mod action;
mod attempt;
mod clock;
mod config;
mod durable;
mod ending;
mod event;
mod lifecycle;
mod program;
mod retry;
mod shard;
mod submit;
mod suspicion;
mod takeover;
mod view;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_state::id::{CallId, ProgramId, Shard};
use rosebend_state::record::{AnswerRecord, CallKind};

use self::account::Account;
use self::program::{Program, Stage};
use self::retry::RetryBudget;
use self::shard::ShardState;
use self::suspicion::Suspicion;

pub use self::action::{Action, CallOutcome, Metric, RefusalReason, Reply, RetryReason};
pub use self::config::OwnerConfig;
pub use self::event::{
    Attempt, CallRequest, ClaimOutcome, CommitId, DispatchFailure, DispatchRefusal, Event,
    NoPlacement, NoPlacementReason, Placement, RetainedTurn, Ticket,
};
pub use self::view::{CallStage, CallView, ProgramView, ShardView};

/// The owner of some shards.
#[derive(Debug)]
pub struct Owner {
    config: OwnerConfig,
    random: ChaCha8Rng,
    shards: BTreeMap<Shard, ShardState>,
    /// Programs of the owned shards; a root's sub-agents follow it.
    programs: BTreeMap<ProgramId, Program>,
    retries: RetryBudget,
    suspicion: Suspicion,
    /// Whether the table answers.
    is_answering: bool,
    next_commit: CommitId,
    /// Ended calls that are not durable.
    uncommitted: usize,
    /// Bytes of their answers.
    uncommitted_bytes: u64,
    /// What this step wants done.
    out: Vec<Action>,
}

impl Owner {
    /// An owner of no shard yet, with a table that answers.
    pub fn new(config: OwnerConfig) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(config.seed),
            shards: BTreeMap::new(),
            programs: BTreeMap::new(),
            retries: RetryBudget::new(config.retry_percent, config.retry_burst),
            suspicion: Suspicion::default(),
            is_answering: true,
            next_commit: 1,
            uncommitted: 0,
            uncommitted_bytes: 0,
            out: Vec::new(),
            config,
        }
    }

    /// Takes one event and tells what is to be done.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.take(now, event);
        self.flush(now);
        std::mem::take(&mut self.out)
    }

    fn take(&mut self, now: Duration, event: Event) {
        match event {
            Event::ShardGained {
                shard,
                epoch,
                programs,
                turns,
                retained,
                under_way,
                retained_after,
            } => self.gain(
                now,
                takeover::Gain {
                    shard,
                    epoch,
                    programs,
                    turns,
                    retained,
                    under_way,
                    retained_after,
                },
            ),
            Event::ShardLost { shard } | Event::CommitLost { shard } => self.lose(shard),
            Event::ShardLeaving { shard } => self.leave(now, shard),
            Event::ShardStays { shard } => self.stay(shard),
            Event::Open {
                ticket,
                program,
                budget_tokens,
                turn_limit,
                wall_limit,
                body_digest,
            } => self.open(
                now,
                ticket,
                lifecycle::Opening {
                    program,
                    budget_tokens,
                    turn_limit,
                    wall_limit,
                    body_digest,
                },
            ),
            Event::End {
                ticket,
                program,
                reason,
            } => self.end(now, ticket, &program, reason),
            Event::Submit { ticket, request } => self.submit(now, ticket, request),
            Event::CallerGone { ticket } => self.caller_gone(ticket),
            Event::Placed {
                call,
                attempt,
                outcome,
            } => self.placed(now, &call, attempt, outcome),
            Event::DispatchRefused {
                call,
                attempt,
                reason,
                retry_after,
            } => self.dispatch_refused(now, &call, attempt, reason, retry_after),
            Event::DispatchFailed {
                call,
                attempt,
                reason,
                may_have_run,
                suspects,
            } => self.dispatch_failed(now, &call, attempt, reason, may_have_run, &suspects),
            Event::Finished {
                call,
                attempt,
                answer,
            } => self.finished(now, &call, attempt, answer),
            Event::Committed { commit } => self.committed(now, commit),
            Event::Claimed {
                call,
                attempt,
                outcome,
            } => self.claimed(now, &call, attempt, outcome),
            Event::TableState { answering } => self.table_state(now, answering),
            Event::Quarantined { fingerprints } => self.suspicion.add_quarantined(fingerprints),
            Event::Tick => self.tick(now),
        }
    }

    /// A program as its owner sees it.
    pub fn program(&self, now: Duration, id: &ProgramId) -> Option<ProgramView> {
        let program = self.programs.get(id)?;
        let account = self.programs.get(&id.root())?.account.as_deref();
        let active = program.active.as_deref().map(|call| call.sequence);
        Some(ProgramView {
            state: program.state,
            budget_tokens: account.map_or(0, |account| account.budget_tokens),
            spent_tokens: account.map_or(0, |account| account.spent_tokens),
            reserved_tokens: account.map_or(0, |account| account.reserved_tokens),
            turn_limit: program.turn_limit,
            age: program.age(now),
            next_sequence: program.next_sequence,
            waiting: program.waiting.len(),
            calls: program.turns.keys().copied().chain(active).collect(),
        })
    }

    /// A call as its owner sees it.
    pub fn call(&self, call: &CallId) -> Option<CallView> {
        let program = self.programs.get(&call.program)?;
        if let Some(turn) = program.turns.get(&call.sequence) {
            return Some(CallView {
                key: turn.key.as_deref().map(str::to_owned),
                kind: turn.kind,
                target: turn.target.to_string(),
                repeatable: turn.repeatable,
                stage: CallStage::Ended {
                    outcome: turn.end.outcome(),
                    durable: turn.unwritten.is_none(),
                },
                attempt: 0,
                placement: None,
            });
        }
        let active = program.active.as_deref()?;
        let stage = match &active.stage {
            Stage::Parked => CallStage::Parked {
                may_have_run: active.may_have_run,
            },
            stage if stage.is_sent() => CallStage::InFlight,
            _ => CallStage::Waiting,
        };
        (active.sequence == call.sequence).then(|| CallView {
            key: active.key.as_deref().map(str::to_owned),
            kind: active.kind,
            target: active.target.to_string(),
            repeatable: active.repeatable,
            stage,
            attempt: active.attempt,
            placement: active.stage.placement().cloned(),
        })
    }

    /// The answer of an ended call while it is in memory, which is until it
    /// is durable.
    pub fn answer(&self, call: &CallId) -> Option<&AnswerRecord> {
        let program = self.programs.get(&call.program)?;
        let turn = program.turns.get(&call.sequence)?;
        turn.unwritten.as_ref()?.answer.as_ref()
    }

    /// Programs that may keep engine memory at an endpoint.
    pub fn programs_holding(&self, endpoint: &str) -> Vec<ProgramId> {
        let holding = self
            .programs
            .iter()
            .filter(|(_, program)| program.end_reason().is_none() && may_hold(program, endpoint));
        holding.map(|(id, _)| id.clone()).collect()
    }

    /// The shards that this entry owns.
    pub fn shards(&self) -> Vec<ShardView> {
        let view = |(shard, state): (&Shard, &ShardState)| ShardView {
            shard: *shard,
            epoch: state.epoch,
            leaving: state.is_leaving,
            programs: self
                .programs
                .values()
                .filter(|program| program.shard == *shard)
                .count(),
        };
        self.shards.iter().map(view).collect()
    }

    /// The account that a program spends from.
    fn account_of(&mut self, id: &ProgramId) -> Option<&mut Account> {
        self.programs.get_mut(&id.root())?.account.as_deref_mut()
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        self.out.push(Action::Reply { ticket, reply });
    }

    fn refuse(&mut self, ticket: Ticket, reason: RefusalReason) {
        let retry_after = self.retry_after();
        self.count(Metric::Refusal(reason));
        self.reply(
            ticket,
            Reply::Refused {
                reason,
                retry_after,
            },
        );
    }

    fn count(&mut self, metric: Metric) {
        self.out.push(Action::Count { metric });
    }

    /// When a refused caller comes back, spread so that not all come at once.
    fn retry_after(&mut self) -> Duration {
        let base = self.config.retry_after;
        base + base.mul_f64(self.random.random_range(0.0..0.5))
    }
}

/// Whether an open program may keep engine memory at an endpoint.
fn may_hold(program: &Program, endpoint: &str) -> bool {
    let is_warm = program.warm.as_deref() == Some(endpoint);
    let runs_there = program.active.as_deref().is_some_and(|call| {
        call.kind == CallKind::Model
            && call.stage.is_sent()
            && call
                .stage
                .placement()
                .is_some_and(|placement| placement.endpoint == endpoint)
    });
    is_warm || runs_there
}
