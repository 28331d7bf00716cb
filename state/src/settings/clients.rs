//! Settings of the limits of clients.

use std::time::Duration;

use super::{
    schema::{Key, KeyKind, Presence, SectionSchema, Unit},
    values::Values,
};

/// Memory of a connection: its task, its parser's buffers and its receive buffer.
const CONNECTION_BYTES: usize = 40 << 10;
/// Descriptors of files.
const FILE_DESCRIPTORS: usize = 200;
/// Divisor of the other descriptors that gives the number of clients: a request takes two more
/// for its connection to an endpoint, and the process has connections of its own.
const DESCRIPTORS_PER_CLIENT: usize = 4;
/// Shares of the host's memory, in percent. The rest is for the process itself and for
/// answers of the store and of other hosts.
const CONNECTIONS_PERCENT: usize = 25;
const REQUESTS_PERCENT: usize = 20;
const ANSWERS_PERCENT: usize = 20;

/// Limits of the clients that connect to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientSettings {
    /// Memory of the host that the process may use.
    pub memory_bytes: usize,
    /// Descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Longest time for the body of a request to arrive.
    pub body_timeout: Duration,
    /// Longest time in which a client accepts nothing of its answer.
    pub answer_timeout: Duration,
}

impl ClientSettings {
    /// Number of times that an entry holds a body: as it was received, and as the message to the
    /// host that runs it.
    pub const MESSAGE_COPIES: usize = 2;

    /// Returns the number of connections that clients may have at a time.
    pub fn max_connections(&self) -> usize {
        let descriptors = self.max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let bytes = self.memory_bytes / 100 * CONNECTIONS_PERCENT;
        let connections = (descriptors / DESCRIPTORS_PER_CLIENT).min(bytes / CONNECTION_BYTES);
        connections.max(1)
    }

    /// Returns the memory for requests: those that are read and those that are served.
    pub fn request_bytes(&self) -> usize {
        self.memory_bytes / 100 * REQUESTS_PERCENT
    }

    /// Returns the memory for answers of endpoints.
    pub fn answer_bytes(&self) -> usize {
        self.memory_bytes / 100 * ANSWERS_PERCENT
    }

    /// Returns the largest body that is served beside no others.
    pub fn max_body_bytes(&self) -> usize {
        self.request_bytes() / 2
    }
}

pub(super) const CLIENTS_SECTION: SectionSchema = SectionSchema {
    name: "clients",
    keys: &[
        Key {
            name: "memory_mb",
            kind: KeyKind::Decimal(Unit::Count, 16..=1_048_576),
            presence: Presence::Default("88"),
            meaning: "Memory of the host that the process may use, in megabytes. Of it, 20 % are for requests, one of which may take half, in which an entry also has its message to another host: a larger body is refused with 503; 25 % are for clients' connections, at 40 KiB each, and 20 % for answers of endpoints, one of which may take half.",
        },
        Key {
            name: "max_descriptors",
            kind: KeyKind::Number(Unit::Count, 300..=1_048_576),
            presence: Presence::Default("4100"),
            meaning: "Descriptors that the process may have open. There is at most one client for four of those beyond 200; if there are more, the connection is closed whose client the process has waited for longest.",
        },
        Key {
            name: "body_timeout_s",
            kind: KeyKind::Decimal(Unit::Seconds, 1..=600),
            presence: Presence::Default("10"),
            meaning: "Longest time for the body of a request to arrive; after it the request is refused with 408.",
        },
        Key {
            name: "answer_timeout_s",
            kind: KeyKind::Decimal(Unit::Seconds, 1..=600),
            presence: Presence::Default("10"),
            meaning: "Longest time in which a client accepts nothing of its answer; after it the connection is closed.",
        },
    ],
};

impl From<&Values<'_>> for ClientSettings {
    fn from(values: &Values<'_>) -> Self {
        let section = "clients";
        let memory_mb = values.rounded_down(section, "memory_mb");
        Self {
            memory_bytes: usize::try_from(memory_mb * 1_000_000).unwrap_or(usize::MAX),
            max_descriptors: values.size(section, "max_descriptors"),
            body_timeout: values.seconds(section, "body_timeout_s"),
            answer_timeout: values.seconds(section, "answer_timeout_s"),
        }
    }
}
