//! What to do with a program's KV cache while it waits for a tool.
//!
//! Three ways are open: keep the cache pinned in engine memory, export it to
//! the host and import it again, or drop the pin, so that the engine may evict
//! it and the prompt is computed again. Each has a cost in engine time; the
//! least is taken. Kept memory costs in proportion to how long the pause is
//! expected to be and to how scarce memory is, because it displaces prefixes
//! that other programs would have found in the cache.
//!
//! Pauses are learned for each tool as a histogram of powers of two, whose
//! counts are halved from time to time, so that a tool that changes is
//! followed.

use std::collections::HashMap;
use std::time::Duration;

/// Buckets of the histogram: below 1 ms, 2 ms, 4 ms and so on.
const BUCKETS: usize = 24;

/// Counts are halved when a tool has this many.
const MAX_COUNT: u32 = 512;

/// Fewest pauses before a tool's own histogram is trusted.
const MIN_COUNT: u32 = 4;

/// Pause assumed for an unknown tool.
const DEFAULT_PAUSE: Duration = Duration::from_secs(2);

/// What is done with the cache of a paused program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseAction {
    /// Keep it pinned, for at most this long.
    Keep {
        /// When this has passed without a further call, decide again.
        hold: Duration,
    },
    /// Copy it out and free the engine's memory.
    Export,
    /// Free the pin without a copy.
    Drop,
}

/// Which ways are open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PausePolicy {
    /// Always keep.
    AlwaysKeep,
    /// Always drop the pin.
    AlwaysDrop,
    /// The least cost by learned pauses.
    Learned {
        /// The engine can export and import.
        can_export: bool,
    },
}

/// A program that pauses.
#[derive(Clone, Copy, Debug)]
pub struct Pause<'a> {
    /// The tool that it waits for.
    pub tool: &'a str,
    /// KV tokens that it holds and others do not share.
    pub kv_tokens: u64,
    /// Time the pause has lasted so far.
    pub elapsed: Duration,
    /// The engine's prefill time for one token, in microseconds.
    pub prefill_token_us: u64,
    /// Time to export and import one token, in microseconds.
    pub transfer_token_us: u64,
    /// Share of the engine's KV memory that is pinned or running, in percent.
    pub kv_used_percent: u64,
}

/// Learned pauses of one tool.
#[derive(Clone, Debug, Default)]
struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
}

/// Decides what paused programs do with their cache.
///
/// ```
/// use std::time::Duration;
/// use rosebend_coordination::pause::{Pause, PauseAction, PauseDecider, PausePolicy};
///
/// let mut decider = PauseDecider::new(PausePolicy::Learned { can_export: false });
/// for _ in 0..20 {
///     decider.observe("parts-lookup", Duration::from_millis(300));
/// }
/// let pause = Pause {
///     tool: "parts-lookup",
///     kv_tokens: 4_000,
///     elapsed: Duration::ZERO,
///     prefill_token_us: 100,
///     transfer_token_us: 10,
///     kv_used_percent: 60,
/// };
/// assert!(matches!(decider.decide(&pause), PauseAction::Keep { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct PauseDecider {
    policy: PausePolicy,
    tools: HashMap<String, Histogram>,
}

impl PauseDecider {
    /// Makes a decider that knows no tool yet.
    pub fn new(policy: PausePolicy) -> Self {
        Self {
            policy,
            tools: HashMap::new(),
        }
    }

    /// Learns how long a pause for a tool was.
    pub fn observe(&mut self, tool: &str, pause: Duration) {
        if !self.tools.contains_key(tool) {
            self.tools.insert(tool.to_owned(), Histogram::default());
        }
        let histogram = self.tools.get_mut(tool).expect("it was just inserted");
        histogram.add(pause);
    }

    /// Time that the pause is expected to go on, given that it has lasted
    /// `elapsed`.
    pub fn expected(&self, tool: &str, elapsed: Duration) -> Duration {
        match self.tools.get(tool) {
            Some(histogram) if histogram.total >= MIN_COUNT => histogram.remaining(elapsed),
            _ => DEFAULT_PAUSE,
        }
    }

    /// Decides for a pause that begins or goes on.
    pub fn decide(&self, pause: &Pause<'_>) -> PauseAction {
        match self.policy {
            PausePolicy::AlwaysKeep => PauseAction::Keep {
                hold: Duration::MAX,
            },
            PausePolicy::AlwaysDrop => PauseAction::Drop,
            PausePolicy::Learned { can_export } => self.least_cost(pause, can_export),
        }
    }

    fn least_cost(&self, pause: &Pause<'_>, can_export: bool) -> PauseAction {
        let expected = self.expected(pause.tool, pause.elapsed);
        let recompute_us = pause.kv_tokens * pause.prefill_token_us;
        let keep_us = keep_cost_us(pause, expected);
        let transfer_us = pause.kv_tokens * pause.transfer_token_us;
        if keep_us <= recompute_us && (keep_us <= transfer_us || !can_export) {
            // Twice the expectation: the longer a pause lasts beyond what was
            // learned, the less likely its end is near.
            PauseAction::Keep {
                hold: expected.saturating_mul(2),
            }
        } else if can_export && transfer_us < recompute_us {
            PauseAction::Export
        } else {
            PauseAction::Drop
        }
    }
}

/// Time in which an unpinned prefix is evicted when memory is full; pinning
/// for this long displaces about its own size.
const RESIDENCY_MS: u64 = 30_000;

/// Below this use of memory, pinning displaces nothing.
const FREE_PERCENT: u64 = 50;

/// Engine time that others lose to a pin of the expected length.
fn keep_cost_us(pause: &Pause<'_>, expected: Duration) -> u64 {
    let scarcity_percent = pause.kv_used_percent.min(100).saturating_sub(FREE_PERCENT) * 2;
    let expected_ms = u64::try_from(expected.as_millis()).unwrap_or(u64::MAX);
    let recompute_us = pause.kv_tokens * pause.prefill_token_us;
    recompute_us
        .saturating_mul(scarcity_percent)
        .saturating_mul(expected_ms)
        / (100 * RESIDENCY_MS)
}

impl Histogram {
    fn add(&mut self, pause: Duration) {
        if self.total >= MAX_COUNT {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        self.counts[bucket(pause)] += 1;
        self.total += 1;
    }

    /// Mean of the pauses longer than `elapsed`, less what has passed.
    fn remaining(&self, elapsed: Duration) -> Duration {
        let from = if elapsed.is_zero() {
            0
        } else {
            bucket(elapsed)
        };
        let longer = &self.counts[from..];
        let count: u32 = longer.iter().sum();
        if count == 0 {
            // Longer than any seen: expect as much again.
            return elapsed.max(DEFAULT_PAUSE);
        }
        let sum_ms: u64 = longer
            .iter()
            .zip(from..)
            .map(|(count, index)| u64::from(*count) * middle_ms(index))
            .sum();
        Duration::from_millis(sum_ms / u64::from(count)).saturating_sub(elapsed)
    }
}

fn bucket(pause: Duration) -> usize {
    let ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
    let index = u64::BITS - ms.leading_zeros();
    (index as usize).min(BUCKETS - 1)
}

fn middle_ms(index: usize) -> u64 {
    // Bucket `i` holds from 2^(i-1) to below 2^i milliseconds.
    (3 << index) >> 2
}
