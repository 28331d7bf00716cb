//! The budget of a program and its sub-agents, held in escrow.
//!
//! The owner draws a part of the budget durably and spends from it in memory.
//! Each dispatch first reserves its worst case, so what runs at once never
//! passes what was drawn; when a call ends, its reservation is settled by what
//! it really spent.

use rosebend_state::id::ProgramId;

/// What became of a wish to reserve.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reservation {
    /// It is reserved.
    Granted,
    /// More must be drawn durably first.
    Draw,
    /// Calls in flight hold what is left; one of them must end first.
    Wait,
    /// The budget does not cover it.
    Exhausted,
}

/// The budget of a root program.
#[derive(Debug, Default)]
pub(super) struct Account {
    /// The most that may ever be spent.
    pub(super) budget_tokens: u64,
    /// What the next record says is drawn; at most the budget.
    pub(super) drawn_tokens: u64,
    /// What the table says is drawn; at most `drawn_tokens`.
    pub(super) durable_tokens: u64,
    /// What ended calls spent.
    pub(super) spent_tokens: u64,
    /// Worst cases of calls in flight; with `spent_tokens` at most
    /// `durable_tokens`.
    pub(super) reserved_tokens: u64,
    /// Programs whose call waits for a reservation, in the order they came.
    pub(super) waiters: Vec<ProgramId>,
}

impl Account {
    /// An account of which nothing is drawn yet.
    pub(super) fn new(budget_tokens: u64) -> Self {
        Self {
            budget_tokens,
            ..Self::default()
        }
    }

    /// Whether the budget can't cover a worst case, whatever else ends.
    pub(super) fn is_short_of(&self, worst_case_tokens: u64) -> bool {
        self.spent_tokens.saturating_add(worst_case_tokens) > self.budget_tokens
    }

    /// What stands before a reservation of this worst case.
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

    /// Reserves a worst case, or tells what must come first. Draws ahead when
    /// less than half a chunk is left, so that few calls wait for the table.
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

    fn needed_for(&self, worst_case_tokens: u64) -> u64 {
        self.spent_tokens
            .saturating_add(self.reserved_tokens)
            .saturating_add(worst_case_tokens)
    }

    /// Draws what the next calls will need; true if the table lacks it.
    pub(super) fn draw_ahead(&mut self, chunk_tokens: u64) -> bool {
        let wanted_tokens = self.needed_for(chunk_tokens / 2);
        self.draw(wanted_tokens, chunk_tokens);
        self.wants_draw()
    }

    fn draw(&mut self, wanted_tokens: u64, chunk_tokens: u64) {
        if wanted_tokens <= self.drawn_tokens {
            return;
        }
        let chunks = wanted_tokens.div_ceil(chunk_tokens.max(1));
        let drawn = chunks.saturating_mul(chunk_tokens.max(1));
        self.drawn_tokens = drawn.min(self.budget_tokens);
    }

    /// Whether the table lacks a part of what was drawn.
    pub(super) fn wants_draw(&self) -> bool {
        self.drawn_tokens > self.durable_tokens
    }

    /// Notes that the table has this much as drawn.
    pub(super) fn drawn_durably(&mut self, drawn_tokens: u64) {
        self.durable_tokens = self.durable_tokens.max(drawn_tokens);
    }

    /// Ends a reservation with what was really spent.
    pub(super) fn settle(&mut self, reserved_tokens: u64, spent_tokens: u64) {
        self.reserved_tokens = self.reserved_tokens.saturating_sub(reserved_tokens);
        self.spent_tokens = self.spent_tokens.saturating_add(spent_tokens);
        // An engine that counts more than the bound it was given is believed.
        self.drawn_tokens = self.drawn_tokens.max(self.spent_tokens);
    }
}
