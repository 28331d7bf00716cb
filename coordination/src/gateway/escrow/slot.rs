//! Identity of a slot, and the rows in the store that describe it.

use rosebend_state::deployment::{RowId, RowVersion};
use serde::{Deserialize, Serialize};

use super::accounts::Accounts;
use super::{SLOTS, SlotIndex};
use crate::gateway::history::partitions;
use crate::gateway::ledger::ProcessId;

/// Prefix of the keys of slot rows.
pub(super) const KEY_PREFIX: &str = "escrow/";
/// Name of the table that holds the fences of slots.
const FENCE_TABLE: &str = "escrow";

/// Identifier of a slot.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct SlotId {
    /// Partition of programs that the slot belongs to.
    pub partition: String,
    /// Index of the slot in its partition.
    pub index: SlotIndex,
}

impl SlotId {
    /// Creates the identifier of a slot of a partition.
    pub const fn new(partition: String, index: SlotIndex) -> Self {
        Self { partition, index }
    }

    /// Returns the slots of a partition.
    pub fn of_partition(partition: &str) -> impl Iterator<Item = Self> + use<> {
        let partition = partition.to_owned();
        (0..SLOTS).map(move |index| Self::new(partition.clone(), index))
    }

    /// Returns the range of keys that contains the rows of all slots, as an inclusive
    /// lower and an exclusive upper bound.
    pub fn key_range() -> (String, String) {
        let end = KEY_PREFIX.replace('/', "0");
        (KEY_PREFIX.to_owned(), end)
    }

    /// Returns the slots of all partitions.
    pub fn all() -> impl Iterator<Item = Self> {
        partitions().flat_map(|partition| Self::of_partition(&partition))
    }

    /// Returns the key of the slot's row.
    pub fn key(&self) -> String {
        format!("{KEY_PREFIX}{}/{}", self.partition, self.index)
    }

    /// Returns the identifier of the slot's fence row. The fence row is in the same
    /// partition as the ledgers that depend on it, so that their transactions can use
    /// it as a condition.
    pub fn fence_row(&self) -> RowId {
        RowId::new(FENCE_TABLE, &self.partition, self.index.to_string())
    }

    /// Returns the index of the slot whose fence is stored in `row`, or `None` if `row`
    /// is not a fence row.
    pub fn index_from_fence_row(row: &RowId) -> Option<SlotIndex> {
        let is_fence = row.table == FENCE_TABLE;
        let index = is_fence.then(|| row.key.parse().ok()).flatten();
        index.filter(|index| *index < SLOTS)
    }

    /// Returns the slot whose row has this key, or `None` if the key is not the key of
    /// a slot row.
    pub fn from_key(key: &str) -> Option<Self> {
        let (partition, index) = key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
        Some(Self {
            partition: partition.to_owned(),
            index: index.parse().ok().filter(|index| *index < SLOTS)?,
        })
    }
}

/// Content of a slot's row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlotRow {
    /// Owner of the slot. It is `None` after a planned stop of an owner that found no
    /// successor.
    pub owner: Option<ProcessId>,
    /// Accounts that the previous owner left at its planned stop.
    #[serde(default)]
    pub accounts: Accounts,
    /// Fence version of the slot when the previous owner released it.
    #[serde(default)]
    pub fence: RowVersion,
    /// Whether the owner has yet to read from the ledgers which programs are closed,
    /// because the previous owner has died.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_unread_closings: bool,
}

impl SlotRow {
    /// Encodes the row as JSON.
    ///
    /// # Panics
    ///
    /// Panics if serialization fails, which does not occur for strings and numbers.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers have a JSON form")
    }

    /// Decodes a row from its stored value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not an encoded slot row.
    pub fn decode(value: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(value)
    }
}

/// Conditional write of a slot's row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SlotWrite {
    /// Slot whose row is written.
    pub slot: SlotId,
    /// Version that the row must have; zero if the row must not exist.
    pub version: RowVersion,
    /// New content of the row.
    pub row: SlotRow,
}
