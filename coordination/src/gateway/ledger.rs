//! What a program has spent, and what its running turns may still spend.
//!
//! A turn reserves its most before a token of it is handed out and settles
//! what it really handed out at its end. With the settlement its host draws
//! the next turn's most ahead, so that a turn which comes to the same host
//! needs one write instead of two. A reservation whose host died stays: it
//! counts as spent.

use std::collections::BTreeMap;

use rosebend_state::deployment::AttemptId;
use serde::{Deserialize, Serialize};

/// One run of a host's process; tokens that one run drew are never used by
/// the next, which cannot know whether they were handed out.
pub type Holder = String;

/// Spending of one program.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ledger {
    /// Tokens of turns that ended.
    spent_tokens: u64,
    /// Most tokens of each running turn that reserved them by itself.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    reserved_tokens: BTreeMap<AttemptId, u64>,
    /// Tokens that hosts drew ahead.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    ahead: BTreeMap<Holder, Ahead>,
}

/// Tokens that one host drew ahead.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Ahead {
    tokens: u64,
    /// The turn that last used them, so that it is settled once.
    settled: AttemptId,
}

/// What fills a program's budget, for the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// Tokens of turns that ended.
    pub spent_tokens: u64,
    /// Tokens reserved for turns that run.
    pub reserved_tokens: u64,
    /// Tokens drawn ahead.
    pub drawn_tokens: u64,
    /// Who drew ahead, and how much.
    pub drawers: BTreeMap<Holder, u64>,
}

/// What keeps a turn from being granted.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FilledBy {
    /// Turns that ended have spent the budget.
    Spent,
    /// Turns that run may yet spend it.
    Running,
    /// Tokens drawn ahead, which nobody may be using.
    DrawnAhead,
}

impl FilledBy {
    /// Word for logs and counters.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Spent => "spent",
            Self::Running => "running",
            Self::DrawnAhead => "drawn-ahead",
        }
    }
}

impl Account {
    /// What keeps a budget from holding a turn that it does not hold.
    pub fn filled_by(&self, most_tokens: u64, budget_tokens: u64) -> FilledBy {
        let spent = self.spent_tokens.saturating_add(most_tokens);
        if spent > budget_tokens {
            return FilledBy::Spent;
        }
        if spent.saturating_add(self.reserved_tokens) > budget_tokens {
            return FilledBy::Running;
        }
        FilledBy::DrawnAhead
    }
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
        let account = self.account();
        account
            .spent_tokens
            .saturating_add(account.reserved_tokens)
            .saturating_add(account.drawn_tokens)
    }

    /// What the tokens are committed for.
    pub fn account(&self) -> Account {
        let drawn = self.ahead.iter().filter(|(_, ahead)| ahead.tokens > 0);
        let drawers: BTreeMap<Holder, u64> = drawn
            .map(|(holder, ahead)| (holder.clone(), ahead.tokens))
            .collect();
        Account {
            spent_tokens: self.spent_tokens,
            reserved_tokens: self.reserved_tokens.values().sum(),
            drawn_tokens: drawers.values().sum(),
            drawers,
        }
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

    /// Replaces the tokens that a host drew ahead by what a turn that used
    /// them handed out. Doing it again for the same turn changes nothing.
    pub fn settle_ahead(&mut self, holder: &Holder, attempt: &AttemptId, tokens: u64) {
        let Some(ahead) = self.ahead.get_mut(holder) else {
            return;
        };
        if ahead.settled != *attempt {
            ahead.settled.clone_from(attempt);
            ahead.tokens = 0;
            self.spent_tokens = self.spent_tokens.saturating_add(tokens);
        }
    }

    /// Draws a turn's most ahead for a host, if the budget holds it.
    pub fn draw_ahead(&mut self, holder: &Holder, most_tokens: u64, budget_tokens: u64) {
        let drawn = self.ahead_tokens(holder);
        let wanted = most_tokens.saturating_sub(drawn);
        if self.committed_tokens().saturating_add(wanted) <= budget_tokens {
            let ahead = self.ahead.entry(holder.clone()).or_default();
            ahead.tokens += wanted;
        }
    }

    /// Tokens that a host drew ahead.
    pub fn ahead_tokens(&self, holder: &Holder) -> u64 {
        self.ahead.get(holder).map_or(0, |ahead| ahead.tokens)
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
