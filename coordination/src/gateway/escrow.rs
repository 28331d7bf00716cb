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
//! outstanding and none will be made. An owner that dies takes the record of its
//! grants along; its slots stay open for a time. Only budgets of several turns take
//! part, so that programs with small budgets are neither granted nor withheld
//! anything.
//!
//! | what | where |
//! |---|---|
//! | which run owns a slot, and who takes it next | [`slots`] |
//! | what an owner has granted | [`accounts`] |
//! | messages between a host and an owner | [`message`] |
//! | what the ledger keeps room for | [`terms`] |

pub mod accounts;
pub mod message;
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
