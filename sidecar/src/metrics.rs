//! Counters and gauges of the sidecar.

use std::sync::{Arc, Mutex, atomic::AtomicU64};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use rosebend_coordination::endpoint::{
    EndpointLoad,
    outcome::{FailureReason, Outcome, RefusalReason},
};

/// Why something was refused or failed.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    reason: &'static str,
}

/// What the metrics page shows.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Arc<Mutex<Registry>>,
    refusals: Family<ReasonLabel, Counter>,
    failures: Family<ReasonLabel, Counter>,
    finished: Counter,
    holds_freed: Counter,
    running: Gauge,
    queued: Gauge,
    holds: Gauge,
    retained: Gauge,
    retained_bytes: Gauge<u64, AtomicU64>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let metrics = Self {
            registry: Arc::new(Mutex::new(Registry::with_prefix("rosebend_sidecar"))),
            refusals: Family::default(),
            failures: Family::default(),
            finished: Counter::default(),
            holds_freed: Counter::default(),
            running: Gauge::default(),
            queued: Gauge::default(),
            holds: Gauge::default(),
            retained: Gauge::default(),
            retained_bytes: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock().expect("registering does not panic");
        registry.register(
            "refusals",
            "Calls that were not run, by reason",
            self.refusals.clone(),
        );
        registry.register(
            "failures",
            "Calls that were handed over and ended badly, by reason",
            self.failures.clone(),
        );
        registry.register("finished", "Whole answers", self.finished.clone());
        registry.register(
            "holds_freed",
            "KV holds that were freed",
            self.holds_freed.clone(),
        );
        registry.register("running", "Calls at the endpoint", self.running.clone());
        registry.register("queued", "Calls that wait", self.queued.clone());
        registry.register("holds", "KV holds under a lease", self.holds.clone());
        registry.register(
            "retained",
            "Answers that are not acknowledged",
            self.retained.clone(),
        );
        registry.register(
            "retained_bytes",
            "Bytes of answers that are not acknowledged",
            self.retained_bytes.clone(),
        );
    }

    pub(crate) fn refused(&self, reason: RefusalReason) {
        let reason = refusal_name(reason);
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(crate) fn ended(&self, outcome: &Outcome) {
        match outcome {
            Outcome::Finished(_) => {
                self.finished.inc();
            }
            Outcome::Failed(failure) => {
                let reason = failure_name(failure.reason);
                self.failures.get_or_create(&ReasonLabel { reason }).inc();
            }
            Outcome::Refused(refusal) => self.refused(refusal.reason),
        }
    }

    pub(crate) fn freed(&self, holds: usize) {
        self.holds_freed.inc_by(holds as u64);
    }

    pub(crate) fn set_load(&self, load: &EndpointLoad) {
        self.running.set(gauge_value(load.running));
        self.queued.set(gauge_value(load.queued));
        self.holds.set(gauge_value(load.holds));
        self.retained.set(gauge_value(load.retained));
        self.retained_bytes.set(load.retained_bytes);
    }

    /// The metrics page.
    pub(crate) fn page(&self) -> String {
        let mut page = String::new();
        let registry = self.registry.lock().expect("encoding does not panic");
        encode(&mut page, &registry).expect("writing to a string does not fail");
        page
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn refusal_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Leaving => "leaving",
        RefusalReason::QueueFull => "queue_full",
        RefusalReason::RetentionFull => "retention_full",
        RefusalReason::StaleEpoch => "stale_epoch",
        RefusalReason::OtherIncarnation => "other_incarnation",
        RefusalReason::Buried => "buried",
        RefusalReason::TooLarge => "too_large",
        RefusalReason::UnknownTarget => "unknown_target",
        RefusalReason::Deadline => "deadline",
        RefusalReason::EndpointDown => "endpoint_down",
        RefusalReason::Invalid => "invalid",
    }
}

fn failure_name(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::EndpointCrashed => "endpoint_crashed",
        FailureReason::EndpointTimeout => "endpoint_timeout",
        FailureReason::EndpointError => "endpoint_error",
        FailureReason::Cancelled => "cancelled",
    }
}
