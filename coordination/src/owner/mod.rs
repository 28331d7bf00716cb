//! The owner of program shards: order, at most once, budget, takeover.

mod action;
mod config;
mod event;
mod view;

use std::time::Duration;

use rosebend_state::id::{CallId, ProgramId};
use rosebend_state::record::AnswerRecord;

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
    #[allow(dead_code)]
    config: OwnerConfig,
}

impl Owner {
    /// An owner of no shard yet.
    pub fn new(config: OwnerConfig) -> Self {
        Self { config }
    }

    /// Takes one event and tells what is to be done.
    pub fn step(&mut self, _now: Duration, _event: Event) -> Vec<Action> {
        Vec::new()
    }

    /// A program as its owner sees it.
    pub fn program(&self, _now: Duration, _program: &ProgramId) -> Option<ProgramView> {
        None
    }

    /// A call as its owner sees it.
    pub fn call(&self, _call: &CallId) -> Option<CallView> {
        None
    }

    /// The answer of an ended call while it is in memory, which is at least
    /// until it is durable.
    pub fn answer(&self, _call: &CallId) -> Option<&AnswerRecord> {
        None
    }

    /// Programs that may keep engine memory at an endpoint.
    pub fn programs_holding(&self, _endpoint: &str) -> Vec<ProgramId> {
        Vec::new()
    }

    /// The shards that this entry owns.
    pub fn shards(&self) -> Vec<ShardView> {
        Vec::new()
    }
}
