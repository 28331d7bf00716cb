//! What a replay measures while it runs.

use std::collections::{BTreeMap, BTreeSet};

use crate::clairvoyant::{self, Access};
use crate::shares::Shares;

/// How a program ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgramEnd {
    /// With its last step.
    Finished,
    /// By the limit of turns.
    Limited,
}

/// One program that has ended.
#[derive(Clone, Debug)]
pub struct ProgramResult {
    /// Its customer.
    pub customer: String,
    /// How it ended.
    pub end: ProgramEnd,
    /// From its first call to its end.
    pub latency_us: u64,
    /// The same on an empty system with all history warm.
    pub critical_path_us: u64,
    /// To the first token of its first answer.
    pub first_token_us: u64,
    /// Ended within its deadline.
    pub in_time: bool,
}

/// Counts and sums of one replay.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// Programs in the order of their ends.
    pub programs: Vec<ProgramResult>,
    /// From a model call to its first token.
    pub first_token_us: Vec<u64>,
    /// Prompt tokens of model calls.
    pub prompt_tokens: u64,
    /// Prompt tokens found in a cache or an export.
    pub cached_tokens: u64,
    /// Prompts and answers in the order in which engines had them.
    pub accesses: Vec<Access>,
    /// KV memory of all engines.
    pub cache_tokens: u64,
    /// Token-microseconds held for programs that had ended.
    pub held_ended: u128,
    /// Token-microseconds held in pauses after which it was not used.
    pub held_unused: u128,
    /// Token-microseconds held in pauses after which it was used.
    pub held_used: u128,
    /// Token-microseconds of running calls.
    pub running: u128,
    /// Events by name: refusals, retries, moves and so on.
    pub counts: BTreeMap<&'static str, u64>,
    /// Dispatches of model calls.
    pub dispatches: u64,
    /// Model calls.
    pub calls: u64,
    /// Largest and mean number of calls at an engine, sampled.
    pub spread: Vec<(u64, f64)>,
    /// What each customer asked for and got.
    pub shares: Shares,
    /// Tool calls that may not be repeated and were run, for repeats.
    pub effects: BTreeMap<String, u64>,
    /// Sum of the engines' time in steps.
    pub busy_us: u64,
    /// When the last program ended.
    pub end_us: u64,
}

impl Measures {
    /// Counts an event.
    pub fn count(&mut self, event: &'static str) {
        *self.counts.entry(event).or_default() += 1;
    }

    /// How often an event was counted.
    pub fn counted(&self, event: &str) -> u64 {
        self.counts.get(event).copied().unwrap_or(0)
    }

    /// Latencies in milliseconds, of one customer or of all.
    pub fn latencies_ms(&self, customer: Option<&str>) -> Vec<f64> {
        self.finished(customer)
            .map(|program| program.latency_us as f64 / 1_000.0)
            .collect()
    }

    /// Latencies divided by the critical path.
    pub fn slowdowns(&self, customer: Option<&str>) -> Vec<f64> {
        self.finished(customer)
            .map(|program| program.latency_us as f64 / program.critical_path_us.max(1) as f64)
            .collect()
    }

    /// Time to the first token of each model call, in milliseconds.
    pub fn first_tokens_ms(&self) -> Vec<f64> {
        let to_ms = |us: &u64| *us as f64 / 1_000.0;
        self.first_token_us.iter().map(to_ms).collect()
    }

    /// The customers that had programs.
    pub fn customers(&self) -> BTreeSet<String> {
        let names = self.programs.iter().map(|program| &program.customer);
        names.cloned().collect()
    }

    /// Programs that ended within their deadline, in percent.
    pub fn goodput_percent(&self, customer: Option<&str>) -> f64 {
        let in_time = self.finished(customer).filter(|p| p.in_time).count();
        100.0 * in_time as f64 / self.finished(customer).count().max(1) as f64
    }

    /// Prefix tokens that a clairvoyant cache would have kept and that were
    /// computed again, in percent of what it would have kept.
    pub fn recomputed_percent(&self) -> f64 {
        let kept = clairvoyant::kept_tokens(&self.accesses, self.cache_tokens);
        let lost = kept.saturating_sub(self.cached_tokens);
        100.0 * lost as f64 / kept.max(1) as f64
    }

    /// Token-time held for ended programs, in percent of all.
    pub fn held_ended_percent(&self) -> f64 {
        self.percent_of_token_time(self.held_ended)
    }

    /// Token-time held in pauses and not used again, in percent of all.
    pub fn held_unused_percent(&self) -> f64 {
        self.percent_of_token_time(self.held_unused)
    }

    /// Largest over mean number of calls at an engine, averaged over the
    /// samples in which engines had two or more calls on average.
    pub fn herding(&self) -> f64 {
        let busy = self.spread.iter().filter(|(_, mean)| *mean >= 2.0);
        let ratios: Vec<f64> = busy.map(|(largest, mean)| *largest as f64 / mean).collect();
        ratios.iter().sum::<f64>() / ratios.len().max(1) as f64
    }

    /// Dispatches for each model call.
    pub fn amplification(&self) -> f64 {
        self.dispatches as f64 / self.calls.max(1) as f64
    }

    /// The least of what customers got over what was fair, by windows.
    pub fn least_share(&self) -> f64 {
        self.shares.least()
    }

    /// Effects that happened more than once.
    pub fn doubled_effects(&self) -> usize {
        self.effects.values().filter(|count| **count > 1).count()
    }

    fn finished(&self, customer: Option<&str>) -> impl Iterator<Item = &ProgramResult> {
        self.programs
            .iter()
            .filter(|program| program.end == ProgramEnd::Finished)
            .filter(move |program| customer.is_none_or(|name| program.customer == name))
    }

    fn percent_of_token_time(&self, part: u128) -> f64 {
        let all = self.held_ended + self.held_unused + self.held_used + self.running;
        100.0 * part as f64 / all.max(1) as f64
    }
}

/// The value below which `percent` of the values lie.
pub fn percentile(values: &[f64], percent: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (percent / 100.0 * sorted.len() as f64).ceil() as usize;
    let index = rank.saturating_sub(1).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0.0)
}
