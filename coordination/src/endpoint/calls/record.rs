//! What is known of one call.

use std::time::Duration;

use super::{
    super::outcome::{Failure, Finished},
    spec::{CallSpec, RetainedCall},
};

#[derive(Clone, Debug)]
pub(super) enum CallState {
    Queued {
        since: Duration,
    },
    Running {
        since: Duration,
    },
    Finished {
        finished: Finished,
        bytes: u64,
    },
    /// Handed over, and ended badly.
    Failed {
        failure: Failure,
        since: Duration,
    },
    /// Not run; attempts up to the record's are refused.
    Buried {
        since: Duration,
    },
    /// Ended, and durable at its owner.
    Acknowledged {
        since: Duration,
    },
}

#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) spec: CallSpec,
    pub(super) state: CallState,
    /// How an earlier attempt of this repeatable call ended here.
    pub(super) earlier: Option<Failure>,
}

impl Record {
    pub(super) fn is_over_since(&self, time: Duration) -> bool {
        match self.state {
            CallState::Buried { since }
            | CallState::Acknowledged { since }
            | CallState::Failed { since, .. } => since == time,
            _ => false,
        }
    }

    pub(super) fn retained(&self) -> Option<RetainedCall> {
        let (ended, finished) = match &self.state {
            CallState::Queued { .. } | CallState::Running { .. } => (false, None),
            CallState::Finished { finished, .. } => (true, Some(finished)),
            CallState::Failed { .. } => (true, None),
            CallState::Buried { .. } | CallState::Acknowledged { .. } => return None,
        };
        Some(RetainedCall {
            id: self.spec.id.clone(),
            attempt: self.spec.attempt,
            shard: self.spec.fence.shard,
            ended,
            record: self.spec.record.clone(),
            finished: finished.cloned(),
        })
    }
}
