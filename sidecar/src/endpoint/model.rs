//! Model calls: streamed, and resumed when the connection is cut or silent.
//!
//! The engine goes on with a request whose connection is lost and streams it
//! again from an offset, so a lost connection costs no token. A request that
//! the engine no longer knows was lost with the engine.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use rosebend_coordination::endpoint::outcome::{FailureReason, Finished, Outcome};
use rosebend_protocol::sse::{SseEvent, SseReader};
use rosebend_transport::event::{Event, EventKind, log_event};
use serde::Deserialize;

use super::client::{EndpointResponse, RequestHead};
use super::{Endpoint, RunJob, encode_segment, failed, finished, send_error};
use crate::control::Command;

/// Longest silence of a stream before a new connection is tried. A slow engine
/// only pays one more request for it.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for an answer to begin. It is longer, because an engine that
/// has not taken the request in yet does not know it under its name.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest run of a model call.
const MODEL_TIMEOUT: Duration = Duration::from_secs(600);
/// Cut connections in a row, without any progress, before a call is given up.
const MAX_CUTS: u32 = 5;
/// Pause between those attempts.
const RESUME_PAUSE: Duration = Duration::from_millis(200);
/// Longest answer that is not a stream, such as an error.
const MAX_WHOLE_BYTES: usize = 1 << 20;
/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Why a connection gave no whole answer.
#[derive(Debug)]
enum Interrupted {
    /// The call is settled nevertheless.
    Settled(Outcome),
    /// The connection is cut; the engine may still know the request.
    Cut(String),
    /// The connection is silent, which may be the engine's own slowness.
    Silent,
    /// The engine sends more than the answer of the call may have.
    TooLong,
}

#[derive(Debug, Deserialize)]
struct UsageChunk {
    usage: Option<Usage>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

/// One model call across its connections.
#[derive(Debug)]
pub(super) struct ModelRun<'a> {
    job: &'a RunJob,
    /// Most bytes of events that are kept.
    max_bytes: u64,
    /// Bytes of events that were kept.
    kept_bytes: u64,
    started: Instant,
    /// Offset in the engine's stream of the next token that is lacked.
    next_offset: u64,
    usage: Option<Usage>,
}

impl Endpoint {
    pub(super) async fn run_model(
        &self,
        mut run: ModelRun<'_>,
        body: &Bytes,
        hold_name: Option<&str>,
    ) -> Outcome {
        let connected = self.post_model(run.job, body, hold_name).await;
        match self.follow(&mut run, connected).await {
            Ok(finished) => Outcome::Finished(finished),
            Err(outcome) => outcome,
        }
    }

    /// Reads one connection after the other until the call is settled.
    async fn follow(
        &self,
        run: &mut ModelRun<'_>,
        mut connected: Result<EndpointResponse, Interrupted>,
    ) -> Result<Finished, Outcome> {
        let mut cuts = 0;
        loop {
            let before = run.next_offset;
            let interrupted = match connected {
                Ok(response) if response.status() != 200 => {
                    return read_whole(run.job, response).await;
                }
                Ok(response) => match self.read(run, response).await {
                    Ok(()) => return Ok(run.finished()),
                    Err(interrupted) => interrupted,
                },
                Err(interrupted) => interrupted,
            };
            match interrupted {
                Interrupted::Settled(outcome) => return Err(outcome),
                Interrupted::Cut(detail) => {
                    self.metrics.count_retry("engine_connection_cut");
                    cuts = if run.next_offset > before {
                        1
                    } else {
                        cuts + 1
                    };
                    if cuts > MAX_CUTS {
                        return Err(self.give_up(run.job, detail).await);
                    }
                    actix_rt::time::sleep(RESUME_PAUSE).await;
                }
                Interrupted::TooLong => {
                    self.cancel(run.job).await;
                    let detail = "the engine sends more than the answer may have";
                    return Err(failed(FailureReason::EndpointError, detail));
                }
                Interrupted::Silent => {
                    self.metrics.count_retry("engine_connection_silent");
                    log_event(&Event::new(EventKind::ConnectionSilent).call(&run.job.id));
                }
            }
            if run.started.elapsed() > MODEL_TIMEOUT {
                return Err(self
                    .give_up(run.job, "the call took too long".to_owned())
                    .await);
            }
            connected = self.resume_model(run).await;
        }
    }

    async fn post_model(
        &self,
        job: &RunJob,
        body: &Bytes,
        hold_name: Option<&str>,
    ) -> Result<EndpointResponse, Interrupted> {
        let mut headers = vec![("x-request-id", job.request_id.as_str())];
        headers.extend(hold_name.map(|name| ("x-hold-kv", name)));
        let request = RequestHead {
            method: Method::POST,
            path: "/v1/chat/completions",
            headers: &headers,
        };
        let sent = self.client.send(request, body.clone());
        match actix_rt::time::timeout(BEGIN_TIMEOUT, sent).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => match send_error(&error) {
                refused @ Outcome::Refused(_) => Err(Interrupted::Settled(refused)),
                _ => Err(Interrupted::Cut(error.to_string())),
            },
            Err(_) => Err(Interrupted::Silent),
        }
    }

    /// Reads a stream to its end.
    async fn read(
        &self,
        run: &mut ModelRun<'_>,
        mut response: EndpointResponse,
    ) -> Result<(), Interrupted> {
        let mut events = SseReader::default();
        loop {
            let piece = match actix_rt::time::timeout(SILENCE_TIMEOUT, response.next()).await {
                Ok(Ok(Some(piece))) => piece,
                Ok(Err(error)) => return Err(Interrupted::Cut(error.to_string())),
                Ok(Ok(None)) if run.usage.is_some() => return Ok(()),
                Ok(Ok(None)) => return Err(Interrupted::Cut("the stream ended early".to_owned())),
                Err(_) => return Err(Interrupted::Silent),
            };
            for event in events.push(&piece) {
                if event.data == DONE {
                    return Ok(());
                }
                let is_first = run.next_offset == 0;
                run.take(event)?;
                if is_first {
                    self.report(Command::FirstPart(run.job.id.clone())).await;
                }
            }
            if run.kept_bytes + events.pending_bytes() as u64 > run.max_bytes {
                return Err(Interrupted::TooLong);
            }
        }
    }

    async fn resume_model(&self, run: &ModelRun<'_>) -> Result<EndpointResponse, Interrupted> {
        let name = encode_segment(&run.job.request_id);
        let path = format!("/v1/requests/{name}?offset={}", run.next_offset);
        let request = RequestHead {
            method: Method::GET,
            path: &path,
            headers: &[],
        };
        let sent = self.client.send(request, Bytes::new());
        match actix_rt::time::timeout(SILENCE_TIMEOUT, sent).await {
            Ok(Ok(response)) if response.status() == 200 => Ok(response),
            Ok(Ok(response)) if response.status() == 404 => Err(Interrupted::Settled(failed(
                FailureReason::EndpointCrashed,
                "the engine lost the request",
            ))),
            Ok(Ok(response)) => Err(Interrupted::Cut(format!("status {}", response.status()))),
            Ok(Err(error)) => match send_error(&error) {
                Outcome::Refused(_) => Err(Interrupted::Settled(failed(
                    FailureReason::EndpointCrashed,
                    format!("the engine is gone: {error}"),
                ))),
                _ => Err(Interrupted::Cut(error.to_string())),
            },
            Err(_) => Err(Interrupted::Cut("the engine is silent".to_owned())),
        }
    }

    async fn give_up(&self, job: &RunJob, detail: String) -> Outcome {
        self.cancel(job).await;
        failed(FailureReason::EndpointTimeout, detail)
    }

    /// Cancels the request, so that the engine spends nothing more on it.
    async fn cancel(&self, job: &RunJob) {
        let request = RequestHead {
            method: Method::DELETE,
            path: &format!("/v1/requests/{}", encode_segment(&job.request_id)),
            headers: &[],
        };
        let sent = self.client.send(request, Bytes::new());
        // The outcome is the same when the engine does not answer.
        let _ = actix_rt::time::timeout(SILENCE_TIMEOUT, sent).await;
    }
}

impl<'a> ModelRun<'a> {
    pub(super) fn new(job: &'a RunJob, max_bytes: u64) -> Self {
        Self {
            job,
            max_bytes,
            kept_bytes: 0,
            started: Instant::now(),
            next_offset: 0,
            usage: None,
        }
    }

    /// Takes one event. What came before on another connection is skipped.
    fn take(&mut self, event: SseEvent) -> Result<(), Interrupted> {
        if let Some(usage) = usage_of(&event.data) {
            if self.usage.replace(usage).is_none() {
                self.keep(event.data);
            }
            return Ok(());
        }
        let offset = event.id.unwrap_or(self.next_offset);
        if offset < self.next_offset {
            return Ok(());
        }
        if offset > self.next_offset {
            return Err(Interrupted::Cut("the stream has a gap".to_owned()));
        }
        self.next_offset += 1;
        self.keep(event.data);
        Ok(())
    }

    fn keep(&mut self, data: Bytes) {
        self.kept_bytes = self.kept_bytes.saturating_add(data.len() as u64);
        self.job.answer.push(data);
    }

    fn finished(&self) -> Finished {
        let usage = self.usage.unwrap_or_default();
        Finished {
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.prompt_tokens_details.cached_tokens,
            answer_tokens: usage.completion_tokens.max(self.tokens_without_usage()),
            ..finished(&self.job.answer, 200)
        }
    }

    fn tokens_without_usage(&self) -> u64 {
        match self.usage {
            Some(_) => 0,
            None => self.next_offset,
        }
    }
}

/// An answer that is no stream: the engine did not accept the request.
async fn read_whole(job: &RunJob, response: EndpointResponse) -> Result<Finished, Outcome> {
    let status = response.status();
    if status >= 500 {
        return Err(failed(
            FailureReason::EndpointError,
            format!("status {status}"),
        ));
    }
    let body = response.read_to_end(MAX_WHOLE_BYTES);
    match actix_rt::time::timeout(SILENCE_TIMEOUT, body).await {
        Ok(Ok(body)) => {
            job.answer.push(body);
            Ok(finished(&job.answer, status))
        }
        Ok(Err(error)) => Err(failed(
            FailureReason::EndpointCrashed,
            format!("the answer was cut: {error}"),
        )),
        Err(_) => Err(failed(
            FailureReason::EndpointTimeout,
            "the answer is silent",
        )),
    }
}

/// The usage in a chunk's JSON, when it has one.
fn usage_of(data: &[u8]) -> Option<Usage> {
    const MEMBER: &[u8] = b"\"usage\"";
    let may_have_usage = data.windows(MEMBER.len()).any(|window| window == MEMBER);
    if !may_have_usage {
        return None;
    }
    serde_json::from_slice::<UsageChunk>(data).ok()?.usage
}
