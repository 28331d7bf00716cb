//! A caller's request, checked.
//!
//! HTTP requests and requests forwarded by another entry both become a
//! [`ForwardRequest`] first, and a [`CallerRequest`] from there, so the owner
//! treats both alike.

use std::time::Duration;

use bytes::Bytes;
use rosebend_coordination::warmth::SharedPrefix;
use rosebend_protocol::peer::ForwardRequest;
use rosebend_protocol::problem::{Problem, Ran};
use rosebend_state::id::{ProgramId, Sequence};
use rosebend_transport::http_server::HttpRequest;
use serde::Deserialize;
use serde_json::Value;

use crate::prefix;

/// Header that names the program of a call.
pub const SESSION_HEADER: &str = "rosebend-session";
/// Header that gives a call's position in its program.
pub const SEQUENCE_HEADER: &str = "rosebend-sequence";
/// Header that declares a tool call repeatable.
pub const REPEATABLE_HEADER: &str = "rosebend-repeatable";
/// Header with the milliseconds that the caller waits.
pub const DEADLINE_HEADER: &str = "rosebend-deadline-ms";
/// Header with the caller's key for the request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Longest accepted idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Answer tokens that a model call may make when it does not say.
const DEFAULT_ANSWER_TOKENS: u64 = 256;
/// Bytes that are counted as one token of a prompt.
const BYTES_PER_TOKEN: u64 = 4;

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Open a program.
    Open(OpenBody),
    /// Show a program and its history.
    Show,
    /// End a program.
    End,
    /// Call a model.
    Model(ModelCall),
    /// Call a tool or plain service.
    Tool(ToolCall),
    /// Read a call's answer from an offset.
    Fetch {
        /// Position of the call.
        sequence: Sequence,
        /// First part wanted.
        offset: u64,
        /// Whether the answer is wanted as a stream of events.
        stream: bool,
    },
}

/// Body of a request to open a program.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenBody {
    /// Name of the session, with its ancestors before it.
    pub session: String,
    /// Tokens that the program and its sub-agents may use.
    #[serde(default)]
    pub budget_tokens: Option<u64>,
    /// Most calls.
    #[serde(default)]
    pub turn_limit: Option<u64>,
    /// Longest life.
    #[serde(default)]
    pub wall_limit_ms: Option<u64>,
}

/// A call of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelCall {
    /// Name of the model.
    pub model: String,
    /// Whether the caller wants a stream of events.
    pub stream: bool,
    /// Estimate of the prompt's length.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_answer_tokens: u64,
    /// Starts of the prompt that other prompts may share, the shortest first.
    pub shared_prefixes: Vec<SharedPrefix>,
}

/// A call of a tool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ToolCall {
    /// Name of the tool.
    pub tool: String,
    /// Whether the caller declared it repeatable.
    pub repeatable: Option<bool>,
}

/// A checked request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// The program that it is about.
    pub program: ProgramId,
    /// What is wanted.
    pub operation: Operation,
    /// The caller's key.
    pub key: Option<String>,
    /// The position that the caller gives the call.
    pub sequence: Option<Sequence>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The body as it came.
    pub body: Bytes,
}

/// Makes the request that an entry forwards, or serves itself, out of an
/// authenticated HTTP request.
///
/// # Errors
///
/// Fails when a header is not what it should be.
pub fn to_forward(
    request: &HttpRequest,
    customer: &str,
    sender: &str,
) -> Result<ForwardRequest, Problem> {
    Ok(ForwardRequest {
        sender: sender.to_owned(),
        customer: customer.to_owned(),
        method: request.method.clone(),
        path: request.path.clone(),
        session: request
            .header(SESSION_HEADER)
            .unwrap_or_default()
            .to_owned(),
        idempotency_key: request.header(KEY_HEADER).unwrap_or_default().to_owned(),
        sequence: header_number(request, SEQUENCE_HEADER)?,
        repeatable: header_flag(request, REPEATABLE_HEADER)?,
        offset: query_number(request, "offset")?,
        deadline_ms: header_number(request, DEADLINE_HEADER)?,
        body: request.body.clone(),
        config_revision: 0,
    })
}

fn header_number(request: &HttpRequest, name: &str) -> Result<Option<u64>, Problem> {
    request
        .header(name)
        .map(|value| parse_number(name, value))
        .transpose()
}

fn query_number(request: &HttpRequest, name: &str) -> Result<Option<u64>, Problem> {
    request
        .query_value(name)
        .map(|value| parse_number(name, value))
        .transpose()
}

fn parse_number(name: &str, value: &str) -> Result<u64, Problem> {
    value
        .parse()
        .map_err(|_| invalid(format!("{name} is a whole number, not {value:?}")))
}

fn header_flag(request: &HttpRequest, name: &str) -> Result<Option<bool>, Problem> {
    match request.header(name) {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(other) => Err(invalid(format!("{name} is true or false, not {other:?}"))),
    }
}

/// A problem for a request that is not well formed.
pub fn invalid(detail: impl Into<String>) -> Problem {
    Problem::new(400, "invalid-request", Ran::No, detail)
}

fn not_found(path: &str) -> Problem {
    Problem::new(
        404,
        "no-such-path",
        Ran::No,
        format!("nothing is served at {path}"),
    )
}

impl TryFrom<&ForwardRequest> for CallerRequest {
    type Error = Problem;

    fn try_from(raw: &ForwardRequest) -> Result<Self, Problem> {
        let (session, operation) = route(raw)?;
        let program = ProgramId::new(&raw.customer, &session)
            .map_err(|error| invalid(format!("session {session:?}: {error}")))?;
        if raw.idempotency_key.len() > MAX_KEY_BYTES {
            return Err(invalid(format!("a key has at most {MAX_KEY_BYTES} bytes")));
        }
        if raw.sequence == Some(0) {
            return Err(invalid("the first call of a program has sequence 1"));
        }
        Ok(Self {
            program,
            operation,
            key: (!raw.idempotency_key.is_empty()).then(|| raw.idempotency_key.clone()),
            sequence: raw.sequence,
            deadline: raw.deadline_ms.map(Duration::from_millis),
            body: raw.body.clone(),
        })
    }
}

fn route(raw: &ForwardRequest) -> Result<(String, Operation), Problem> {
    let segments: Vec<&str> = raw.path.trim_matches('/').split('/').collect();
    match (raw.method.as_str(), segments.as_slice()) {
        ("POST", ["v1", "sessions"]) => {
            let body: OpenBody = parse_json(&raw.body)?;
            Ok((body.session.clone(), Operation::Open(body)))
        }
        ("GET", ["v1", "sessions", name]) => Ok((decode(name), Operation::Show)),
        ("DELETE", ["v1", "sessions", name]) => Ok((decode(name), Operation::End)),
        ("GET", ["v1", "sessions", name, "calls", number]) => {
            let sequence = parse_number("the call's number", number)?;
            let offset = raw.offset.unwrap_or(0);
            let stream = raw.offset.is_some();
            Ok((
                decode(name),
                Operation::Fetch {
                    sequence,
                    offset,
                    stream,
                },
            ))
        }
        ("POST", ["v1", "chat", "completions"]) => Ok((
            named_session(raw)?,
            Operation::Model(model_call(&raw.body)?),
        )),
        ("POST", ["v1", "tools", tool]) => {
            check_json(&raw.body)?;
            let call = ToolCall {
                tool: (*tool).to_owned(),
                repeatable: raw.repeatable,
            };
            Ok((named_session(raw)?, Operation::Tool(call)))
        }
        (_, ["v1", "sessions" | "chat" | "tools", ..]) if !is_known_method(&raw.method) => {
            let detail = format!("{} is not used here", raw.method);
            Err(Problem::new(405, "method-not-allowed", Ran::No, detail))
        }
        _ => Err(not_found(&raw.path)),
    }
}

fn is_known_method(method: &str) -> bool {
    matches!(method, "GET" | "POST" | "DELETE")
}

/// A session's name in a path has its `/` written as `%2F`.
fn decode(name: &str) -> String {
    name.replace("%2F", "/").replace("%2f", "/")
}

fn named_session(raw: &ForwardRequest) -> Result<String, Problem> {
    if raw.session.is_empty() {
        return Err(invalid(format!(
            "the header {SESSION_HEADER} names the program of a call"
        )));
    }
    Ok(raw.session.clone())
}

fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|error| invalid(format!("the body: {error}")))
}

fn check_json(body: &[u8]) -> Result<(), Problem> {
    parse_json::<serde::de::IgnoredAny>(body).map(|_| ())
}

fn model_call(body: &[u8]) -> Result<ModelCall, Problem> {
    let value: Value = parse_json(body)?;
    let field = |name: &str| value.get(name);
    let model = field("model")
        .and_then(Value::as_str)
        .ok_or_else(|| invalid("model: a model's name is wanted"))?;
    if !field("messages").is_some_and(Value::is_array) {
        return Err(invalid("messages: a list of messages is wanted"));
    }
    let stream = match field("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(other) => {
            return Err(invalid(format!(
                "stream: true or false is wanted, not {other}"
            )));
        }
    };
    let limit = field("max_completion_tokens").or(field("max_tokens"));
    let max_answer_tokens = match limit {
        None | Some(Value::Null) => DEFAULT_ANSWER_TOKENS,
        Some(limit) => limit
            .as_u64()
            .filter(|tokens| (1..=1_000_000).contains(tokens))
            .ok_or_else(|| invalid(format!("max_tokens: 1 to 1000000 is wanted, not {limit}")))?,
    };
    let prompt_tokens = (body.len() as u64).div_ceil(BYTES_PER_TOKEN);
    let messages = field("messages").and_then(Value::as_array);
    Ok(ModelCall {
        model: model.to_owned(),
        stream,
        prompt_tokens,
        shared_prefixes: prefix::shared_prefixes(model, messages.map_or(&[], Vec::as_slice)),
        max_answer_tokens,
    })
}
