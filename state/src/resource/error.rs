//! What can be wrong with a resource.

use serde_json::Value;

use crate::id::IdError;

use super::key::ResourceKey;

/// Why a resource was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ResourceError {
    /// There is no such kind.
    #[error("kind is {0:?}; allowed: one of customer, session, model, endpoint, tool, policy")]
    Kind(String),
    /// The name is not one that the kind allows.
    #[error("name is {name:?}; allowed: {allowed}")]
    Name {
        /// The name.
        name: String,
        /// What is allowed.
        allowed: String,
    },
    /// Fields of the specification are not accepted.
    #[error("{key}: {}", join(.defects))]
    Fields {
        /// The resource.
        key: ResourceKey,
        /// What is wrong, field by field; never empty.
        defects: Vec<FieldDefect>,
    },
}

/// One field that is not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FieldDefect {
    /// The field must be there.
    #[error("{field} is missing; allowed: {allowed}")]
    Missing {
        /// The field.
        field: &'static str,
        /// What is allowed.
        allowed: String,
    },
    /// The field has another value or type.
    #[error("{field} is {value}; allowed: {allowed}")]
    Value {
        /// The field.
        field: &'static str,
        /// Its value, as JSON.
        value: Value,
        /// What is allowed.
        allowed: String,
    },
    /// The kind has no such field.
    #[error("{field} is not a field; allowed: {}", .known.join(", "))]
    Unknown {
        /// The field.
        field: String,
        /// All fields of the kind.
        known: Vec<&'static str>,
    },
}

impl ResourceError {
    /// An error of a name, from the rules of ids.
    pub(super) fn name(name: &str, error: &IdError) -> Self {
        Self::Name {
            name: name.to_owned(),
            allowed: error.to_string(),
        }
    }
}

fn join(defects: &[FieldDefect]) -> String {
    let texts: Vec<String> = defects.iter().map(ToString::to_string).collect();
    texts.join("; ")
}
