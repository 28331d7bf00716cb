//! Budget that programs may spend while the store is unavailable.
//!
//! The ledger in the store bounds what a program spends. While it can't be
//! written, owners grant a fixed share of each budget from memory. Every
//! partition of programs has [`SLOTS`] slots; a row in the store names the run of
//! a gateway that owns each. Grants enter the ledger when the store is back.
//!
//! The ledger does not know of grants until then, so it withholds
//! [`share_tokens`] of the budget for each slot that is open for the program: a
//! slot is open until its owner has closed it, which means that no grant is
//! outstanding and none will be made. Only budgets of several turns take part, so that
//! programs with small budgets are neither granted nor withheld anything.
//!
//! An owner that dies takes the record of its grants along. Where it had said that it
//! holds off ([`hold_off`]), it granted nothing, and the next run on its host takes its
//! slots at once; otherwise they stay open and without an owner for a time. Whoever takes
//! a slot after a death writes the slot's fence first, a row in the partition of its
//! programs. A ledger that counts a slot as closed names the fence that its owner knew, and
//! is written only if that is still the fence; so the new owner finds in the ledgers all
//! that was closed before.
//!
//! | what | where |
//! |---|---|
//! | a slot, its row and its fence | [`slot`] |
//! | which run owns a slot, and who takes it next | [`slots`] |
//! | what an owner has granted | [`accounts`] |
//! | when an owner grants nothing, and what its death says then | [`hold_off`] |
//! | messages between a host and an owner | [`message`] |
//! | what the ledger keeps room for | [`terms`] |

use std::collections::BTreeMap;

use rosebend_state::deployment::RowVersion;

pub mod accounts;
pub mod hold_off;
pub mod message;
pub mod slot;
pub mod slots;
pub mod terms;

/// Slots of a partition. Two hosts own them, so that the death of one leaves the
/// other to grant.
pub const SLOTS: u8 = 2;

/// Budgets below so many turns' most are excluded: a slot could hardly grant from
/// them.
const MIN_BUDGET_TURNS: u64 = 3;
/// The part of a turn's most that its first grant holds, as one in so many. Few
/// turns generate more than half of their most; those ask again.
const FIRST_GRANT_DIVISOR: u64 = 2;
/// The part of a budget that each slot may grant, as one in so many.
const SHARE_DIVISOR: u64 = 4;

/// Number of a slot in its partition, below [`SLOTS`].
pub type SlotIndex = u8;

/// Identifies a grant.
pub type GrantId = String;

/// Fences of a partition's slots: the versions of their rows, zero of one that was never
/// written.
pub type Fences = BTreeMap<SlotIndex, RowVersion>;

/// Whether programs with this budget take part.
pub const fn is_eligible(most_tokens: u64, budget_tokens: u64) -> bool {
    budget_tokens >= most_tokens.saturating_mul(MIN_BUDGET_TURNS)
}

/// Most tokens of one program that a slot has granted and that are not in the ledger
/// yet; the ledger leaves as many unspent for each open slot.
pub const fn share_tokens(budget_tokens: u64) -> u64 {
    budget_tokens / SHARE_DIVISOR
}

/// Tokens that a turn asks for before its first event.
pub const fn first_grant_tokens(most_tokens: u64) -> u64 {
    most_tokens.div_ceil(FIRST_GRANT_DIVISOR)
}
