//! Metrics of the clients of a process.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Why a connection is closed, or what its client has sent is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ClosedFor {
    /// All other connections were in use; this one was not admitted.
    Refused,
    /// Another connection was admitted, and the process had waited longest for this client.
    Connections,
    /// Another client needed the memory of the unfinished request.
    Memory,
    /// The client did not accept its answer in time.
    AnswerTimeout,
    /// The client of an HTTP/2 connection sent nothing for the timeout.
    Silence,
}

impl ClosedFor {
    /// Returns the word of logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::AnswerTimeout => "answer-timeout",
            Self::Silence => "silence",
        }
    }
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Metrics of the clients of a process. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct ClientMetrics {
    connections: Gauge,
    held_bytes: Gauge,
    closed: Family<ReasonLabel, Counter>,
}

impl ClientMetrics {
    /// Creates metrics that the page of a registry contains.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Open connections of clients";
        registry.register("client_connections", help, metrics.connections.clone());
        let help = "Bytes held for requests that are read or served";
        registry.register("client_held_bytes", help, metrics.held_bytes.clone());
        let help = "Connections closed and unfinished requests dropped, by reason";
        registry.register("clients_closed", help, metrics.closed.clone());
        metrics
    }

    pub(super) fn show(&self, connections: usize, held_bytes: usize) {
        let value = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.connections.set(value(connections));
        self.held_bytes.set(value(held_bytes));
    }

    pub(super) fn count_closed(&self, reason: ClosedFor) {
        let reason = reason.as_str();
        self.closed.get_or_create(&ReasonLabel { reason }).inc();
    }
}
