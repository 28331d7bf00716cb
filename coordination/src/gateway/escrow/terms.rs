//! What a program's ledger keeps room for.

use std::collections::BTreeSet;

use super::message::Reply;
use super::{Fences, SLOTS, SlotIndex, is_eligible};

/// What owners said when they were asked to close a program's slots.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClosingAnswers {
    /// Slots that are closed.
    pub closed: Fences,
    /// Slots whose owners are gone or silent.
    pub gone: BTreeSet<SlotIndex>,
    /// Whether a slot waits for its grants to be in the ledger.
    pub is_settling: bool,
}

impl ClosingAnswers {
    /// Takes an owner's reply; none of one that is gone or silent.
    pub fn add(&mut self, slot: SlotIndex, reply: Option<Reply>) {
        match reply {
            Some(Reply::Closed { fence }) => {
                self.closed.insert(slot, fence);
            }
            Some(Reply::Outstanding) => self.is_settling = true,
            _ => {
                self.gone.insert(slot);
            }
        }
    }
}

/// The slots that count for a reservation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum EscrowTerms {
    /// The budget is too small; no slot grants from it.
    #[default]
    Excluded,
    /// Every slot counts that is not closed.
    Eligible {
        /// Whether the turn's route takes grants. Turns of other routes are bound by
        /// the slots only once the program has had one of such a route.
        takes_grants: bool,
        /// Slots whose owners have closed them for the program.
        closed: Fences,
        /// Slots whose owners are gone or silent. What they may have granted counts
        /// as lost with a dead host: a part of it is forgiven.
        gone: BTreeSet<SlotIndex>,
    },
}

impl EscrowTerms {
    /// The terms of a turn.
    pub const fn new(takes_grants: bool, most_tokens: u64, budget_tokens: u64) -> Self {
        match is_eligible(most_tokens, budget_tokens) {
            true => Self::Eligible {
                takes_grants,
                closed: Fences::new(),
                gone: BTreeSet::new(),
            },
            false => Self::Excluded,
        }
    }

    /// The same, with slots that were closed since, and those whose owners did not
    /// answer now.
    #[must_use]
    pub fn with_answers(self, answers: &ClosingAnswers) -> Self {
        let Self::Eligible {
            takes_grants,
            mut closed,
            ..
        } = self
        else {
            return self;
        };
        closed.extend(&answers.closed);
        Self::Eligible {
            takes_grants,
            closed,
            gone: answers.gone.clone(),
        }
    }

    /// Whether the turn may run by a grant.
    pub const fn takes_grants(&self) -> bool {
        match self {
            Self::Excluded => false,
            Self::Eligible { takes_grants, .. } => *takes_grants,
        }
    }

    /// The state of each slot that counts, in a word for logs.
    pub fn slot_states(&self) -> impl Iterator<Item = (SlotIndex, &'static str)> {
        let state = |slot: SlotIndex| match self {
            Self::Excluded => None,
            Self::Eligible { closed, gone, .. } => Some(match slot {
                slot if closed.contains_key(&slot) => "closed",
                slot if gone.contains(&slot) => "gone",
                _ => "open",
            }),
        };
        (0..SLOTS).filter_map(move |slot| Some((slot, state(slot)?)))
    }

    /// Whether all slots are closed or none counts.
    pub fn is_closed(&self) -> bool {
        match self {
            Self::Excluded => true,
            Self::Eligible { closed, .. } => closed.len() == usize::from(SLOTS),
        }
    }
}
