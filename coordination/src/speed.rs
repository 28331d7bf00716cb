//! Smoothed speed of an engine, learned from the calls that ran on it.

use std::time::Duration;

/// Weight of a new sample, in 256ths; about the last ten calls count.
const SAMPLE_WEIGHT: u64 = 26;

/// Prompts shorter than this say more about the queue than about prefill.
const SHORTEST_PREFILL_TOKENS: u64 = 64;

/// Speeds assumed before the first sample.
const DEFAULT_TOKEN_US: u64 = 20_000;
const DEFAULT_PREFILL_TOKEN_US: u64 = 100;

/// Smoothed time for one decoded and one prefilled token.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    token_us: u64,
    prefill_token_us: u64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            token_us: DEFAULT_TOKEN_US,
            prefill_token_us: DEFAULT_PREFILL_TOKEN_US,
        }
    }
}

impl Speed {
    /// Time between two tokens of one answer, in microseconds; never zero.
    pub fn token_us(&self) -> u64 {
        self.token_us
    }

    /// Time to prefill one token, in microseconds; never zero.
    pub fn prefill_token_us(&self) -> u64 {
        self.prefill_token_us
    }

    /// Learns from a prefill of `tokens` that took `elapsed`.
    pub fn prefilled(&mut self, tokens: u64, elapsed: Duration) {
        if tokens >= SHORTEST_PREFILL_TOKENS {
            self.prefill_token_us = smoothed(self.prefill_token_us, tokens, elapsed);
        }
    }

    /// Learns from the decoding of `tokens` that took `elapsed`.
    pub fn decoded(&mut self, tokens: u64, elapsed: Duration) {
        if tokens > 1 {
            self.token_us = smoothed(self.token_us, tokens, elapsed);
        }
    }
}

fn smoothed(before: u64, tokens: u64, elapsed: Duration) -> u64 {
    let sample = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX) / tokens;
    let sample = sample.min(u64::MAX / 256);
    ((before * (256 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT) / 256).max(1)
}
