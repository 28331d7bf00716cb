//! Partitions that the store refuses while it answers for others.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// How long a partition is not asked after it was refused. Its return is noticed
/// within this time, and what waits for it costs a few calls a second.
const ASK_AGAIN: Duration = Duration::from_millis(250);
/// How long after its last refusal a partition counts as refused. What waits for it
/// asks again before that; where nothing waits, the next call finds out.
const BELIEVED_FOR: Duration = Duration::from_millis(600);
/// How long after its last refusal a partition is doubted: what is sent for it waits
/// to see that it is answered.
const DOUBTED_FOR: Duration = Duration::from_secs(2);

/// Refusals of one partition in a row.
#[derive(Clone, Copy, Debug)]
struct Refused {
    since: Duration,
    last_at: Duration,
}

impl Refused {
    fn is_within(&self, span: Duration, now: Duration) -> bool {
        now.saturating_sub(self.last_at) < span
    }
}

/// The partitions that are refused.
#[derive(Debug, Default)]
pub struct RefusedPartitions {
    partitions: RefCell<HashMap<String, Refused>>,
}

impl RefusedPartitions {
    /// Takes note that a call for a partition was refused.
    pub fn note_refused(&self, partition: &str, now: Duration) {
        let mut partitions = self.partitions.borrow_mut();
        partitions.retain(|_, refused| refused.is_within(DOUBTED_FOR, now));
        let first = Refused {
            since: now,
            last_at: now,
        };
        let refused = partitions.entry(partition.to_owned()).or_insert(first);
        refused.last_at = now;
    }

    /// Takes note that a call for a partition was answered.
    pub fn note_answered(&self, partition: &str) {
        self.partitions.borrow_mut().remove(partition);
    }

    /// Whether a partition is not to be asked now.
    pub fn is_left_alone(&self, partition: &str, now: Duration) -> bool {
        let refused = self.get(partition);
        refused.is_some_and(|refused| refused.is_within(ASK_AGAIN, now))
    }

    /// For how long a partition has been refused; none while it is answered.
    pub fn refused_for(&self, partition: &str, now: Duration) -> Option<Duration> {
        let refused = self.get(partition)?;
        let is_believed = refused.is_within(BELIEVED_FOR, now);
        is_believed.then(|| now.saturating_sub(refused.since))
    }

    /// Whether a partition was refused lately and not answered since.
    pub fn is_doubted(&self, partition: &str, now: Duration) -> bool {
        let refused = self.get(partition);
        refused.is_some_and(|refused| refused.is_within(DOUBTED_FOR, now))
    }

    fn get(&self, partition: &str) -> Option<Refused> {
        self.partitions.borrow().get(partition).copied()
    }
}
