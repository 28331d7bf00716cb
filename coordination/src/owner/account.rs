//! The budget of a program and its sub-agents, held in escrow.
//!
//! The owner draws a part of the budget durably and spends from it in memory.
//! Each dispatch first reserves its worst case, so that concurrent calls never
//! exceed the tokens that were drawn. When a call ends, its reservation is
//! replaced by the tokens that it actually spent.

use rosebend_state::id::ProgramId;

/// The result of an attempt to reserve tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reservation {
    /// The tokens are reserved.
    Granted,
    /// More tokens must first be drawn durably.
    Draw,
    /// Calls in flight reserve the rest of the budget; one of them must end first.
    Wait,
    /// The budget does not cover the worst case.
    Exhausted,
}

/// The budget of a root program.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// Upper bound of the tokens that may ever be spent.
    pub(super) budget_tokens: u64,
    /// Drawn tokens that the next record will state; at most the budget.
    pub(super) drawn_tokens: u64,
    /// Drawn tokens according to the table; at most `drawn_tokens`.
    pub(super) durable_tokens: u64,
    /// Tokens that ended calls spent.
    pub(super) spent_tokens: u64,
    /// Sum of the worst cases of calls in flight. Together with `spent_tokens`
    /// it is at most `durable_tokens`.
    pub(super) reserved_tokens: u64,
    /// Programs whose call waits for a reservation, in order of arrival.
    pub(super) waiters: Vec<ProgramId>,
}

impl Account {
    /// Creates an account from which no tokens are drawn yet.
    pub(super) fn new(budget_tokens: u64) -> Self {
        Self {
            budget_tokens,
            ..Self::default()
        }
    }

    /// Returns whether the budget cannot cover a worst case, even after all calls
    /// in flight have ended.
    pub(super) fn is_short_of(&self, worst_case_tokens: u64) -> bool {
        self.spent_tokens.saturating_add(worst_case_tokens) > self.budget_tokens
    }

    /// Returns the result that a reservation of this worst case would have.
    pub(super) fn prospect(&self, worst_case_tokens: u64) -> Reservation {
        if self.is_short_of(worst_case_tokens) {
            return Reservation::Exhausted;
        }
        let needed = self.needed_for(worst_case_tokens);
        if needed > self.budget_tokens {
            return Reservation::Wait;
        }
        match needed > self.durable_tokens {
            true => Reservation::Draw,
            false => Reservation::Granted,
        }
    }

    /// Reserves a worst case, or returns what must happen first. Draws in advance
    /// when less than half a chunk is left, so that few calls wait for the table.
    pub(super) fn reserve(&mut self, worst_case_tokens: u64, chunk_tokens: u64) -> Reservation {
        let prospect = self.prospect(worst_case_tokens);
        if matches!(prospect, Reservation::Draw | Reservation::Granted) {
            let needed = self.needed_for(worst_case_tokens);
            self.draw(needed.saturating_add(chunk_tokens / 2), chunk_tokens);
        }
        if prospect == Reservation::Granted {
            self.reserved_tokens += worst_case_tokens;
        }
        prospect
    }

    /// Returns the total that must be drawn before a worst case can be reserved.
    fn needed_for(&self, worst_case_tokens: u64) -> u64 {
        self.spent_tokens
            .saturating_add(self.reserved_tokens)
            .saturating_add(worst_case_tokens)
    }

    /// Draws tokens for the next calls. Returns whether a part of the drawn tokens
    /// is not yet durable.
    pub(super) fn draw_ahead(&mut self, chunk_tokens: u64) -> bool {
        let required_tokens = self.needed_for(chunk_tokens / 2);
        self.draw(required_tokens, chunk_tokens);
        self.has_undurable_draw()
    }

    /// Raises the drawn tokens to the required total, rounded up to whole chunks
    /// and limited by the budget.
    fn draw(&mut self, required_tokens: u64, chunk_tokens: u64) {
        if required_tokens <= self.drawn_tokens {
            return;
        }
        let chunks = required_tokens.div_ceil(chunk_tokens.max(1));
        let drawn = chunks.saturating_mul(chunk_tokens.max(1));
        self.drawn_tokens = drawn.min(self.budget_tokens);
    }

    /// Returns whether a part of the drawn tokens is not yet durable.
    pub(super) fn has_undurable_draw(&self) -> bool {
        self.drawn_tokens > self.durable_tokens
    }

    /// Records that the table holds this number of drawn tokens.
    pub(super) fn record_durable_draw(&mut self, drawn_tokens: u64) {
        self.durable_tokens = self.durable_tokens.max(drawn_tokens);
    }

    /// Releases a reservation and adds the tokens that were actually spent.
    pub(super) fn settle(&mut self, reserved_tokens: u64, spent_tokens: u64) {
        self.reserved_tokens = self.reserved_tokens.saturating_sub(reserved_tokens);
        self.spent_tokens = self.spent_tokens.saturating_add(spent_tokens);
        // An engine may report more tokens than the bound that it was given. Its
        // count is accepted.
        self.drawn_tokens = self.drawn_tokens.max(self.spent_tokens);
    }
}
