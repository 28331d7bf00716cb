//! The ledger of one program: the tokens that it has spent of its budget, and
//! those that its running turns have reserved.
//!
//! A turn is one call of a model. It reserves its maximum output tokens before
//! any token is delivered to the caller, and settles the tokens that were
//! actually delivered when it ends. Until then the whole reservation counts
//! against the budget, since the turn may still use it.
//!
//! A gateway process that died cannot report how its turns ended, so their
//! reservations would count forever. A turn that the budget would otherwise
//! reject may write off such reservations, by no more than it lacks. The write-offs
//! of a program never exceed the maximum output tokens of one turn in total, which
//! limits by how much the deaths of processes can overspend a budget.
//!
//! A reservation is made only for a turn that has arrived. When processes reserved
//! tokens in advance, to save the write before the next turn, each death left
//! reservations that no turn had used. They could not be told apart from those of
//! turns that had run, and programs were rejected although their budgets had room
//! for the turn. Where several gateways commit in one batch, the write of a
//! reservation needs no store call of its own.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use rosebend_state::deployment::AttemptId;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::gateway::escrow::terms::EscrowTerms;
use crate::gateway::escrow::{Fences, GrantId, SLOTS, SlotIndex, share_tokens};

/// Identifies one incarnation of a gateway process, as `HOST/RUN`.
///
/// A restarted process has another id: it does not have the state of the turns
/// that its predecessor ran.
pub type ProcessId = String;

/// Identifies one lifetime of a program's ledger in the store.
///
/// A ledger that is created after the program's earlier one was deleted has another
/// generation. The records of a generation's turns are deleted only after its ledger.
pub type Generation = u64;

/// Tokens that one program has spent and reserved.
#[serde_as]
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Tokens of settled turns, except those in `granted`.
    spent_tokens: u64,
    /// Reservations of running turns, by attempt.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    reserved: BTreeMap<AttemptId, Reservation>,
    /// Tokens that were written off: they no longer count against the budget
    /// although dead processes may have delivered them. Includes
    /// `forgiven_slot_tokens`. A write-off never raises the sum above the maximum
    /// output tokens of the turn that needs it.
    #[serde(default, skip_serializing_if = "is_zero")]
    forgiven_tokens: u64,
    /// The part of `forgiven_tokens` that escrow slots with dead owners may have
    /// granted. It is no longer withheld from the budget.
    #[serde(default, skip_serializing_if = "is_zero")]
    forgiven_slot_tokens: u64,
    /// Tokens of turns that ran on escrow grants while the store was unavailable,
    /// by grant. The grants are kept apart from `spent_tokens` so that settling one
    /// twice counts it once.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    granted: BTreeMap<GrantId, u64>,
    /// Whether a turn of a route that takes escrow grants has reserved tokens in
    /// this ledger, or a grant was settled in it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    may_have_grants: bool,
    /// Escrow slots that are closed for the program, with the fence that each owner
    /// reported. The ledger may be written only while these fences are unchanged.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    closed_at_fences: Fences,
    /// Set by the first reservation. Ledgers of older versions have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    generation: Option<Generation>,
    /// Longest retention time of the turns that reserved tokens. The ledger may be deleted
    /// once it has been unchanged for this time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(
        rename = "retention_ms",
        default,
        skip_serializing_if = "Duration::is_zero"
    )]
    retention: Duration,
}

/// The reservation of a running turn.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Reservation {
    /// Maximum output tokens of the turn, less what was written off.
    tokens: u64,
    /// The process that runs the turn and holds the reservation.
    holder: ProcessId,
}

/// Tokens that count against a program's budget, by state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Account {
    /// Tokens of settled turns.
    pub spent_tokens: u64,
    /// Tokens reserved for running turns.
    pub reserved_tokens: u64,
    /// Reserved tokens by the process that holds the reservations.
    pub reserved_by_process: BTreeMap<ProcessId, u64>,
}

/// The reservations that one process holds in a ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProcessReservations {
    /// The process that holds them.
    pub process: ProcessId,
    /// Turns for which it holds a reservation.
    pub turns: Vec<AttemptId>,
}

impl ProcessReservations {
    fn of(process: &ProcessId) -> Self {
        Self {
            process: process.clone(),
            turns: Vec::new(),
        }
    }
}

/// A request of a turn for a reservation.
#[derive(Clone, Copy, Debug)]
pub struct ReservationRequest<'a> {
    /// The process that runs the turn.
    pub process: &'a ProcessId,
    /// The turn.
    pub attempt: &'a AttemptId,
    /// Maximum output tokens of the turn, which are reserved.
    pub max_output_tokens: u64,
    /// Budget of the program.
    pub budget_tokens: u64,
    /// State of the escrow slots, which may have granted tokens of the budget that
    /// the ledger does not contain.
    pub escrow: &'a EscrowTerms,
    /// Fences of the slots, as far as this process has read them.
    pub fences: &'a Fences,
    /// Generation of the ledger if the reservation is its first.
    pub generation: Generation,
    /// Time for which the program's turns are kept after this turn.
    pub retention: Duration,
}

/// The reason why a budget has no room for a turn.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FilledBy {
    /// Settled turns have spent the budget.
    Spent,
    /// Running turns have reserved the rest of the budget.
    Running,
    /// The rest of the budget is withheld for escrow grants that may be missing
    /// from the ledger.
    Withheld,
}

impl FilledBy {
    /// Returns the label for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Spent => "spent",
            Self::Running => "running",
            Self::Withheld => "withheld",
        }
    }
}

impl Account {
    /// Returns the reason why a budget has no room for a turn. The result is
    /// meaningful only if the turn was rejected.
    pub fn filled_by(&self, max_output_tokens: u64, budget_tokens: u64) -> FilledBy {
        let needed = self.spent_tokens.saturating_add(max_output_tokens);
        if needed > budget_tokens {
            return FilledBy::Spent;
        }
        match needed.saturating_add(self.reserved_tokens) > budget_tokens {
            true => FilledBy::Running,
            false => FilledBy::Withheld,
        }
    }
}

/// The result of a request for a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReservationOutcome {
    /// The tokens are reserved.
    Reserved,
    /// The budget has no room for the turn.
    Exhausted,
}

impl Ledger {
    /// Returns the generation of the ledger, if it has one.
    pub const fn generation(&self) -> Option<Generation> {
        self.generation
    }

    /// Returns the longest retention time of the turns that reserved tokens.
    pub const fn retention(&self) -> Duration {
        self.retention
    }

    /// Returns the tokens that are spent or reserved.
    pub fn committed_tokens(&self) -> u64 {
        let account = self.account();
        account.spent_tokens.saturating_add(account.reserved_tokens)
    }

    /// Returns the tokens that count against the budget, by state and by process.
    pub fn account(&self) -> Account {
        let mut reserved_by_process: BTreeMap<ProcessId, u64> = BTreeMap::new();
        for reservation in self.reserved.values() {
            add_tokens(
                reserved_by_process.entry(reservation.holder.clone()),
                reservation.tokens,
            );
        }
        Account {
            spent_tokens: self.spent_tokens.saturating_add(self.granted_tokens()),
            reserved_tokens: saturating_sum(self.reserved.values().map(|turn| turn.tokens)),
            reserved_by_process,
        }
    }

    /// Returns whether a process holds the reservation of a turn.
    pub fn is_reserved_by(&self, attempt: &AttemptId, process: &ProcessId) -> bool {
        let reservation = self.reserved.get(attempt);
        reservation.is_some_and(|reservation| reservation.holder == *process)
    }

    /// Returns the turns with a reservation, grouped by the process that holds it.
    pub fn reservations_by_process(&self) -> Vec<ProcessReservations> {
        let mut by_process: BTreeMap<&ProcessId, ProcessReservations> = BTreeMap::new();
        for (attempt, reservation) in &self.reserved {
            let process = &reservation.holder;
            let reservations = by_process
                .entry(process)
                .or_insert_with(|| ProcessReservations::of(process));
            reservations.turns.push(attempt.clone());
        }
        by_process.into_values().collect()
    }

    /// Reserves the maximum output tokens of a turn, unless that would exceed the
    /// budget.
    ///
    /// Reservations of `dead_processes` are written off by no more than the turn
    /// lacks. A turn that already has a reservation keeps it. The ledger is unchanged
    /// if the turn is rejected.
    pub fn reserve(
        &mut self,
        request: &ReservationRequest<'_>,
        dead_processes: &[ProcessId],
    ) -> ReservationOutcome {
        if self.reserved.contains_key(request.attempt) {
            return ReservationOutcome::Reserved;
        }
        let mut next = self.clone();
        next.update_closed_slots(request.escrow, request.fences);
        let available = next.write_off_slots(request);
        for process in dead_processes {
            next.write_off_reservations(process, request.max_output_tokens, available);
        }
        if !next.fits(request.max_output_tokens, available) {
            return ReservationOutcome::Exhausted;
        }
        let reservation = Reservation {
            tokens: request.max_output_tokens,
            holder: request.process.clone(),
        };
        next.reserved.insert(request.attempt.clone(), reservation);
        next.generation.get_or_insert(request.generation);
        next.retention = next.retention.max(request.retention);
        *self = next;
        ReservationOutcome::Reserved
    }

    /// Returns whether a budget has room for additional tokens.
    pub fn fits(&self, tokens: u64, budget_tokens: u64) -> bool {
        self.committed_tokens().saturating_add(tokens) <= budget_tokens
    }

    /// Adds the slots that their owners have closed, and removes those whose fence
    /// has changed since: a slot that was taken over after the death of its owner is
    /// open again.
    fn update_closed_slots(&mut self, escrow: &EscrowTerms, fences: &Fences) {
        if let EscrowTerms::Eligible { closed, .. } = escrow {
            self.closed_at_fences.extend(closed);
        }
        self.closed_at_fences
            .retain(|slot, fence| fences.get(slot).is_none_or(|current| current == fence));
    }

    /// Returns the slots that are closed for the program, with the fences for which
    /// that holds.
    pub const fn closed_at_fences(&self) -> &Fences {
        &self.closed_at_fences
    }

    /// Returns the part of the budget that reservations may use: the budget without
    /// the shares of open slots.
    ///
    /// Writes off shares of open slots whose owners are dead, by no more than the
    /// turn lacks, and only until all write-offs of the ledger reach the maximum
    /// output tokens of the turn.
    fn write_off_slots(&mut self, request: &ReservationRequest<'_>) -> u64 {
        let EscrowTerms::Eligible {
            takes_grants,
            unreachable,
            ..
        } = request.escrow
        else {
            return request.budget_tokens;
        };
        self.may_have_grants |= *takes_grants;
        if !self.may_have_grants {
            return request.budget_tokens;
        }
        let share = share_tokens(request.budget_tokens);
        let is_open = |slot: &SlotIndex| !self.closed_at_fences.contains_key(slot);
        let open_slots = (0..SLOTS).filter(is_open).count() as u64;
        let ownerless_slots = unreachable.iter().copied().filter(is_open).count() as u64;
        let withheld = share.saturating_mul(open_slots);
        let remaining = withheld.saturating_sub(self.forgiven_slot_tokens);
        let available = request.budget_tokens.saturating_sub(remaining);
        let needed = self
            .committed_tokens()
            .saturating_add(request.max_output_tokens);
        let shortfall = needed.saturating_sub(available);
        let max_write_off = request
            .max_output_tokens
            .saturating_sub(self.forgiven_tokens);
        let written_off = shortfall
            .min(max_write_off)
            .min(remaining)
            .min(share.saturating_mul(ownerless_slots));
        self.forgiven_tokens = self.forgiven_tokens.saturating_add(written_off);
        self.forgiven_slot_tokens = self.forgiven_slot_tokens.saturating_add(written_off);
        available.saturating_add(written_off)
    }

    /// Writes off reservations of a dead process, by no more than a turn lacks of the
    /// available tokens, and only until all write-offs of the ledger reach the
    /// maximum output tokens of the turn.
    fn write_off_reservations(
        &mut self,
        process: &ProcessId,
        max_output_tokens: u64,
        available_tokens: u64,
    ) {
        let needed = self.committed_tokens().saturating_add(max_output_tokens);
        let shortfall = needed.saturating_sub(available_tokens);
        let max_write_off = max_output_tokens.saturating_sub(self.forgiven_tokens);
        let mut remaining = shortfall.min(max_write_off);
        let turns = self.reserved.values_mut();
        for turn in turns.filter(|turn| turn.holder == *process) {
            let written_off = remaining.min(turn.tokens);
            turn.tokens -= written_off;
            remaining -= written_off;
            self.forgiven_tokens = self.forgiven_tokens.saturating_add(written_off);
        }
    }

    /// Replaces the reservation of a turn by the tokens that were delivered. Does
    /// nothing for a turn without a reservation, so that a turn may be settled twice.
    pub fn settle(&mut self, attempt: &AttemptId, tokens: u64) {
        if self.reserved.remove(attempt).is_some() {
            self.spent_tokens = self.spent_tokens.saturating_add(tokens);
        }
    }

    /// Adds the tokens that a turn delivered under an escrow grant, and removes its
    /// reservation if it has one. Does nothing more when a grant is settled twice.
    pub fn settle_grant(&mut self, attempt: &AttemptId, grant: &GrantId, tokens: u64) {
        self.may_have_grants = true;
        self.reserved.remove(attempt);
        self.granted.entry(grant.clone()).or_insert(tokens);
    }

    fn granted_tokens(&self) -> u64 {
        saturating_sum(self.granted.values().copied())
    }

    /// Encodes the ledger as the value of a row.
    ///
    /// # Panics
    ///
    /// Panics if the ledger cannot be encoded as JSON. That cannot happen, since it
    /// consists of strings, numbers, booleans and maps with string or integer keys.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a ledger is always encodable as JSON")
    }

    /// Decodes the value of a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a valid ledger, or has fields that this
    /// version does not define.
    pub fn decode(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }
}

/// Adds tokens to the sum of one process. The sum saturates: a ledger may have been
/// written by anyone, and a sum that wraps around would free its budget.
fn add_tokens(sum: Entry<'_, ProcessId, u64>, tokens: u64) {
    let sum = sum.or_default();
    *sum = sum.saturating_add(tokens);
}

fn saturating_sum(tokens: impl Iterator<Item = u64>) -> u64 {
    tokens.fold(0, u64::saturating_add)
}

fn is_zero(tokens: &u64) -> bool {
    *tokens == 0
}
