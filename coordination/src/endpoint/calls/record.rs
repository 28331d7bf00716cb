//! What is known of one call.

use std::{sync::Arc, time::Duration};

use rosebend_state::id::CallId;

use super::{
    super::{
        fence::Fence,
        outcome::{Failure, Finished},
    },
    spec::{CallSpec, RetainedCall},
};

#[derive(Clone, Debug)]
pub(super) enum CallState {
    /// In the queue.
    Queued,
    /// At the endpoint.
    Running,
    /// The whole answer is retained.
    Finished { finished: Finished, bytes: u64 },
    /// Handed over, and ended badly.
    Failed { failure: Failure, since: Duration },
    /// Not run; attempts up to the record's are refused.
    Buried { since: Duration },
    /// Ended, and durable at its owner.
    Acknowledged { since: Duration },
}

/// A call from its dispatch until it is forgotten.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// The newest owner that named the call.
    pub(super) fence: Fence,
    /// The highest attempt that was dispatched or buried.
    pub(super) attempt: u32,
    /// The highest attempt that came with a message of this request; zero for
    /// a call that never came.
    pub(super) joined: u32,
    pub(super) repeatable: bool,
    pub(super) hold_kv: bool,
    /// Hash of the fingerprint; zero when the call is not known by one.
    pub(super) fingerprint: u64,
    /// The owner's record of the call; empty once it is over.
    pub(super) record: Arc<[u8]>,
    /// Counted as expected until the call has ended.
    pub(super) answer_bytes: u64,
    pub(super) state: CallState,
    /// The attempt before the current one, when it was handed over here.
    pub(super) earlier: Option<FailedAttempt>,
}

/// How an earlier attempt of a repeatable call ended.
#[derive(Clone, Debug)]
pub(super) struct FailedAttempt {
    /// The attempt, and with it all before it.
    pub(super) attempt: u32,
    pub(super) failure: Failure,
}

impl Record {
    pub(super) fn new(spec: &CallSpec, state: CallState) -> Self {
        Self {
            fence: spec.fence,
            attempt: spec.attempt,
            joined: spec.attempt,
            repeatable: spec.repeatable,
            hold_kv: spec.hold_kv,
            fingerprint: spec.fingerprint,
            record: Arc::clone(&spec.record),
            answer_bytes: spec.answer_bytes,
            state,
            earlier: None,
        }
    }

    /// A call that is refused up to an attempt.
    pub(super) fn buried(now: Duration, fence: Fence, attempt: u32) -> Self {
        Self {
            fence,
            attempt,
            joined: 0,
            repeatable: false,
            hold_kv: false,
            fingerprint: 0,
            record: Arc::from([]),
            answer_bytes: 0,
            state: CallState::Buried { since: now },
            earlier: None,
        }
    }

    /// Whether a message is about another request than this call's. A buried
    /// call has none.
    pub(super) fn is_other_request(&self, spec: &CallSpec) -> bool {
        self.fingerprint != 0 && spec.fingerprint != 0 && self.fingerprint != spec.fingerprint
    }

    /// How the attempt that a message names ended, when the call has gone on
    /// to a later one.
    pub(super) fn failure_of(&self, attempt: u32) -> Option<&Failure> {
        let earlier = self.earlier.as_ref()?;
        (attempt <= earlier.attempt).then_some(&earlier.failure)
    }

    pub(super) fn is_over_since(&self, time: Duration) -> bool {
        match self.state {
            CallState::Buried { since }
            | CallState::Acknowledged { since }
            | CallState::Failed { since, .. } => since == time,
            _ => false,
        }
    }

    pub(super) fn retained(&self, id: &CallId) -> Option<RetainedCall> {
        let (ended, finished) = match &self.state {
            CallState::Queued | CallState::Running => (false, None),
            CallState::Finished { finished, .. } => (true, Some(finished)),
            CallState::Failed { .. } => (true, None),
            CallState::Buried { .. } | CallState::Acknowledged { .. } => return None,
        };
        Some(RetainedCall {
            id: id.clone(),
            attempt: self.joined,
            shard: self.fence.shard,
            ended,
            record: Arc::clone(&self.record),
            finished: finished.cloned(),
        })
    }
}
