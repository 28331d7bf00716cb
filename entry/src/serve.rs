//! Serves a caller's request at the owner of its program.

use bytes::Bytes;
use rosebend_protocol::peer::{ForwardEnd, ForwardHead, ForwardRequest, forward_event::Event};
use rosebend_protocol::problem::Problem;
use rosebend_transport::http_server::JSON;
use serde_json::Value;
use std::sync::Arc;
use tokio::sync::mpsc;

use crate::answer::{AnswerEnd, AnswerPiece, LiveAnswer};
use crate::control::{ControlHandle, ControlReply};
use crate::render;
use crate::request::{CallerRequest, Operation};
use rosebend_state::id::CallId;

/// Events that may wait for a slow reader; the answer itself waits in memory.
const EVENTS_AHEAD: usize = 32;

/// How the answer is to look.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Form {
    /// Server-sent events from an offset.
    Events { from: u64 },
    /// One body: a chat completion joined from its chunks.
    Completion,
    /// One body: the parts as they are.
    Raw,
}

/// This entry does not own the program, or not any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotOwner {
    /// Where the owner is believed to be.
    pub address: Option<String>,
}

/// Serves a request.
///
/// The receiver gives the head, the body, and [`Event::End`] when the body is
/// whole. It closes without an end when the program moved to another owner.
///
/// # Errors
///
/// Fails when another entry owns the program.
pub async fn serve(
    control: &ControlHandle,
    raw: &ForwardRequest,
) -> Result<mpsc::Receiver<Event>, NotOwner> {
    let request = match CallerRequest::try_from(raw) {
        Ok(request) => request,
        Err(problem) => return Ok(problem_events(&problem)),
    };
    let form = form(&request.operation);
    match control.serve(request).await {
        ControlReply::NotOwner { address } => Err(NotOwner { address }),
        ControlReply::Problem(problem) => Ok(problem_events(&problem)),
        ControlReply::Document { status, document } => Ok(document_events(status, &document)),
        ControlReply::Follow { call, answer } => follow(call, answer, form).await,
    }
}

fn form(operation: &Operation) -> Form {
    match operation {
        Operation::Model(call) if call.stream => Form::Events { from: 0 },
        Operation::Fetch {
            offset,
            stream: true,
            ..
        } => Form::Events { from: *offset },
        Operation::Model(_) => Form::Completion,
        _ => Form::Raw,
    }
}

fn problem_events(problem: &Problem) -> mpsc::Receiver<Event> {
    let (head, body) = render::problem_reply(problem);
    whole(head, body)
}

fn document_events(status: u16, document: &Value) -> mpsc::Receiver<Event> {
    whole(head(status, JSON, ""), document.to_string().into())
}

fn head(status: u16, content_type: &str, call_id: &str) -> ForwardHead {
    ForwardHead {
        status: status.into(),
        content_type: content_type.to_owned(),
        retry_after_ms: 0,
        call_id: call_id.to_owned(),
    }
}

fn whole(head: ForwardHead, body: Bytes) -> mpsc::Receiver<Event> {
    let (sender, receiver) = mpsc::channel(3);
    for event in [
        Event::Head(head),
        Event::Body(body),
        Event::End(ForwardEnd {}),
    ] {
        sender
            .try_send(event)
            .expect("the channel has room for three events");
    }
    receiver
}

async fn follow(
    call: CallId,
    answer: Arc<LiveAnswer>,
    form: Form,
) -> Result<mpsc::Receiver<Event>, NotOwner> {
    match form {
        Form::Events { from } => follow_events(call, answer, from).await,
        Form::Completion | Form::Raw => match answer.end().await {
            AnswerEnd::Moved => Err(NotOwner { address: None }),
            AnswerEnd::Problem(problem) => Ok(problem_events(&problem)),
            AnswerEnd::Whole { status } => Ok(whole_answer(&call, &answer, status, form)),
        },
    }
}

fn whole_answer(
    call: &CallId,
    answer: &LiveAnswer,
    status: u16,
    form: Form,
) -> mpsc::Receiver<Event> {
    let parts = answer.parts();
    let head = head(status, JSON, &call.to_string());
    let is_completion = form == Form::Completion || is_chunk(&parts);
    if is_completion && status == 200 {
        return match render::join_chunks(&parts) {
            Ok(completion) => whole(head, completion.to_string().into()),
            Err(problem) => problem_events(&problem),
        };
    }
    whole(head, parts.concat().into())
}

/// A fetched answer of a model is joined like the answer to its call.
fn is_chunk(parts: &[Bytes]) -> bool {
    let first = parts
        .first()
        .and_then(|part| serde_json::from_slice::<Value>(part).ok());
    first.is_some_and(|chunk| chunk.get("object") == Some(&"chat.completion.chunk".into()))
}

/// The head waits for the first part, so that a call which fails before it has
/// one is told by its status.
async fn follow_events(
    call: CallId,
    answer: Arc<LiveAnswer>,
    from: u64,
) -> Result<mpsc::Receiver<Event>, NotOwner> {
    let first = answer.piece(from).await;
    match &first {
        AnswerPiece::End(AnswerEnd::Moved) => return Err(NotOwner { address: None }),
        AnswerPiece::End(AnswerEnd::Problem(problem)) => return Ok(problem_events(problem)),
        AnswerPiece::End(AnswerEnd::Whole { status }) if *status != 200 => {
            return Ok(whole_answer(&call, &answer, *status, Form::Raw));
        }
        _ => {}
    }
    let (sender, receiver) = mpsc::channel(EVENTS_AHEAD);
    // The server of peers runs its handlers outside of a local set.
    tokio::spawn(send_events(call, answer, from, first, sender));
    Ok(receiver)
}

async fn send_events(
    call: CallId,
    answer: Arc<LiveAnswer>,
    from: u64,
    first: AnswerPiece,
    sender: mpsc::Sender<Event>,
) {
    let head = head(200, render::EVENT_STREAM, &call.to_string());
    if sender.send(Event::Head(head)).await.is_err() {
        return;
    }
    let mut offset = from;
    let mut piece = first;
    let end = loop {
        match piece {
            AnswerPiece::Part(part) => {
                let event = Event::Body(render::part_event(offset, &part));
                if sender.send(event).await.is_err() {
                    return;
                }
                offset += 1;
                piece = answer.piece(offset).await;
            }
            AnswerPiece::End(end) => break end,
        }
    };
    let last = match end {
        // The receiver sees no end, and asks the new owner.
        AnswerEnd::Moved => return,
        AnswerEnd::Problem(problem) => render::problem_event(&problem),
        AnswerEnd::Whole { .. } => Bytes::from_static(render::DONE_EVENT.as_bytes()),
    };
    let _ = sender.send(Event::Body(last)).await;
    let _ = sender.send(Event::End(ForwardEnd {})).await;
}
