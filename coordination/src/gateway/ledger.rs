//! What a program has spent, and what its running turns may still spend.
//!
//! A turn reserves its most before a token of it is handed out and settles
//! what it really handed out at its end. A reservation whose host died stays:
//! the turn counts as spent at its most.

use std::collections::BTreeMap;

use rosebend_state::deployment::AttemptId;
use serde::{Deserialize, Serialize};

/// Spending of one program.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ledger {
    /// Tokens of turns that ended.
    spent_tokens: u64,
    /// Most tokens of each running turn.
    reserved_tokens: BTreeMap<AttemptId, u64>,
}

/// Whether a turn may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// Its most is reserved.
    Reserved,
    /// The budget does not hold it.
    Exhausted,
}

impl Ledger {
    /// Tokens that are spent or may yet be spent.
    pub fn committed_tokens(&self) -> u64 {
        let reserved: u64 = self.reserved_tokens.values().sum();
        self.spent_tokens.saturating_add(reserved)
    }

    /// Reserves a turn's most, unless that would go beyond the budget. A turn
    /// that has its reservation already keeps it.
    pub fn reserve(&mut self, attempt: &AttemptId, most_tokens: u64, budget_tokens: u64) -> Grant {
        if self.reserved_tokens.contains_key(attempt) {
            return Grant::Reserved;
        }
        if self.committed_tokens().saturating_add(most_tokens) > budget_tokens {
            return Grant::Exhausted;
        }
        self.reserved_tokens.insert(attempt.clone(), most_tokens);
        Grant::Reserved
    }

    /// Replaces a turn's reservation by what it handed out. Settling a turn
    /// that has none changes nothing, so that it may be done twice.
    pub fn settle(&mut self, attempt: &AttemptId, tokens: u64) {
        if self.reserved_tokens.remove(attempt).is_some() {
            self.spent_tokens = self.spent_tokens.saturating_add(tokens);
        }
    }

    /// The ledger as a row's value.
    ///
    /// # Panics
    ///
    /// Panics when a ledger has no JSON form, which none has.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers have a JSON form")
    }

    /// Reads a row's value.
    ///
    /// # Errors
    ///
    /// Fails when the value is no ledger.
    pub fn decode(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }
}
