//! Names of customers, hosts, programs and calls, and the shard of a program.
//!
//! A program's id holds the ids of its ancestors, so that any entry finds the
//! shard of a sub-agent without asking: `renewal-17/check-2` is a sub-agent of
//! the root program `renewal-17`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Name of a customer, checked by [`check_name`].
pub type CustomerId = String;
/// Name of a host, as the platform lists it.
pub type HostId = String;
/// Name of an endpoint, as its resource declares it.
pub type EndpointId = String;
/// Name of an availability zone.
pub type AvailabilityZone = String;
/// Distinguishes the runs of a process on the same host.
pub type Incarnation = String;
/// Number of a shard, below the cluster's shard count.
pub type Shard = u32;
/// Counts the owners of a shard; higher is newer.
pub type Epoch = u64;
/// Position of a call in its program, from 1.
pub type Sequence = u64;
/// Revision of the configuration; each accepted change adds one.
pub type Revision = u64;

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Deepest nesting of sub-agents below a root program.
pub const MAX_DEPTH: usize = 4;

/// Why a name or id was not accepted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum IdError {
    /// The name is empty or too long.
    #[error("a name has 1 to {MAX_NAME_BYTES} bytes, not {0}")]
    Length(usize),
    /// The name has a character outside `a-z`, `0-9`, `-`, `_` and `.`.
    #[error("a name has only a-z, 0-9, '-', '_' and '.', not {0:?}")]
    Character(char),
    /// The id names too many ancestors.
    #[error("sub-agents nest at most {MAX_DEPTH} deep")]
    Depth,
    /// A call's id lacks its parts.
    #[error("a call id reads CUSTOMER/SESSION#SEQUENCE")]
    Shape,
}

/// Accepts a name of 1 to 64 bytes out of `a-z`, `0-9`, `-`, `_` and `.`.
///
/// # Errors
///
/// Tells the length or the first character that is not accepted.
pub fn check_name(name: &str) -> Result<(), IdError> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(IdError::Length(name.len()));
    }
    match name.chars().find(|c| !is_name_character(*c)) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(()),
    }
}

fn is_name_character(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.')
}

/// A program of a customer.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct ProgramId {
    /// The customer that the program belongs to; accepted by [`check_name`].
    customer: CustomerId,
    /// Names from the root program down, joined by `/`; 1 to `MAX_DEPTH + 1`
    /// names, each accepted by [`check_name`].
    session: String,
}

impl ProgramId {
    /// Checks the parts of an id.
    ///
    /// # Errors
    ///
    /// Fails when a name is not accepted or the nesting is too deep.
    pub fn new(customer: &str, session: &str) -> Result<Self, IdError> {
        check_name(customer)?;
        for name in session.split('/') {
            check_name(name)?;
        }
        if session.split('/').count() > MAX_DEPTH + 1 {
            return Err(IdError::Depth);
        }
        Ok(Self {
            customer: customer.to_owned(),
            session: session.to_owned(),
        })
    }

    /// The customer that the program belongs to.
    pub fn customer(&self) -> &str {
        &self.customer
    }

    /// The session's name, with its ancestors' names before it.
    pub fn session(&self) -> &str {
        &self.session
    }

    /// The root program, which is this one unless it is a sub-agent.
    pub fn root(&self) -> Self {
        let root = self.session.split('/').next().unwrap_or_default();
        Self {
            customer: self.customer.clone(),
            session: root.to_owned(),
        }
    }

    /// The program that started this sub-agent.
    pub fn parent(&self) -> Option<Self> {
        let (parent, _) = self.session.rsplit_once('/')?;
        Some(Self {
            customer: self.customer.clone(),
            session: parent.to_owned(),
        })
    }

    /// The shard of the root program, below `shard_count`.
    ///
    /// # Panics
    ///
    /// Panics when `shard_count` is zero.
    pub fn shard(&self, shard_count: u32) -> Shard {
        let root = self.root();
        let hash = rosebend_util::hash_parts(&[root.customer.as_bytes(), root.session.as_bytes()]);
        u32::try_from(hash % u64::from(shard_count)).expect("the remainder is below a u32")
    }
}

impl fmt::Display for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.session)
    }
}

impl From<ProgramId> for String {
    fn from(id: ProgramId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for ProgramId {
    type Error = IdError;

    fn try_from(raw: String) -> Result<Self, IdError> {
        Self::try_from(raw.as_str())
    }
}

impl TryFrom<&str> for ProgramId {
    type Error = IdError;

    fn try_from(raw: &str) -> Result<Self, IdError> {
        let (customer, session) = raw.split_once('/').ok_or(IdError::Shape)?;
        Self::new(customer, session)
    }
}

/// One call of a program.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct CallId {
    /// The program that made the call.
    pub program: ProgramId,
    /// The call's position in its program, from 1.
    pub sequence: Sequence,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.program, self.sequence)
    }
}

impl From<CallId> for String {
    fn from(id: CallId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for CallId {
    type Error = IdError;

    fn try_from(raw: String) -> Result<Self, IdError> {
        Self::try_from(raw.as_str())
    }
}

impl TryFrom<&str> for CallId {
    type Error = IdError;

    fn try_from(raw: &str) -> Result<Self, IdError> {
        let (program, sequence) = raw.rsplit_once('#').ok_or(IdError::Shape)?;
        Ok(Self {
            program: ProgramId::try_from(program)?,
            sequence: sequence.parse().map_err(|_| IdError::Shape)?,
        })
    }
}
