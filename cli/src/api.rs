//! The client of the operators' API.

use std::{fs, time::Duration};

use awc::{
    Client,
    error::{ConnectError, SendRequestError},
    http::Method,
};
use rosebend_protocol::problem::Problem;
use rosebend_state::{
    id::{ProgramId, Revision},
    resource::{Resource, ResourceKey, ResourceKind},
    settings::CliSettings,
};
use serde_json::Value;

use crate::report::Failure;

/// Longest wait for an answer; an entry tells a change's outcome sooner.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// How long an entry is asked to wait for a change, in milliseconds.
pub const WATCH_WAIT_MS: u64 = 15_000;
/// Longest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// The client of the operators' API.
pub struct Api {
    client: Client,
    base_url: String,
    token: String,
}

impl Api {
    /// A client that reads its token from the settings' file.
    ///
    /// # Errors
    ///
    /// Fails when the file has no token.
    pub fn new(settings: &CliSettings) -> Result<Self, Failure> {
        Ok(Self {
            client: Client::builder().timeout(ANSWER_TIMEOUT).finish(),
            base_url: settings.url.trim_end_matches('/').to_owned(),
            token: read_token(settings)?,
        })
    }

    /// One resource.
    ///
    /// # Errors
    ///
    /// Fails when it is not there or no entry tells.
    pub async fn get(&self, key: &ResourceKey) -> Result<Value, Failure> {
        self.read(&format!("/api/v1/{key}")).await
    }

    /// One resource; none when it is not there.
    ///
    /// # Errors
    ///
    /// Fails when no entry tells.
    pub async fn find(&self, key: &ResourceKey) -> Result<Option<Value>, Failure> {
        match self.get(key).await {
            Ok(resource) => Ok(Some(resource)),
            Err(Failure::Problem(problem)) if problem.reason == "not-found" => Ok(None),
            Err(failure) => Err(failure),
        }
    }

    /// The resources of a kind.
    ///
    /// # Errors
    ///
    /// Fails when no entry tells.
    pub async fn list(&self, kind: ResourceKind) -> Result<Value, Failure> {
        self.read(&format!("/api/v1/{}", kind.word())).await
    }

    /// Declares a resource.
    ///
    /// # Errors
    ///
    /// Fails when it is refused or nobody can tell.
    pub async fn put(
        &self,
        resource: &Resource,
        revision: Revision,
        dry_run: bool,
    ) -> Result<Value, Failure> {
        let path = format!(
            "/api/v1/{}?revision={revision}&dry_run={dry_run}",
            resource.key()
        );
        let body = serde_json::to_value(resource).expect("a resource has a JSON form");
        self.send(Method::PUT, &path, Some(body)).await
    }

    /// Removes a resource.
    ///
    /// # Errors
    ///
    /// Fails when it is refused or nobody can tell.
    pub async fn delete(&self, key: &ResourceKey, revision: Revision) -> Result<Value, Failure> {
        let path = format!("/api/v1/{key}?revision={revision}");
        self.send(Method::DELETE, &path, None).await
    }

    /// Gives an endpoint no new work.
    ///
    /// # Errors
    ///
    /// Fails when it is refused or nobody can tell.
    pub async fn drain(&self, key: &ResourceKey) -> Result<Value, Failure> {
        self.send(Method::POST, &format!("/api/v1/{key}/drain"), None)
            .await
    }

    /// Changes after a revision, of which the entry waits for one.
    ///
    /// # Errors
    ///
    /// Fails when no entry tells.
    pub async fn changes(&self, after: Revision) -> Result<Value, Failure> {
        let path = format!("/api/v1/changes?after={after}&wait_ms={WATCH_WAIT_MS}");
        self.read(&path).await
    }

    /// Where a revision is in force.
    ///
    /// # Errors
    ///
    /// Fails when no entry tells.
    pub async fn status(&self, revision: Option<Revision>) -> Result<Value, Failure> {
        let query = revision.map(|revision| format!("?revision={revision}"));
        self.read(&format!("/api/v1/status{}", query.unwrap_or_default()))
            .await
    }

    /// A program and its calls.
    ///
    /// # Errors
    ///
    /// Fails when it is not known or no entry tells.
    pub async fn program(&self, program: &ProgramId) -> Result<Value, Failure> {
        self.read(&program_path(program)).await
    }

    /// Ends a program.
    ///
    /// # Errors
    ///
    /// Fails when it is refused or nobody can tell.
    pub async fn end(&self, program: &ProgramId) -> Result<Value, Failure> {
        self.send(Method::DELETE, &program_path(program), None)
            .await
    }

    async fn read(&self, path: &str) -> Result<Value, Failure> {
        let answer = self.send(Method::GET, path, None).await;
        answer.map_err(Failure::of_reading)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value, Failure> {
        let url = format!("{}{path}", self.base_url);
        let request = self.client.request(method, url).bearer_auth(&self.token);
        let sent = match &body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut answer = sent.await.map_err(|error| not_sent_or_lost(&error))?;
        let is_success = answer.status().is_success();
        let status = answer.status();
        let body = answer.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| Failure::LostAnswer(error.to_string()))?;
        if is_success {
            return serde_json::from_slice(&body).map_err(|_| not_an_entry(status.as_u16()));
        }
        match serde_json::from_slice::<Problem>(&body) {
            Ok(problem) => Err(Failure::Problem(Box::new(problem))),
            Err(_) => Err(not_an_entry(status.as_u16())),
        }
    }
}

/// What a balancer answers in place of an entry tells nothing about the
/// request.
fn not_an_entry(status: u16) -> Failure {
    Failure::LostAnswer(format!("status {status} with a body that no entry sends"))
}

fn not_sent_or_lost(error: &SendRequestError) -> Failure {
    let was_sent = match error {
        SendRequestError::Url(_) => false,
        SendRequestError::Connect(connect) => !never_connected(connect),
        _ => true,
    };
    match was_sent {
        true => Failure::LostAnswer(error.to_string()),
        false => Failure::NotReachable(error.to_string()),
    }
}

/// The client also calls it a connect error when an open connection breaks
/// before the answer; then the request was sent.
fn never_connected(error: &ConnectError) -> bool {
    matches!(
        error,
        ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Unresolved
            | ConnectError::Timeout
            | ConnectError::Io(_)
    )
}

fn program_path(program: &ProgramId) -> String {
    let session = program.session().replace('/', "%2F");
    format!("/api/v1/program/{}/{session}", program.customer())
}

fn read_token(settings: &CliSettings) -> Result<String, Failure> {
    let path = settings.token_file.display();
    let text = fs::read_to_string(&settings.token_file)
        .map_err(|error| Failure::Usage(format!("{path}: {error}")))?;
    let token = text.lines().next().unwrap_or_default().trim();
    match token.is_empty() {
        true => Err(Failure::Usage(format!("{path}: the first line is empty"))),
        false => Ok(token.to_owned()),
    }
}

impl std::fmt::Debug for Api {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Api")
            .field("base_url", &self.base_url)
            .finish_non_exhaustive()
    }
}
