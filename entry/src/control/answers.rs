//! The answers of calls in this entry's memory: growing, ended, or read back
//! from the table.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use rosebend_coordination::owner::{CallOutcome, CallStage, Placement};
use rosebend_protocol::peer::Finished;
use rosebend_protocol::table::row_id;
use rosebend_state::id::CallId;
use rosebend_state::record::{AnswerBody, AnswerRecord, TurnRecord, TurnState};
use tokio::sync::oneshot;

use super::state::Control;
use super::{Command, ControlReply};
use crate::answer::{AnswerEnd, LiveAnswer};
use crate::problems;
use crate::rows;

/// Bytes of ended answers that are kept in memory for late readers; older ones
/// are read from the table.
const ENDED_BYTES_KEPT: usize = 16 << 20;

/// A call whose answer is in memory.
#[derive(Debug)]
pub(super) struct LiveCall {
    pub(super) answer: Arc<LiveAnswer>,
    /// Where the attempt under way runs.
    pub(super) placement: Option<Placement>,
}

impl Control {
    pub(super) fn fetch(&mut self, call: CallId, reply: oneshot::Sender<ControlReply>) {
        let problem = match self.owner.call(&call).map(|view| view.stage) {
            None => Some(problems::unknown_call(&call)),
            Some(CallStage::Parked { may_have_run }) => Some(problems::not_under_way(may_have_run)),
            Some(_) => None,
        };
        if let Some(problem) = problem {
            let _ = reply.send(ControlReply::Problem(problem));
            return;
        }
        let answer = self.live_answer(&call);
        let _ = reply.send(ControlReply::Follow { call, answer });
    }

    /// The answer of a call: growing, ended, or being read from the table.
    pub(super) fn live_answer(&mut self, call: &CallId) -> Arc<LiveAnswer> {
        if let Some(live) = self.live.get(call) {
            return live.answer.clone();
        }
        let answer = LiveAnswer::new();
        self.keep_live(call, answer.clone());
        if let Some(CallStage::Ended { outcome, .. }) = self.owner.call(call).map(|view| view.stage)
        {
            self.end_answer(call, outcome);
        }
        answer
    }

    fn keep_live(&mut self, call: &CallId, answer: Arc<LiveAnswer>) {
        self.live.insert(
            call.clone(),
            LiveCall {
                answer,
                placement: None,
            },
        );
    }

    /// Ends the answer of a call in memory, with the parts that are recorded.
    pub(super) fn end_answer(&mut self, call: &CallId, outcome: CallOutcome) {
        let Some(live) = self.live.get(call) else {
            return;
        };
        let answer = live.answer.clone();
        match outcome {
            CallOutcome::Done => match self.owner.answer(call).cloned() {
                Some(record) => fill(&answer, &record),
                None => return self.read_answer(call.clone()),
            },
            CallOutcome::Moved => answer.finish(AnswerEnd::Moved),
            CallOutcome::Parked { may_have_run } => {
                answer.finish(AnswerEnd::Problem(problems::not_under_way(may_have_run)));
            }
            CallOutcome::Failed { reason } => {
                answer.finish(AnswerEnd::Problem(problems::call_failed(reason)));
            }
            CallOutcome::Unknown { reason } => {
                answer.finish(AnswerEnd::Problem(problems::outcome_unknown(reason)));
            }
            CallOutcome::Refused {
                reason,
                retry_after,
            } => {
                answer.finish(AnswerEnd::Problem(problems::refused(reason, retry_after)));
            }
        }
        self.note_ended(call, outcome);
    }

    /// Bounds the ended answers in memory. One that has moved, was refused or is
    /// parked must not be found again: the call may go on elsewhere or anew.
    fn note_ended(&mut self, call: &CallId, outcome: CallOutcome) {
        if let CallOutcome::Moved | CallOutcome::Refused { .. } | CallOutcome::Parked { .. } =
            outcome
        {
            self.live.remove(call);
            return;
        }
        let bytes = self
            .live
            .get(call)
            .map_or(0, |live| live.answer.size_bytes());
        self.ended_bytes += bytes;
        self.ended.push_back((call.clone(), bytes));
        while self.ended_bytes > ENDED_BYTES_KEPT {
            let Some((oldest, bytes)) = self.ended.pop_front() else {
                return;
            };
            self.ended_bytes -= bytes;
            self.live.remove(&oldest);
        }
    }

    /// Reads the answer of an ended call back from the table.
    fn read_answer(&self, call: CallId) {
        let shard = call.program.shard(self.settings.shard_count);
        let key = rows::call_key(shard, &call);
        let store = Rc::clone(&self.store);
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            let row = store.read_row(&row_id(key)).await.unwrap_or_default();
            let turn = row.and_then(|row| rows::from_json::<TurnRecord>(&row).ok());
            let answer = turn.and_then(|turn| match turn.state {
                TurnState::Done { answer } => Some(answer),
                _ => None,
            });
            handle.send(Command::AnswerRead { call, answer });
        });
    }

    pub(super) fn answer_read(&mut self, call: &CallId, record: Option<AnswerRecord>) {
        let Some(live) = self.live.get(call) else {
            return;
        };
        match record {
            Some(record) => {
                fill(&live.answer, &record);
                self.note_ended(call, CallOutcome::Done);
            }
            None => {
                live.answer
                    .finish(AnswerEnd::Problem(problems::answer_not_read()));
                self.live.remove(call);
            }
        }
    }
}

fn fill(answer: &LiveAnswer, record: &AnswerRecord) {
    if let AnswerBody::Parts(parts) = &record.body {
        for (offset, part) in (0..).zip(parts) {
            // Parts that callers have already are the same; see `LiveAnswer::add`.
            let _ = answer.add(offset, Bytes::copy_from_slice(part.as_bytes()));
        }
    }
    answer.finish(AnswerEnd::Whole {
        status: record.status,
    });
}

/// The record of an answer whose parts are all in memory.
pub(super) fn answer_record(answer: &LiveAnswer, finished: &Finished) -> AnswerRecord {
    let parts = answer.parts();
    let texts = parts
        .iter()
        .map(|part| String::from_utf8_lossy(part).into_owned())
        .collect();
    AnswerRecord {
        status: u16::try_from(finished.status).unwrap_or(200),
        body: AnswerBody::Parts(texts),
        prompt_tokens: finished.prompt_tokens,
        cached_tokens: finished.cached_tokens,
        answer_tokens: finished.answer_tokens,
        digest: finished.digest.clone(),
    }
}
