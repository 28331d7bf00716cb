//! What the configuration says, in the form in which the entry asks it.

use std::collections::{BTreeMap, HashMap};

use rosebend_state::id::{AvailabilityZone, CustomerId, EndpointId};
use rosebend_state::resource::{Resource, ResourceSpec};
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
}

/// Budget of a program whose caller and customer name none.
const DEFAULT_BUDGET_TOKENS: u64 = 1_000_000;
/// Weight of a customer that has no resource.
const DEFAULT_SHARE_WEIGHT: u32 = 1;

impl Directory {
    /// What some resources say.
    pub fn new(resources: &[Resource]) -> Self {
        let mut directory = Self::default();
        for resource in resources {
            directory.add(resource);
        }
        directory
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
            ResourceSpec::Session(_) | ResourceSpec::Model(_) | ResourceSpec::Policy(_) => {}
        }
    }

    /// The budget of a new program.
    pub fn budget_tokens(&self, customer: &str, asked_tokens: Option<u64>) -> u64 {
        let ceiling = self.budget_ceilings_tokens.get(customer).copied();
        match (asked_tokens, ceiling) {
            (Some(asked), Some(ceiling)) => asked.min(ceiling),
            (Some(asked), None) => asked,
            (None, ceiling) => ceiling.unwrap_or(DEFAULT_BUDGET_TOKENS),
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
