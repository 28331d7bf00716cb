//! When another copy of a call to the store is sent.

use std::time::Duration;

/// Shortest wait for an answer before another copy of the call is sent.
/// Answers take 4 to 20 ms; a few take longer when a partition is busy.
pub const MIN_TIMEOUT: Duration = Duration::from_millis(150);
/// The same while answers are lost, when waiting for them is no use: three times the
/// longest usual one.
const MIN_TIMEOUT_OF_LOST: Duration = Duration::from_millis(50);
/// The share of calls whose first copy was not answered, from which on answers count as
/// lost. Single ones are late on any day.
const LOSSY_SHARE: f64 = 0.1;
/// What the last call adds to that share.
const LAST_CALL_WEIGHT: f64 = 0.125;
/// Longest such wait. A slow store answers after 200 to 500 ms, and needs no
/// second copy of each call.
const MAX_TIMEOUT: Duration = Duration::from_secs(1);
/// Copies of one call, at most: where three answers in ten are lost, all
/// of three are lost in one of 37 transactions.
const MAX_COPIES: u32 = 3;
/// The same while the store answers other calls meanwhile, so that answers are lost and
/// not late. A lost transaction holds up its partition: where six answers in ten are
/// lost, all of six are in one of 21.
const MAX_COPIES_OF_LOST: u32 = 6;

/// The wait for the next answer: four times what answers took lately, eight of
/// them together.
pub fn next_timeout(resend_after: Duration, took: Duration) -> Duration {
    weighed(resend_after, took).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
}

fn weighed(timeout: Duration, took: Duration) -> Duration {
    (timeout * 7 + took * 4) / 8
}

/// How the store answered lately.
#[derive(Clone, Debug)]
pub struct Answers {
    /// Four times what answers took lately.
    timeout: Duration,
    /// The share of calls that were not answered to their first copy.
    lost_share: f64,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            timeout: MIN_TIMEOUT,
            lost_share: 0.0,
        }
    }
}

impl Answers {
    /// Takes note of what the answer to one copy took.
    pub fn took(&mut self, took: Duration) {
        self.timeout = weighed(self.timeout, took).min(MAX_TIMEOUT);
    }

    /// Takes note of a call that was answered. A slow store answers the first copy of
    /// most calls.
    pub fn answered(&mut self, by_first_copy: bool) {
        let last = f64::from(u8::from(!by_first_copy));
        self.lost_share += (last - self.lost_share) * LAST_CALL_WEIGHT;
    }

    /// How long to wait for an answer before another copy is sent.
    pub fn interval(&self) -> Duration {
        let least = match self.lost_share > LOSSY_SHARE {
            true => MIN_TIMEOUT_OF_LOST,
            false => MIN_TIMEOUT,
        };
        self.timeout.max(least)
    }
}

/// The copies of one call: when the next one is due.
#[derive(Clone, Debug)]
pub struct Copies {
    sent: u32,
    last_sent_at: Duration,
    interval: Duration,
}

impl Copies {
    /// A call whose first copy is sent at `now`, and others after `interval` each.
    pub fn new(now: Duration, interval: Duration) -> Self {
        Self {
            sent: 1,
            last_sent_at: now,
            interval,
        }
    }

    /// When the next copy is due; none when no more are sent. A store that answers no
    /// call is probably slow, and gets copies ever more rarely.
    pub fn due(&self, answers_others: bool) -> Option<Duration> {
        let (most, pause) = match answers_others {
            true => (MAX_COPIES_OF_LOST, self.interval),
            false => (
                MAX_COPIES,
                self.interval * (1 << (self.sent - 1).min(MAX_COPIES)),
            ),
        };
        (self.sent < most).then(|| self.last_sent_at + pause)
    }

    /// Number of copies so far.
    pub fn count(&self) -> u32 {
        self.sent
    }

    /// How long to wait for an answer before [`due`](Self::due) is asked again.
    pub fn wait(&self, now: Duration, answers_others: bool) -> Duration {
        let due = self.due(answers_others);
        let until_due = due.map_or(self.interval, |due| due.saturating_sub(now));
        until_due.min(self.interval)
    }

    /// Takes note that another copy was sent.
    pub fn sent(&mut self, now: Duration) {
        self.sent += 1;
        self.last_sent_at = now;
    }
}
