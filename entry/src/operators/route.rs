//! Which request it is.

use std::borrow::Cow;

use rosebend_protocol::problem::Problem;
use rosebend_state::{
    id::{CustomerId, ProgramId},
    resource::{ResourceKey, ResourceKind},
};
use rosebend_transport::http_server::HttpRequest;

use super::problems;

const PREFIX: &str = "/api/v1/";
const DRAIN_SUFFIX: &str = "/drain";

/// A request of an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Route {
    List(ResourceKind),
    Get(ResourceKey),
    Put(ResourceKey),
    Delete(ResourceKey),
    Drain(ResourceKey),
    Changes,
    Status,
}

impl TryFrom<&HttpRequest> for Route {
    type Error = Problem;

    fn try_from(request: &HttpRequest) -> Result<Self, Problem> {
        let path = decode(&request.path)?;
        let Some(path) = path.strip_prefix(PREFIX) else {
            return Err(problems::no_such_path(&request.path));
        };
        let method = request.method.as_str();
        match (method, path.split_once('/')) {
            ("GET", None) if path == "changes" => Ok(Self::Changes),
            ("GET", None) if path == "status" => Ok(Self::Status),
            ("GET", None) => Ok(Self::List(kind(path)?)),
            ("GET", Some((word, name))) => Ok(Self::Get(key(word, name)?)),
            ("PUT", Some((word, name))) => Ok(Self::Put(key(word, name)?)),
            ("DELETE", Some((word, name))) => Ok(Self::Delete(key(word, name)?)),
            ("POST", Some(("endpoint", rest))) => match rest.strip_suffix(DRAIN_SUFFIX) {
                Some(name) => Ok(Self::Drain(key("endpoint", name)?)),
                None => Err(problems::no_such_path(&request.path)),
            },
            _ => Err(problems::no_such_method(method, &request.path)),
        }
    }
}

/// The customer's own request for a request of an operator about a program,
/// and the customer; none for requests about anything else.
///
/// `GET` and `DELETE` of `/api/v1/program/CUSTOMER/SESSION` become those of
/// `/v1/sessions/SESSION`, with the slashes of a sub-agent's name escaped.
pub fn as_program_request(request: &HttpRequest) -> Option<(HttpRequest, CustomerId)> {
    if !matches!(request.method.as_str(), "GET" | "DELETE") {
        return None;
    }
    let path = decode(&request.path).ok()?;
    let name = path.strip_prefix(PREFIX)?.strip_prefix("program/")?;
    let program = ProgramId::try_from(name).ok()?;
    let session = program.session().replace('/', "%2F");
    let mut own = request.clone();
    own.path = format!("/v1/sessions/{session}");
    Some((own, program.customer().to_owned()))
}

fn kind(word: &str) -> Result<ResourceKind, Problem> {
    ResourceKind::try_from(word).map_err(|error| problems::unknown_kind(&error))
}

fn key(word: &str, name: &str) -> Result<ResourceKey, Problem> {
    let kind = kind(word)?;
    ResourceKey::new(kind, name).map_err(|error| problems::invalid_resource(&error))
}

/// Names have no character that needs escaping but the slash in a session's.
fn decode(path: &str) -> Result<Cow<'_, str>, Problem> {
    let decoded = match path.contains('%') {
        true => Cow::from(path.replace("%2F", "/").replace("%2f", "/")),
        false => Cow::from(path),
    };
    match decoded.contains('%') {
        true => Err(problems::no_such_path(path)),
        false => Ok(decoded),
    }
}
