//! What is known of one endpoint.

use std::time::Duration;

use rosebend_state::deployment::{EndpointLoad, EndpointRecord};

use super::{Choice, Listing};

/// How old a reported load may be before nothing is concluded from it.
const LOAD_MEMORY: Duration = Duration::from_millis(1_500);
/// Weight of a new sample of latency; about the last eight count.
const SAMPLE_WEIGHT: f64 = 0.12;
/// Time in which a share of failures halves without a new outcome, so that an
/// endpoint that has recovered is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// What is known of one start of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) record: EndpointRecord,
    /// Requests of this host that it has now.
    pub(super) in_flight: u32,
    pub(super) load: Option<ReportedLoad>,
    /// Until when it is avoided, after failures.
    pub(super) avoided_until: Duration,
    /// Failures in a row.
    pub(super) failures: u32,
    /// Smoothed latency in milliseconds; zero before the first sample.
    pub(super) latency_ms: f64,
    /// Smoothed share of requests that failed, as of `failure_at`.
    pub(super) failure_share: f64,
    pub(super) failure_at: Duration,
    /// Set while its entry is missing after an outage of the store.
    pub(super) lapsed_until: Option<Duration>,
    /// Until when it is slow after its start.
    pub(super) warm_at: Duration,
    /// Set while its entry cannot be read: it gets nothing new then, and what
    /// is believed of it is kept for when its entry is good again.
    pub(super) is_refused: bool,
    /// The entry of an earlier start that came after those of this one, and when.
    pub(super) earlier: Option<(EndpointRecord, Duration)>,
}

/// A load, and who told it when.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    pub(super) load: EndpointLoad,
    pub(super) at: Duration,
    /// Requests of this host that it had when it reported.
    pub(super) own: u32,
    /// Whether this host heard it itself.
    pub(super) is_first_hand: bool,
}

impl Endpoint {
    /// A start of which nothing is known but its entry.
    pub(super) fn new(record: EndpointRecord, now: Duration) -> Self {
        Self {
            warm_at: now.saturating_add(record.warming_up),
            record,
            in_flight: 0,
            load: None,
            avoided_until: Duration::ZERO,
            failures: 0,
            latency_ms: 0.0,
            failure_share: 0.0,
            failure_at: now,
            lapsed_until: None,
            is_refused: false,
            earlier: None,
        }
    }

    /// Takes another entry of the same start.
    pub(super) fn renew(&mut self, record: EndpointRecord) -> Option<Listing> {
        let began_to_drain = record.draining && !self.record.draining;
        self.record = record;
        self.lapsed_until = None;
        self.is_refused = false;
        began_to_drain.then_some(Listing::Draining)
    }

    /// Whether it may get something new.
    pub(super) fn takes_requests(&self) -> bool {
        !self.record.draining && !self.is_refused
    }

    /// Takes a load that this host heard itself, or a peer.
    pub(super) fn note_load(&mut self, load: EndpointLoad, at: Duration, is_first_hand: bool) {
        self.load = Some(ReportedLoad {
            load,
            at,
            own: self.in_flight,
            is_first_hand,
        });
    }

    /// Share of its requests that failed lately.
    pub(super) fn failure_share(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_at);
        let half_lives = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share * 0.5_f64.powf(half_lives)
    }

    pub(super) fn note_outcome(&mut self, sample: f64, weight: f64, now: Duration) {
        let share = self.failure_share(now);
        self.failure_share = share + (sample - share) * weight;
        self.failure_at = now;
    }

    pub(super) fn choice(&self, now: Duration) -> Choice<'_> {
        Choice {
            record: &self.record,
            expected_load: self.expected_load(now) as u64,
            report_age: self.load.map(|report| now.saturating_sub(report.at)),
        }
    }

    /// Requests that it has now, as far as this host can tell: its own, and
    /// those of others by the last report, which fades with its age.
    pub(super) fn expected_load(&self, now: Duration) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(report) = self.load else {
            return own;
        };
        let age = now.saturating_sub(report.at);
        let Some(left) = LOAD_MEMORY.checked_sub(age) else {
            return own;
        };
        // Any number may stand in an answer or in a peer's datagram.
        let total = report.load.running.saturating_add(report.load.waiting);
        let others = f64::from(total.saturating_sub(report.own));
        own + others * left.as_secs_f64() / LOAD_MEMORY.as_secs_f64()
    }
}

/// Moves a smoothed value towards a sample; the first sample sets it.
pub(super) fn smooth(value: &mut f64, sample: f64) {
    if *value <= 0.0 {
        *value = sample;
    } else {
        *value += (sample - *value) * SAMPLE_WEIGHT;
    }
}
