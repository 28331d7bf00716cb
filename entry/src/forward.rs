//! Brings a caller's request to the owner of its program, and the whole answer
//! back.
//!
//! The owner may be this entry or another. It may die, hand the program over,
//! or fall silent at any moment; then the request is asked again at whoever
//! owns the shard by then. Every call has an idempotency key (the caller's, or
//! one made here), so asking again joins the call that is under way and never
//! makes a second one. A stream goes on from the first event that the caller
//! lacks.

use std::time::Duration;

use actix_rt::time::{Instant, sleep, timeout};
use bytes::Bytes;
use rosebend_protocol::peer::{
    ForwardEvent, ForwardHead, ForwardRequest, entry_client::EntryClient, forward_event::Event,
};
use rosebend_protocol::problem::{Problem, Ran};
use rosebend_transport::peers::{MAX_MESSAGE_BYTES, PROGRESS_TIMEOUT, Peers};
use tokio::sync::mpsc;
use tonic::Streaming;

use crate::control::{Command, ControlHandle, Location};
use crate::render;
use crate::serve;

/// How long an owner is looked for, without any progress, before the caller is
/// told to come back.
const FIND_OWNER_TIMEOUT: Duration = Duration::from_secs(12);
/// Wait between two looks.
const FIND_OWNER_WAIT: Duration = Duration::from_millis(100);

/// What a forwarded request gives, piece by piece.
#[derive(Clone, Debug)]
pub enum Forwarded {
    /// First: status and content type.
    Head(ForwardHead),
    /// Bytes of the body.
    Body(Bytes),
    /// The body is whole.
    End,
}

/// How one try ended.
enum Try {
    /// The caller has the whole reply, or has gone.
    Ended,
    /// The owner is not there or not the owner; ask again.
    Again,
    /// The one that was asked is not the owner, and says who is. It handed the
    /// shard over itself, perhaps, and knows so before the table is read again.
    AskAt(String),
}

/// What of the reply the caller has already.
#[derive(Debug, Default)]
struct Progress {
    /// Head of a stream that was passed on.
    head: Option<ForwardHead>,
    /// Offset of the next part that the caller lacks, for a stream.
    next_offset: u64,
    /// Whether the request may have reached an owner.
    sent: bool,
    /// The reply of this try, if it has one body, as far as it came.
    whole: Option<WholeReply>,
}

/// A reply with one body. It is passed on once it is whole: one that breaks off
/// must not be joined to the next try's.
#[derive(Debug)]
struct WholeReply {
    head: ForwardHead,
    body: Vec<u8>,
}

/// Forwards one request.
#[derive(Debug)]
pub struct Forwarder {
    /// Channels of the thread that forwards.
    pub peers: Peers,
    /// The control thread of this entry.
    pub control: ControlHandle,
    /// Takes the reply.
    pub pieces: mpsc::Sender<Forwarded>,
}

impl Forwarder {
    /// Forwards a request until its reply is whole, and passes the reply on.
    pub async fn run(self, mut request: ForwardRequest) {
        let mut progress = Progress {
            next_offset: request.offset.unwrap_or(0),
            ..Progress::default()
        };
        let mut give_up = Instant::now() + FIND_OWNER_TIMEOUT;
        loop {
            let offset_before = progress.next_offset;
            let tried = match self.try_once(&request, &mut progress).await {
                Try::AskAt(address) => self.try_there(&address, &request, &mut progress).await,
                tried => tried,
            };
            if let Try::Ended = tried {
                return;
            }
            if progress.next_offset > offset_before {
                give_up = Instant::now() + FIND_OWNER_TIMEOUT;
            }
            if Instant::now() >= give_up || self.pieces.is_closed() {
                return self.give_problem(&progress).await;
            }
            resume_request(&mut request, &progress);
            sleep(FIND_OWNER_WAIT).await;
        }
    }

    async fn try_once(&self, request: &ForwardRequest, progress: &mut Progress) -> Try {
        match self.control.locate(request).await {
            Location::Nowhere => Try::Again,
            Location::Here => self.try_here(request, progress).await,
            Location::There(address) => self.try_there(&address, request, progress).await,
        }
    }

    async fn try_here(&self, request: &ForwardRequest, progress: &mut Progress) -> Try {
        let Ok(mut events) = serve::serve(&self.control, request).await else {
            return Try::Again;
        };
        progress.sent = true;
        while let Some(event) = events.recv().await {
            if let Some(end) = self.pass_on(event, progress).await {
                return end;
            }
        }
        Try::Again
    }

    async fn try_there(
        &self,
        address: &str,
        request: &ForwardRequest,
        progress: &mut Progress,
    ) -> Try {
        let Ok(channel) = self.peers.channel(address).await else {
            return Try::Again;
        };
        progress.sent = true;
        let mut client = EntryClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let end = match timeout(PROGRESS_TIMEOUT, client.forward(request.clone())).await {
            Ok(Ok(reply)) => self.read(reply.into_inner(), progress).await,
            _ => None,
        };
        end.unwrap_or_else(|| {
            self.peers.forget(address);
            Try::Again
        })
    }

    /// None when the connection broke or fell silent.
    async fn read(
        &self,
        mut stream: Streaming<ForwardEvent>,
        progress: &mut Progress,
    ) -> Option<Try> {
        loop {
            let event = match timeout(PROGRESS_TIMEOUT, stream.message()).await {
                Ok(Ok(Some(ForwardEvent { event: Some(event) }))) => event,
                _ => return None,
            };
            if let Some(end) = self.pass_on(event, progress).await {
                return Some(end);
            }
        }
    }

    async fn pass_on(&self, event: Event, progress: &mut Progress) -> Option<Try> {
        let piece = match event {
            Event::Ping(_) => return None,
            Event::Refusal(refusal) => {
                self.control.send(Command::OwnerDoubted);
                return Some(match refusal.owner_address {
                    address if address.is_empty() => Try::Again,
                    address => Try::AskAt(address),
                });
            }
            Event::Head(head) => Forwarded::Head(progress.begin(head)?),
            Event::Body(body) => Forwarded::Body(progress.add(body)?),
            Event::End(_) => {
                match progress.whole.take() {
                    Some(reply) => self.give_whole(reply, progress).await,
                    None => self.give([Forwarded::End]).await,
                }
                return Some(Try::Ended);
            }
        };
        self.pieces.send(piece).await.is_err().then_some(Try::Ended)
    }

    /// Passes on a reply that is whole. After the head of a stream it is one
    /// more event of that stream, since a caller reads anything else as a cut.
    async fn give_whole(&self, reply: WholeReply, progress: &Progress) {
        let WholeReply { head, body } = reply;
        if progress.head.is_some() {
            let event = render::problem_event(&problem_after_a_part(&body));
            return self.give([Forwarded::Body(event), Forwarded::End]).await;
        }
        let pieces = [
            Forwarded::Head(head),
            Forwarded::Body(body.into()),
            Forwarded::End,
        ];
        self.give(pieces).await;
    }

    /// Passes on the last pieces. A caller that has gone needs none.
    async fn give<const COUNT: usize>(&self, pieces: [Forwarded; COUNT]) {
        for piece in pieces {
            let _ = self.pieces.send(piece).await;
        }
    }

    async fn give_problem(&self, progress: &Progress) {
        let ran = if progress.sent { Ran::Unknown } else { Ran::No };
        let detail = "the owner of the program was not reached; ask again with the same key";
        let problem =
            Problem::new(503, "owner-not-reached", ran, detail).retry_after(Duration::from_secs(2));
        let (head, body) = render::problem_reply(&problem);
        let body = body.into();
        self.give_whole(WholeReply { head, body }, progress).await;
    }
}

impl Progress {
    /// Takes a head, and returns it if the caller gets it now.
    fn begin(&mut self, head: ForwardHead) -> Option<ForwardHead> {
        self.whole = None;
        if head.content_type != render::EVENT_STREAM {
            let body = Vec::new();
            self.whole = Some(WholeReply { head, body });
            return None;
        }
        // The caller gets one head; that of a resumed stream is the same.
        let is_first = self.head.is_none();
        is_first.then(|| self.head.insert(head).clone())
    }

    /// Takes a piece of the body, and returns it if the caller gets it now.
    fn add(&mut self, body: Bytes) -> Option<Bytes> {
        if let Some(reply) = &mut self.whole {
            reply.body.extend_from_slice(&body);
            return None;
        }
        self.next_offset += u64::from(body.starts_with(b"id: "));
        Some(body)
    }
}

/// The problem that ends a stream. The stream has begun, so that nobody may say
/// any more that its call did not run.
fn problem_after_a_part(body: &[u8]) -> Problem {
    let mut problem: Problem = serde_json::from_slice(body).unwrap_or_else(|error| {
        let detail = format!("the rest of the answer: {error}");
        Problem::new(502, "bad-answer", Ran::Unknown, detail)
    });
    if problem.ran == Ran::No {
        problem.ran = Ran::Unknown;
    }
    problem
}

/// After the head of a stream was passed on, only the missing events of the
/// call are asked for.
fn resume_request(request: &mut ForwardRequest, progress: &Progress) {
    let Some(head) = &progress.head else {
        return;
    };
    let Some((_, sequence)) = head.call_id.rsplit_once('#') else {
        return;
    };
    if request.method == "POST" {
        let session = request.session.replace('/', "%2F");
        request.path = format!("/v1/sessions/{session}/calls/{sequence}");
        request.method = "GET".to_owned();
    }
    request.offset = Some(progress.next_offset);
}
