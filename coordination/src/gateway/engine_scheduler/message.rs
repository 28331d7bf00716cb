//! Requests to an engine scheduler and its answers, and the datagrams that contain them.

use rosebend_state::deployment::{CustomerName, EndpointIdentity, InstanceId, ServiceName};
use rosebend_state::id::AvailabilityZone;
use serde::{Deserialize, Serialize};

use crate::gateway::admission::Urgency;
use crate::gateway::ledger::ProcessId;

/// Number of a request, unique within the sending process.
pub type RequestNumber = u64;

/// Request for a slot for one turn.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlacementRequest {
    /// Number of the request. A repeated request has the same number.
    pub number: RequestNumber,
    /// Customer of the turn; `None` where no customers are declared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
    /// Hash of the turn's program.
    pub program: u64,
    /// Urgency of the turn.
    pub priority: Urgency,
    /// Objective of the turn's route, in milliseconds.
    pub objective_ms: u64,
    /// Time until the caller's deadline of the turn, in milliseconds.
    pub turn_remaining_ms: u64,
    /// Time until the program should be finished, in milliseconds, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program_remaining_ms: Option<u64>,
    /// Expected number of output tokens, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_output_tokens: Option<u64>,
    /// Engine that has the prompt in memory, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_engine: Option<EndpointIdentity>,
    /// Number of prompt tokens that every other engine would have to process anew.
    pub warm_tokens: u64,
    /// Engines that were already tried or that the host avoids.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub excluded: Vec<InstanceId>,
}

/// Answer to a [`PlacementRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PlacementOutcome {
    /// The turn has a slot at this engine until it is released.
    Assigned(EndpointIdentity),
    /// The turn waits for a slot; a further answer follows.
    Queued {
        /// Expected wait, in milliseconds.
        expected_wait_ms: u64,
    },
    /// The turn gets no slot.
    Refused {
        /// Reason of the refusal.
        reason: PlacementRefusal,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The scheduler does not know yet which turns are running.
    Unavailable,
}

/// Reason for which a turn gets no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PlacementRefusal {
    /// No engine of the group can be used.
    NoEngine,
    /// The turn cannot end before its deadline.
    CannotEndInTime,
}

/// A placement that a host holds, or a turn that waits for one.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeldPlacement {
    /// Number of the placement request.
    pub number: RequestNumber,
    /// Engine that runs the turn; `None` while the turn waits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EndpointIdentity>,
}

/// A placement that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReleasedPlacement {
    /// Number of the placement request.
    pub number: RequestNumber,
    /// Time from sending the turn to its first event, in milliseconds, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_event_ms: Option<u64>,
}

/// Request to start a program.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AdmissionRequest {
    /// Number of the request. A repeated request has the same number.
    pub number: RequestNumber,
    /// Customer of the program; `None` where no customers are declared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
    /// Hash of the program.
    pub program: u64,
    /// Urgency of the program.
    pub priority: Urgency,
    /// Objective of the program's route, in milliseconds.
    pub objective_ms: u64,
    /// Time until the caller's deadline of the program's first turn, in milliseconds.
    pub turn_remaining_ms: u64,
    /// Time until the program should be finished, in milliseconds, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program_remaining_ms: Option<u64>,
}

/// Answer to an [`AdmissionRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum AdmissionOutcome {
    /// The program may start.
    Admitted,
    /// The program may not start now.
    Refused {
        /// Reason of the refusal.
        reason: AdmissionRefusal,
        /// Expected wait of a turn, in milliseconds.
        expected_wait_ms: u64,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The scheduler does not know yet which turns are running.
    Unavailable,
}

/// Reason for which a program may not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum AdmissionRefusal {
    /// Turns wait too long at the engines of the group.
    NoCapacity,
    /// Turns wait, and the customer uses more than its share.
    OverShare,
}

/// State of a group, which every answer contains.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GroupStatus {
    /// Number of free slots.
    pub free_slots: u32,
    /// Number of turns that wait for a slot.
    pub waiting: u32,
    /// Expected wait of a turn that arrives now, in milliseconds.
    pub expected_wait_ms: u64,
}

/// The engines of one service in one availability zone.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct GroupId {
    /// Service of the engines.
    pub service: ServiceName,
    /// Availability zone of the engines.
    #[serde(rename = "zone")]
    pub availability_zone: AvailabilityZone,
}

/// A datagram between two gateways about one group of engines.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SchedulerMessage {
    /// Process that sends the message.
    pub from: ProcessId,
    /// Process to which the message is addressed; another process ignores it.
    pub to: ProcessId,
    /// Group that the message concerns.
    pub group: GroupId,
    /// Contents of the message.
    pub content: MessageContent,
}

/// Contents of a [`SchedulerMessage`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageContent {
    /// Asks for a slot.
    Place(PlacementRequest),
    /// Answers a [`Self::Place`].
    Placed {
        /// Number of the request.
        number: RequestNumber,
        /// Outcome of the request.
        outcome: PlacementOutcome,
        /// State of the group.
        status: GroupStatus,
    },
    /// Asks whether a program may start.
    Admit(AdmissionRequest),
    /// Answers an [`Self::Admit`].
    Admitted {
        /// Number of the request.
        number: RequestNumber,
        /// Outcome of the request.
        outcome: AdmissionOutcome,
        /// State of the group.
        status: GroupStatus,
    },
    /// Ends placements and withdraws turns that wait.
    Release(Vec<ReleasedPlacement>),
    /// Names all placements that the sender holds and all its turns that wait.
    Held(Vec<HeldPlacement>),
    /// Answers a [`Self::Held`].
    Status(GroupStatus),
}
