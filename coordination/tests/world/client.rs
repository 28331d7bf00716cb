//! Callers: each makes its program's calls, sends them again when in doubt,
//! and remembers what it was told.

use std::sync::Arc;

use rosebend_coordination::owner::CallRequest;
use rosebend_state::id::ProgramId;
use rosebend_state::record::CallKind;

/// One call of a script.
#[derive(Clone, Debug)]
pub struct Planned {
    pub key: String,
    pub repeatable: bool,
    pub kind: CallKind,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
}

/// How far a caller is with one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    Nothing,
    Done,
    Ended,
}

/// A caller and its program.
#[derive(Debug)]
pub struct Client {
    pub program: ProgramId,
    /// Whether it numbers its calls, and sends the next before the last ended.
    pub is_numbered: bool,
    pub calls: Vec<Planned>,
    pub told: Vec<Told>,
    pub is_open: bool,
    pub has_ended: bool,
}

impl Client {
    pub fn new(session: &str, is_numbered: bool, length: usize, shift: usize) -> Self {
        let program = ProgramId::new("caribmar", session).expect("a valid name");
        let calls: Vec<Planned> = (0..length)
            .map(|index| planned(session, index + shift))
            .collect();
        Self {
            program,
            is_numbered,
            told: vec![Told::Nothing; calls.len()],
            calls,
            is_open: false,
            has_ended: false,
        }
    }

    /// Index of the first call that has not ended.
    pub fn next(&self) -> Option<usize> {
        self.told.iter().position(|told| *told == Told::Nothing)
    }

    /// Whether a call ended without an answer, so that later numbers may wait
    /// for it in vain.
    pub fn has_given_up(&self) -> bool {
        self.told.contains(&Told::Ended)
    }

    /// Makes the calls before a position again whose answers were lost with
    /// both copies.
    pub fn ask_for_lost(&mut self, position: usize, is_lost: impl Fn(&str) -> bool) {
        for (told, call) in self.told[..position].iter_mut().zip(&self.calls) {
            if *told == Told::Done && is_lost(&call.key) {
                *told = Told::Nothing;
            }
        }
    }

    pub fn request(&self, index: usize) -> CallRequest {
        let call = &self.calls[index];
        CallRequest {
            program: self.program.clone(),
            key: Some(call.key.clone()),
            sequence: self.is_numbered.then_some(index as u64 + 1),
            kind: call.kind,
            target: "target".to_owned(),
            repeatable: call.repeatable,
            body: Arc::from(call.key.as_bytes()),
            body_digest: call.key.clone(),
            fingerprint: call.key.clone(),
            prompt_tokens: call.prompt_tokens,
            max_answer_tokens: call.answer_tokens,
            shared_prefixes: Vec::new(),
            deadline: None,
        }
    }
}

/// Every third call may not be repeated; some of those are model calls.
fn planned(session: &str, index: usize) -> Planned {
    let repeatable = !index.is_multiple_of(3);
    let kind = match index % 4 {
        0 | 1 => CallKind::Model,
        _ => CallKind::Tool,
    };
    let tokens = match kind {
        CallKind::Model => 20 + 5 * (index as u64 % 3),
        CallKind::Tool => 0,
    };
    Planned {
        key: format!("{session}-{index}"),
        repeatable,
        kind,
        prompt_tokens: tokens,
        answer_tokens: tokens / 2,
    }
}
