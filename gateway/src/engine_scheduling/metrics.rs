//! The counters, gauges and histograms of the scheduling of engines.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use rosebend_coordination::gateway::engine_scheduler::message::{GroupStatus, MessageContent};

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

/// The metrics of the scheduling of engines.
#[derive(Debug)]
pub struct SchedulingMetrics {
    placements: Family<ReasonLabel, Counter>,
    starts: Family<ReasonLabel, Counter>,
    bypasses: Family<ReasonLabel, Counter>,
    sent: Family<KindLabel, Counter>,
    placement: Histogram,
    groups: Gauge,
    free_slots: Gauge,
    queue: Gauge,
    expected_wait_ms: Gauge,
}

impl SchedulingMetrics {
    /// Creates the metrics and adds them to a registry.
    pub fn register(registry: &mut Registry) -> Self {
        let placements = Family::default();
        let help = "Turns that asked an engine scheduler for a slot, by outcome";
        registry.register("engine_placements", help, placements.clone());
        let starts = Family::default();
        let help = "Programs that asked an engine scheduler whether to start, by outcome";
        registry.register("engine_starts", help, starts.clone());
        let bypasses = Family::default();
        let help = "Decisions of this host in place of an engine scheduler, by reason";
        registry.register("engine_bypasses", help, bypasses.clone());
        let sent = Family::default();
        let help = "Datagrams sent about the scheduling of engines, or too large to send, by kind";
        registry.register("engine_datagrams", help, sent.clone());
        let placement = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        registry.register_with_unit(
            "engine_placement",
            "From asking for a slot to the engine scheduler's final answer",
            Unit::Seconds,
            placement.clone(),
        );
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            placements,
            starts,
            bypasses,
            sent,
            placement,
            groups: gauge(
                "engine_groups",
                "Groups of engines that this host schedules",
            ),
            free_slots: gauge("engine_free_slots", "Free slots of these groups"),
            queue: gauge("engine_queue", "Turns that wait for a slot of these groups"),
            expected_wait_ms: gauge(
                "engine_expected_wait_ms",
                "Longest expected wait of a turn at these groups, in milliseconds",
            ),
        }
    }

    /// Counts the final answer to a turn and the time until it arrived.
    pub fn count_placement(&self, reason: &'static str, elapsed: Duration) {
        self.placements.get_or_create(&ReasonLabel { reason }).inc();
        self.placement.observe(elapsed.as_secs_f64());
    }

    /// Counts the answer to the start of a program.
    pub fn count_start(&self, reason: &'static str) {
        self.starts.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a decision that this host made in place of a scheduler.
    pub fn count_bypass(&self, reason: &'static str) {
        self.bypasses.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a datagram that is sent.
    pub fn count_sent(&self, content: &MessageContent) {
        let kind = match content {
            MessageContent::Place(_) => "place",
            MessageContent::Placed { .. } => "placed",
            MessageContent::Admit(_) => "admit",
            MessageContent::Admitted { .. } => "admitted",
            MessageContent::Release(_) => "release",
            MessageContent::Held(_) => "held",
            MessageContent::Status(_) => "status",
        };
        self.sent.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a datagram that is not sent because gateways would not receive it whole.
    pub fn count_too_large(&self) {
        let kind = "too-large";
        self.sent.get_or_create(&KindLabel { kind }).inc();
    }

    /// Sets the gauges of the groups that this host schedules.
    pub fn set_groups(&self, groups: u64, status: &GroupStatus) {
        let value = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        self.groups.set(value(groups));
        self.free_slots.set(i64::from(status.free_slots));
        self.queue.set(i64::from(status.waiting));
        self.expected_wait_ms.set(value(status.expected_wait_ms));
    }
}
