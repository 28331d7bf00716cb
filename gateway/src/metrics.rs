//! The counters, gauges and histograms of a gateway, and the metrics page.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use rosebend_coordination::gateway::attempt::Failure;
use rosebend_coordination::gateway::ledger::FilledBy;
use rosebend_state::deployment::RouteKind;
use rosebend_transport::clients::ClientMetrics;
use rosebend_transport::store::{StoreCall, StoreError};

use crate::engine_scheduling::metrics::SchedulingMetrics;
use crate::interruption::Interruption;

const PREFIX: &str = "rosebend_gateway";
/// The smallest bucket bound of a time histogram in seconds. Each following bound is twice
/// the previous one.
const MIN_BUCKET_SECONDS: f64 = 0.001;
/// Number of bucket bounds; the largest one is about 16 seconds.
const BUCKET_COUNT: u16 = 15;
/// The bucket bounds of the work time in percent.
const WORK_TIME_PERCENT_BOUNDS: [f64; 8] = [50.0, 80.0, 100.0, 130.0, 180.0, 250.0, 400.0, 800.0];

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct RequestLabel {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct FilledByLabel {
    filled_by: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct WayLabel {
    way: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct PlaceLabel {
    place: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct StoreLabel {
    call: &'static str,
    outcome: &'static str,
}

/// A time that is measured in a histogram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Timing {
    /// The time from the arrival of a plain request to its answer.
    Request,
    /// The time from the arrival of a turn to its first event.
    FirstEvent,
    /// The time from the arrival of a turn to its end.
    Turn,
    /// The time from the end of an endpoint's answer until its turn is durable.
    Record,
    /// The duration of a call to the store.
    StoreCall,
    /// The expected time until a request is done at its endpoint.
    Expected,
}

/// The way in which a transaction is sent to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitWay {
    /// This host sends it itself.
    Local,
    /// Another host, the batcher of the partition, sends it.
    Batcher,
}

/// The source from which changes of a table are read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedSource {
    /// The store.
    Store,
    /// The upstream host.
    Host,
}

/// The values of the gauges at the time of a request for the metrics page.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GaugeValues {
    /// Number of requests that callers wait for.
    pub open_requests: u64,
    /// Number of changes of programs that are not durable yet.
    pub open_changes: u64,
    /// Number of endpoints that receive requests.
    pub endpoints: u64,
    /// Version of the active routes, or zero before the first were read.
    pub routes_version: u64,
    /// Milliseconds for which the store has not answered, or zero while it does.
    pub store_unreachable_ms: u64,
    /// 1 while the host is ready for callers, otherwise 0.
    pub ready: u64,
    /// Number of other gateways that can relay calls to the store.
    pub peers: u64,
    /// Number of transactions of all hosts that wait at this host for the store.
    pub open_parts: u64,
    /// Milliseconds for which the oldest of these transactions has waited.
    pub oldest_part_ms: u64,
    /// Number of escrow slots that this host owns.
    pub escrow_slots: u64,
    /// Number of escrow slots whose owner this host knows.
    pub escrow_owned_slots: u64,
    /// Number of tokens that this host has granted from its escrow slots and that no ledger
    /// contains yet.
    pub escrow_outstanding_tokens: u64,
    /// Remaining milliseconds for which this host grants no tokens from its escrow slots.
    pub escrow_held_off_ms: u64,
    /// Milliseconds since the store is known to have had no newer routes.
    pub routes_age_ms: u64,
    /// Milliseconds since the store is known to have had no newer entries of endpoints.
    pub endpoints_age_ms: u64,
    /// 1 while this host follows another host, 0 while it reads the store.
    pub follower: u64,
}

/// The metrics of a gateway process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabel, Counter>,
    refusals: Family<ReasonLabel, Counter>,
    budget_refusals: Family<FilledByLabel, Counter>,
    escrow_replies: Family<ReasonLabel, Counter>,
    endpoint_failures: Family<ReasonLabel, Counter>,
    requests_sent_again: Family<ReasonLabel, Counter>,
    crash_checks: Family<ReasonLabel, Counter>,
    crashes: Family<ReasonLabel, Counter>,
    crash_writes: Family<ReasonLabel, Counter>,
    crashes_cleared: Family<ReasonLabel, Counter>,
    close_delimited_answers: Counter,
    interruptions: Family<ReasonLabel, Counter>,
    resumptions: Family<ReasonLabel, Counter>,
    history_reads: Family<PlaceLabel, Counter>,
    history_copies: Counter,
    ledger_lookups: Family<ReasonLabel, Counter>,
    store_calls: Family<StoreLabel, Counter>,
    feeds: Family<WayLabel, Counter>,
    commits: Family<WayLabel, Counter>,
    joined_parts: Counter,
    joined_transactions: Counter,
    refused_commits: Counter,
    new_connections: Counter,
    work_time_percent: Histogram,
    expected_time: Histogram,
    refused_entries: Family<ReasonLabel, Counter>,
    request: Histogram,
    first_event: Histogram,
    turn: Histogram,
    record: Histogram,
    store_call: Histogram,
    gauges: [Gauge; 16],
    /// The metrics of the clients that connect to the process.
    pub clients: ClientMetrics,
    /// The metrics of the scheduling of engines.
    pub scheduling: SchedulingMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let requests = Family::default();
        registry.register("requests", "Requests by kind and outcome", requests.clone());
        let refusals = Family::default();
        registry.register(
            "refusals",
            "Requests not answered by an endpoint, by reason",
            refusals.clone(),
        );
        let budget_refusals = Family::default();
        registry.register(
            "budget_refusals",
            "Turns refused for their program's budget, by what fills it",
            budget_refusals.clone(),
        );
        let escrow_replies = Family::default();
        let help = "Grants asked for while the store was unavailable, by the owner's reply";
        registry.register("escrow_replies", help, escrow_replies.clone());
        let endpoint_failures = Family::default();
        let help = "Exchanges with endpoints that gave no answer to pass on, by reason";
        registry.register("endpoint_failures", help, endpoint_failures.clone());
        let mut family = |name: &str, help: &str| {
            let family = Family::<ReasonLabel, Counter>::default();
            registry.register(name, help, family.clone());
            family
        };
        let help = "Requests sent to an endpoint although they may have run before, by reason";
        let requests_sent_again = family("requests_sent_again", help);
        let help = "Checks whether an endpoint crashed, by what decided them";
        let crash_checks = family("crash_checks", help);
        let help = "Crashes that count against a request, by who observed them";
        let crashes = family("crashes", help);
        let help = "Writes of crashes to the store, by outcome";
        let crash_writes = family("crash_writes", help);
        let help = "Requests whose crashes no longer count, by reason";
        let crashes_cleared = family("crashes_cleared", help);
        let close_delimited_answers = Counter::default();
        let help = "Answers of endpoints that had neither a length nor chunks";
        let counter = close_delimited_answers.clone();
        registry.register("close_delimited_answers", help, counter);
        let interruptions = Family::default();
        let help = "Answers that ended after their head and before they were complete, by reason";
        registry.register("interrupted_answers", help, interruptions.clone());
        let resumptions = Family::default();
        let help = "Streams that went on at another endpoint, by how the one before failed";
        registry.register("resumptions", help, resumptions.clone());
        let history_reads = Family::default();
        let help = "Turns that a turn continues from, by where they were found";
        registry.register("history_reads", help, history_reads.clone());
        let ledger_lookups = Family::default();
        let help = "Turns for which a ledger was looked up before a refusal, by what was found";
        registry.register("ledger_lookups", help, ledger_lookups.clone());
        let store_calls = Family::default();
        registry.register(
            "store_calls",
            "Calls to the store by kind and outcome",
            store_calls.clone(),
        );
        let feeds = Family::default();
        let help = "Questions what changed in a table, by who was asked";
        registry.register("feeds", help, feeds.clone());
        let commits = Family::default();
        registry.register(
            "commits",
            "Transactions sent, by who sends them",
            commits.clone(),
        );
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let help = "Transactions of all hosts that ended in joined ones of this host";
        let joined_parts = counter("joined_parts", help);
        let help = "Turns stored with a copy of the history that they continue from";
        let history_copies = counter("history_copies", help);
        let help = "Joined transactions that this host sent to the store";
        let joined_transactions = counter("joined_transactions", help);
        let help = "Transactions of other hosts that could not be read";
        let refused_commits = counter("refused_commits", help);
        let new_connections = Counter::default();
        registry.register(
            "endpoint_connections",
            "Connections opened to endpoints",
            new_connections.clone(),
        );
        let work_time_percent = Histogram::new(WORK_TIME_PERCENT_BOUNDS);
        let help =
            "Work time of selected endpoints in percent of the usual time, if they report one";
        registry.register(
            "endpoint_work_time_percent",
            help,
            work_time_percent.clone(),
        );
        let refused_entries = Family::default();
        let help = "Entries of the table of endpoints that began to name none, by reason";
        registry.register("refused_entries", help, refused_entries.clone());
        let mut histogram = |name: &str, help: &str| {
            let histogram =
                Histogram::new(exponential_buckets(MIN_BUCKET_SECONDS, 2.0, BUCKET_COUNT));
            registry.register_with_unit(name, help, Unit::Seconds, histogram.clone());
            histogram
        };
        let request = histogram("request", "From a plain request's arrival to its answer");
        let first_event = histogram("first_event", "From a turn's arrival to its first event");
        let turn = histogram("turn", "From a turn's arrival to its end");
        let record = histogram(
            "record",
            "From the end of an endpoint's answer until its turn is durable",
        );
        let store_call = histogram("store_call", "Calls to the store");
        let help = "Expected time of requests at their endpoints, if these report a speed";
        let expected_time = histogram("endpoint_expected_time", help);
        Self {
            requests,
            refusals,
            budget_refusals,
            escrow_replies,
            endpoint_failures,
            requests_sent_again,
            crash_checks,
            crashes,
            crash_writes,
            crashes_cleared,
            close_delimited_answers,
            interruptions,
            resumptions,
            history_reads,
            history_copies,
            ledger_lookups,
            store_calls,
            feeds,
            commits,
            joined_parts,
            joined_transactions,
            refused_commits,
            new_connections,
            work_time_percent,
            expected_time,
            refused_entries,
            request,
            first_event,
            turn,
            record,
            store_call,
            gauges: gauges(&mut registry),
            clients: ClientMetrics::register(&mut registry),
            scheduling: SchedulingMetrics::register(&mut registry),
            registry,
        }
    }
}

fn gauges(registry: &mut Registry) -> [Gauge; 16] {
    let names = [
        ("open_requests", "Requests that callers wait for"),
        (
            "open_changes",
            "Changes of programs that are not durable yet",
        ),
        ("endpoints", "Endpoints that get requests"),
        ("routes_version", "Version of the routes in force"),
        (
            "store_unreachable_ms",
            "Milliseconds for which the store has not answered",
        ),
        ("ready", "1 while the balancer is told to send callers"),
        (
            "peers",
            "Other gateways that may pass calls to the store on",
        ),
        (
            "open_parts",
            "Transactions, of all hosts, that wait here for the store",
        ),
        (
            "oldest_part_ms",
            "Milliseconds for which the oldest of them has waited",
        ),
        ("escrow_slots", "Escrow slots that this host owns"),
        (
            "escrow_owned_slots",
            "Escrow slots of all partitions whose owner is known here",
        ),
        (
            "escrow_outstanding_tokens",
            "Tokens that this host has granted and no ledger has",
        ),
        (
            "escrow_held_off_ms",
            "Milliseconds for which this host grants nothing from its escrow slots",
        ),
        (
            "routes_age_ms",
            "Milliseconds since the store had no newer routes",
        ),
        (
            "endpoints_age_ms",
            "Milliseconds since the store had no newer entries of endpoints",
        ),
        ("follower", "1 while this host follows another one"),
    ];
    names.map(|(name, help)| {
        let gauge = Gauge::default();
        registry.register(name, help, gauge.clone());
        gauge
    })
}

impl Metrics {
    /// Counts a request that ended, by its outcome.
    pub fn count_request(&self, kind: RouteKind, outcome: &'static str) {
        let kind = match kind {
            RouteKind::Idempotent => "idempotent",
            RouteKind::NonIdempotent => "non_idempotent",
            RouteKind::Streaming => "streaming",
        };
        self.requests
            .get_or_create(&RequestLabel { kind, outcome })
            .inc();
    }

    /// Counts an answer that ended before it was complete.
    pub fn count_interruption(&self, interruption: Interruption) {
        let reason = interruption.as_str();
        self.interruptions
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a request that was refused, so that no endpoint answered it.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a turn that was refused because it does not fit into its program's budget.
    pub fn count_budget_refusal(&self, filled_by: FilledBy) {
        let filled_by = filled_by.as_str();
        self.budget_refusals
            .get_or_create(&FilledByLabel { filled_by })
            .inc();
    }

    /// Counts a reply to a request for a grant of tokens from escrow.
    pub fn count_escrow_reply(&self, reason: &'static str) {
        self.escrow_replies
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a preceding turn that was found, by the place where it was found.
    pub fn count_history_read(&self, place: &'static str) {
        self.history_reads
            .get_or_create(&PlaceLabel { place })
            .inc();
    }

    /// Counts a turn that is stored with a copy of the history that it continues from.
    pub fn count_history_copy(&self) {
        self.history_copies.inc();
    }

    /// Counts a lookup of a program's ledger before a turn is refused, by its result.
    pub fn count_ledger_lookup(&self, reason: &'static str) {
        let reason = ReasonLabel { reason };
        self.ledger_lookups.get_or_create(&reason).inc();
    }

    /// Counts a failed exchange with an endpoint.
    pub fn count_failure(&self, failure: Failure) {
        let reason = failure.as_str();
        self.endpoint_failures
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a request that is sent to an endpoint although it may have run before.
    pub fn count_request_sent_again(&self, reason: &'static str) {
        let reason = ReasonLabel { reason };
        self.requests_sent_again.get_or_create(&reason).inc();
    }

    /// Counts a check whether an endpoint crashed, by what decided it.
    pub fn count_crash_check(&self, reason: &'static str) {
        self.crash_checks
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a crash that counts against a request, by who observed it.
    pub fn count_crash(&self, reason: &'static str) {
        self.crashes.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a write of a crash to the store, by its outcome.
    pub fn count_crash_write(&self, reason: &'static str) {
        self.crash_writes
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a request whose crashes no longer count, by the reason.
    pub fn count_crashes_cleared(&self, reason: &'static str) {
        self.crashes_cleared
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts an answer of an endpoint that ends with its connection.
    pub fn count_close_delimited_answer(&self) {
        self.close_delimited_answers.inc();
    }

    /// Counts a stream that another endpoint resumes, by the failure that interrupted it.
    pub fn count_resumption(&self, failure: Failure) {
        let reason = failure.as_str();
        self.resumptions
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a request for the changes of a table.
    pub fn count_feed(&self, source: FeedSource) {
        let way = match source {
            FeedSource::Store => "store",
            FeedSource::Host => "host",
        };
        self.feeds.get_or_create(&WayLabel { way }).inc();
    }

    /// Counts a transaction that is sent.
    pub fn count_commit(&self, way: CommitWay) {
        let way = match way {
            CommitWay::Local => "here",
            CommitWay::Batcher => "gatherer",
        };
        self.commits.get_or_create(&WayLabel { way }).inc();
    }

    /// Counts a batched transaction that completed this number of batch entries.
    pub fn count_batch(&self, entries: usize) {
        self.joined_transactions.inc();
        self.joined_parts.inc_by(entries as u64);
    }

    /// Counts a transaction of another host that could not be decoded.
    pub fn count_refused_commit(&self) {
        self.refused_commits.inc();
    }

    /// Counts a connection that was opened to an endpoint.
    pub fn count_connection(&self) {
        self.new_connections.inc();
    }

    /// Adds the work time of a selected endpoint.
    pub fn observe_work_time(&self, work_time_percent: u32) {
        self.work_time_percent.observe(f64::from(work_time_percent));
    }

    /// Counts an entry of the table of endpoints that has become invalid.
    pub fn count_refused_entry(&self, reason: &'static str) {
        self.refused_entries
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts and times a call to the store.
    pub fn count_store_call(&self, call: StoreCall, error: Option<&StoreError>, elapsed: Duration) {
        let outcome = match error {
            None => "done",
            Some(StoreError::Refused) => "refused",
            Some(StoreError::Throttled) => "throttled",
            Some(StoreError::Rejected(_)) => "rejected",
            Some(StoreError::HistoryGone) => "history_gone",
            Some(StoreError::NoAnswer(_)) => "no_answer",
        };
        let call = call.word();
        self.store_calls
            .get_or_create(&StoreLabel { call, outcome })
            .inc();
        self.observe(Timing::StoreCall, elapsed);
    }

    /// Adds a measured time to its histogram.
    pub fn observe(&self, timing: Timing, time: Duration) {
        let histogram = match timing {
            Timing::Request => &self.request,
            Timing::FirstEvent => &self.first_event,
            Timing::Turn => &self.turn,
            Timing::Record => &self.record,
            Timing::StoreCall => &self.store_call,
            Timing::Expected => &self.expected_time,
        };
        histogram.observe(time.as_secs_f64());
    }

    /// Sets the gauges and returns the metrics page in the OpenMetrics text format.
    pub fn page(&self, current: &GaugeValues) -> String {
        let values = [
            current.open_requests,
            current.open_changes,
            current.endpoints,
            current.routes_version,
            current.store_unreachable_ms,
            current.ready,
            current.peers,
            current.open_parts,
            current.oldest_part_ms,
            current.escrow_slots,
            current.escrow_owned_slots,
            current.escrow_outstanding_tokens,
            current.escrow_held_off_ms,
            current.routes_age_ms,
            current.endpoints_age_ms,
            current.follower,
        ];
        for (gauge, value) in self.gauges.iter().zip(values) {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
        let mut page = String::new();
        encode(&mut page, &self.registry).expect("writing to a string does not fail");
        page
    }
}
