//! Settings of the shard owner.

use std::time::Duration;

/// Limits, timeouts and default values of the shard owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerConfig {
    /// Number of shards of the cluster; greater than zero.
    pub shard_count: u32,
    /// Seed of the jitter of the retry delays sent to callers.
    pub seed: u64,
    /// Number of tokens by which budget is drawn from the table at a time.
    pub budget_chunk_tokens: u64,
    /// Longest time for which a call waits for missing calls before it.
    pub gap_wait: Duration,
    /// Maximum number of dispatches of one call.
    pub max_attempts: u32,
    /// Number of retries allowed for each hundred first dispatches.
    pub retry_percent: u32,
    /// Maximum number of retries that may accumulate.
    pub retry_burst: u32,
    /// Maximum number of calls of a program whose caller sets no limit.
    pub default_turn_limit: u64,
    /// Maximum age of a program whose caller sets no limit.
    pub default_wall_limit: Duration,
    /// Number of identical calls in a row at which a program is ended.
    pub loop_limit: u32,
    /// Maximum number of waiting calls of one program.
    pub max_waiting: usize,
    /// Maximum number of ended calls whose end is not yet durable.
    pub max_uncommitted: usize,
    /// Maximum number of bytes of answers that are not yet durable.
    pub max_uncommitted_bytes: u64,
    /// Timeout after which claims to an unreachable sidecar end.
    pub claim_wait: Duration,
    /// Time between two claims for the outcome of the same call.
    pub claim_interval: Duration,
    /// Time after which a refused caller may retry, before jitter.
    pub retry_after: Duration,
    /// Whether callers of repeatable calls receive the outcome before it is
    /// durable. Until then, the sidecar retains the only other copy.
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
