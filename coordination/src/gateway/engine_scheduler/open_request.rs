//! A request of a host to a scheduler, from its first message to the end of its turn.

use std::time::Duration;

use rosebend_state::deployment::EndpointIdentity;

use super::client::{Answer, MAX_MESSAGE_BYTES, Outgoing, Question, encoded_bytes};
use super::message::{
    GroupId, HeldPlacement, MessageContent, PlacementOutcome, RequestNumber, SchedulerMessage,
};
use crate::gateway::batchers::PeerHost;
use crate::gateway::ledger::ProcessId;

/// How far a request is.
#[derive(Clone, Debug)]
pub(super) enum Progress {
    /// The request has no final answer. `unanswered` messages were sent since the last
    /// answer; the next is due at `next_send_at`.
    Asking {
        unanswered: u32,
        next_send_at: Duration,
    },
    Answered(Answer),
    /// The turn runs at this engine.
    Held(EndpointIdentity),
    /// The scheduler is silent, and the host has not selected an engine yet.
    Abandoned,
}

/// A request whose turn has not ended.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest<A> {
    pub(super) group: GroupId,
    pub(super) scheduler: PeerHost<A>,
    pub(super) question: Question,
    pub(super) progress: Progress,
    /// Whether the turn has waited in the scheduler's queue.
    pub(super) is_queued: bool,
}

impl<A: Clone> OpenRequest<A> {
    /// Returns the contents of the message that asks.
    pub(super) fn content(&self) -> MessageContent {
        match &self.question {
            Question::Place(request) => MessageContent::Place(request.clone()),
            Question::Admit(request) => MessageContent::Admit(request.clone()),
        }
    }

    /// Removes the last excluded engines if the request would be too long with them. A
    /// host rejects an assigned engine that it does not use.
    pub(super) fn limit_excluded(&mut self, from: &ProcessId) {
        if !matches!(&self.question, Question::Place(request) if !request.excluded.is_empty()) {
            return;
        }
        let mut bytes = encoded_bytes(&self.outgoing(from, self.content()).message);
        let Question::Place(request) = &mut self.question else {
            return;
        };
        while bytes > MAX_MESSAGE_BYTES
            && let Some(removed) = request.excluded.pop()
        {
            // The entry and a comma.
            bytes = bytes.saturating_sub(encoded_bytes(&removed) + 1);
        }
    }

    /// Returns a message to the scheduler that was asked.
    pub(super) fn outgoing(&self, from: &ProcessId, content: MessageContent) -> Outgoing<A> {
        Outgoing {
            address: self.scheduler.address.clone(),
            message: SchedulerMessage {
                from: from.clone(),
                to: self.scheduler.process.clone(),
                group: self.group.clone(),
                content,
            },
        }
    }

    /// Returns the request as a report names it, or `None` if the turn neither runs nor
    /// waits.
    pub(super) fn held(&self, number: RequestNumber) -> Option<HeldPlacement> {
        let engine = match &self.progress {
            Progress::Held(engine) => Some(engine.clone()),
            Progress::Answered(Answer::Placed(PlacementOutcome::Assigned(engine))) => {
                Some(engine.clone())
            }
            Progress::Asking { .. } if self.is_queued => None,
            _ => return None,
        };
        Some(HeldPlacement { number, engine })
    }

    /// Returns whether the scheduler may have a placement or a waiting turn of this request.
    pub(super) fn may_be_known(&self) -> bool {
        if matches!(self.question, Question::Admit(_)) {
            return false;
        }
        match &self.progress {
            Progress::Asking { unanswered, .. } => *unanswered > 0 || self.is_queued,
            Progress::Answered(Answer::Placed(PlacementOutcome::Assigned(_))) => true,
            Progress::Answered(_) => false,
            Progress::Held(_) | Progress::Abandoned => true,
        }
    }
}
