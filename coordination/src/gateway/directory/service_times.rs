//! The observed times of one service, as they would be at the work time factor 1.

use std::time::Duration;

/// Smallest weight of a new sample. The values average over about the last fifty
/// samples, because the lengths of turns vary widely.
const MIN_WEIGHT: f64 = 0.02;
/// Variance of the numbers of tokens, relative to the square of their mean, below which
/// they are too similar to tell the time per token from the time of an empty turn.
const MIN_RELATIVE_VARIANCE: f64 = 0.01;
/// Time of a turn until one has been observed.
const DEFAULT_TURN_MS: f64 = 280.0;
/// Time of a request that is no turn until one has been observed.
const DEFAULT_REQUEST_MS: f64 = 100.0;
/// Time per prompt token until a turn has been observed.
const DEFAULT_PROMPT_TOKEN_MS: f64 = 0.1;
/// Time per output token until a turn has been observed.
const DEFAULT_OUTPUT_TOKEN_MS: f64 = 3.0;

/// A turn that has ended, as the gateway observed it at its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CompletedTurn {
    /// Prompt tokens that were not in the engine's memory.
    pub prompt_tokens: u64,
    /// Output tokens that were received.
    pub output_tokens: u64,
    /// Time from sending the turn to its first output.
    pub first_event: Duration,
    /// Time from sending the turn to its end.
    pub duration: Duration,
}

/// Smoothed times of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTimes {
    request_ms: Average,
    turn_ms: Average,
    prompt: TokenTimes,
    output: TokenTimes,
}

impl ServiceTimes {
    /// Adds the time of a request that is no turn, as it would be at the factor 1.
    pub(super) fn add_request(&mut self, request_ms: f64) {
        self.request_ms.add(request_ms);
    }

    /// Adds a turn that ran at an endpoint with the work time factor `factor`.
    pub(super) fn add_turn(&mut self, turn: &CompletedTurn, factor: f64) {
        let first_event_ms = milliseconds(turn.first_event) / factor;
        let turn_ms = milliseconds(turn.duration) / factor;
        self.turn_ms.add(turn_ms);
        self.prompt.add(turn.prompt_tokens as f64, first_event_ms);
        let output_ms = (turn_ms - first_event_ms).max(0.0);
        self.output.add(turn.output_tokens as f64, output_ms);
    }

    /// Returns the time of a request that is no turn.
    pub(super) fn request_ms(&self) -> f64 {
        self.request_ms.value().unwrap_or(DEFAULT_REQUEST_MS)
    }

    /// Returns the time for which a turn occupies a slot.
    pub(super) fn turn_ms(&self) -> f64 {
        self.turn_ms.value().unwrap_or(DEFAULT_TURN_MS)
    }

    /// Returns the time to process prompt tokens.
    pub(super) fn prompt_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let observed = self.prompt.time_ms(tokens);
        observed.unwrap_or(tokens * DEFAULT_PROMPT_TOKEN_MS)
    }

    /// Returns the time to generate a number of output tokens, or that of the average
    /// turn if the number is not known.
    pub(super) fn output_ms(&self, tokens: Option<u64>) -> f64 {
        let Some(tokens) = tokens else {
            let average = self.output.time_ms.value();
            return average.unwrap_or(DEFAULT_TURN_MS);
        };
        let tokens = tokens as f64;
        let observed = self.output.time_ms(tokens);
        observed.unwrap_or(tokens * DEFAULT_OUTPUT_TOKEN_MS)
    }
}

/// An average in which old samples lose weight.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    value: f64,
    samples: u32,
}

impl Average {
    fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_WEIGHT);
        self.value += (sample - self.value) * weight;
    }

    fn value(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}

/// Times of numbers of tokens, and the line through them: a time per token and a time
/// that does not depend on the tokens.
#[derive(Clone, Copy, Debug, Default)]
struct TokenTimes {
    tokens: Average,
    time_ms: Average,
    tokens_squared: Average,
    tokens_by_time: Average,
}

impl TokenTimes {
    fn add(&mut self, tokens: f64, time_ms: f64) {
        if tokens <= 0.0 {
            return;
        }
        self.tokens.add(tokens);
        self.time_ms.add(time_ms);
        self.tokens_squared.add(tokens * tokens);
        self.tokens_by_time.add(tokens * time_ms);
    }

    /// Returns the expected time of a number of tokens, or `None` without a sample.
    fn time_ms(&self, tokens: f64) -> Option<f64> {
        let (mean_tokens, mean_ms) = (self.tokens.value()?, self.time_ms.value()?);
        // Neither the time per token nor the time without tokens can be negative.
        let max_token_ms = mean_ms / mean_tokens;
        let square = mean_tokens * mean_tokens;
        let variance = self.tokens_squared.value()? - square;
        let token_ms = match variance > square * MIN_RELATIVE_VARIANCE {
            true => (self.tokens_by_time.value()? - mean_tokens * mean_ms) / variance,
            false => max_token_ms,
        };
        let token_ms = token_ms.clamp(0.0, max_token_ms);
        Some(mean_ms + token_ms * (tokens - mean_tokens))
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
