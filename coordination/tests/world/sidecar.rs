//! A sidecar with its endpoint: fences, attempts, claims, retained answers.

use std::collections::{BTreeMap, BTreeSet};

use rosebend_coordination::owner::{Attempt, CallRequest, ClaimOutcome, DispatchRefusal};
use rosebend_coordination::owner::{Placement, RetainedTurn};
use rosebend_state::id::{CallId, Epoch, ProgramId, Shard};
use rosebend_state::record::{AnswerRecord, TurnRecord};

/// Which run of which owner process.
pub type OwnerRun = (usize, u32);

/// A dispatch as it reaches a sidecar.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub from: OwnerRun,
    pub call: CallId,
    pub attempt: Attempt,
    pub shard: Shard,
    pub epoch: Epoch,
    pub placement: Placement,
    pub request: std::sync::Arc<CallRequest>,
    pub record: TurnRecord,
    pub hold_kv: bool,
}

/// What a sidecar knows of one attempt.
#[derive(Clone, Debug)]
pub enum AttemptState {
    Refused,
    Running,
    Finished(AnswerRecord),
    Failed,
    /// Its end is durable; only the number is kept.
    Acknowledged,
}

#[derive(Clone, Debug)]
pub struct AttemptEntry {
    pub dispatch: Dispatch,
    pub state: AttemptState,
}

/// What follows from a dispatch.
#[derive(Clone, Debug)]
pub enum DispatchReply {
    Runs,
    Refused(DispatchRefusal),
    Finished(AnswerRecord),
    /// The first copy is answered on its own stream.
    Silent,
}

#[derive(Debug, Default)]
pub struct Sidecar {
    pub name: String,
    pub run: u32,
    pub fences: BTreeMap<Shard, Epoch>,
    /// Epochs of the shards when this run started.
    pub started_at: BTreeMap<Shard, Epoch>,
    pub attempts: BTreeMap<(CallId, Attempt), AttemptEntry>,
    /// The highest attempt of each call that a claim buried.
    pub buried: BTreeMap<CallId, Attempt>,
    /// Programs whose KV cache is held, with the shard.
    pub holds: BTreeSet<(Shard, ProgramId)>,
}

impl Sidecar {
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            run: 1,
            ..Self::default()
        }
    }

    pub fn incarnation(&self) -> String {
        format!("{}-{}", self.name, self.run)
    }

    /// Refuses an epoch lower than the highest seen.
    fn is_stale(&mut self, shard: Shard, epoch: Epoch) -> bool {
        let fence = self.fences.entry(shard).or_default();
        let is_stale = epoch < *fence;
        *fence = epoch.max(*fence);
        is_stale
    }

    pub fn dispatch(&mut self, dispatch: Dispatch, is_full: bool) -> DispatchReply {
        if self.is_stale(dispatch.shard, dispatch.epoch) {
            return DispatchReply::Refused(DispatchRefusal::StaleEpoch);
        }
        if dispatch.placement.incarnation != self.incarnation() {
            return DispatchReply::Refused(DispatchRefusal::OtherIncarnation);
        }
        if let Some(entry) = self
            .attempts
            .get(&(dispatch.call.clone(), dispatch.attempt))
        {
            return match &entry.state {
                AttemptState::Refused => DispatchReply::Refused(DispatchRefusal::QueueFull),
                AttemptState::Finished(answer) => DispatchReply::Finished(answer.clone()),
                _ => DispatchReply::Silent,
            };
        }
        if self.buried.get(&dispatch.call) >= Some(&dispatch.attempt) {
            return DispatchReply::Refused(DispatchRefusal::Buried);
        }
        let state = match is_full {
            true => AttemptState::Refused,
            false => AttemptState::Running,
        };
        if !is_full && dispatch.hold_kv {
            self.holds
                .insert((dispatch.shard, dispatch.call.program.clone()));
        }
        let key = (dispatch.call.clone(), dispatch.attempt);
        self.attempts.insert(key, AttemptEntry { dispatch, state });
        match is_full {
            true => DispatchReply::Refused(DispatchRefusal::QueueFull),
            false => DispatchReply::Runs,
        }
    }

    pub fn claim(
        &mut self,
        from: OwnerRun,
        call: &CallId,
        attempt: Attempt,
        shard: Shard,
        epoch: Epoch,
        placement: &Placement,
    ) -> ClaimOutcome {
        if self.is_stale(shard, epoch) {
            return ClaimOutcome::StaleEpoch;
        }
        if placement.incarnation != self.incarnation() {
            return ClaimOutcome::Unknown;
        }
        let Some(entry) = self.attempts.get_mut(&(call.clone(), attempt)) else {
            return self.bury(call, attempt);
        };
        match &entry.state {
            AttemptState::Refused => self.bury(call, attempt),
            AttemptState::Finished(answer) => ClaimOutcome::Finished(answer.clone()),
            AttemptState::Failed => ClaimOutcome::Failed { may_have_run: true },
            AttemptState::Acknowledged => ClaimOutcome::Unknown,
            AttemptState::Running => {
                entry.dispatch.from = from;
                ClaimOutcome::Running
            }
        }
    }

    fn bury(&mut self, call: &CallId, attempt: Attempt) -> ClaimOutcome {
        let buried = self.buried.entry(call.clone()).or_default();
        *buried = attempt.max(*buried);
        ClaimOutcome::Buried
    }

    /// Drops what is kept of a call.
    pub fn acknowledge(&mut self, call: &CallId, shard: Shard, epoch: Epoch) {
        if self.is_stale(shard, epoch) {
            return;
        }
        for (key, entry) in &mut self.attempts {
            let is_ended = matches!(
                entry.state,
                AttemptState::Finished(_) | AttemptState::Failed
            );
            if key.0 == *call && is_ended {
                entry.state = AttemptState::Acknowledged;
            }
        }
    }

    /// What is retained for a shard; older owners are refused from now on.
    pub fn retained(&mut self, shard: Shard, epoch: Epoch) -> Vec<RetainedTurn> {
        if self.is_stale(shard, epoch) {
            return Vec::new();
        }
        let entries = self.attempts.values();
        let retained = entries.filter(|entry| {
            entry.dispatch.shard == shard
                && matches!(
                    entry.state,
                    AttemptState::Running | AttemptState::Finished(_) | AttemptState::Failed
                )
        });
        retained
            .map(|entry| RetainedTurn {
                turn: entry.dispatch.record.clone(),
                answer: match &entry.state {
                    AttemptState::Finished(answer) => Some(answer.clone()),
                    _ => None,
                },
            })
            .collect()
    }

    /// Attempts that run now.
    pub fn running(&self) -> Vec<(CallId, Attempt)> {
        let running = self
            .attempts
            .iter()
            .filter(|(_, entry)| matches!(entry.state, AttemptState::Running));
        running.map(|(key, _)| key.clone()).collect()
    }

    /// Frees the holds of an owner's shards that it does not list.
    pub fn renew(&mut self, fences: &[(Shard, Epoch)], programs: &BTreeSet<ProgramId>) {
        for (shard, epoch) in fences {
            if self.is_stale(*shard, *epoch) {
                continue;
            }
            self.holds
                .retain(|(held, program)| held != shard || programs.contains(program));
        }
    }
}
