//! What the configuration says, in the form in which the entry asks it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rosebend_state::id::{AvailabilityZone, CustomerId, EndpointId, ProgramId};
use rosebend_state::resource::{PolicySpec, Resource, ResourceSpec, SessionSpec};
use rosebend_state::settings::EndpointKind;

/// An endpoint that operators declared.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectoryEndpoint {
    /// Its name.
    pub id: EndpointId,
    /// Address of its sidecar.
    pub address: String,
    /// Availability zone of its host.
    pub availability_zone: AvailabilityZone,
    /// Models or tools that it serves.
    pub targets: Vec<String>,
    /// Whether it is an engine, whose KV cache can be held.
    pub is_engine: bool,
    /// Whether an operator drains it.
    pub draining: bool,
}

/// The applied configuration, as far as calls need it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Directory {
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointId, DirectoryEndpoint>,
    /// Whether the calls of a tool may run more than once.
    pub tool_repeatable: HashMap<String, bool>,
    /// Weight of each customer's share.
    pub share_weights: HashMap<CustomerId, u32>,
    /// Most tokens that one program of a customer may be given.
    pub budget_ceilings_tokens: HashMap<CustomerId, u64>,
    /// Limits of the declared sessions, by `CUSTOMER/SESSION`.
    pub sessions: HashMap<String, SessionSpec>,
    /// The policy, or its defaults.
    pub policy: PolicySpec,
}

/// Limits of a program, asked for or granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProgramLimits<T> {
    /// Tokens that it and its sub-agents may use.
    pub budget_tokens: T,
    /// Most calls.
    pub turn_limit: T,
    /// Longest life, in milliseconds.
    pub wall_limit_ms: T,
}

/// Weight of a customer that has no resource.
const DEFAULT_SHARE_WEIGHT: u32 = 1;

impl Directory {
    /// What some resources say.
    pub fn new(resources: &[Resource]) -> Self {
        let mut directory = Self::default();
        for resource in resources {
            directory.add(resource);
        }
        for resource in resources {
            if let ResourceSpec::Tool(spec) = &resource.spec {
                directory.confine(resource.name(), &spec.endpoints);
            }
        }
        directory
    }

    /// Leaves a tool to the endpoints that it names; to all that serve it when
    /// it names none.
    fn confine(&mut self, tool: &str, named: &[EndpointId]) {
        if named.is_empty() {
            return;
        }
        let others = self.endpoints.values_mut();
        for endpoint in
            others.filter(|endpoint| !endpoint.is_engine && !named.contains(&endpoint.id))
        {
            endpoint.targets.retain(|target| target != tool);
        }
    }

    fn add(&mut self, resource: &Resource) {
        let name = resource.name().to_owned();
        match &resource.spec {
            ResourceSpec::Customer(spec) => {
                self.share_weights.insert(name.clone(), spec.share_weight);
                self.budget_ceilings_tokens
                    .insert(name, spec.budget_ceiling_tokens);
            }
            ResourceSpec::Endpoint(spec) => {
                let endpoint = DirectoryEndpoint {
                    id: name.clone(),
                    address: spec.sidecar_address.to_string(),
                    availability_zone: spec.availability_zone.clone(),
                    targets: spec.serves.clone(),
                    is_engine: spec.kind == EndpointKind::Engine,
                    draining: spec.draining,
                };
                self.endpoints.insert(name, endpoint);
            }
            ResourceSpec::Tool(spec) => {
                self.tool_repeatable.insert(name, spec.repeatable);
            }
            ResourceSpec::Session(spec) => {
                self.sessions.insert(name, spec.clone());
            }
            ResourceSpec::Policy(spec) => self.policy = spec.clone(),
            ResourceSpec::Model(_) => {}
        }
    }

    /// The limits of a new program: what its caller asks for, but never more
    /// than a declaration of its session or its customer's ceiling allows. What
    /// nobody names is taken from the policy. The budget of a sub-agent is that
    /// of its root program; its own limits come from its caller or the policy.
    pub fn limits(
        &self,
        program: &ProgramId,
        asked: ProgramLimits<Option<u64>>,
    ) -> ProgramLimits<u64> {
        let declared = self.sessions.get(&program.to_string());
        let ceiling = self.budget_ceilings_tokens.get(program.customer()).copied();
        let wall_limit = declared.map(|session| millis(session.wall_time_limit));
        let budget_tokens = least(
            asked.budget_tokens,
            declared.map(|session| session.budget_tokens),
            self.policy.default_budget_tokens,
        );
        ProgramLimits {
            budget_tokens: ceiling.map_or(budget_tokens, |ceiling| ceiling.min(budget_tokens)),
            turn_limit: least(
                asked.turn_limit,
                declared.map(|session| session.turn_limit),
                self.policy.default_turn_limit,
            ),
            wall_limit_ms: least(
                asked.wall_limit_ms,
                wall_limit,
                millis(self.policy.default_wall_time_limit),
            ),
        }
    }

    /// Whether a tool's call may run more than once. A caller cannot declare
    /// repeatable what an operator declared not to be.
    pub fn is_repeatable(&self, tool: &str, declared: Option<bool>) -> bool {
        match (declared, self.tool_repeatable.get(tool)) {
            (Some(false), _) | (_, Some(false)) | (None, None) => false,
            (Some(true), _) | (None, Some(true)) => true,
        }
    }

    /// Weight of a customer's share.
    pub fn share_weight(&self, customer: &str) -> u32 {
        self.share_weights
            .get(customer)
            .copied()
            .unwrap_or(DEFAULT_SHARE_WEIGHT)
    }
}

/// The lesser of what was asked and declared, or the default without either.
fn least(asked: Option<u64>, declared: Option<u64>, default: u64) -> u64 {
    let named = asked.into_iter().chain(declared).min();
    named.unwrap_or(default)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
