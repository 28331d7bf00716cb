//! The state that a gateway keeps for one endpoint.

use std::time::Duration;

use rosebend_state::deployment::{EndpointLoad, EndpointRecord, valid_work_time_percent};

use super::work_time::WorkTime;
use super::{ListingChange, Selection};

/// Age at which a load report no longer counts. Until then its weight falls
/// linearly.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);
/// Weight of a new latency sample in the smoothed latency. It averages over about
/// the last eight samples.
const LATENCY_WEIGHT: f64 = 0.12;
/// Time in which the failure rate halves if there is no new outcome, so that an
/// endpoint that has recovered is selected again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// The state of one incarnation of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    /// The endpoint's latest entry.
    pub(super) record: EndpointRecord,
    /// Number of in-flight requests of this gateway at the endpoint.
    pub(super) in_flight: u32,
    /// Latest load report, from the endpoint or from a peer gateway.
    pub(super) load: Option<ReportedLoad>,
    /// Reported speed of the endpoint, if it has reported one.
    pub(super) work_time: Option<WorkTime>,
    /// End of the backoff after failures; zero if there is none.
    pub(super) backoff_until: Duration,
    /// Number of failures since the last response.
    pub(super) consecutive_failures: u32,
    /// Smoothed latency in milliseconds; zero before the first sample.
    pub(super) latency_ms: f64,
    /// Smoothed share of failed requests, between 0 and 1, as of `failure_rate_at`.
    pub(super) failure_rate: f64,
    /// Time of the last update of `failure_rate`.
    pub(super) failure_rate_at: Duration,
    /// Time at which the endpoint is dropped; set while its entry is missing after
    /// an outage of the store.
    pub(super) lapse_deadline: Option<Duration>,
    /// End of the period after its start in which the endpoint is slow.
    pub(super) warmed_up_at: Duration,
    /// True while the endpoint's entry is invalid. The endpoint receives no new
    /// requests then, but its state is kept for the time when the entry is valid
    /// again.
    pub(super) has_invalid_entry: bool,
    /// Entry of an earlier incarnation that arrived after an entry of this one, and
    /// the time at which the first such entry arrived.
    pub(super) older_incarnation: Option<(EndpointRecord, Duration)>,
}

/// A load report and its origin.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    /// The reported load.
    pub(super) load: EndpointLoad,
    /// Time at which this gateway or the peer received the report.
    pub(super) at: Duration,
    /// Number of in-flight requests of this gateway at the endpoint when the report
    /// was recorded. They are assumed to be part of the reported load.
    pub(super) own_in_flight: u32,
    /// True if this gateway received the report from the endpoint, false if a peer
    /// gateway forwarded it.
    pub(super) is_direct: bool,
}

impl Endpoint {
    /// Creates the state of an incarnation for which there are no reports or
    /// outcomes yet.
    pub(super) fn new(record: EndpointRecord, now: Duration) -> Self {
        Self {
            warmed_up_at: now.saturating_add(record.warming_up),
            record,
            in_flight: 0,
            load: None,
            work_time: None,
            backoff_until: Duration::ZERO,
            consecutive_failures: 0,
            latency_ms: 0.0,
            failure_rate: 0.0,
            failure_rate_at: now,
            lapse_deadline: None,
            has_invalid_entry: false,
            older_incarnation: None,
        }
    }

    /// Replaces the entry by a newer one of the same incarnation. Returns
    /// [`ListingChange::Draining`] if the endpoint starts to drain.
    pub(super) fn update_record(&mut self, record: EndpointRecord) -> Option<ListingChange> {
        let began_to_drain = record.draining && !self.record.draining;
        self.record = record;
        self.lapse_deadline = None;
        self.has_invalid_entry = false;
        began_to_drain.then_some(ListingChange::Draining)
    }

    /// Returns true if new requests may be sent to the endpoint.
    pub(super) fn accepts_requests(&self) -> bool {
        !self.record.draining && !self.has_invalid_entry
    }

    /// Replaces the load report. `is_direct` is true if the endpoint sent it to this
    /// gateway, false if a peer forwarded it.
    pub(super) fn set_report(&mut self, mut load: EndpointLoad, at: Duration, is_direct: bool) {
        load.work_time_percent = load.work_time_percent.and_then(valid_work_time_percent);
        if let Some(work_time_percent) = load.work_time_percent {
            match &mut self.work_time {
                Some(work_time) => work_time.add(work_time_percent, at),
                None => self.work_time = Some(WorkTime::new(work_time_percent, at)),
            }
        }
        self.load = Some(ReportedLoad {
            load,
            at,
            own_in_flight: self.in_flight,
            is_direct,
        });
    }

    /// Returns the failure rate at time `now`, after its decay since the last
    /// outcome.
    pub(super) fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_rate_at);
        let half_lives = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    /// Adds an outcome to the failure rate: 1 for a failure, 0 for a response.
    pub(super) fn record_outcome(&mut self, sample: f64, weight: f64, now: Duration) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (sample - rate) * weight;
        self.failure_rate_at = now;
    }

    /// Returns the endpoint as the result of a selection.
    pub(super) fn selection(&self, now: Duration) -> Selection<'_> {
        Selection {
            record: &self.record,
            expected_load: self.expected_load(now) as u64,
            report_age: self.report_age(now),
            work_time_percent: None,
            expected_time: None,
        }
    }

    /// Returns the age of the last load report.
    pub(super) fn report_age(&self, now: Duration) -> Option<Duration> {
        self.load.map(|report| now.saturating_sub(report.at))
    }

    /// Returns the number of requests of other gateways according to the last load
    /// report; 0 without one.
    pub(super) fn others_requests(&self) -> f64 {
        self.load.map_or(0.0, |report| {
            // A response or a peer's datagram may contain any numbers, so the sum must
            // not overflow.
            let total = report.load.running.saturating_add(report.load.waiting);
            f64::from(total.saturating_sub(report.own_in_flight))
        })
    }

    /// Returns true if the time of a request that ends now tells the time of its work.
    /// If requests wait at the endpoint, the request probably waited, too.
    pub(super) fn is_sample(&self) -> bool {
        self.load.is_none_or(|report| report.load.waiting == 0)
    }

    /// Returns the work time factor by which a time at the endpoint is divided to get
    /// the usual time; 1 if the endpoint reports no speed.
    pub(super) fn factor(&self, now: Duration) -> f64 {
        let work_time = self.work_time.filter(|work_time| work_time.is_recent(now));
        work_time.map_or(1.0, |work_time| work_time.factor(now))
    }

    /// Estimates the number of requests at the endpoint: the in-flight requests of
    /// this gateway, plus those of other gateways according to the last load report,
    /// whose weight falls with its age.
    pub(super) fn expected_load(&self, now: Duration) -> f64 {
        let own_in_flight = f64::from(self.in_flight);
        let Some(report) = self.load else {
            return own_in_flight;
        };
        let age = now.saturating_sub(report.at);
        let Some(remaining) = MAX_REPORT_AGE.checked_sub(age) else {
            return own_in_flight;
        };
        // A response or a peer's datagram may contain any numbers, so the sum must
        // not overflow.
        let total = report.load.running.saturating_add(report.load.waiting);
        let others = f64::from(total.saturating_sub(report.own_in_flight));
        own_in_flight + others * remaining.as_secs_f64() / MAX_REPORT_AGE.as_secs_f64()
    }
}

/// Updates an exponential moving average with a sample. The first sample sets the
/// value.
pub(super) fn smooth(value: &mut f64, sample: f64) {
    if *value <= 0.0 {
        *value = sample;
    } else {
        *value += (sample - *value) * LATENCY_WEIGHT;
    }
}
