//! Following a request to the end of its answer.

use std::sync::Arc;

use bytes::Bytes;
use rosebend_protocol::problem::Ran;
use rosebend_transport::http_server::{HttpReply, StreamPiece};
use tokio::sync::{mpsc, watch};

use super::{
    Shared,
    batch::JobId,
    chat::{answer_text, end_events, token, token_event, whole_answer},
    state::{Answer, AnswerStatus},
};
use crate::reply::problem;

/// Pieces that wait for a slow reader.
const STREAM_PIECES: usize = 64;
/// Parts after which a stream is cut, when the fault asks for it.
const CUT_AFTER_PARTS: u64 = 3;

/// Streams an answer from an offset until its end.
pub fn stream(shared: &Arc<Shared>, request_id: &str, job: JobId, offset: u64) -> HttpReply {
    let (pieces, receiver) = mpsc::channel(STREAM_PIECES);
    let cut_at = take_cut(shared).then_some(offset + CUT_AFTER_PARTS);
    let follower = Follower {
        shared: Arc::clone(shared),
        request_id: request_id.to_owned(),
        job,
        offset,
    };
    actix_rt::spawn(follower.run(pieces, cut_at));
    HttpReply::stream(200, "text/event-stream", receiver)
}

/// Waits for the whole answer.
pub async fn whole(shared: &Arc<Shared>, request_id: &str, job: JobId) -> HttpReply {
    let Some(mut progress) = subscribe(shared, request_id, job) else {
        return vanished();
    };
    loop {
        if let Some(reply) = whole_reply(shared, request_id, job) {
            return reply;
        }
        if progress.changed().await.is_err() {
            return vanished();
        }
    }
}

/// The reply for a request at its end; none while it is open.
fn whole_reply(shared: &Shared, request_id: &str, job: JobId) -> Option<HttpReply> {
    let state = shared.lock();
    let Some(answer) = state.answer(request_id).filter(|a| a.job == job) else {
        return Some(vanished());
    };
    match answer.status {
        AnswerStatus::Open => None,
        AnswerStatus::Cancelled => Some(problem(409, "cancelled", Ran::Unknown, "cancelled")),
        AnswerStatus::Finished => {
            let text = answer_text(answer.prompt_hash, answer.usage.answer_tokens);
            let body = whole_answer(request_id, &answer.model, &text, answer.usage);
            Some(HttpReply::json(200, &body))
        }
    }
}

fn vanished() -> HttpReply {
    let detail = "another request took the id";
    problem(409, "replaced", Ran::Unknown, detail)
}

fn take_cut(shared: &Shared) -> bool {
    let faults = &mut shared.lock().faults;
    let cut = faults.cut_next > 0;
    faults.cut_next = faults.cut_next.saturating_sub(1);
    cut
}

fn subscribe(shared: &Shared, request_id: &str, job: JobId) -> Option<watch::Receiver<u64>> {
    let state = shared.lock();
    let answer = state.answer(request_id).filter(|a| a.job == job)?;
    Some(answer.progress.subscribe())
}

/// Sends one stream of an answer.
struct Follower {
    shared: Arc<Shared>,
    request_id: String,
    job: JobId,
    /// The next offset to send.
    offset: u64,
}

impl Follower {
    /// Sends until the answer's end, or cuts the stream at an offset. The
    /// stream is also cut when the request is cancelled.
    async fn run(mut self, pieces: mpsc::Sender<StreamPiece>, cut_at: Option<u64>) {
        let Some(mut progress) = subscribe(&self.shared, &self.request_id, self.job) else {
            return;
        };
        loop {
            let (text, status) = self.next_events(cut_at);
            if !text.is_empty() && !send(&pieces, text).await {
                return;
            }
            if cut_at.is_some_and(|cut_at| self.offset >= cut_at) {
                return;
            }
            match status {
                Some(AnswerStatus::Finished) => {
                    // A reader that is gone needs no end.
                    let _ = pieces.send(StreamPiece::End).await;
                    return;
                }
                Some(AnswerStatus::Cancelled) | None => return,
                Some(AnswerStatus::Open) => {}
            }
            if progress.changed().await.is_err() {
                return;
            }
        }
    }

    /// The events that have come since the last time.
    fn next_events(&mut self, cut_at: Option<u64>) -> (String, Option<AnswerStatus>) {
        let state = self.shared.lock();
        let answer = state.answer(&self.request_id);
        let Some(answer) = answer.filter(|a| a.job == self.job) else {
            return (String::new(), None);
        };
        let produced = answer.usage.answer_tokens;
        let end = cut_at.map_or(produced, |cut_at| produced.min(cut_at));
        let mut text = String::new();
        for offset in self.offset..end {
            text.push_str(&self.event(answer, offset));
        }
        if answer.status == AnswerStatus::Finished && end == produced {
            text.push_str(&end_events(&self.request_id, &answer.model, answer.usage));
        }
        let status = answer.status;
        drop(state);
        self.offset = self.offset.max(end);
        (text, Some(status))
    }

    fn event(&self, answer: &Answer, offset: u64) -> String {
        let text = token(answer.prompt_hash, offset);
        token_event(&self.request_id, &answer.model, offset, &text)
    }
}

async fn send(pieces: &mpsc::Sender<StreamPiece>, text: String) -> bool {
    pieces
        .send(StreamPiece::Data(Bytes::from(text)))
        .await
        .is_ok()
}
