//! Counters, gauges and histograms of a process, and their page.
//!
//! One [`Metrics`] is made for a process and cloned to its threads; clones
//! share their values. Labels come from closed sets, so that the page's size
//! is bounded. `docs/OPERATIONS.md` says how to read them.

use std::{sync::Arc, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};
use rosebend_protocol::peer::RefusalReason;

use crate::clients::ClientMetrics;
use crate::http_server::HttpReply;

/// Content type of the page.
pub const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Prefix of every metric's name.
const PREFIX: &str = "rosebend";

/// Least bound of a time histogram, in seconds; each next one is twice as far.
const FIRST_BOUND_SECONDS: f64 = 0.001;
/// Number of bounds; the last one is about 17 minutes.
const BOUNDS: u16 = 21;

/// Label of a counter by reason.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Labels of the counter of requests to the platform.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct PlatformLabel {
    request: &'static str,
    outcome: &'static str,
}

/// A time that is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Timing {
    /// From a program's first call to its end.
    Program,
    /// From a call's acceptance to its last part.
    Call,
    /// From a call's arrival at a sidecar until it leaves the queue.
    Queue,
    /// From a model call's acceptance until its first part.
    FirstToken,
}

/// A quantity as it stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Quantity {
    /// Holds of KV cache.
    Holds,
    /// Shards that this host owns.
    Shards,
    /// Programs open in the shards that this host owns.
    OpenPrograms,
    /// Revision of the configuration that this host applies.
    ConfigRevision,
    /// Bytes of retained answers.
    RetainedBytes,
    /// Records that wait to be written to the table.
    UnwrittenRecords,
    /// Calls that wait before the endpoint.
    QueuedCalls,
    /// Calls that run at the endpoint.
    RunningCalls,
}

/// What was asked of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformRequest {
    /// A transaction of the table.
    Transact,
    /// A read of rows.
    Read,
    /// A scan of rows.
    Scan,
    /// A request to the object store.
    Object,
    /// A look at the list of hosts.
    Hosts,
}

/// How a request to the platform ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformOutcome {
    /// It was done.
    Done,
    /// A condition did not hold.
    Conflict,
    /// The platform refused it.
    Refused,
    /// No answer came.
    NoAnswer,
}

/// The metrics of a process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Registry>,
    refusals: Family<ReasonLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    platform: Family<PlatformLabel, Counter>,
    timings: Timings,
    quantities: Quantities,
    /// The metrics of the clients that connect to the process.
    pub clients: ClientMetrics,
}

#[derive(Clone, Debug)]
struct Timings {
    program: Histogram,
    call: Histogram,
    queue: Histogram,
    first_token: Histogram,
}

#[derive(Clone, Debug, Default)]
struct Quantities {
    holds: Gauge,
    shards: Gauge,
    open_programs: Gauge,
    config_revision: Gauge,
    retained_bytes: Gauge,
    unwritten_records: Gauge,
    queued_calls: Gauge,
    running_calls: Gauge,
}

impl Metrics {
    /// Metrics that stand at zero. Each refusal reason of the peer protocol
    /// has its counter from the start.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let refusals = Family::default();
        let help = "Refusals, each of which was not run, by reason";
        registry.register("refusals", help, refusals.clone());
        let retries = Family::default();
        let help = "Repetitions of a request, by reason";
        registry.register("retries", help, retries.clone());
        let platform = Family::default();
        let help = "Requests to the platform, by kind and outcome";
        registry.register("platform_requests", help, platform.clone());
        let timings = Timings::register(&mut registry);
        let quantities = Quantities::register(&mut registry);
        let clients = ClientMetrics::register(&mut registry);
        for label in refusal_labels() {
            drop(refusals.get_or_create(&ReasonLabel { reason: label }));
        }
        Self {
            registry: Arc::new(registry),
            refusals,
            retries,
            platform,
            timings,
            quantities,
            clients,
        }
    }

    /// Counts a refusal. The reason is a word of a closed set, such as
    /// [`refusal_label`] gives or a problem document's reason.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a repetition of a request.
    pub fn count_retry(&self, reason: &'static str) {
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a request to the platform.
    pub fn count_platform(&self, request: PlatformRequest, outcome: PlatformOutcome) {
        let label = PlatformLabel {
            request: request.label(),
            outcome: outcome.label(),
        };
        self.platform.get_or_create(&label).inc();
    }

    /// Adds a measured time.
    pub fn observe(&self, timing: Timing, time: Duration) {
        self.timings.histogram(timing).observe(time.as_secs_f64());
    }

    /// Sets a quantity.
    pub fn set(&self, quantity: Quantity, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.quantities.gauge(quantity).set(value);
    }

    /// The page, in the OpenMetrics text format.
    pub fn page(&self) -> String {
        let mut page = String::new();
        encode(&mut page, &self.registry).expect("writing to a string does not fail");
        page
    }

    /// The page as the reply to `GET /metrics`.
    pub fn reply(&self) -> HttpReply {
        HttpReply::bytes(200, METRICS_CONTENT_TYPE, self.page())
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Timings {
    fn register(registry: &mut Registry) -> Self {
        let mut histogram = |name: &str, help: &str| {
            let histogram = Histogram::new(exponential_buckets(FIRST_BOUND_SECONDS, 2.0, BOUNDS));
            registry.register_with_unit(name, help, Unit::Seconds, histogram.clone());
            histogram
        };
        Self {
            program: histogram("program", "From a program's first call to its end"),
            call: histogram("call", "From a call's acceptance to its last part"),
            queue: histogram("queue", "Wait before the endpoint"),
            first_token: histogram("first_token", "From acceptance to the first part"),
        }
    }

    fn histogram(&self, timing: Timing) -> &Histogram {
        match timing {
            Timing::Program => &self.program,
            Timing::Call => &self.call,
            Timing::Queue => &self.queue,
            Timing::FirstToken => &self.first_token,
        }
    }
}

impl Quantities {
    fn register(registry: &mut Registry) -> Self {
        let all = Self::default();
        let mut gauge = |name: &str, help: &str, gauge: &Gauge| {
            registry.register(name, help, gauge.clone());
        };
        gauge("holds", "Holds of KV cache", &all.holds);
        gauge("shards", "Shards owned by this host", &all.shards);
        gauge("open_programs", "Programs open here", &all.open_programs);
        gauge(
            "config_revision",
            "Revision applied here",
            &all.config_revision,
        );
        gauge(
            "retained_bytes",
            "Bytes of retained answers",
            &all.retained_bytes,
        );
        gauge(
            "unwritten_records",
            "Records not yet in the table",
            &all.unwritten_records,
        );
        gauge(
            "queued_calls",
            "Calls before the endpoint",
            &all.queued_calls,
        );
        gauge("running_calls", "Calls at the endpoint", &all.running_calls);
        all
    }

    fn gauge(&self, quantity: Quantity) -> &Gauge {
        match quantity {
            Quantity::Holds => &self.holds,
            Quantity::Shards => &self.shards,
            Quantity::OpenPrograms => &self.open_programs,
            Quantity::ConfigRevision => &self.config_revision,
            Quantity::RetainedBytes => &self.retained_bytes,
            Quantity::UnwrittenRecords => &self.unwritten_records,
            Quantity::QueuedCalls => &self.queued_calls,
            Quantity::RunningCalls => &self.running_calls,
        }
    }
}

impl PlatformRequest {
    fn label(self) -> &'static str {
        match self {
            Self::Transact => "transact",
            Self::Read => "read",
            Self::Scan => "scan",
            Self::Object => "object",
            Self::Hosts => "hosts",
        }
    }
}

impl PlatformOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
            Self::NoAnswer => "no-answer",
        }
    }
}

/// The label of a refusal of the peer protocol.
pub fn refusal_label(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Unspecified => "unspecified",
        RefusalReason::Leaving => "leaving",
        RefusalReason::QueueFull => "queue-full",
        RefusalReason::RetentionFull => "retention-full",
        RefusalReason::StaleEpoch => "stale-epoch",
        RefusalReason::OtherIncarnation => "other-incarnation",
        RefusalReason::Buried => "buried",
        RefusalReason::TooLarge => "too-large",
        RefusalReason::UnknownTarget => "unknown-target",
        RefusalReason::Deadline => "deadline",
        RefusalReason::EndpointDown => "endpoint-down",
        RefusalReason::Quarantined => "quarantined",
        RefusalReason::NotOwner => "not-owner",
        RefusalReason::Duplicate => "duplicate",
        RefusalReason::Invalid => "invalid",
    }
}

/// Labels of all refusal reasons that a sender may give. The numbers of the
/// peer protocol have no gap, so that counting up finds them all.
fn refusal_labels() -> impl Iterator<Item = &'static str> {
    let reasons = (1..).map_while(|number| RefusalReason::try_from(number).ok());
    reasons.map(refusal_label)
}
