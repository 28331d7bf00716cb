//! The engine's prefix cache: blocks of KV entries, shared by all sequences
//! that start alike, and evicted in the order of their last use.
//!
//! A block stands for [`BLOCK_TOKENS`] tokens and everything before them, so
//! its id is the hash of its own text and of the block before it.

use std::collections::{BTreeMap, HashMap};

use rosebend_util::hash_parts;

/// Tokens of one block.
pub const BLOCK_TOKENS: u64 = 16;
/// Bytes of text that stand for one token.
pub const TOKEN_BYTES: usize = 4;
const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS as usize;

/// Id of a block: the hash of all text up to its end.
pub type BlockId = u64;

/// Number of tokens that a text has.
pub fn token_count(text: &str) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}

/// The ids of the full blocks of a text.
pub fn block_ids(text: &str) -> Vec<BlockId> {
    let mut previous: BlockId = 0;
    let next = |chunk: &[u8]| {
        previous = hash_parts(&[&previous.to_le_bytes(), chunk]);
        previous
    };
    text.as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(next)
        .collect()
}

/// A change of what the cache holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// A block came in.
    Stored(BlockId),
    /// A block was evicted.
    Removed(BlockId),
}

/// Blocks in the engine's memory.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity_blocks: u64,
    /// Blocks promised to running sequences and not yet filled.
    reserved_blocks: u64,
    blocks: HashMap<BlockId, Block>,
    /// Unpinned blocks by the tick of their last use, which is unique.
    evictable: BTreeMap<u64, BlockId>,
    tick: u64,
    changes: Vec<CacheChange>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Block {
    pins: u32,
    /// The block's key among the evictable ones; used only while unpinned.
    last_use: u64,
}

impl PrefixCache {
    /// An empty cache of so many blocks.
    pub fn new(capacity_blocks: u64) -> Self {
        Self {
            capacity_blocks,
            reserved_blocks: 0,
            blocks: HashMap::new(),
            evictable: BTreeMap::new(),
            tick: 0,
            changes: Vec::new(),
        }
    }

    /// Number of leading blocks of a sequence that are in the cache.
    pub fn cached_prefix(&self, ids: &[BlockId]) -> usize {
        let present = ids.iter().take_while(|id| self.blocks.contains_key(id));
        present.count()
    }

    /// Pins the blocks of a sequence, and reserves `extra` blocks more for
    /// what it will grow by; false, with no change, when memory lacks.
    pub fn admit(&mut self, ids: &[BlockId], extra: u64) -> bool {
        let absent = ids.iter().filter(|id| !self.blocks.contains_key(id));
        let needed = absent.count() as u64 + extra;
        let free = self.capacity_blocks.saturating_sub(self.used_blocks());
        // Cached blocks of this very sequence are about to be pinned, so they
        // are not there to be evicted for it.
        let own_evictable = ids.iter().filter(|id| self.is_unpinned(id)).count();
        let evictable = (self.evictable.len() - own_evictable) as u64;
        if needed > free + evictable {
            return false;
        }
        let absent: Vec<BlockId> = ids.iter().copied().filter(|id| !self.pin(*id)).collect();
        self.evict(needed.saturating_sub(free));
        for id in absent {
            self.store(id);
        }
        self.reserved_blocks += extra;
        true
    }

    /// Turns reserved blocks into blocks of the sequence, pinned.
    pub fn fill(&mut self, ids: &[BlockId], reserved: u64) {
        self.reserved_blocks -= reserved;
        for id in ids {
            if !self.pin(*id) {
                self.store(*id);
            }
        }
    }

    /// Unpins the blocks of a sequence. They stay cached until they are
    /// evicted, the last ones first.
    pub fn unpin(&mut self, ids: &[BlockId]) {
        for id in ids.iter().rev() {
            let Some(block) = self.blocks.get_mut(id) else {
                continue;
            };
            block.pins = block.pins.saturating_sub(1);
            if block.pins == 0 {
                self.tick += 1;
                block.last_use = self.tick;
                self.evictable.insert(self.tick, *id);
            }
        }
    }

    /// Gives back reserved blocks that were not filled.
    pub fn release(&mut self, reserved: u64) {
        self.reserved_blocks -= reserved;
    }

    /// Blocks in memory, evictable ones included, and reserved ones.
    pub fn used_blocks(&self) -> u64 {
        self.blocks.len() as u64 + self.reserved_blocks
    }

    /// Blocks that cannot be evicted, and reserved ones.
    pub fn pinned_blocks(&self) -> u64 {
        self.used_blocks() - self.evictable.len() as u64
    }

    /// Blocks that the cache has room for.
    pub fn capacity_blocks(&self) -> u64 {
        self.capacity_blocks
    }

    /// Takes the changes since the last time.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    fn is_unpinned(&self, id: &BlockId) -> bool {
        self.blocks.get(id).is_some_and(|block| block.pins == 0)
    }

    /// Pins a cached block; false when it is not there.
    fn pin(&mut self, id: BlockId) -> bool {
        let Some(block) = self.blocks.get_mut(&id) else {
            return false;
        };
        if block.pins == 0 {
            self.evictable.remove(&block.last_use);
        }
        block.pins += 1;
        true
    }

    /// Stores a block, pinned once. There must be room.
    fn store(&mut self, id: BlockId) {
        let block = self.blocks.entry(id).or_default();
        block.pins += 1;
        self.changes.push(CacheChange::Stored(id));
    }

    fn evict(&mut self, count: u64) {
        for _ in 0..count {
            let Some((_, id)) = self.evictable.pop_first() else {
                return;
            };
            self.blocks.remove(&id);
            self.changes.push(CacheChange::Removed(id));
        }
    }
}
