//! What callers and operators send, each request on a connection of its own.

use std::{net::SocketAddr, time::Duration};

use awc::{Client, ClientRequest, error::SendRequestError, http::Method};
use bytes::Bytes;
use futures_util::StreamExt;
use rosebend_protocol::problem::Problem;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::{error::HarnessError, sse::EventStream, wait::DEADLINE};

/// Longest body that is read.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The call's id, when the answer belongs to a call.
    pub call: Option<String>,
    /// Seconds of `Retry-After`.
    pub retry_after_s: Option<u64>,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// The body as JSON; null when it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// The body as a problem document, when it is one.
    pub fn problem(&self) -> Option<Problem> {
        let is_problem = self.content_type.starts_with("application/problem+json");
        is_problem.then(|| self.read().ok()).flatten()
    }

    /// The body as some type.
    ///
    /// # Errors
    ///
    /// Fails when the body is not of this type.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, HarnessError> {
        serde_json::from_slice(&self.body).map_err(|error| HarnessError::NoAnswer {
            what: format!("reading {}", String::from_utf8_lossy(&self.body)),
            detail: error.to_string(),
        })
    }

    /// The reply itself when its status says success.
    ///
    /// # Errors
    ///
    /// Names the status and the body otherwise.
    pub fn success(self, what: &str) -> Result<Self, HarnessError> {
        match self.status {
            200..=299 => Ok(self),
            status => Err(HarnessError::Refused {
                what: what.to_owned(),
                status,
                body: String::from_utf8_lossy(&self.body).into_owned(),
            }),
        }
    }
}

/// A call of a program.
#[derive(Clone, Debug)]
pub struct Call {
    path: String,
    body: Value,
    headers: Vec<(&'static str, String)>,
}

impl Call {
    /// A model call.
    pub fn model(text: &str, answer_tokens: u64) -> Self {
        let messages = json!([{ "role": "user", "content": text }]);
        Self::chat(messages, answer_tokens)
    }

    /// A model call that goes on with a conversation.
    pub fn chat(messages: Value, answer_tokens: u64) -> Self {
        let body = json!({
            "model": "agent-llm",
            "messages": messages,
            "max_tokens": answer_tokens,
        });
        Self::new("/v1/chat/completions", body)
    }

    /// A call of a tool, whose effect is counted under a key.
    pub fn tool(tool: &str, effect_key: &str) -> Self {
        let body = json!({ "effect_key": effect_key });
        Self::new(&format!("/v1/tools/{tool}"), body)
    }

    /// A call of some path.
    pub fn new(path: &str, body: Value) -> Self {
        Self {
            path: path.to_owned(),
            body,
            headers: Vec::new(),
        }
    }

    /// With an idempotency key.
    pub fn key(self, key: &str) -> Self {
        self.header("Idempotency-Key", key)
    }

    /// With a position.
    pub fn sequence(self, sequence: u64) -> Self {
        self.header("Rosebend-Sequence", &sequence.to_string())
    }

    /// With a declaration that it may be repeated.
    pub fn repeatable(self) -> Self {
        self.header("Rosebend-Repeatable", "true")
    }

    /// With the time that the caller waits.
    pub fn deadline(self, deadline: Duration) -> Self {
        self.header("Rosebend-Deadline-Ms", &deadline.as_millis().to_string())
    }

    /// With a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    fn streamed(mut self) -> Self {
        self.body["stream"] = json!(true);
        self
    }
}

/// A caller, or an operator, with its token.
#[derive(Clone, Debug)]
pub struct Caller {
    token: String,
    session: Option<String>,
}

impl Caller {
    /// Somebody with this token.
    pub fn new(token: &str) -> Self {
        Self {
            token: token.to_owned(),
            session: None,
        }
    }

    /// The same caller in a program.
    pub fn session(&self, name: &str) -> Self {
        Self {
            session: Some(name.to_owned()),
            ..self.clone()
        }
    }

    /// The name of the caller's program; empty without one.
    pub fn session_name(&self) -> &str {
        self.session.as_deref().unwrap_or_default()
    }

    /// Opens the caller's program.
    ///
    /// # Errors
    ///
    /// Fails without an answer.
    pub async fn open(&self, entry: SocketAddr, budget_tokens: u64) -> Result<Reply, HarnessError> {
        let body = json!({ "session": self.session_name(), "budget_tokens": budget_tokens });
        self.post(entry, "/v1/sessions", &body).await
    }

    /// The state and the history of the caller's program.
    ///
    /// # Errors
    ///
    /// Fails without an answer.
    pub async fn show(&self, entry: SocketAddr) -> Result<Reply, HarnessError> {
        self.get(entry, &self.program_path()).await
    }

    /// Ends the caller's program.
    ///
    /// # Errors
    ///
    /// Fails without an answer.
    pub async fn finish(&self, entry: SocketAddr) -> Result<Reply, HarnessError> {
        let path = self.program_path();
        self.send(entry, Method::DELETE, &path, &[], Bytes::new())
            .await
    }

    /// Makes a call and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// Fails without a whole answer.
    pub async fn call(&self, entry: SocketAddr, call: &Call) -> Result<Reply, HarnessError> {
        self.call_with_body(entry, call, call.body.to_string().into())
            .await
    }

    /// Does the same as [`Self::call`] with a body in place of the call's.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes.
    pub async fn call_with_body(
        &self,
        entry: SocketAddr,
        call: &Call,
        body: Bytes,
    ) -> Result<Reply, HarnessError> {
        self.send(entry, Method::POST, &call.path, &call.headers, body)
            .await
    }

    /// Makes a model call with a streamed answer.
    ///
    /// # Errors
    ///
    /// Fails when no answer begins.
    pub async fn stream(
        &self,
        entry: SocketAddr,
        call: &Call,
    ) -> Result<EventStream, HarnessError> {
        let call = call.clone().streamed();
        let body = Bytes::from(call.body.to_string());
        let request = self.request(entry, Method::POST, &call.path, &call.headers);
        open_stream(request, body).await
    }

    /// Reads a call's answer again as a stream, from an offset.
    ///
    /// # Errors
    ///
    /// Fails when no answer begins.
    pub async fn resume(
        &self,
        entry: SocketAddr,
        sequence: u64,
        offset: u64,
    ) -> Result<EventStream, HarnessError> {
        let path = format!("{}/calls/{sequence}?offset={offset}", self.program_path());
        let request = self.request(entry, Method::GET, &path, &[]);
        open_stream(request, Bytes::new()).await
    }

    /// Reads a call's whole answer again.
    ///
    /// # Errors
    ///
    /// Fails without an answer.
    pub async fn fetch(&self, entry: SocketAddr, sequence: u64) -> Result<Reply, HarnessError> {
        let path = format!("{}/calls/{sequence}", self.program_path());
        self.get(entry, &path).await
    }

    /// Sends a GET.
    ///
    /// # Errors
    ///
    /// Fails without an answer.
    pub async fn get(&self, to: SocketAddr, path: &str) -> Result<Reply, HarnessError> {
        self.send(to, Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a POST with JSON.
    ///
    /// # Errors
    ///
    /// Fails without an answer.
    pub async fn post(
        &self,
        to: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Reply, HarnessError> {
        let body = Bytes::from(body.to_string());
        self.send(to, Method::POST, path, &[], body).await
    }

    /// Sends a PUT with JSON.
    ///
    /// # Errors
    ///
    /// Fails without an answer.
    pub async fn put(
        &self,
        to: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Reply, HarnessError> {
        let body = Bytes::from(body.to_string());
        self.send(to, Method::PUT, path, &[], body).await
    }

    /// Sends any request.
    ///
    /// # Errors
    ///
    /// Fails without a whole answer.
    pub async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: Bytes,
    ) -> Result<Reply, HarnessError> {
        let what = format!("{method} {path} at {to}");
        let request = self.request(to, method, path, headers);
        let mut reply = request
            .send_body(body)
            .await
            .map_err(|error| not_sent(&what, &error))?;
        let body = reply.body().limit(MAX_BODY_BYTES);
        let body = actix_rt::time::timeout(DEADLINE, body)
            .await
            .map_err(|error| no_answer(&what, &error))?
            .map_err(|error| no_answer(&what, &error))?;
        let header = |name: &str| {
            let value = reply.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        Ok(Reply {
            status: reply.status().as_u16(),
            call: header("rosebend-call"),
            retry_after_s: header("retry-after").and_then(|text| text.parse().ok()),
            content_type: header("content-type").unwrap_or_default(),
            body,
        })
    }

    /// The path of the caller's program.
    pub fn program_path(&self) -> String {
        format!("/v1/sessions/{}", self.session_name().replace('/', "%2F"))
    }

    fn request(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
    ) -> ClientRequest {
        let client = Client::builder().timeout(DEADLINE).finish();
        let mut request = client.request(method, format!("http://{to}{path}"));
        request = request.bearer_auth(&self.token);
        if let Some(session) = &self.session {
            request = request.insert_header(("Rosebend-Session", session.as_str()));
        }
        for (name, value) in headers {
            request = request.insert_header((*name, value.as_str()));
        }
        request.content_type("application/json")
    }
}

async fn open_stream(request: ClientRequest, body: Bytes) -> Result<EventStream, HarnessError> {
    let reply = request.send_body(body).await;
    let reply = reply.map_err(|error| not_sent("opening a stream", &error))?;
    let call = reply.headers().get("rosebend-call");
    let call = call.and_then(|value| value.to_str().ok());
    let call = call.map(str::to_owned);
    let status = reply.status().as_u16();
    let body = reply.map(|piece| piece.map_err(|error| error.to_string()));
    Ok(EventStream::new(status, call, Box::pin(body)))
}

fn not_sent(what: &str, error: &SendRequestError) -> HarnessError {
    match error {
        SendRequestError::Connect(error) => HarnessError::NotConnected {
            what: what.to_owned(),
            detail: error.to_string(),
        },
        error => no_answer(what, error),
    }
}

fn no_answer(what: &str, error: &dyn std::fmt::Display) -> HarnessError {
    HarnessError::NoAnswer {
        what: what.to_owned(),
        detail: error.to_string(),
    }
}
