//! Tests the token buckets that pace the batches of each partition.
//!
//! Two failures are guarded against: a commit that waits for the pace of its partition
//! although the store is idle, and batches that together exceed the rate of the store,
//! which refuses calls beyond it.

use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::gateway::batch_pacing::{BatchBucket, BatchRate};

const PARTITIONS: u64 = 16;
const SECOND: Duration = Duration::from_secs(1);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Sends a batch at the given time or as soon after it as the bucket permits. Returns the
/// time at which it is sent.
fn send(bucket: &mut BatchBucket, rate: BatchRate, at: Duration) -> Duration {
    let sent_at = bucket.next_batch_at(rate).max(at);
    bucket.take(rate, sent_at);
    sent_at
}

/// Returns the largest number of batches that begin within any second.
fn most_within_a_second(mut sent_at: Vec<Duration>) -> usize {
    sent_at.sort_unstable();
    let ends = sent_at.iter().enumerate();
    let counts = ends.map(|(last, end)| {
        let first = sent_at.partition_point(|begin| *begin + SECOND <= *end);
        last + 1 - first
    });
    counts.max().unwrap_or(0)
}

#[test]
fn the_burst_is_a_tenth_of_a_second_of_the_declared_rate() {
    // Write rate, burst of each partition.
    let cases = [
        (3_200, 20),
        (1_500, 9),
        (800, 5),
        (700, 4),
        (160, 1),
        (100, 1),
        (1, 1),
    ];
    for (writes_per_s, burst) in cases {
        let rate = BatchRate::new(PARTITIONS, writes_per_s);
        assert_eq!(rate.burst(), burst, "{writes_per_s} writes per second");
    }
    let interval = BatchRate::new(PARTITIONS, 1_500).interval();
    assert_eq!(interval.as_micros(), 14_222);
}

/// Guards against a turn whose end waits for the pace, because its reservation was
/// committed a few milliseconds before in the same partition.
#[test]
fn a_sparse_partition_commits_at_once() {
    for writes_per_s in [800, 1_500, 3_200] {
        let rate = BatchRate::new(PARTITIONS, writes_per_s);
        let mut bucket = BatchBucket::default();
        for turn in 0..200 {
            let reservation = ms(turn * 100);
            let end = reservation + ms(5);
            for at in [reservation, end] {
                assert_eq!(send(&mut bucket, rate, at), at, "turn {turn}");
            }
        }
    }
}

#[test]
fn a_saturated_partition_keeps_the_sustained_rate() {
    for writes_per_s in [1, 100, 800, 1_500, 3_200] {
        let rate = BatchRate::new(PARTITIONS, writes_per_s);
        let mut bucket = BatchBucket::default();
        let burst = rate.burst() as usize;
        let sent_at: Vec<Duration> = (0..burst + 100)
            .map(|_| send(&mut bucket, rate, ms(7)))
            .collect();
        assert!(sent_at[..burst].iter().all(|at| *at == ms(7)));
        for pair in sent_at[burst - 1..].windows(2) {
            assert_eq!(pair[1] - pair[0], rate.interval(), "{writes_per_s} writes");
        }
    }
}

#[test]
fn a_bucket_is_full_again_after_a_pause_and_holds_no_more_than_the_burst() {
    let rate = BatchRate::new(PARTITIONS, 800);
    let mut bucket = BatchBucket::default();
    while send(&mut bucket, rate, Duration::ZERO) == Duration::ZERO {}
    for pause in [SECOND, 100 * SECOND] {
        let at_once = (0..100).map(|_| send(&mut bucket, rate, pause));
        let at_once = at_once.filter(|sent_at| *sent_at == pause).count();
        assert_eq!(at_once, 5, "after {pause:?}");
    }
}

/// A process that replaces a batcher has a full bucket, so that a restart costs the rate
/// one burst more and no commit a wait.
#[test]
fn a_batcher_that_starts_has_a_full_bucket() {
    let rate = BatchRate::new(PARTITIONS, 800);
    let mut before = BatchBucket::default();
    for _ in 0..100 {
        send(&mut before, rate, SECOND);
    }
    let mut after = BatchBucket::default();
    let sent_at: Vec<Duration> = (0..6).map(|_| send(&mut after, rate, SECOND)).collect();
    assert!(sent_at[..5].iter().all(|at| *at == SECOND));
    assert_eq!(sent_at[5], SECOND + rate.interval());
}

/// Two hosts that disagree on the batcher of a partition have a bucket each, so that their
/// batches together are at most twice those of one batcher.
#[test]
fn two_batchers_of_a_partition_send_at_most_twice_the_batches_of_one() {
    let rate = BatchRate::new(PARTITIONS, 1_500);
    let saturate = |bucket: &mut BatchBucket| -> Vec<Duration> {
        let sent_at = std::iter::repeat_with(|| send(bucket, rate, Duration::ZERO));
        sent_at.take_while(|at| *at < 3 * SECOND).collect()
    };
    let one = saturate(&mut BatchBucket::default());
    let mut two = one.clone();
    two.extend(saturate(&mut BatchBucket::default()));
    assert!(most_within_a_second(two) <= 2 * most_within_a_second(one));
}

/// After a change of the declared rate, the new rate holds once the tokens that were taken
/// at the earlier rate have come back, which takes at most the wait for one batch.
#[test]
fn a_change_of_the_rate_takes_effect_with_the_next_batch() {
    let (low, high) = (
        BatchRate::new(PARTITIONS, 100),
        BatchRate::new(PARTITIONS, 1_500),
    );
    let mut bucket = BatchBucket::default();
    assert_eq!(send(&mut bucket, low, Duration::ZERO), Duration::ZERO);
    let next = send(&mut bucket, high, Duration::ZERO);
    assert!(next <= low.interval());
    let mut bucket = BatchBucket::default();
    while send(&mut bucket, high, Duration::ZERO) == Duration::ZERO {}
    let first = send(&mut bucket, low, Duration::ZERO);
    let second = send(&mut bucket, low, Duration::ZERO);
    assert_eq!(second - first, low.interval());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against bursts that add up: whatever the arrivals, the batches of all
    /// partitions within any second stay within the declared rate and the bursts.
    #[test]
    fn all_partitions_stay_within_the_declared_rate_and_the_bursts(
        writes_per_s in 16u64..2_000,
        pauses_ms in prop::collection::vec(
            prop::collection::vec(prop_oneof![5 => Just(0u64), 3 => 0u64..20, 1 => 100u64..1_500], 1..150),
            PARTITIONS as usize,
        ),
    ) {
        let rate = BatchRate::new(PARTITIONS, writes_per_s);
        let mut sent_at = Vec::new();
        for pauses_ms in pauses_ms {
            let mut bucket = BatchBucket::default();
            let mut now = Duration::ZERO;
            for pause_ms in pauses_ms {
                now = send(&mut bucket, rate, now + ms(pause_ms));
                sent_at.push(now);
            }
        }
        let bursts = PARTITIONS * u64::from(rate.burst());
        let most = most_within_a_second(sent_at) as u64;
        prop_assert!(most <= writes_per_s + bursts, "{most} batches in a second");
        // The sustained rate of the batches is three quarters of the declared rate. Where
        // a tenth of a second gives each partition a token, all stays within the rate.
        if writes_per_s >= 10 * PARTITIONS {
            prop_assert!(bursts <= writes_per_s / 10);
            prop_assert!(most <= writes_per_s, "{most} batches in a second");
        }
    }
}
