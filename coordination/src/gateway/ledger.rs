//! What a program has spent, and what its running turns may still spend.
//!
//! A turn reserves its most before a token of it is handed out and settles
//! what it really handed out at its end. With the settlement its host may draw
//! the next turn's most ahead, so that a turn which comes to the same host
//! needs one write instead of two.
//!
//! What is reserved or drawn counts as spent until its holder says otherwise,
//! so a draw may keep a turn at another host from being granted although nobody
//! uses it. Three things bound that:
//!
//! - A program has one draw, and only while its budget holds a further turn
//!   beside it. Further ones, for lines of turns at other hosts, are made while
//!   the store has more writes than it takes, and half of the budget is free
//!   ([`DrawRule`]).
//! - A host that needs a draw asks its holder, which gives up what it does not
//!   use and never uses it again ([`Freed::Returned`]).
//! - A holder that is gone cannot say whether a turn of its was handed out.
//!   Such tokens are forgiven, of each program at most one turn's most, and
//!   only when the budget does not hold the turn otherwise ([`Freed::Gone`]).
//!
//! So a program gets its budget, and after the death of a host at most one
//! turn's most beyond it. Where more than one draw died with its host, made
//! under a busy store, the others stay committed, which leaves the program half
//! of its budget or more.
//! The alternative, to count what a dead host held as spent, refused 507 turns
//! of a day with two outages and a restart of all hosts although their budgets
//! held them; a write before each turn besides the one after it costs the writes
//! that [`Ledger::draw_ahead`] saves.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use rosebend_state::deployment::AttemptId;
use serde::{Deserialize, Serialize};

/// One run of a host's process, as HOST/RUN. Tokens that one run drew are never
/// used by the next, which cannot know whether they were handed out.
pub type Holder = String;

/// Turns that a budget must hold beside a draw. With one, a turn that comes to
/// another host while the draw is out finds room without asking its holder.
const TURNS_BESIDE_DRAW: u64 = 1;
/// The part of a budget, as one in so many, up to which tokens may be committed
/// for a host to draw ahead beside another draw. Only one draw of gone holders
/// can be forgiven, so that the others may be lost; with a half, a program can
/// spend the other half of its budget whatever dies.
const DRAWS_SHARE: u64 = 2;

/// Spending of one program.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Tokens of turns that ended.
    spent_tokens: u64,
    /// Running turns that reserved their most by themselves.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    reserved: BTreeMap<AttemptId, Reservation>,
    /// What hosts drew ahead. One without tokens stays for the turn that its
    /// host settled last.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    ahead: BTreeMap<Holder, Ahead>,
    /// Tokens of gone holders that are not counted any more although they may
    /// have been handed out; never more than one turn's most.
    #[serde(default, skip_serializing_if = "is_zero")]
    forgiven_tokens: u64,
}

/// The most of a running turn.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Reservation {
    tokens: u64,
    /// Who runs the turn.
    holder: Holder,
}

/// Tokens that one host drew ahead.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Ahead {
    tokens: u64,
    /// The turn whose settlement drew them, which names the draw.
    drawn_after: AttemptId,
    /// The last turn that used a draw of this holder, so that it is settled
    /// once. A holder's draws are used one after another.
    #[serde(default, skip_serializing_if = "AttemptId::is_empty")]
    settled: AttemptId,
}

/// Names a draw: its holder and the turn whose settlement drew it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Draw {
    /// Who drew.
    pub holder: Holder,
    /// The turn whose settlement drew.
    pub after: AttemptId,
}

/// Committed tokens that a turn need not leave alone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Freed {
    /// The holder does not use this draw and never will.
    Returned(Draw),
    /// The holder's process has ended; whatever it held may have been handed
    /// out or not.
    Gone(Holder),
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
    /// Who reserved or drew, and how much.
    pub held: BTreeMap<Holder, u64>,
}

/// What one process holds of a program's budget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// The process.
    pub holder: Holder,
    /// What it drew ahead.
    pub draw: Option<Draw>,
    /// Turns whose most it reserved.
    pub turns: Vec<AttemptId>,
}

impl Holding {
    fn of(holder: &Holder) -> Self {
        Self {
            holder: holder.clone(),
            draw: None,
            turns: Vec::new(),
        }
    }
}

/// A turn that wants tokens.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Who runs it.
    pub holder: &'a Holder,
    /// The turn.
    pub attempt: &'a AttemptId,
    /// Most tokens that it generates.
    pub most_tokens: u64,
    /// Budget of the program.
    pub budget_tokens: u64,
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

/// When a host may draw ahead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrawRule {
    /// Where no other host has a draw: whatever dies, it can be forgiven.
    Alone,
    /// Beside draws of other hosts, too, while half of the budget is free. It
    /// saves a write for each turn of a second line of turns, and what dies with
    /// more than one host is not forgiven.
    BesideOthers,
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
        let mut held: BTreeMap<Holder, u64> = BTreeMap::new();
        for reservation in self.reserved.values() {
            add(held.entry(reservation.holder.clone()), reservation.tokens);
        }
        for (holder, ahead) in self.drawn() {
            add(held.entry(holder.clone()), ahead.tokens);
        }
        Account {
            spent_tokens: self.spent_tokens,
            reserved_tokens: sum(self.reserved.values().map(|turn| turn.tokens)),
            drawn_tokens: sum(self.drawn().map(|(_, ahead)| ahead.tokens)),
            held,
        }
    }

    /// Who holds tokens: the draw, if there is one, and the turns that run.
    pub fn holdings(&self) -> Vec<Holding> {
        let mut holdings: BTreeMap<&Holder, Holding> = BTreeMap::new();
        for (holder, ahead) in self.drawn() {
            let holding = holdings
                .entry(holder)
                .or_insert_with(|| Holding::of(holder));
            holding.draw = Some(Draw {
                holder: holder.clone(),
                after: ahead.drawn_after.clone(),
            });
        }
        for (attempt, reservation) in &self.reserved {
            let holder = &reservation.holder;
            let holding = holdings
                .entry(holder)
                .or_insert_with(|| Holding::of(holder));
            holding.turns.push(attempt.clone());
        }
        holdings.into_values().collect()
    }

    /// The draw of a holder.
    pub fn draw_of(&self, holder: &Holder) -> Option<Draw> {
        let (holder, ahead) = self.drawn().find(|(drawer, _)| *drawer == holder)?;
        Some(Draw {
            holder: holder.clone(),
            after: ahead.drawn_after.clone(),
        })
    }

    fn drawn(&self) -> impl Iterator<Item = (&Holder, &Ahead)> {
        self.ahead.iter().filter(|(_, ahead)| ahead.tokens > 0)
    }

    /// Reserves a turn's most for a holder, unless that would go beyond the
    /// budget; of what is freed it takes only what it needs. A turn that has
    /// its reservation already keeps it.
    pub fn reserve(&mut self, turn: &Claim<'_>, freed: &[Freed]) -> Grant {
        if self.reserved.contains_key(turn.attempt) {
            return Grant::Reserved;
        }
        let Some(mut next) = self.freed_for(turn, freed) else {
            return Grant::Exhausted;
        };
        let reservation = Reservation {
            tokens: turn.most_tokens,
            holder: turn.holder.clone(),
        };
        next.reserved.insert(turn.attempt.clone(), reservation);
        *self = next;
        Grant::Reserved
    }

    /// This ledger with as much freed as a turn needs; none when all of it is
    /// not enough.
    fn freed_for(&self, turn: &Claim<'_>, freed: &[Freed]) -> Option<Self> {
        let mut next = self.clone();
        let (returned, gone): (Vec<_>, Vec<_>) = freed
            .iter()
            .partition(|freed| matches!(freed, Freed::Returned(_)));
        // What was returned costs nothing; what is forgiven may be overspent.
        for freed in returned.into_iter().chain(gone) {
            if next.holds(turn.most_tokens, turn.budget_tokens) {
                break;
            }
            match freed {
                Freed::Returned(draw) => next.take_back(draw),
                Freed::Gone(holder) => next.forgive(holder, turn),
            }
        }
        next.holds(turn.most_tokens, turn.budget_tokens)
            .then_some(next)
    }

    /// Whether a budget holds so many tokens more.
    pub fn holds(&self, tokens: u64, budget_tokens: u64) -> bool {
        self.committed_tokens().saturating_add(tokens) <= budget_tokens
    }

    /// Takes a draw back that its holder does not use and never will.
    pub fn take_back(&mut self, draw: &Draw) {
        if let Some(ahead) = self.ahead.get_mut(&draw.holder)
            && ahead.drawn_after == draw.after
        {
            ahead.tokens = 0;
        }
    }

    /// Stops counting as much of what a gone holder held as a turn lacks, as
    /// long as all that was ever forgiven is no more than the turn's most.
    fn forgive(&mut self, holder: &Holder, turn: &Claim<'_>) {
        let wanted = self.committed_tokens().saturating_add(turn.most_tokens);
        let missing = wanted.saturating_sub(turn.budget_tokens);
        let allowed = turn.most_tokens.saturating_sub(self.forgiven_tokens);
        let mut left = missing.min(allowed);
        let draw = self.ahead.get_mut(holder);
        let draw = draw.map(|ahead| &mut ahead.tokens);
        let turns = self.reserved.values_mut();
        let turns = turns.filter(|reservation| reservation.holder == *holder);
        let turns = turns.map(|reservation| &mut reservation.tokens);
        for tokens in draw.into_iter().chain(turns) {
            let forgiven = left.min(*tokens);
            *tokens -= forgiven;
            left -= forgiven;
            self.forgiven_tokens = self.forgiven_tokens.saturating_add(forgiven);
        }
    }

    /// Replaces a turn's reservation by what it handed out. Settling a turn
    /// that has none changes nothing, so that it may be done twice.
    pub fn settle(&mut self, attempt: &AttemptId, tokens: u64) {
        if self.reserved.remove(attempt).is_some() {
            self.spent_tokens = self.spent_tokens.saturating_add(tokens);
        }
    }

    /// Replaces the tokens that a host drew ahead by what a turn that used
    /// them handed out, which counts also when they were forgiven meanwhile.
    /// Doing it again for the same turn changes nothing.
    pub fn settle_ahead(&mut self, holder: &Holder, attempt: &AttemptId, tokens: u64) {
        let ahead = self.ahead.entry(holder.clone()).or_default();
        if ahead.settled != *attempt {
            ahead.settled.clone_from(attempt);
            ahead.tokens = 0;
            self.spent_tokens = self.spent_tokens.saturating_add(tokens);
        }
    }

    /// Draws a turn's most ahead for the host that has just settled a turn.
    ///
    /// It saves the write before a turn that comes to the same host: 4 writes
    /// instead of 8 for four turns in a row, counted at a stand-in of the store.
    /// Draws beside others keep writes under the store's rate: with one a program
    /// at most, a day of a site near that rate was worth 0.54 instead of 0.72 (one
    /// run each).
    pub fn draw_ahead(&mut self, turn: &Claim<'_>, rule: DrawRule) {
        if self.ahead_tokens(turn.holder) > 0 {
            return;
        }
        let is_alone = self.drawn().next().is_none() && self.forgiven_tokens == 0;
        let fits = match (is_alone, rule) {
            (true, _) => {
                let beside = turn.most_tokens.saturating_mul(1 + TURNS_BESIDE_DRAW);
                self.holds(beside, turn.budget_tokens)
            }
            (false, DrawRule::Alone) => false,
            (false, DrawRule::BesideOthers) => {
                self.holds(turn.most_tokens, turn.budget_tokens / DRAWS_SHARE)
            }
        };
        if fits {
            let ahead = self.ahead.entry(turn.holder.clone()).or_default();
            ahead.tokens = turn.most_tokens;
            ahead.drawn_after.clone_from(turn.attempt);
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

/// Adds tokens of one holder. A ledger may be any other writer's: sums stop at
/// the largest number, which no budget holds, rather than start at zero again.
fn add(held: Entry<'_, Holder, u64>, tokens: u64) {
    let held = held.or_default();
    *held = held.saturating_add(tokens);
}

fn sum(tokens: impl Iterator<Item = u64>) -> u64 {
    tokens.fold(0, u64::saturating_add)
}

fn is_zero(tokens: &u64) -> bool {
    *tokens == 0
}
