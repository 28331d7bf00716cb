//! Slots for which a program's ledger withholds tokens.

use std::collections::BTreeSet;

use super::message::Reply;
use super::{Fences, SLOTS, SlotIndex, is_eligible};

/// Replies of the owners that were asked to close the slots of a program.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CloseReplies {
    /// Slots that are closed for the program, with their fence versions.
    pub closed: Fences,
    /// Slots whose owners are absent or did not reply.
    pub unreachable: BTreeSet<SlotIndex>,
    /// Whether a slot cannot be closed until its grants are in the ledger.
    pub is_settling: bool,
}

impl CloseReplies {
    /// Adds the reply of a slot's owner; `None` means that the owner is absent or did
    /// not reply. A slot with any other reply than `Closed` or `Outstanding` counts as
    /// unreachable.
    pub fn add(&mut self, slot: SlotIndex, reply: Option<Reply>) {
        match reply {
            Some(Reply::Closed { fence }) => {
                self.closed.insert(slot, fence);
            }
            Some(Reply::Outstanding) => self.is_settling = true,
            _ => {
                self.unreachable.insert(slot);
            }
        }
    }
}

/// Slots that limit a reservation in the ledger.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum EscrowTerms {
    /// The budget is too small to be eligible: no slot grants from it.
    #[default]
    Excluded,
    /// The ledger withholds a share for each slot that is not closed.
    Eligible {
        /// Whether the turn's route takes grants. A turn of another route is limited by
        /// the slots only if the program has already had a turn of a route that takes
        /// grants.
        takes_grants: bool,
        /// Slots that their owners have closed for the program.
        closed: Fences,
        /// Slots whose owners are absent or did not reply. Tokens that these slots may
        /// have granted are treated like reservations of a dead host: a part of them is
        /// written off.
        unreachable: BTreeSet<SlotIndex>,
    },
}

impl EscrowTerms {
    /// Creates the terms of a turn.
    pub const fn new(takes_grants: bool, max_output_tokens: u64, budget_tokens: u64) -> Self {
        match is_eligible(max_output_tokens, budget_tokens) {
            true => Self::Eligible {
                takes_grants,
                closed: Fences::new(),
                unreachable: BTreeSet::new(),
            },
            false => Self::Excluded,
        }
    }

    /// Adds the slots that have been closed since, and replaces the set of slots whose
    /// owners are unreachable.
    #[must_use]
    pub fn with_close_replies(self, replies: &CloseReplies) -> Self {
        let Self::Eligible {
            takes_grants,
            mut closed,
            ..
        } = self
        else {
            return self;
        };
        closed.extend(&replies.closed);
        Self::Eligible {
            takes_grants,
            closed,
            unreachable: replies.unreachable.clone(),
        }
    }

    /// Returns whether the turn may run on a grant.
    pub const fn takes_grants(&self) -> bool {
        match self {
            Self::Excluded => false,
            Self::Eligible { takes_grants, .. } => *takes_grants,
        }
    }

    /// Returns a label for logs with the state of each slot that limits the
    /// reservation.
    pub fn slot_states(&self) -> impl Iterator<Item = (SlotIndex, &'static str)> {
        let state = |slot: SlotIndex| match self {
            Self::Excluded => None,
            Self::Eligible {
                closed,
                unreachable,
                ..
            } => Some(match slot {
                slot if closed.contains_key(&slot) => "closed",
                slot if unreachable.contains(&slot) => "gone",
                _ => "open",
            }),
        };
        (0..SLOTS).filter_map(move |slot| Some((slot, state(slot)?)))
    }

    /// Returns whether all slots are closed for the program or the budget is not
    /// eligible.
    pub fn is_closed(&self) -> bool {
        match self {
            Self::Excluded => true,
            Self::Eligible { closed, .. } => closed.len() == usize::from(SLOTS),
        }
    }
}
