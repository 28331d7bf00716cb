//! Bounds and defaults of the owner.

use std::time::Duration;

/// Bounds and defaults of the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerConfig {
    /// Number of shards of the cluster, above zero.
    pub shard_count: u32,
    /// Seed of the jitter in the times at which callers come back.
    pub seed: u64,
    /// Budget is drawn from the table in steps of this size.
    pub budget_chunk_tokens: u64,
    /// How long a call waits for the ones before it to come.
    pub gap_wait: Duration,
    /// Dispatches of one call, at most.
    pub max_attempts: u32,
    /// Retries that are allowed for each hundred first dispatches.
    pub retry_percent: u32,
    /// Retries that may be saved up.
    pub retry_burst: u32,
    /// Calls of a program when its caller names no limit.
    pub default_turn_limit: u64,
    /// Age of a program when its caller names no limit.
    pub default_wall_limit: Duration,
    /// The same call made this often in a row ends its program.
    pub loop_limit: u32,
    /// Waiting calls of one program, at most.
    pub max_waiting: usize,
    /// Ended calls that wait to be written, at most.
    pub max_uncommitted: usize,
    /// Bytes of the answers that wait to be written, at most.
    pub max_uncommitted_bytes: u64,
    /// How long an unreachable sidecar is asked for a call's outcome.
    pub claim_wait: Duration,
    /// Time between two tries to ask it.
    pub claim_interval: Duration,
    /// When a refused caller comes back, before jitter.
    pub retry_after: Duration,
    /// Whether callers of repeatable calls are told the end before it is
    /// durable. The sidecar's copy then stands in for the table's.
    pub early_end: bool,
}

impl Default for OwnerConfig {
    fn default() -> Self {
        Self {
            shard_count: 128,
            seed: 0,
            budget_chunk_tokens: 16_384,
            gap_wait: Duration::from_secs(2),
            max_attempts: 3,
            retry_percent: 10,
            retry_burst: 20,
            default_turn_limit: 400,
            default_wall_limit: Duration::from_secs(24 * 3600),
            loop_limit: 20,
            max_waiting: 32,
            max_uncommitted: 4096,
            max_uncommitted_bytes: 64 << 20,
            claim_wait: Duration::from_secs(15),
            claim_interval: Duration::from_millis(500),
            retry_after: Duration::from_secs(1),
            early_end: true,
        }
    }
}
