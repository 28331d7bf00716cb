//! The work time factor of one endpoint, as its load reports state it.

use std::time::Duration;

/// Time constant with which the last reported factor decays to the smoothed one. The
/// reported figure changes about as fast.
const DECAY: Duration = Duration::from_millis(600);
/// Time constant of the smoothed factor. It spans several changes of the reported
/// figure, so that it shows how slow the endpoint is in general.
const SMOOTHING: Duration = Duration::from_secs(4);
/// Age at which a reported factor no longer counts.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Time constant with which the factor decays to the mean of its service. A slow endpoint
/// receives few requests and reports only with its responses, so that it would otherwise
/// stay out of use after it has recovered. A fast one whose report is old may have become
/// slow and have a queue; without this decay, turns took 4 % longer on average.
const FORGETTING: Duration = Duration::from_secs(20);
/// Reported figure that corresponds to the factor 1.
const USUAL_PERCENT: f64 = 100.0;

/// The last reported factor of an endpoint and its average.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkTime {
    /// Last reported factor.
    last: f64,
    /// Time of the last report.
    at: Duration,
    /// Average of the reported factors, weighted by time.
    smoothed: f64,
}

impl WorkTime {
    /// Creates the state after the first report.
    pub(super) fn new(work_time_percent: u32, at: Duration) -> Self {
        let factor = f64::from(work_time_percent) / USUAL_PERCENT;
        Self {
            last: factor,
            at,
            smoothed: factor,
        }
    }

    /// Adds a report that is at least as new as the last one.
    pub(super) fn add(&mut self, work_time_percent: u32, at: Duration) {
        let factor = f64::from(work_time_percent) / USUAL_PERCENT;
        let weight = 1.0 - decay(at.saturating_sub(self.at), SMOOTHING);
        self.smoothed += (factor - self.smoothed) * weight;
        self.last = factor;
        self.at = at;
    }

    /// Returns true if the last report is recent enough to count.
    pub(super) fn is_recent(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) < MAX_AGE
    }

    /// Returns the expected factor at time `now`: the last reported one, decayed to
    /// the smoothed one.
    pub(super) fn factor(&self, now: Duration) -> f64 {
        let remaining = decay(now.saturating_sub(self.at), DECAY);
        self.smoothed + (self.last - self.smoothed) * remaining
    }

    /// Returns the expected factor at time `now`, decayed to the mean of the service.
    pub(super) fn factor_or_mean(&self, mean: f64, now: Duration) -> f64 {
        let remaining = decay(now.saturating_sub(self.at), FORGETTING);
        mean + (self.factor(now) - mean) * remaining
    }

    /// Returns the expected factor in percent.
    pub(super) fn percent(&self, now: Duration) -> u32 {
        (self.factor(now) * USUAL_PERCENT).round() as u32
    }
}

/// Returns the part that remains of a value which decays with a time constant.
pub(super) fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
