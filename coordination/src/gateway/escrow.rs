//! Spending of program budgets while the store is unavailable.
//!
//! A ledger in the store bounds the tokens that a program spends. While the store is
//! unavailable, ledgers cannot be written, and gateway processes grant a fixed share of
//! each budget from memory instead. Every partition of programs has [`SLOTS`] slots,
//! and a row in the store names the process that owns each slot. The owner's grants are
//! added to the ledgers when the store is available again.
//!
//! Until then a ledger does not contain the grants. It therefore withholds
//! [`share_tokens`] of the budget for each slot that is open for the program. A slot is
//! open until its owner closes it for the program; from then on the slot has no
//! outstanding grant for the program and makes no new one. Only budgets of several
//! turns are eligible: programs with smaller budgets receive no grants, and nothing is
//! withheld from them.
//!
//! When an owner dies, its record of grants is lost. If it died during an announced
//! hold-off ([`hold_off`]), none of its grants was outstanding, and the next process on
//! its host takes over its slots at once. Otherwise the slots stay open and without a live owner for a
//! quarantine period. A process that takes over a slot after a death first writes the
//! slot's fence, a row in the partition of the slot's programs. A ledger that counts a
//! slot as closed records the fence version known to the slot's owner, and its
//! transaction commits only if the fence still has that version. The new owner can
//! therefore read from the ledgers every program that was closed before the takeover.
//!
//! | topic | module |
//! |---|---|
//! | slots, their rows and their fences | [`slot`] |
//! | ownership of slots and its transfer | [`slots`] |
//! | grants that an owner has made | [`accounts`] |
//! | periods in which an owner grants nothing, and recovery after its death | [`hold_off`] |
//! | messages between gateway processes about slots | [`message`] |
//! | tokens that a ledger withholds | [`terms`] |

use std::collections::BTreeMap;

use rosebend_state::deployment::RowVersion;

pub mod accounts;
pub mod hold_off;
pub mod message;
pub mod slot;
pub mod slots;
pub mod terms;

/// Number of slots of a partition. Two different hosts own them, so that one can still
/// grant after the death of the other.
pub const SLOTS: u8 = 2;

/// Minimum budget of an eligible program, in multiples of a turn's maximum output
/// tokens. The share of a slot in a smaller budget would hardly hold a grant.
const MIN_BUDGET_TURNS: u64 = 3;
/// Divisor of a turn's maximum output tokens that yields the size of its first grant.
/// Few turns generate more than half of their maximum; those that do request a larger
/// grant.
const FIRST_GRANT_DIVISOR: u64 = 2;
/// Divisor of a program's budget that yields the share of each slot.
const SHARE_DIVISOR: u64 = 4;

/// Index of a slot in its partition, less than [`SLOTS`].
pub type SlotIndex = u8;

/// Identifier of a grant.
pub type GrantId = String;

/// Fence versions of a partition's slots. The version of a fence row that was never
/// written is zero.
pub type Fences = BTreeMap<SlotIndex, RowVersion>;

/// Returns whether slots may grant from a budget of this size.
pub const fn is_eligible(max_output_tokens: u64, budget_tokens: u64) -> bool {
    budget_tokens >= max_output_tokens.saturating_mul(MIN_BUDGET_TURNS)
}

/// Returns the maximum number of tokens of one program that a slot may have granted
/// without their being in the ledger. The ledger withholds this number for each open
/// slot.
pub const fn share_tokens(budget_tokens: u64) -> u64 {
    budget_tokens / SHARE_DIVISOR
}

/// Returns the tokens that a turn requests before its first event.
pub const fn first_grant_tokens(max_output_tokens: u64) -> u64 {
    max_output_tokens.div_ceil(FIRST_GRANT_DIVISOR)
}
