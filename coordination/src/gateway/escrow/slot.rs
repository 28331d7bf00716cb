//! A slot, and the rows by which the store knows it.

use rosebend_state::deployment::{RowId, RowVersion};
use serde::{Deserialize, Serialize};

use super::accounts::Accounts;
use super::{SLOTS, SlotIndex};
use crate::gateway::history::partitions;
use crate::gateway::ledger::ProcessId;

/// Begins the key of a slot's row.
pub(super) const KEY_PREFIX: &str = "escrow/";
/// Table of the slots' fences.
const FENCE_TABLE: &str = "escrow";

/// A slot of a partition.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct SlotId {
    /// The partition of programs.
    pub partition: String,
    /// Its number there.
    pub index: SlotIndex,
}

impl SlotId {
    /// A slot of a partition.
    pub const fn new(partition: String, index: SlotIndex) -> Self {
        Self { partition, index }
    }

    /// The slots of a partition.
    pub fn of(partition: &str) -> impl Iterator<Item = Self> + use<> {
        let partition = partition.to_owned();
        (0..SLOTS).map(move |index| Self::new(partition.clone(), index))
    }

    /// The range of the keys of all slots' rows: from the first one, and below the second.
    pub fn keys() -> (String, String) {
        let end = KEY_PREFIX.replace('/', "0");
        (KEY_PREFIX.to_owned(), end)
    }

    /// All slots.
    pub fn all() -> impl Iterator<Item = Self> {
        partitions().flat_map(|partition| Self::of(&partition))
    }

    /// Key of the slot's row.
    pub fn key(&self) -> String {
        format!("{KEY_PREFIX}{}/{}", self.partition, self.index)
    }

    /// The row of the slot's fence. It lies in the partition of the ledgers that rest on
    /// it, so that a transaction of theirs may have it as a condition.
    pub fn fence_row(&self) -> RowId {
        RowId::new(FENCE_TABLE, &self.partition, self.index.to_string())
    }

    /// The slot, by its number, of which a row is the fence.
    pub fn of_fence_row(row: &RowId) -> Option<SlotIndex> {
        let is_fence = row.table == FENCE_TABLE;
        let index = is_fence.then(|| row.key.parse().ok()).flatten();
        index.filter(|index| *index < SLOTS)
    }

    /// The slot whose row has a key.
    pub fn from_key(key: &str) -> Option<Self> {
        let (partition, index) = key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
        Some(Self {
            partition: partition.to_owned(),
            index: index.parse().ok().filter(|index| *index < SLOTS)?,
        })
    }
}

/// A slot's row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotRow {
    /// The owner; none after a planned stop of a host that found no successor.
    pub owner: Option<ProcessId>,
    /// Accounts that the owner before left at its planned stop.
    #[serde(default)]
    pub accounts: Accounts,
    /// The slot's fence when the owner before left it.
    #[serde(default)]
    pub fence: RowVersion,
    /// Set while the owner does not know yet which programs are closed, since the one
    /// before has died.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_unread_closings: bool,
}

impl SlotRow {
    /// The row as a value.
    ///
    /// # Panics
    ///
    /// Panics when a row has no JSON form, which none has.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers have a JSON form")
    }

    /// Reads a row's value.
    ///
    /// # Errors
    ///
    /// Fails when the value is no slot's row.
    pub fn decode(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }
}

/// A change of a slot's row, under the version that was seen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotWrite {
    /// The slot.
    pub slot: SlotId,
    /// Version that its row must have; zero where there is none.
    pub version: RowVersion,
    /// The row from then on.
    pub row: SlotRow,
}
