//! What a program has spent, and what its running turns may still spend.
//!
//! A turn reserves its most before a token of it is handed out and settles
//! what it really handed out at its end. Until then its most counts as spent,
//! since it may be. A host that is gone cannot say how its turns ended: their
//! tokens are forgiven, of each program at most one turn's most, and only when
//! the budget does not hold a turn otherwise. So a program gets its budget, and
//! after the death of a host at most one turn's most beyond it.
//!
//! Nothing is reserved for a turn that has not come. A host that did, to save the
//! write before the next turn, left tokens behind with each death that no turn
//! had used, and nobody could tell them from those that one had: programs were
//! refused although their budgets held the turn. Where hosts commit together the
//! write costs no call of its own.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use rosebend_state::deployment::AttemptId;
use serde::{Deserialize, Serialize};

use crate::gateway::escrow::terms::EscrowTerms;
use crate::gateway::escrow::{Fences, GrantId, SLOTS, SlotIndex, share_tokens};

/// Identifies one incarnation of a gateway process, as `HOST/RUN`.
///
/// A restarted process has another id: it does not have the state of the turns
/// that its predecessor ran.
pub type ProcessId = String;

/// Spending of one program.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Tokens of turns that ended.
    spent_tokens: u64,
    /// Running turns.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    reserved: BTreeMap<AttemptId, Reservation>,
    /// Tokens of gone holders that are not counted any more although they may
    /// have been handed out; never more than one turn's most.
    #[serde(default, skip_serializing_if = "is_zero")]
    forgiven_tokens: u64,
    /// The part of `forgiven_tokens` that slots may have granted whose owners are
    /// gone; it is withheld no more.
    #[serde(default, skip_serializing_if = "is_zero")]
    forgiven_slot_tokens: u64,
    /// Tokens of turns that ran while the store was unavailable, by their grants.
    /// They stay apart so that adding one twice makes no difference.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    granted: BTreeMap<GrantId, u64>,
    /// Whether a turn of a route that takes grants has reserved or settled here.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    may_have_grants: bool,
    /// Slots that are closed for the program, by the fences that their owners knew. The
    /// ledger may be written only while these are still the fences.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    closed_at_fences: Fences,
}

/// The most of a running turn.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Reservation {
    tokens: u64,
    /// Who runs the turn.
    holder: ProcessId,
}

/// What fills a program's budget, for the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// Tokens of turns that ended.
    pub spent_tokens: u64,
    /// Tokens reserved for turns that run.
    pub reserved_tokens: u64,
    /// Who reserved, and how much.
    pub held: BTreeMap<ProcessId, u64>,
}

/// What one process holds of a program's budget.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// The process.
    pub holder: ProcessId,
    /// Turns whose most it reserved.
    pub turns: Vec<AttemptId>,
}

impl Holding {
    fn of(holder: &ProcessId) -> Self {
        Self {
            holder: holder.clone(),
            turns: Vec::new(),
        }
    }
}

/// A turn that wants tokens.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Who runs it.
    pub holder: &'a ProcessId,
    /// The turn.
    pub attempt: &'a AttemptId,
    /// Most tokens that it generates.
    pub most_tokens: u64,
    /// Budget of the program.
    pub budget_tokens: u64,
    /// Slots that may have granted from the budget what the ledger does not have.
    pub escrow: &'a EscrowTerms,
    /// Fences of the slots, as far as they are known.
    pub fences: &'a Fences,
}

/// What keeps a turn from being granted.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FilledBy {
    /// Turns that ended have spent the budget.
    Spent,
    /// Turns that run may yet spend it.
    Running,
    /// A part of it is withheld for grants that the ledger may not have.
    Withheld,
}

impl FilledBy {
    /// Word for logs and counters.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Spent => "spent",
            Self::Running => "running",
            Self::Withheld => "withheld",
        }
    }
}

impl Account {
    /// What keeps a budget from holding a turn that it does not hold.
    pub fn filled_by(&self, most_tokens: u64, budget_tokens: u64) -> FilledBy {
        let wanted = self.spent_tokens.saturating_add(most_tokens);
        if wanted > budget_tokens {
            return FilledBy::Spent;
        }
        match wanted.saturating_add(self.reserved_tokens) > budget_tokens {
            true => FilledBy::Running,
            false => FilledBy::Withheld,
        }
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
        account.spent_tokens.saturating_add(account.reserved_tokens)
    }

    /// What the tokens are committed for.
    pub fn account(&self) -> Account {
        let mut held: BTreeMap<ProcessId, u64> = BTreeMap::new();
        for reservation in self.reserved.values() {
            add(held.entry(reservation.holder.clone()), reservation.tokens);
        }
        Account {
            spent_tokens: self.spent_tokens.saturating_add(self.granted_tokens()),
            reserved_tokens: sum(self.reserved.values().map(|turn| turn.tokens)),
            held,
        }
    }

    /// Whether a holder has a turn's most reserved.
    pub fn is_reserved_by(&self, attempt: &AttemptId, holder: &ProcessId) -> bool {
        let reservation = self.reserved.get(attempt);
        reservation.is_some_and(|reservation| reservation.holder == *holder)
    }

    /// Who holds tokens, for which turns.
    pub fn holdings(&self) -> Vec<Holding> {
        let mut holdings: BTreeMap<&ProcessId, Holding> = BTreeMap::new();
        for (attempt, reservation) in &self.reserved {
            let holder = &reservation.holder;
            let holding = holdings
                .entry(holder)
                .or_insert_with(|| Holding::of(holder));
            holding.turns.push(attempt.clone());
        }
        holdings.into_values().collect()
    }

    /// Reserves a turn's most for a holder, unless that would go beyond the
    /// budget; of what gone holders held it takes only what it needs. A turn that
    /// has its reservation already keeps it.
    pub fn reserve(&mut self, turn: &Claim<'_>, gone: &[ProcessId]) -> Grant {
        if self.reserved.contains_key(turn.attempt) {
            return Grant::Reserved;
        }
        let mut next = self.clone();
        next.close(turn.escrow, turn.fences);
        let available = next.forgive_slots(turn);
        for holder in gone {
            next.forgive(holder, turn.most_tokens, available);
        }
        if !next.holds(turn.most_tokens, available) {
            return Grant::Exhausted;
        }
        let reservation = Reservation {
            tokens: turn.most_tokens,
            holder: turn.holder.clone(),
        };
        next.reserved.insert(turn.attempt.clone(), reservation);
        *self = next;
        Grant::Reserved
    }

    /// Whether a budget holds so many tokens more.
    pub fn holds(&self, tokens: u64, budget_tokens: u64) -> bool {
        self.committed_tokens().saturating_add(tokens) <= budget_tokens
    }

    /// Takes note of slots that were closed. Those whose owner has died since are open.
    fn close(&mut self, escrow: &EscrowTerms, fences: &Fences) {
        if let EscrowTerms::Eligible { closed, .. } = escrow {
            self.closed_at_fences.extend(closed);
        }
        self.closed_at_fences
            .retain(|slot, fence| fences.get(slot).is_none_or(|known| known == fence));
    }

    /// Slots that are closed for the program, with the fences on which that rests.
    pub const fn closed_at_fences(&self) -> &Fences {
        &self.closed_at_fences
    }

    /// What of the budget may be spent by this ledger: all but the shares of open
    /// slots. Of slots whose owners are gone it takes as much as the turn lacks, as
    /// long as all that was ever forgiven is no more than the turn's most.
    fn forgive_slots(&mut self, turn: &Claim<'_>) -> u64 {
        let EscrowTerms::Eligible {
            takes_grants, gone, ..
        } = turn.escrow
        else {
            return turn.budget_tokens;
        };
        self.may_have_grants |= *takes_grants;
        if !self.may_have_grants {
            return turn.budget_tokens;
        }
        let share = share_tokens(turn.budget_tokens);
        let is_open = |slot: &SlotIndex| !self.closed_at_fences.contains_key(slot);
        let open = (0..SLOTS).filter(is_open).count() as u64;
        let lost = gone.iter().copied().filter(is_open).count() as u64;
        let withheld = share.saturating_mul(open);
        let left = withheld.saturating_sub(self.forgiven_slot_tokens);
        let available = turn.budget_tokens.saturating_sub(left);
        let wanted = self.committed_tokens().saturating_add(turn.most_tokens);
        let missing = wanted.saturating_sub(available);
        let allowed = turn.most_tokens.saturating_sub(self.forgiven_tokens);
        let forgiven = missing
            .min(allowed)
            .min(left)
            .min(share.saturating_mul(lost));
        self.forgiven_tokens = self.forgiven_tokens.saturating_add(forgiven);
        self.forgiven_slot_tokens = self.forgiven_slot_tokens.saturating_add(forgiven);
        available.saturating_add(forgiven)
    }

    /// Stops counting as much of what a gone holder held as a turn lacks of what is
    /// available, as long as all that was ever forgiven is no more than the turn's
    /// most.
    fn forgive(&mut self, holder: &ProcessId, most_tokens: u64, available_tokens: u64) {
        let wanted = self.committed_tokens().saturating_add(most_tokens);
        let missing = wanted.saturating_sub(available_tokens);
        let allowed = most_tokens.saturating_sub(self.forgiven_tokens);
        let mut left = missing.min(allowed);
        let turns = self.reserved.values_mut();
        for turn in turns.filter(|turn| turn.holder == *holder) {
            let forgiven = left.min(turn.tokens);
            turn.tokens -= forgiven;
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

    /// Adds what a turn handed out by a grant, in place of its reservation if it
    /// has one. Adding a grant twice changes nothing.
    pub fn settle_grant(&mut self, attempt: &AttemptId, grant: &GrantId, tokens: u64) {
        self.may_have_grants = true;
        self.reserved.remove(attempt);
        self.granted.entry(grant.clone()).or_insert(tokens);
    }

    fn granted_tokens(&self) -> u64 {
        sum(self.granted.values().copied())
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
fn add(held: Entry<'_, ProcessId, u64>, tokens: u64) {
    let held = held.or_default();
    *held = held.saturating_add(tokens);
}

fn sum(tokens: impl Iterator<Item = u64>) -> u64 {
    tokens.fold(0, u64::saturating_add)
}

fn is_zero(tokens: &u64) -> bool {
    *tokens == 0
}
