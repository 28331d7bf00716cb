//! Runs a program from a file, to try out an installation.
//!
//! The steps of the file are sent one after another, each to another entry,
//! with a key and a position, so that any entry may take any of them. The run
//! fails when an answer is not whole.

use std::fmt;
use std::time::{Duration, Instant};

use awc::error::PayloadError;
use awc::{Client, ClientRequest, ClientResponse};
use bytes::Bytes;
use futures_util::{FutureExt, Stream, StreamExt, future::LocalBoxFuture};
use serde::Deserialize;
use serde_json::{Value, json};

/// Longest wait for one answer.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A program as its file declares it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramFile {
    /// Name of the session.
    pub session: String,
    /// Tokens that the program and its sub-agents may use.
    pub budget_tokens: u64,
    /// What the program does, in order.
    pub steps: Vec<Step>,
}

/// One step of a program.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(tag = "step", rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    /// A streamed call of a model, over all that was said before.
    Model {
        /// The model.
        model: String,
        /// What is said.
        prompt: String,
        /// Most tokens of the answer.
        max_tokens: u64,
    },
    /// A call of a tool.
    Tool {
        /// The tool.
        tool: String,
        /// Whether the call may run more than once.
        #[serde(default)]
        repeatable: bool,
        /// Body of the call.
        body: Value,
    },
    /// The program waits, as for a person or a slow tool.
    Pause {
        /// How long.
        pause_ms: u64,
    },
    /// A sub-agent with steps of its own.
    SubAgent {
        /// Its name.
        name: String,
        /// What it does.
        steps: Vec<Self>,
    },
}

/// Why a run failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RunError {
    /// An entry could not be reached, or broke off.
    #[error("{request}: {detail}")]
    Transport {
        /// The request.
        request: String,
        /// What went wrong.
        detail: String,
    },
    /// An entry answered with a problem.
    #[error("{request}: status {status}: {body}")]
    Problem {
        /// The request.
        request: String,
        /// The status.
        status: u16,
        /// The problem document.
        body: String,
    },
    /// A stream ended before it was whole.
    #[error("{0}: the answer is not whole")]
    Cut(String),
}

/// What a step was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StepResult {
    /// The program, or the sub-agent with its ancestors before it.
    pub session: String,
    /// What was done.
    pub step: String,
    /// The entry that was asked.
    pub entry: String,
    /// Beginning of the answer.
    pub answer: String,
    /// Time until the first part of the answer.
    pub first_ms: u64,
    /// Time until the whole answer.
    pub whole_ms: u64,
}

/// What a whole run gave.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// The steps, in the order in which they ended.
    pub steps: Vec<StepResult>,
    /// The program as its owner shows it.
    pub program: Value,
    /// An effect, and how often the service counts it.
    pub effect: Option<(String, u64)>,
}

impl RunReport {
    /// Whether the effect that was asked about happened exactly once.
    pub fn holds(&self) -> bool {
        self.effect.as_ref().is_none_or(|(_, count)| *count == 1)
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<22} {:<22} {:<24} {:>8} {:>8}  answer",
            "program", "call", "entry", "first", "whole"
        )?;
        for step in &self.steps {
            let StepResult {
                session,
                step,
                entry,
                answer,
                first_ms,
                whole_ms,
            } = step;
            writeln!(
                f,
                "{session:<22} {step:<22} {entry:<24} {first_ms:>5} ms {whole_ms:>5} ms  {answer}"
            )?;
        }
        writeln!(f, "\nhistory, as the owner shows it:")?;
        for call in self.program["calls"].as_array().into_iter().flatten() {
            writeln!(
                f,
                "  {:>3} {:<6} {:<14} {}",
                call["sequence"],
                text(&call["kind"]),
                text(&call["target"]),
                text(&call["stage"])
            )?;
        }
        writeln!(
            f,
            "budget: {} of {} tokens spent",
            self.program["spent_tokens"], self.program["budget_tokens"]
        )?;
        if let Some((key, count)) = &self.effect {
            writeln!(f, "effects of {key}, as the service counts them: {count}")?;
        }
        Ok(())
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

/// Runs a program to its end, and asks a service stand-in how often an effect
/// (the stand-in's base URL, and the effect's key) happened.
///
/// # Errors
///
/// Fails when an answer is not whole, or the stand-in does not answer.
pub fn run_blocking(
    entries: Vec<String>,
    token: String,
    program: &ProgramFile,
    effect: Option<(String, String)>,
) -> Result<RunReport, RunError> {
    actix_rt::System::new().block_on(async {
        let (steps, program) = Runner::new(entries, token).run(program).await?;
        let effect = match effect {
            Some((url, key)) => Some((key.clone(), count_effects(&url, &key).await?)),
            None => None,
        };
        Ok(RunReport {
            steps,
            program,
            effect,
        })
    })
}

async fn count_effects(url: &str, key: &str) -> Result<u64, RunError> {
    let name = format!("GET {url}/effects");
    let request = Client::default().get(format!("{url}/effects"));
    let mut reply = send(request, None, &name).await?;
    let effects: Value = reply
        .json()
        .await
        .map_err(|error| transport(&name, &error))?;
    Ok(effects["keys"][key].as_u64().unwrap_or(0))
}

/// Runs programs against some entries.
#[derive(Debug)]
pub struct Runner {
    entries: Vec<String>,
    token: String,
    turn: usize,
    results: Vec<StepResult>,
}

impl Runner {
    /// A runner that goes through `entries` (base URLs, at least one) in turn.
    pub fn new(entries: Vec<String>, token: String) -> Self {
        Self {
            entries,
            token,
            turn: 0,
            results: Vec::new(),
        }
    }

    /// Runs a program to its end, and returns the results of its steps and the
    /// program as its owner shows it.
    ///
    /// # Errors
    ///
    /// Fails at the first step whose answer is not whole.
    pub async fn run(
        mut self,
        program: &ProgramFile,
    ) -> Result<(Vec<StepResult>, Value), RunError> {
        self.open(&program.session, Some(program.budget_tokens))
            .await?;
        self.steps(program.session.clone(), program.steps.clone())
            .await?;
        let path = format!("/v1/sessions/{}", program.session);
        let shown = self.json("GET", &path, &[], None).await?;
        Ok((self.results, shown))
    }

    async fn open(&mut self, session: &str, budget_tokens: Option<u64>) -> Result<(), RunError> {
        let body = json!({"session": session, "budget_tokens": budget_tokens});
        self.json("POST", "/v1/sessions", &[], Some(&body))
            .await
            .map(|_| ())
    }

    fn steps(
        &mut self,
        session: String,
        steps: Vec<Step>,
    ) -> LocalBoxFuture<'_, Result<(), RunError>> {
        async move {
            let mut messages = Vec::new();
            let mut sequence = 0;
            for step in steps {
                if matches!(step, Step::Model { .. } | Step::Tool { .. }) {
                    sequence += 1;
                }
                self.step(&session, sequence, step, &mut messages).await?;
            }
            Ok(())
        }
        .boxed_local()
    }

    async fn step(
        &mut self,
        session: &str,
        sequence: u64,
        step: Step,
        messages: &mut Vec<Value>,
    ) -> Result<(), RunError> {
        match step {
            Step::Pause { pause_ms } => {
                actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
                Ok(())
            }
            Step::SubAgent { name, steps } => {
                let session = format!("{session}/{name}");
                self.open(&session, None).await?;
                self.steps(session, steps).await
            }
            Step::Model {
                model,
                prompt,
                max_tokens,
            } => {
                messages.push(json!({"role": "user", "content": prompt}));
                let body = json!({
                    "model": model,
                    "messages": messages,
                    "max_tokens": max_tokens,
                    "stream": true,
                });
                let answer = self.model(session, sequence, &model, &body).await?;
                messages.push(json!({"role": "assistant", "content": answer}));
                Ok(())
            }
            Step::Tool {
                tool,
                repeatable,
                body,
            } => {
                let answer = self
                    .tool(session, sequence, &tool, repeatable, &body)
                    .await?;
                messages.push(json!({"role": "user", "content": answer}));
                Ok(())
            }
        }
    }

    async fn model(
        &mut self,
        session: &str,
        sequence: u64,
        model: &str,
        body: &Value,
    ) -> Result<String, RunError> {
        let entry = self.next_entry();
        let started = Instant::now();
        let headers = call_headers(session, sequence);
        let request = self.request("POST", &entry, "/v1/chat/completions", &headers);
        let name = format!("{session} call {sequence} (model {model}) at {entry}");
        let mut reply = send(request, Some(body), &name).await?;
        if reply.status().as_u16() != 200 {
            return Err(problem(&name, &mut reply).await);
        }
        let mut first = None;
        let mut text = String::new();
        while let Some(chunk) = reply.next().await {
            let chunk = chunk.map_err(|error| transport(&name, &error))?;
            first.get_or_insert_with(|| started.elapsed());
            text.push_str(&String::from_utf8_lossy(&chunk));
        }
        let answer = whole_answer(&text).ok_or_else(|| RunError::Cut(name.clone()))?;
        let first = first.unwrap_or_default();
        self.note(
            session,
            format!("{sequence} model {model}"),
            entry,
            &answer,
            first,
            started.elapsed(),
        );
        Ok(answer)
    }

    async fn tool(
        &mut self,
        session: &str,
        sequence: u64,
        tool: &str,
        repeatable: bool,
        body: &Value,
    ) -> Result<String, RunError> {
        let entry = self.next_entry();
        let started = Instant::now();
        let mut headers = call_headers(session, sequence);
        headers.push(("rosebend-repeatable", repeatable.to_string()));
        let request = self.request("POST", &entry, &format!("/v1/tools/{tool}"), &headers);
        let name = format!("{session} call {sequence} (tool {tool}) at {entry}");
        let mut reply = send(request, Some(body), &name).await?;
        if reply.status().as_u16() != 200 {
            return Err(problem(&name, &mut reply).await);
        }
        let bytes = reply.body().limit(MAX_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|error| transport(&name, &error))?;
        let answer = String::from_utf8_lossy(&bytes).into_owned();
        let time = started.elapsed();
        self.note(
            session,
            format!("{sequence} tool {tool}"),
            entry,
            &answer,
            time,
            time,
        );
        Ok(answer)
    }

    fn note(
        &mut self,
        session: &str,
        step: String,
        entry: String,
        answer: &str,
        first: Duration,
        whole: Duration,
    ) {
        const SHOWN_CHARACTERS: usize = 40;
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.results.push(StepResult {
            session: session.to_owned(),
            step,
            entry,
            answer: answer.chars().take(SHOWN_CHARACTERS).collect(),
            first_ms: millis(first),
            whole_ms: millis(whole),
        });
    }

    async fn json(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&'static str, String)],
        body: Option<&Value>,
    ) -> Result<Value, RunError> {
        let entry = self.next_entry();
        let request = self.request(method, &entry, path, headers);
        let name = format!("{method} {path} at {entry}");
        let mut reply = send(request, body, &name).await?;
        if !reply.status().is_success() {
            return Err(problem(&name, &mut reply).await);
        }
        reply
            .json()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|error| transport(&name, &error))
    }

    fn request(
        &self,
        method: &str,
        entry: &str,
        path: &str,
        headers: &[(&'static str, String)],
    ) -> ClientRequest {
        let client = Client::builder().timeout(STEP_TIMEOUT).finish();
        let url = format!("{}{path}", entry.trim_end_matches('/'));
        let method = method.parse().unwrap_or_default();
        let mut request = client.request(method, url).bearer_auth(&self.token);
        for (name, value) in headers {
            request = request.insert_header((*name, value.as_str()));
        }
        request
    }

    fn next_entry(&mut self) -> String {
        let entry = self.entries[self.turn % self.entries.len()].clone();
        self.turn += 1;
        entry
    }
}

fn call_headers(session: &str, sequence: u64) -> Vec<(&'static str, String)> {
    vec![
        ("rosebend-session", session.to_owned()),
        ("rosebend-sequence", sequence.to_string()),
        ("idempotency-key", format!("{session}-{sequence}")),
    ]
}

async fn send(
    request: ClientRequest,
    body: Option<&Value>,
    name: &str,
) -> Result<ClientResponse<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin>, RunError> {
    let sent = match body {
        Some(body) => request.send_json(body).await,
        None => request.send().await,
    };
    sent.map_err(|error| transport(name, &error))
}

fn transport(request: &str, error: &dyn std::fmt::Display) -> RunError {
    RunError::Transport {
        request: request.to_owned(),
        detail: error.to_string(),
    }
}

async fn problem<S>(request: &str, reply: &mut ClientResponse<S>) -> RunError
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let body = reply.body().await.unwrap_or_default();
    RunError::Problem {
        request: request.to_owned(),
        status: reply.status().as_u16(),
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

/// The text of a stream of events, if it is whole: offsets without a gap, and
/// the closing event.
fn whole_answer(events: &str) -> Option<String> {
    let mut text = String::new();
    let events = events.split("\n\n").filter(|event| !event.is_empty());
    for (next_offset, event) in (0u64..).zip(events) {
        let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
        if data == "[DONE]" {
            return Some(text);
        }
        let id = event.lines().find_map(|line| line.strip_prefix("id: "))?;
        if id.parse::<u64>().ok()? != next_offset {
            return None;
        }
        let chunk: Value = serde_json::from_str(data).ok()?;
        let content = chunk
            .pointer("/choices/0/delta/content")
            .and_then(Value::as_str);
        text.push_str(content.unwrap_or_default());
    }
    None
}
