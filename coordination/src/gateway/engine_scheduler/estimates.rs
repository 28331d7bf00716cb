//! Smoothed durations of turns.

use std::time::Duration;

use super::message::ReleasedPlacement;

/// Weight of a new sample. About the last twenty turns dominate an estimate; a group ends
/// that many within 50 ms under load.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Time for which a turn holds a slot, before the first sample, in milliseconds. Turns of
/// the measured deployments take 160 to 280 ms.
const INITIAL_HOLD_MS: f64 = 200.0;
/// Time from sending a turn to its first event, before the first sample, in milliseconds.
pub(super) const INITIAL_FIRST_EVENT_MS: f64 = 50.0;
/// Largest sample of the time to the first event, relative to the present estimate. A host
/// that was paused reports its pause as the time of all its turns. Engines that become slower
/// still raise the estimate by a tenth with each turn.
const FIRST_EVENT_RATIO: f64 = 3.0;
/// Half-life of the time to the first event, relative to the initial value, while there are
/// no new samples. Without the decay, a stall of the engines would raise the time above the
/// deadlines of all turns, and a group that refuses every turn gets no new sample.
const FIRST_EVENT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Bounds of a turn's expected output relative to the mean. Estimates of callers are often
/// far off, and a wrong one must not outweigh the other costs without limit.
const OUTPUT_RATIO: (f64, f64) = (0.25, 4.0);

/// Largest number of output tokens that the first sample of their mean counts for. The mean
/// follows the next samples only slowly.
const LARGEST_FIRST_OUTPUT: f64 = 4_096.0;

/// Estimates of one group.
#[derive(Debug)]
pub(super) struct Estimates {
    /// Time for which a turn holds a slot.
    hold_ms: f64,
    /// Time for which a turn holds a slot of an engine of the usual speed.
    usual_hold_ms: f64,
    /// Time from sending a turn to its first event.
    first_event_ms: f64,
    first_event_at: Duration,
    /// Expected output tokens of the turns that state them.
    output_tokens: Option<f64>,
}

impl Default for Estimates {
    fn default() -> Self {
        Self {
            hold_ms: INITIAL_HOLD_MS,
            usual_hold_ms: INITIAL_HOLD_MS,
            first_event_ms: INITIAL_FIRST_EVENT_MS,
            first_event_at: Duration::ZERO,
            output_tokens: None,
        }
    }
}

impl Estimates {
    /// Records the expected output of a turn.
    pub(super) fn record_output(&mut self, expected_tokens: Option<u64>) {
        let Some(expected_tokens) = expected_tokens else {
            return;
        };
        let sample = expected_tokens as f64;
        let mean = self
            .output_tokens
            .get_or_insert(sample.clamp(1.0, LARGEST_FIRST_OUTPUT));
        let (smallest, largest) = OUTPUT_RATIO;
        let sample = sample.clamp(*mean * smallest, *mean * largest);
        add_sample(mean, sample);
    }

    /// Records a turn that held a slot.
    ///
    /// Every turn counts for the rate at which slots become free. Only turns with an event
    /// count for the work time, because the others failed or were cancelled.
    pub(super) fn record_end(
        &mut self,
        held: Duration,
        work_time_percent: u32,
        ended: &ReleasedPlacement,
        now: Duration,
    ) {
        let held_ms = held.as_secs_f64() * 1_000.0;
        add_sample(&mut self.hold_ms, held_ms);
        if let Some(first_event_ms) = ended.first_event_ms {
            let usual_ms = held_ms * 100.0 / f64::from(work_time_percent.max(1));
            add_sample(&mut self.usual_hold_ms, usual_ms);
            self.first_event_ms = self.first_event_ms(now);
            self.first_event_at = now;
            let largest_ms = self.first_event_ms * FIRST_EVENT_RATIO;
            let sample_ms = (first_event_ms as f64).min(largest_ms);
            add_sample(&mut self.first_event_ms, sample_ms);
        }
    }

    /// Returns the expected time of a turn at an engine of the usual speed, in
    /// milliseconds.
    pub(super) fn turn_ms(&self, expected_tokens: Option<u64>) -> f64 {
        let ratio = match (expected_tokens, self.output_tokens) {
            (Some(tokens), Some(mean)) if mean > 0.0 => tokens as f64 / mean,
            _ => 1.0,
        };
        self.usual_hold_ms * ratio.clamp(OUTPUT_RATIO.0, OUTPUT_RATIO.1)
    }

    /// Returns the usual time from sending a turn to its first event, in milliseconds.
    pub(super) fn first_event_ms(&self, now: Duration) -> f64 {
        let excess_ms = self.first_event_ms - INITIAL_FIRST_EVENT_MS;
        if excess_ms <= 0.0 {
            return self.first_event_ms;
        }
        let age = now.saturating_sub(self.first_event_at);
        let half_lives = age.as_secs_f64() / FIRST_EVENT_HALF_LIFE.as_secs_f64();
        INITIAL_FIRST_EVENT_MS + excess_ms * 0.5_f64.powf(half_lives)
    }

    /// Returns the time until `ahead` turns have got a slot of `slots`, in milliseconds.
    pub(super) fn wait_ms(&self, ahead: usize, slots: u32) -> f64 {
        ahead as f64 * self.hold_ms / f64::from(slots.max(1))
    }
}

fn add_sample(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SAMPLE_WEIGHT;
}
