//! What an entry serves to callers and operators.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use rosebend_state::settings::{Role, Tokens};
use rosebend_transport::http_server::{HttpReply, HttpRequest, ReplyBody, StreamPiece};
use rosebend_transport::metrics_page::Metrics;
use rosebend_transport::traffic::Traffic;
use serde_json::json;
use tokio::sync::mpsc;

use crate::control::ControlHandle;
use crate::forward::{Forwarded, Forwarder};
use crate::operators::{self, OperatorContext};
use crate::problems;
use crate::render;
use crate::request;

/// Pieces of a reply that may wait for a slow caller.
const PIECES_AHEAD: usize = 32;

/// What the handlers of HTTP requests share.
#[derive(Clone, Debug)]
pub struct HttpContext {
    /// The control thread.
    pub control: ControlHandle,
    /// Threads that forward.
    pub traffic: Traffic,
    /// Who may do what.
    pub tokens: Arc<Tokens>,
    /// Counters of the process.
    pub metrics: Metrics,
    /// What operators' requests need.
    pub operators: OperatorContext,
    /// Begins the keys that this process makes; no other process uses it.
    pub key_prefix: Arc<str>,
    /// Counts those keys.
    pub next_key: Arc<AtomicU64>,
}

impl HttpContext {
    /// Answers one request.
    pub async fn handle(&self, request: HttpRequest) -> HttpReply {
        match request.path.as_str() {
            "/metrics" => self.metrics.reply(),
            "/healthz" => HttpReply::json(200, &json!({"status": "ok"})),
            "/readyz" => self.ready().await,
            _ => self.authorized(request).await,
        }
    }

    async fn ready(&self) -> HttpReply {
        let status = self.control.status().await;
        let is_ready = status
            .as_ref()
            .is_some_and(|status| status.settled && status.loaded);
        HttpReply::json(if is_ready { 200 } else { 503 }, &status)
    }

    async fn authorized(&self, request: HttpRequest) -> HttpReply {
        let identity = request
            .bearer_token()
            .and_then(|token| self.tokens.identify(token));
        let Some(identity) = identity.cloned() else {
            return HttpReply::problem(&problems::unauthorized());
        };
        let is_operators = request.path.starts_with("/api/");
        match identity.role {
            Role::Operator if is_operators => self.operator(request, &identity.name).await,
            Role::Customer if !is_operators => self.caller(&request, &identity.name).await,
            _ => HttpReply::problem(&problems::forbidden()),
        }
    }

    /// Operators see and end programs of every customer, and change resources.
    async fn operator(&self, request: HttpRequest, operator: &str) -> HttpReply {
        match operators::as_program_request(&request) {
            Some((own, customer)) => self.caller(&own, &customer).await,
            None => operators::handle(request, operator, &self.operators).await,
        }
    }

    /// Serves a request about a customer's program, here or at its owner.
    pub async fn caller(&self, request: &HttpRequest, customer: &str) -> HttpReply {
        let mut forward = match request::to_forward(request, customer, &self.key_prefix) {
            Ok(forward) => forward,
            Err(problem) => return HttpReply::problem(&problem),
        };
        if forward.idempotency_key.is_empty() && forward.method == "POST" {
            forward.idempotency_key = self.new_key();
        }
        let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
        let control = self.control.clone();
        self.traffic.spawn(move |peers| async move {
            Forwarder {
                peers,
                control,
                pieces: sender,
            }
            .run(forward)
            .await;
        });
        to_reply(receiver).await
    }

    /// A key for a request that came without one: asking again after a
    /// takeover joins the call.
    fn new_key(&self) -> String {
        let number = self.next_key.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.key_prefix)
    }
}

async fn to_reply(mut pieces: mpsc::Receiver<Forwarded>) -> HttpReply {
    let Some(Forwarded::Head(head)) = pieces.recv().await else {
        return HttpReply::problem(&problems::answer_not_read());
    };
    let status = u16::try_from(head.status).unwrap_or(500);
    let body = if head.content_type == render::EVENT_STREAM {
        ReplyBody::Stream(stream(pieces))
    } else {
        match collect(pieces).await {
            Some(body) => ReplyBody::Whole(body.into()),
            None => return HttpReply::problem(&problems::answer_not_read()),
        }
    };
    let mut headers = Vec::new();
    if !head.call_id.is_empty() {
        headers.push(("rosebend-call", head.call_id));
    }
    if head.retry_after_ms > 0 {
        headers.push((
            "retry-after",
            head.retry_after_ms.div_ceil(1000).to_string(),
        ));
    }
    HttpReply {
        status,
        content_type: head.content_type,
        headers,
        body,
        is_close_delimited: false,
    }
}

/// None when the body did not become whole.
async fn collect(mut pieces: mpsc::Receiver<Forwarded>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(piece) = pieces.recv().await {
        match piece {
            Forwarded::Body(bytes) => body.extend_from_slice(&bytes),
            Forwarded::End => return Some(body),
            Forwarded::Head(_) => {}
        }
    }
    None
}

fn stream(mut pieces: mpsc::Receiver<Forwarded>) -> mpsc::Receiver<StreamPiece> {
    let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
    actix_rt::spawn(async move {
        while let Some(piece) = pieces.recv().await {
            let piece = match piece {
                Forwarded::Body(bytes) => StreamPiece::Data(bytes),
                Forwarded::End => StreamPiece::End,
                Forwarded::Head(_) => continue,
            };
            if sender.send(piece).await.is_err() {
                return;
            }
        }
    });
    receiver
}
