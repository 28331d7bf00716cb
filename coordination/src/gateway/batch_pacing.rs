//! Pacing of the batches of [`group_commit`](crate::gateway::group_commit): a token bucket
//! for each partition keeps the hosts within the write rate that the store declares.
//!
//! The store refuses calls beyond the rate that it declares for all hosts together, and
//! sending refused calls again makes a burst last longer. Each batch therefore takes a
//! token of its partition. Tokens come back at the partition's share of the rate, and a
//! bucket holds a few of them, so that a batch is sent at once while the partition has
//! seldom been written to. A turn needs this: the commit of its end often follows the
//! commit of its reservation in the same partition by a few milliseconds.
//!
//! The batcher of a partition keeps the bucket in memory. A batcher that starts has a full
//! bucket, and two batchers of one partition have a bucket each until the hosts agree on
//! one of them again.

use std::time::Duration;

/// The share of the store's write rate that batches use while every partition has
/// pending entries. The rest is for hosts that commit directly while their batcher is
/// unreachable, for deletions and for retries.
const BATCH_WRITE_SHARE: f64 = 0.75;

/// The time in which the store's write rate allows as many calls as the full buckets of
/// all partitions have tokens. The store counts the calls of a second, so that a tenth of
/// a second of bursts and the sustained rate of batches together stay within its rate.
const BURST_TIME: Duration = Duration::from_millis(100);

/// The rate and the burst of the batches of one partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchRate {
    /// The time in which one token comes back.
    interval: Duration,
    /// The number of tokens of a full bucket, at least one.
    burst: u32,
}

impl BatchRate {
    /// Returns the rate of each of several partitions of a store that declares
    /// `writes_per_s` for all of them together.
    ///
    /// The bursts of all partitions together are at most the calls that the store takes
    /// in a tenth of a second, except that each partition has a burst of at least one.
    pub fn new(partitions: u64, writes_per_s: u64) -> Self {
        let batches_per_s = writes_per_s as f64 * BATCH_WRITE_SHARE;
        let burst_calls = writes_per_s as f64 * BURST_TIME.as_secs_f64();
        let burst = (burst_calls / partitions.max(1) as f64) as u32;
        Self {
            interval: Duration::from_secs_f64(partitions as f64 / batches_per_s.max(1.0)),
            burst: burst.max(1),
        }
    }

    /// Returns the time in which one token comes back, which is the interval between the
    /// batches of a partition that always has pending entries.
    pub const fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns the number of batches of a partition that may be sent at once after a
    /// pause.
    pub const fn burst(&self) -> u32 {
        self.burst
    }
}

/// The token bucket of one partition. It is full at first.
#[derive(Clone, Debug, Default)]
pub struct BatchBucket {
    /// The time at which the bucket is full again if no batch is sent until then.
    full_at: Duration,
}

impl BatchBucket {
    /// Returns the earliest time at which a batch may be sent. It is in the past if the
    /// bucket has had a token for some time.
    ///
    /// After a change of the rate, the tokens taken before count at the earlier rate.
    pub fn next_batch_at(&self, rate: BatchRate) -> Duration {
        let time_to_first_token = rate.interval.saturating_mul(rate.burst - 1);
        self.full_at.saturating_sub(time_to_first_token)
    }

    /// Takes a token for a batch that is sent now.
    pub fn take(&mut self, rate: BatchRate, now: Duration) {
        self.full_at = self.full_at.max(now) + rate.interval;
    }
}
