//! Resources: what operators declare.
//!
//! A resource has a kind, a name and a specification. [`RawResource`] is its
//! JSON as somebody wrote it; [`Resource`] is checked, and every error of the
//! check names the field, its value and what is allowed.
//!
//! ```
//! use rosebend_state::resource::{RawResource, Resource, ResourceSpec};
//!
//! let raw: RawResource = serde_json::from_str(
//!     r#"{"kind": "model", "name": "agent-llm",
//!         "spec": {"context_tokens": 32768, "max_answer_tokens": 4096}}"#,
//! )?;
//! let resource = Resource::try_from(raw)?;
//! let ResourceSpec::Model(model) = &resource.spec else { panic!() };
//! assert_eq!(model.context_tokens, 32_768);
//! assert_eq!(resource.key().row_key(), "resource/model/agent-llm");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::id::Revision;

mod change;
mod customer;
mod endpoint;
mod error;
mod fields;
mod key;
mod model;
mod policy;
mod session;
mod tool;

pub use self::{
    change::{Change, ConfigUpdate, Snapshot},
    customer::CustomerSpec,
    endpoint::EndpointSpec,
    error::{FieldDefect, ResourceError},
    key::{ResourceKey, ResourceKind},
    model::ModelSpec,
    policy::{PauseDecision, PolicySpec, QueueOrder, Routing},
    session::SessionSpec,
    tool::ToolSpec,
};

/// A resource as it is written in JSON.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawResource {
    /// The kind's word.
    pub kind: String,
    /// The name.
    pub name: String,
    /// Who changed it last, when it was accepted before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metadata: Option<Metadata>,
    /// Fields of the kind.
    pub spec: Map<String, Value>,
}

/// A checked resource.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(into = "RawResource", try_from = "RawResource")]
pub struct Resource {
    /// Its name, as its kind allows.
    name: String,
    /// Who changed it last; none before it was accepted.
    pub metadata: Option<Metadata>,
    /// What it declares.
    pub spec: ResourceSpec,
}

/// Who changed a resource last.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Metadata {
    /// The operator.
    pub changed_by: String,
    /// The revision of the change; from 1.
    pub changed_at_revision: Revision,
}

/// What a resource declares, by kind.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(untagged)]
pub enum ResourceSpec {
    /// A customer.
    Customer(CustomerSpec),
    /// A declared session.
    Session(SessionSpec),
    /// A model.
    Model(ModelSpec),
    /// An endpoint.
    Endpoint(EndpointSpec),
    /// A tool.
    Tool(ToolSpec),
    /// The policy.
    Policy(PolicySpec),
}

impl Resource {
    /// A resource of checked parts.
    ///
    /// # Panics
    ///
    /// Panics when the specification is of another kind than the key.
    pub fn new(key: &ResourceKey, metadata: Option<Metadata>, spec: ResourceSpec) -> Self {
        assert_eq!(key.kind(), spec.kind(), "a specification of the key's kind");
        Self {
            name: key.name().to_owned(),
            metadata,
            spec,
        }
    }

    /// Its kind.
    pub fn kind(&self) -> ResourceKind {
        self.spec.kind()
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its kind and name.
    pub fn key(&self) -> ResourceKey {
        ResourceKey::new(self.kind(), &self.name).expect("the name was checked")
    }

    /// The revision of its last change; zero before it was accepted.
    pub fn revision(&self) -> Revision {
        let metadata = self.metadata.as_ref();
        metadata.map_or(0, |metadata| metadata.changed_at_revision)
    }
}

impl TryFrom<RawResource> for Resource {
    type Error = ResourceError;

    fn try_from(raw: RawResource) -> Result<Self, ResourceError> {
        let kind = ResourceKind::try_from(raw.kind.as_str())?;
        let key = ResourceKey::new(kind, &raw.name)?;
        let spec = ResourceSpec::check(kind, &raw.spec);
        let spec = spec.map_err(|defects| ResourceError::Fields {
            key: key.clone(),
            defects,
        })?;
        Ok(Self {
            name: raw.name,
            metadata: raw.metadata,
            spec,
        })
    }
}

impl From<Resource> for RawResource {
    fn from(resource: Resource) -> Self {
        let spec = serde_json::to_value(&resource.spec);
        let Ok(Value::Object(spec)) = spec else {
            unreachable!("every specification is a JSON object");
        };
        Self {
            kind: resource.kind().word().to_owned(),
            name: resource.name,
            metadata: resource.metadata,
            spec,
        }
    }
}

impl ResourceSpec {
    /// The kind that it belongs to.
    pub fn kind(&self) -> ResourceKind {
        match self {
            Self::Customer(_) => ResourceKind::Customer,
            Self::Session(_) => ResourceKind::Session,
            Self::Model(_) => ResourceKind::Model,
            Self::Endpoint(_) => ResourceKind::Endpoint,
            Self::Tool(_) => ResourceKind::Tool,
            Self::Policy(_) => ResourceKind::Policy,
        }
    }

    fn check(kind: ResourceKind, spec: &Map<String, Value>) -> Result<Self, Vec<FieldDefect>> {
        Ok(match kind {
            ResourceKind::Customer => Self::Customer(CustomerSpec::try_from(spec)?),
            ResourceKind::Session => Self::Session(SessionSpec::try_from(spec)?),
            ResourceKind::Model => Self::Model(ModelSpec::try_from(spec)?),
            ResourceKind::Endpoint => Self::Endpoint(EndpointSpec::try_from(spec)?),
            ResourceKind::Tool => Self::Tool(ToolSpec::try_from(spec)?),
            ResourceKind::Policy => Self::Policy(PolicySpec::try_from(spec)?),
        })
    }
}
