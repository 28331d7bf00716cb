//! Callers. Each one sends the calls of its program, repeats those whose outcome
//! is uncertain, and stores the outcomes that were reported to it.

use bytes::Bytes;
use rosebend_coordination::owner::CallRequest;
use rosebend_state::id::ProgramId;
use rosebend_state::record::CallKind;

/// One call in the script of a caller.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    pub key: String,
    pub repeatable: bool,
    pub kind: CallKind,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
}

/// The outcome of one call as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallStatus {
    Pending,
    Done,
    EndedWithoutAnswer,
}

/// A caller, its program and the script of calls that it sends.
#[derive(Debug)]
pub struct Client {
    pub program: ProgramId,
    /// Whether the caller numbers its calls. Then it can send a call before the
    /// previous one has ended.
    pub is_numbered: bool,
    pub calls: Vec<PlannedCall>,
    /// The status of each call in `calls`, by index.
    pub statuses: Vec<CallStatus>,
    /// Whether the caller has received the reply that opens its program, or a
    /// refusal because the program has ended.
    pub is_open: bool,
    /// Whether the end of the program was confirmed.
    pub has_ended: bool,
}

impl Client {
    /// Returns a caller with a script of `length` calls. `shift` moves the cycle
    /// of call kinds.
    pub fn new(session: &str, is_numbered: bool, length: usize, shift: usize) -> Self {
        let program = ProgramId::new("caribmar", session).expect("a valid name");
        let calls: Vec<PlannedCall> = (0..length)
            .map(|index| planned_call(session, index + shift))
            .collect();
        Self {
            program,
            is_numbered,
            statuses: vec![CallStatus::Pending; calls.len()],
            calls,
            is_open: false,
            has_ended: false,
        }
    }

    /// Returns the index of the first call without a reported outcome.
    pub fn first_pending_call(&self) -> Option<usize> {
        self.statuses
            .iter()
            .position(|status| *status == CallStatus::Pending)
    }

    /// Returns whether a call ended without an answer. The owner may then refuse
    /// calls with later numbers because of the gap.
    pub fn has_call_without_answer(&self) -> bool {
        self.statuses.contains(&CallStatus::EndedWithoutAnswer)
    }

    /// Marks the calls before `position` whose answers were lost as pending, so
    /// that the caller sends them again.
    pub fn reset_lost_calls(&mut self, position: usize, is_lost: impl Fn(&str) -> bool) {
        for (status, call) in self.statuses[..position].iter_mut().zip(&self.calls) {
            if *status == CallStatus::Done && is_lost(&call.key) {
                *status = CallStatus::Pending;
            }
        }
    }

    /// Returns the request for the call at `index`.
    pub fn request(&self, index: usize) -> CallRequest {
        let call = &self.calls[index];
        CallRequest {
            program: self.program.clone(),
            key: Some(call.key.clone()),
            sequence: self.is_numbered.then_some(index as u64 + 1),
            kind: call.kind,
            target: "target".to_owned(),
            repeatable: call.repeatable,
            body: Bytes::copy_from_slice(call.key.as_bytes()),
            body_digest: call.key.clone(),
            fingerprint: call.key.clone(),
            prompt_tokens: call.prompt_tokens,
            max_answer_tokens: call.answer_tokens,
            shared_prefixes: Vec::new(),
            deadline: None,
        }
    }
}

/// Returns a call of the script. Every third call is not repeatable, and some of
/// those are model calls.
fn planned_call(session: &str, index: usize) -> PlannedCall {
    let repeatable = !index.is_multiple_of(3);
    let kind = match index % 4 {
        0 | 1 => CallKind::Model,
        _ => CallKind::Tool,
    };
    let tokens = match kind {
        CallKind::Model => 20 + 5 * (index as u64 % 3),
        CallKind::Tool => 0,
    };
    PlannedCall {
        key: format!("{session}-{index}"),
        repeatable,
        kind,
        prompt_tokens: tokens,
        answer_tokens: tokens / 2,
    }
}
