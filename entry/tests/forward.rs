//! What a caller gets of a request whose owner changes on the way.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use futures_util::stream;
use rosebend_entry::{
    control::{Command, ControlHandle, Location},
    forward::{Forwarded, Forwarder},
};
use rosebend_protocol::{
    peer::{
        ExchangeReply, ExchangeRequest, ForwardEnd, ForwardEvent, ForwardHead, ForwardRequest,
        HandoffReply, HandoffRequest,
        entry_server::{Entry, EntryServer},
        forward_event::Event,
    },
    problem::{Problem, Ran},
};
use rosebend_transport::{host_token::HostToken, peers::Peers};
use tokio::{net::TcpListener, sync::mpsc};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport::Server};

/// What an owner answers to each request, until its connection ends.
type Script = Vec<Vec<Event>>;

/// An owner that answers as it was told to.
#[derive(Clone, Debug)]
struct ScriptedOwner {
    answers: Arc<Mutex<VecDeque<Vec<Event>>>>,
    asked: Arc<Mutex<Vec<ForwardRequest>>>,
}

type Events = stream::Iter<std::vec::IntoIter<Result<ForwardEvent, Status>>>;

#[tonic::async_trait]
impl Entry for ScriptedOwner {
    type ForwardStream = Events;

    async fn forward(&self, request: Request<ForwardRequest>) -> Result<Response<Events>, Status> {
        self.asked.lock().unwrap().push(request.into_inner());
        let answer = self.answers.lock().unwrap().pop_front();
        let answer = answer.ok_or_else(|| Status::unavailable("the script is over"))?;
        let events = answer.into_iter().map(|event| {
            let event = Some(event);
            Ok(ForwardEvent { event })
        });
        let events: Vec<_> = events.collect();
        Ok(Response::new(stream::iter(events)))
    }

    async fn exchange(
        &self,
        _: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        Err(Status::unimplemented("no test asks for it"))
    }

    async fn handoff(&self, _: Request<HandoffRequest>) -> Result<Response<HandoffReply>, Status> {
        Err(Status::unimplemented("no test asks for it"))
    }
}

/// Serves a script, and returns the address.
async fn serve(owner: ScriptedOwner) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = Server::builder().add_service(EntryServer::new(owner));
    actix_rt::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    address
}

/// A control thread that believes in one owner.
fn control_that_names(address: String) -> ControlHandle {
    let (control, mut commands) = ControlHandle::new();
    actix_rt::spawn(async move {
        while let Some(command) = commands.recv().await {
            if let Command::Locate { reply, .. } = command {
                reply.send(Location::There(address.clone())).unwrap();
            }
        }
    });
    control
}

/// What the caller of a stream gets, and what the owner was asked.
async fn forward(script: Script) -> (Vec<Forwarded>, Vec<ForwardRequest>) {
    let owner = ScriptedOwner {
        answers: Arc::new(Mutex::new(script.into())),
        asked: Arc::default(),
    };
    let address = serve(owner.clone()).await;
    let (sender, mut receiver) = mpsc::channel(32);
    let forwarder = Forwarder {
        peers: Peers::new(HostToken::default()),
        control: control_that_names(address),
        pieces: sender,
    };
    let request = ForwardRequest {
        customer: "caribmar".to_owned(),
        session: "renewal-17".to_owned(),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        ..ForwardRequest::default()
    };
    forwarder.run(request).await;
    let mut pieces = Vec::new();
    while let Some(piece) = receiver.recv().await {
        pieces.push(piece);
    }
    let asked = owner.asked.lock().unwrap().clone();
    (pieces, asked)
}

fn head(status: u16, content_type: &str, call_id: &str) -> Event {
    Event::Head(ForwardHead {
        status: status.into(),
        content_type: content_type.to_owned(),
        retry_after_ms: 0,
        call_id: call_id.to_owned(),
    })
}

fn body(text: &'static str) -> Event {
    Event::Body(Bytes::from_static(text.as_bytes()))
}

fn stream_head() -> Event {
    head(200, "text/event-stream", "caribmar/renewal-17#4")
}

fn end() -> Event {
    Event::End(ForwardEnd {})
}

fn problem(status: u16, reason: &str, ran: Ran) -> Vec<Event> {
    let problem = Problem::new(status, reason, ran, "for a test");
    let text = serde_json::to_vec(&problem).unwrap();
    vec![
        head(status, "application/problem+json", ""),
        Event::Body(text.into()),
        end(),
    ]
}

/// One line for each piece.
fn lines(pieces: &[Forwarded]) -> Vec<String> {
    let line = |piece: &Forwarded| match piece {
        Forwarded::Head(head) => format!("{} {}", head.status, head.content_type),
        Forwarded::Body(body) => String::from_utf8_lossy(body).trim_end().to_owned(),
        Forwarded::End => "end".to_owned(),
    };
    pieces.iter().map(line).collect()
}

#[actix_rt::test]
async fn a_stream_goes_on_at_the_next_owner_from_the_event_that_is_missing() {
    let (pieces, asked) = forward(vec![
        vec![stream_head(), body("id: 0\ndata: a\n\n")],
        vec![
            stream_head(),
            body("id: 1\ndata: b\n\n"),
            body("data: [DONE]\n\n"),
            end(),
        ],
    ])
    .await;
    insta::assert_snapshot!(lines(&pieces).join("\n"), @r"
    200 text/event-stream
    id: 0
    data: a
    id: 1
    data: b
    data: [DONE]
    end
    ");
    let asked: Vec<_> = asked
        .iter()
        .map(|request| (request.path.as_str(), request.offset))
        .collect();
    assert_eq!(
        asked,
        [
            ("/v1/chat/completions", None),
            ("/v1/sessions/renewal-17/calls/4", Some(1)),
        ]
    );
}

#[actix_rt::test]
async fn a_stream_that_the_next_owner_cannot_go_on_with_ends_with_an_error_event() {
    let (pieces, _) = forward(vec![
        vec![stream_head(), body("id: 0\ndata: a\n\n")],
        problem(404, "unknown-call", Ran::No),
    ])
    .await;
    // The call gave a part, so that nobody may say that it did not run.
    insta::assert_snapshot!(lines(&pieces).join("\n"), @r#"
    200 text/event-stream
    id: 0
    data: a
    event: error
    data: {"status":404,"reason":"unknown-call","detail":"for a test","ran":"unknown"}
    end
    "#);
}

#[actix_rt::test]
async fn a_whole_answer_that_broke_off_is_not_joined_to_the_next_one() {
    let (pieces, _) = forward(vec![
        vec![
            head(200, "application/json", "caribmar/renewal-17#4"),
            body("{\"first\":"),
        ],
        problem(503, "undecided", Ran::Unknown),
    ])
    .await;
    insta::assert_snapshot!(lines(&pieces).join("\n"), @r#"
    503 application/problem+json
    {"status":503,"reason":"undecided","detail":"for a test","ran":"unknown"}
    end
    "#);
}
