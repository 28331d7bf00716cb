//! Changes of the configuration in the peer protocol.
//!
//! An update goes as a list of [`ConfigChange`] beside a revision and a flag:
//! with the flag, the list is a snapshot of all resources at the revision.

use rosebend_state::{
    id::Revision,
    resource::{
        Change, ConfigUpdate, Resource, ResourceError, ResourceKey, ResourceKind, Snapshot,
    },
};

use crate::peer::ConfigChange;

/// Why an update of the peer protocol cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ConfigChangeError {
    /// The resource is not JSON of a resource.
    #[error("the resource of revision {revision} cannot be read: {error}")]
    Json {
        /// The change's revision.
        revision: Revision,
        /// What is wrong.
        error: serde_json::Error,
    },
    /// Kind or name is not one of a resource.
    #[error(transparent)]
    Key(#[from] ResourceError),
    /// The content is that of another resource, or a snapshot has none.
    #[error("the change of {0} does not hold that resource")]
    OtherContent(ResourceKey),
}

/// An update as messages, and whether they are a snapshot.
pub fn to_messages(update: &ConfigUpdate) -> (Vec<ConfigChange>, bool) {
    match update {
        ConfigUpdate::Changes(changes) => (changes.iter().map(change_message).collect(), false),
        ConfigUpdate::Snapshot(snapshot) => {
            let resources = snapshot.resources.iter();
            (resources.map(resource_message).collect(), true)
        }
    }
}

/// An update out of messages.
///
/// # Errors
///
/// Fails when a message does not hold what it should; then no part of the
/// update is to be used.
pub fn from_messages(
    revision: Revision,
    messages: &[ConfigChange],
    is_snapshot: bool,
) -> Result<ConfigUpdate, ConfigChangeError> {
    let changes = messages.iter().map(change).collect::<Result<Vec<_>, _>>()?;
    if !is_snapshot {
        return Ok(ConfigUpdate::Changes(changes));
    }
    let mut resources = Vec::with_capacity(changes.len());
    for change in changes {
        let resource = change.resource;
        resources.push(resource.ok_or(ConfigChangeError::OtherContent(change.key))?);
    }
    Ok(ConfigUpdate::Snapshot(Snapshot {
        revision,
        resources,
    }))
}

fn change_message(change: &Change) -> ConfigChange {
    match &change.resource {
        Some(resource) => ConfigChange {
            revision: change.revision,
            ..resource_message(resource)
        },
        None => ConfigChange {
            revision: change.revision,
            kind: change.key.kind().word().to_owned(),
            name: change.key.name().to_owned(),
            resource: Vec::new(),
        },
    }
}

fn resource_message(resource: &Resource) -> ConfigChange {
    ConfigChange {
        revision: resource.revision(),
        kind: resource.kind().word().to_owned(),
        name: resource.name().to_owned(),
        resource: serde_json::to_vec(resource).expect("a resource has a JSON form"),
    }
}

fn change(message: &ConfigChange) -> Result<Change, ConfigChangeError> {
    let kind = ResourceKind::try_from(message.kind.as_str())?;
    let key = ResourceKey::new(kind, &message.name)?;
    let resource = match message.resource.is_empty() {
        true => None,
        false => Some(resource(message)?),
    };
    match &resource {
        Some(resource) if resource.key() != key => Err(ConfigChangeError::OtherContent(key)),
        _ => Ok(Change {
            revision: message.revision,
            key,
            resource,
        }),
    }
}

fn resource(message: &ConfigChange) -> Result<Resource, ConfigChangeError> {
    serde_json::from_slice(&message.resource).map_err(|error| ConfigChangeError::Json {
        revision: message.revision,
        error,
    })
}
