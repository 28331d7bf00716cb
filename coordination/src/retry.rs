//! How many retries the callers of one target may cause.
//!
//! A dead or slow endpoint must not double the load on the others. Each first
//! attempt at a target earns a share of one retry; a retry spends a whole one.
//! A small reserve lets single failures be retried when there is little
//! traffic, and refills slowly with time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Thousandths of a retry.
const MILLI: u64 = 1_000;

/// Why a call is sent again.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// The endpoint refused it as leaving.
    Leaving,
    /// The endpoint's queue was full.
    QueueFull,
    /// The endpoint runs under another incarnation.
    OtherIncarnation,
    /// The endpoint crashed or does not answer.
    EndpointDown,
    /// The connection was lost before anything was known.
    ConnectionLost,
}

impl RetryReason {
    /// The value of the label in counters.
    pub fn label(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::QueueFull => "queue_full",
            Self::OtherIncarnation => "other_incarnation",
            Self::EndpointDown => "endpoint_down",
            Self::ConnectionLost => "connection_lost",
        }
    }
}

/// Bounds of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Retries earned by each thousand first attempts.
    pub retries_per_thousand: u64,
    /// Most retries saved up; also what a new target starts with.
    pub max_saved: u64,
    /// Time in which one retry is earned without any first attempt.
    pub refill: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            retries_per_thousand: 100,
            max_saved: 10,
            refill: Duration::from_secs(1),
        }
    }
}

#[derive(Debug)]
struct Saved {
    /// At most `max_saved` retries.
    milli_retries: u64,
    refilled_at: Duration,
}

/// The retries that each target has left, and counts by reason.
///
/// ```
/// use std::time::Duration;
/// use rosebend_coordination::retry::{RetryBudget, RetryReason, RetrySettings};
///
/// let settings = RetrySettings { max_saved: 1, ..RetrySettings::default() };
/// let mut budget = RetryBudget::new(settings);
/// assert!(budget.try_retry(Duration::ZERO, "agent-llm", RetryReason::EndpointDown));
/// assert!(!budget.try_retry(Duration::ZERO, "agent-llm", RetryReason::EndpointDown));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    targets: HashMap<String, Saved>,
    granted: BTreeMap<RetryReason, u64>,
    denied: BTreeMap<RetryReason, u64>,
}

impl RetryBudget {
    /// Makes a budget in which every target has its full reserve.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            targets: HashMap::new(),
            granted: BTreeMap::new(),
            denied: BTreeMap::new(),
        }
    }

    /// Notes that a call is sent to a target for the first time.
    pub fn first_attempt(&mut self, now: Duration, target: &str) {
        let earned = self.settings.retries_per_thousand;
        let limit = self.settings.max_saved * MILLI;
        let saved = self.saved(now, target);
        saved.milli_retries = (saved.milli_retries + earned).min(limit);
    }

    /// Spends a retry, if the target has one left. Without one the caller is
    /// told that the call was not run, or that its outcome is unknown.
    pub fn try_retry(&mut self, now: Duration, target: &str, reason: RetryReason) -> bool {
        let saved = self.saved(now, target);
        let granted = saved.milli_retries >= MILLI;
        if granted {
            saved.milli_retries -= MILLI;
        }
        let counts = if granted {
            &mut self.granted
        } else {
            &mut self.denied
        };
        *counts.entry(reason).or_default() += 1;
        granted
    }

    /// Retries granted so far, by reason.
    pub fn granted(&self) -> &BTreeMap<RetryReason, u64> {
        &self.granted
    }

    /// Retries denied so far, by reason.
    pub fn denied(&self) -> &BTreeMap<RetryReason, u64> {
        &self.denied
    }

    fn saved(&mut self, now: Duration, target: &str) -> &mut Saved {
        let limit = self.settings.max_saved * MILLI;
        if !self.targets.contains_key(target) {
            let full = Saved {
                milli_retries: limit,
                refilled_at: now,
            };
            self.targets.insert(target.to_owned(), full);
        }
        let saved = self.targets.get_mut(target).expect("it was just inserted");
        saved.refill(now, self.settings.refill, limit);
        saved
    }
}

impl Saved {
    fn refill(&mut self, now: Duration, refill: Duration, limit: u64) {
        let elapsed_us = now.saturating_sub(self.refilled_at).as_micros();
        let earned = elapsed_us * u128::from(MILLI) / refill.as_micros().max(1);
        if earned == 0 {
            return;
        }
        let earned = u64::try_from(earned).unwrap_or(u64::MAX);
        self.milli_retries = self.milli_retries.saturating_add(earned).min(limit);
        self.refilled_at = now;
    }
}
