//! What a router is asked and what it answers.

use std::time::Duration;

use rosebend_state::id::{AvailabilityZone, EndpointId, Incarnation, ProgramId};

use crate::warmth::SharedPrefix;

/// How endpoints are chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoutingPolicy {
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest calls, all of them compared.
    LeastLoaded,
    /// Always the endpoint of the program's hash.
    SessionAffinity,
    /// The least predicted time, as the module describes.
    Scored(Scoring),
}

/// Parts of the scored policy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Scoring {
    /// Endpoints compared besides warm ones; `usize::MAX` compares all.
    pub subset: usize,
    /// Scores warm endpoints and counts their warm tokens.
    pub warm: bool,
    /// Leaves a warm endpoint when another's predicted time is less.
    pub moves: bool,
    /// Adds what was sent since a report was made to that report.
    pub corrects_reports: bool,
}

impl Default for Scoring {
    fn default() -> Self {
        Self {
            subset: 6,
            warm: true,
            moves: true,
            corrects_reports: true,
        }
    }
}

/// Settings of a [`Router`](super::Router).
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// How endpoints are chosen.
    pub policy: RoutingPolicy,
    /// The availability zone of the owner.
    pub zone: AvailabilityZone,
    /// Cost of sending a call to another availability zone.
    pub zone_hop: Duration,
    /// Most programs and prefixes whose warm endpoints are remembered.
    pub max_warm_entries: usize,
    /// Sets the draw of subsets; two owners with one seed draw alike.
    pub seed: u64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::Scored(Scoring::default()),
            zone: AvailabilityZone::new(),
            zone_hop: Duration::from_millis(1),
            max_warm_entries: 20_000,
            seed: 0,
        }
    }
}

/// Whether an endpoint may get new calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointState {
    /// Takes calls.
    Live,
    /// Takes no new calls by an operator's order; its calls finish.
    Draining,
    /// Said that it is leaving; it never comes back under this incarnation.
    Leaving,
    /// Does not answer or has crashed; it comes back under a new incarnation
    /// or when a report arrives.
    Down,
}

/// What the owner knows of an endpoint from its resource and its sidecar.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointInfo {
    /// The endpoint's name.
    pub id: EndpointId,
    /// The availability zone of its host.
    pub zone: AvailabilityZone,
    /// The models or tools that it serves.
    pub targets: Vec<String>,
    /// The run of its sidecar that is known; empty when none is.
    pub incarnation: Incarnation,
    /// Whether it may get new calls.
    pub state: EndpointState,
}

/// A call to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The program that makes the call.
    pub program: &'a ProgramId,
    /// The model or tool.
    pub target: &'a str,
    /// Length of the whole prompt; zero for a tool.
    pub prompt_tokens: u64,
    /// An endpoint known by other means to have some of the prompt warm.
    pub warm: Option<(&'a EndpointId, u64)>,
    /// Prefixes that the prompt shares with those of other programs, such as
    /// the context that a parent hands to its sub-agents; the shortest first,
    /// each the start of the next.
    pub shared_prefixes: &'a [SharedPrefix],
    /// Endpoints that must not be chosen, such as those that refused it.
    pub excluded: &'a [EndpointId],
}

/// Where to send a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of its sidecar that must take the call.
    pub incarnation: Incarnation,
    /// Prompt tokens believed to be in its cache.
    pub warm_tokens: u64,
}

/// Why no endpoint can take a call. It was not run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NoEndpointReason {
    /// No endpoint serves the target.
    UnknownTarget,
    /// Every endpoint of the target is leaving, draining, down or excluded.
    NoneLive,
    /// Every live endpoint of the target has just refused a call.
    AllRefuse,
}

/// No endpoint can take a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoEndpoint {
    /// Why.
    pub reason: NoEndpointReason,
    /// When a further try may succeed.
    pub retry_after: Duration,
}

/// How a call that was sent ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// It gave its whole answer.
    Finished {
        /// Length of the answer.
        answer_tokens: u64,
    },
    /// It was refused and not run; the endpoint takes calls again later.
    Refused {
        /// What the refusal said.
        retry_after: Duration,
    },
    /// It failed, or nothing is known of it.
    Failed,
}
