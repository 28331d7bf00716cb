//! What the engine tells about itself, late and with gaps: its load and the
//! changes of its cache.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rosebend_util::hash_parts;
use serde::{Deserialize, Serialize};

use super::cache::{BlockId, CacheChange};

/// Most cache events that are kept.
const MAX_EVENTS: usize = 20_000;

/// The load, as `GET /load` tells it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// KV memory that cannot be evicted, in tokens.
    pub kv_tokens_used: u64,
    /// All KV memory, in tokens.
    pub kv_tokens_limit: u64,
    /// When this was so, in milliseconds since the engine's start.
    pub as_of_ms: u64,
}

/// Load reports that come into sight only after a lag.
#[derive(Clone, Debug)]
pub struct LaggingLoad {
    lag: Duration,
    visible: LoadReport,
    pending: VecDeque<(Instant, LoadReport)>,
}

impl LaggingLoad {
    /// No load yet.
    pub fn new(lag: Duration, kv_tokens_limit: u64) -> Self {
        let visible = LoadReport {
            kv_tokens_limit,
            ..LoadReport::default()
        };
        Self {
            lag,
            visible,
            pending: VecDeque::new(),
        }
    }

    /// Takes in the load as it is now.
    pub fn push(&mut self, report: LoadReport, now: Instant) {
        self.pending.push_back((now, report));
        self.get(now);
    }

    /// The load as it was a lag ago.
    pub fn get(&mut self, now: Instant) -> LoadReport {
        while let Some((at, report)) = self.pending.front()
            && now.saturating_duration_since(*at) >= self.lag
        {
            self.visible = *report;
            self.pending.pop_front();
        }
        self.visible
    }
}

/// One change of the cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CacheEvent {
    /// Number of the event; a missing number is an event that was lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The block it happened to.
    pub block: BlockId,
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It came into the cache.
    Stored,
    /// It was evicted.
    Removed,
}

/// The page of `GET /cache/events`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct CacheEvents {
    /// Events in sight, in their order.
    pub events: Vec<CacheEvent>,
}

/// Cache events that come into sight late, or never.
#[derive(Clone, Debug)]
pub struct EventLog {
    lag: Duration,
    gap_percent: u64,
    seed: u64,
    last_sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    /// An empty log.
    pub fn new(lag: Duration, gap_percent: u64, seed: u64) -> Self {
        Self {
            lag,
            gap_percent,
            seed,
            last_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Takes in changes of the cache, and loses some of them.
    pub fn push(&mut self, changes: Vec<CacheChange>, now: Instant) {
        for change in changes {
            self.last_sequence += 1;
            if self.is_lost(self.last_sequence) {
                continue;
            }
            let (kind, block) = match change {
                CacheChange::Stored(block) => (CacheEventKind::Stored, block),
                CacheChange::Removed(block) => (CacheEventKind::Removed, block),
            };
            let sequence = self.last_sequence;
            let event = CacheEvent {
                sequence,
                kind,
                block,
            };
            self.events.push_back((now, event));
        }
        let surplus = self.events.len().saturating_sub(MAX_EVENTS);
        self.events.drain(..surplus);
    }

    /// The events after a number that are in sight.
    pub fn after(&self, sequence: u64, now: Instant) -> CacheEvents {
        let in_sight = |at: &Instant| now.saturating_duration_since(*at) >= self.lag;
        let events = self.events.iter();
        let events = events.filter(|(at, event)| event.sequence > sequence && in_sight(at));
        CacheEvents {
            events: events.map(|(_, event)| *event).collect(),
        }
    }

    fn is_lost(&self, sequence: u64) -> bool {
        let hash = hash_parts(&[&self.seed.to_le_bytes(), &sequence.to_le_bytes()]);
        hash % 100 < self.gap_percent
    }
}
