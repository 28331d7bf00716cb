//! Kind and name of a resource.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::{ProgramId, check_name};

use super::error::ResourceError;

/// Name that the policy must have.
const POLICY_NAME: &str = "default";

/// Kind of a resource.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKind {
    /// Whose programs run, and with which share.
    Customer,
    /// A model and its sizes.
    Model,
    /// A sidecar's address and what stands behind it.
    Endpoint,
    /// A tool or plain service.
    Tool,
    /// How calls are ordered, routed and retried.
    Policy,
    /// A long-lived program and its limits.
    Session,
}

impl ResourceKind {
    /// All kinds, in an order in which each names only earlier ones.
    pub const ALL: [Self; 6] = [
        Self::Customer,
        Self::Model,
        Self::Endpoint,
        Self::Tool,
        Self::Policy,
        Self::Session,
    ];

    /// The kind's word in paths and files.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::Session => "session",
            Self::Model => "model",
            Self::Endpoint => "endpoint",
            Self::Tool => "tool",
            Self::Policy => "policy",
        }
    }

    /// Prefix of the row keys of this kind.
    pub fn row_prefix(self) -> String {
        format!("resource/{}/", self.word())
    }
}

impl TryFrom<&str> for ResourceKind {
    type Error = ResourceError;

    fn try_from(word: &str) -> Result<Self, ResourceError> {
        let kind = Self::ALL.into_iter().find(|kind| kind.word() == word);
        kind.ok_or_else(|| ResourceError::Kind(word.to_owned()))
    }
}

/// Kind and name of a resource.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ResourceKey {
    kind: ResourceKind,
    /// For a session `CUSTOMER/SESSION`, for the policy `default`, otherwise a
    /// name accepted by [`check_name`].
    name: String,
}

impl ResourceKey {
    /// Checks a name for a kind.
    ///
    /// # Errors
    ///
    /// Tells what the kind allows.
    pub fn new(kind: ResourceKind, name: &str) -> Result<Self, ResourceError> {
        match kind {
            ResourceKind::Session => check_session_name(name)?,
            ResourceKind::Policy if name != POLICY_NAME => {
                return Err(ResourceError::Name {
                    name: name.to_owned(),
                    allowed: format!("{POLICY_NAME}, the one policy"),
                });
            }
            _ => check_name(name).map_err(|error| ResourceError::name(name, &error))?,
        }
        Ok(Self {
            kind,
            name: name.to_owned(),
        })
    }

    /// The kind.
    pub fn kind(&self) -> ResourceKind {
        self.kind
    }

    /// The name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Key of the resource's row in the table.
    pub fn row_key(&self) -> String {
        format!("{}{}", self.kind.row_prefix(), self.name)
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.word(), self.name)
    }
}

/// Sessions are declared for root programs; sub-agents share their limits.
fn check_session_name(name: &str) -> Result<(), ResourceError> {
    match ProgramId::try_from(name) {
        Ok(program) if program.parent().is_none() => Ok(()),
        Ok(_) => Err(ResourceError::Name {
            name: name.to_owned(),
            allowed: "CUSTOMER/SESSION, without a sub-agent".to_owned(),
        }),
        Err(crate::id::IdError::Shape) => Err(ResourceError::Name {
            name: name.to_owned(),
            allowed: "CUSTOMER/SESSION".to_owned(),
        }),
        Err(error) => Err(ResourceError::name(name, &error)),
    }
}
