//! The prefix cache of the fake engine: a tree of segments with LRU eviction
//! of unpinned leaves, from their ends.

use std::collections::{BTreeSet, HashMap};

/// Names a piece of text; what comes before it is always the same.
pub type SegmentId = u64;

/// A piece of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Its name.
    pub id: SegmentId,
    /// Its length.
    pub tokens: u64,
}

#[derive(Debug)]
struct Node {
    parent: Option<SegmentId>,
    /// Tokens present, from the segment's start; children exist only below a
    /// whole segment.
    tokens: u64,
    children: usize,
    pins: usize,
    used_us: u64,
}

/// Prefixes in the memory of one engine.
#[derive(Debug, Default)]
pub struct PrefixCache {
    nodes: HashMap<SegmentId, Node>,
    /// Nodes without pins and children, by last use.
    evictable: BTreeSet<(u64, SegmentId)>,
    tokens: u64,
}

impl PrefixCache {
    /// Tokens in the cache.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tokens of the longest cached prefix of a path, and its last segment
    /// that is present, which may be cut short.
    pub fn longest(&self, path: &[Segment]) -> (u64, Option<SegmentId>) {
        let mut tokens = 0;
        let mut last = None;
        for segment in path {
            let Some(node) = self.nodes.get(&segment.id) else {
                break;
            };
            tokens += node.tokens.min(segment.tokens);
            last = Some(segment.id);
            if node.tokens < segment.tokens {
                break;
            }
        }
        (tokens, last)
    }

    /// Puts a whole path in; tells how many tokens were added.
    pub fn insert(&mut self, path: &[Segment], now_us: u64) -> u64 {
        let before = self.tokens;
        let mut parent = None;
        for segment in path {
            self.insert_segment(parent, *segment, now_us);
            parent = Some(segment.id);
        }
        self.tokens - before
    }

    /// Marks a prefix as used now.
    pub fn touch(&mut self, path: &[Segment], now_us: u64) {
        for segment in path {
            if !self.nodes.contains_key(&segment.id) {
                return;
            }
            self.change(segment.id, |node| node.used_us = now_us);
        }
    }

    /// Keeps a segment and what is before it from being evicted.
    pub fn pin(&mut self, id: SegmentId) {
        self.change(id, |node| node.pins += 1);
    }

    /// Takes one pin back.
    pub fn unpin(&mut self, id: SegmentId) {
        self.change(id, |node| node.pins -= 1);
    }

    /// Evicts least recently used tokens until `needed` are gone; tells how
    /// many went.
    pub fn evict(&mut self, needed: u64) -> u64 {
        let mut gone = 0;
        while gone < needed {
            let Some(&(_, id)) = self.evictable.first() else {
                break;
            };
            gone += self.cut(id, needed - gone);
        }
        gone
    }

    /// Removes the end of a path that nothing pins or shares; tells how many
    /// tokens went.
    pub fn remove_unshared(&mut self, path: &[Segment]) -> u64 {
        let mut gone = 0;
        for segment in path.iter().rev() {
            match self.nodes.get(&segment.id) {
                Some(node) if node.pins == 0 && node.children == 0 => {
                    gone += self.cut(segment.id, u64::MAX);
                }
                Some(_) => break,
                None => {}
            }
        }
        gone
    }

    fn insert_segment(&mut self, parent: Option<SegmentId>, segment: Segment, now_us: u64) {
        if !self.nodes.contains_key(&segment.id) {
            if let Some(parent) = parent {
                self.change(parent, |node| node.children += 1);
            }
            let node = Node {
                parent,
                tokens: 0,
                children: 0,
                pins: 0,
                used_us: now_us,
            };
            self.nodes.insert(segment.id, node);
            self.evictable.insert((now_us, segment.id));
        }
        let mut added = 0;
        self.change(segment.id, |node| {
            added = segment.tokens.saturating_sub(node.tokens);
            node.tokens += added;
            node.used_us = now_us;
        });
        self.tokens += added;
    }

    fn cut(&mut self, id: SegmentId, most: u64) -> u64 {
        let node = self.nodes.get_mut(&id).expect("an evictable node exists");
        let gone = node.tokens.min(most);
        node.tokens -= gone;
        self.tokens -= gone;
        if node.tokens == 0 {
            let parent = node.parent;
            self.evictable.remove(&(node.used_us, id));
            self.nodes.remove(&id);
            if let Some(parent) = parent {
                self.change(parent, |node| node.children -= 1);
            }
        }
        gone
    }

    /// Changes a node and keeps the index of evictable ones true.
    fn change(&mut self, id: SegmentId, change: impl FnOnce(&mut Node)) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.pins == 0 && node.children == 0 {
            self.evictable.remove(&(node.used_us, id));
        }
        change(node);
        if node.pins == 0 && node.children == 0 {
            self.evictable.insert((node.used_us, id));
        }
    }
}
