//! A sidecar in this process, before a small fake of an engine or service.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod fake;
pub mod relay;

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::JoinHandle,
};

use rosebend_protocol::peer::{
    AnswerEvent, CallKind, DispatchRequest, Failure, Fence, Finished, Refusal, ResumeRequest,
    StatusRequest, answer_event::Event, sidecar_client::SidecarClient,
};
use rosebend_sidecar::process::{self, Bound};
use rosebend_state::settings::{Document, SidecarSettings, Tokens};
use rosebend_transport::host_token::HostToken;
use tokio::sync::oneshot;
use tonic::{Streaming, service::interceptor::InterceptedService, transport::Channel};

pub type Client = SidecarClient<InterceptedService<Channel, HostToken>>;

/// The tokens of the tests: one host.
fn tokens() -> Arc<Tokens> {
    let file = b"host owner-1 token-of-a-test-host";
    Arc::new(Tokens::try_from(file.as_slice()).unwrap())
}

/// A client that proves to be a host.
pub async fn connect(url: String) -> Client {
    let channel = Channel::from_shared(url).unwrap().connect().await.unwrap();
    SidecarClient::with_interceptor(channel, HostToken::new(&tokens(), "owner-1"))
}

/// A sidecar on a thread of its own.
pub struct TestSidecar {
    pub bound: Bound,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl TestSidecar {
    pub fn start(kind: &str, endpoint: SocketAddr, limits: &str) -> Self {
        Self::start_with_platform(kind, endpoint, limits, "127.0.0.1:9")
    }

    pub fn start_with_platform(
        kind: &str,
        endpoint: SocketAddr,
        limits: &str,
        platform: &str,
    ) -> Self {
        let stop = match limits.contains("stop_timeout_ms") {
            true => "",
            false => "stop_timeout_ms = 100",
        };
        let text = format!(
            "[sidecar]\nhost = agent-llm-1\navailability_zone = newport-hall\n\
             listen = 127.0.0.1:0\nmetrics_listen = 127.0.0.1:0\nkind = {kind}\n\
             endpoint_url = http://{endpoint}\n[limits]\n{limits}\n{stop}\n\
             [platform]\naddress = {platform}\n[auth]\ntokens_file = tokens\n"
        );
        let document = Document::try_from(text.as_bytes()).unwrap();
        let settings = SidecarSettings::try_from(&document).unwrap();
        let (stop, stopped) = oneshot::channel();
        let (tell, told) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let on_bound = move |bound| tell.send(bound).unwrap();
                let stop = async move {
                    let _ = stopped.await;
                };
                process::run(settings, tokens(), on_bound, stop)
                    .await
                    .unwrap();
            });
        });
        Self {
            bound: told.recv().unwrap(),
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    pub async fn client(&self) -> Client {
        let url = format!("http://{}", self.bound.listen);
        connect(url).await
    }

    /// Begins to stop; the sidecar also stops when this value is dropped.
    pub fn stop(&mut self) {
        drop(self.stop.take());
    }

    /// Waits for the end of a stop.
    pub async fn stopped(mut self) {
        self.stop();
        let thread = self.thread.take().unwrap();
        let joined = actix_rt::task::spawn_blocking(move || thread.join());
        joined.await.unwrap().unwrap();
    }
}

pub async fn incarnation(client: &mut Client) -> String {
    let reply = client.status(StatusRequest::default()).await.unwrap();
    reply.into_inner().load.unwrap().incarnation
}

pub fn fence(epoch: u64) -> Option<Fence> {
    Some(Fence { shard: 7, epoch })
}

pub fn tool_call(call_id: &str, incarnation: &str) -> DispatchRequest {
    DispatchRequest {
        fence: fence(1),
        call_id: call_id.to_owned(),
        attempt: 1,
        kind: CallKind::Tool.into(),
        target: "fee".to_owned(),
        body: "{}".into(),
        incarnation: incarnation.to_owned(),
        ..Default::default()
    }
}

pub fn model_call(call_id: &str, incarnation: &str, answer_tokens: u64) -> DispatchRequest {
    let body = format!("{{\"messages\":[],\"max_tokens\":{answer_tokens}}}");
    DispatchRequest {
        kind: CallKind::Model.into(),
        target: "agent-llm".to_owned(),
        body: body.into(),
        repeatable: true,
        prompt_tokens: 10,
        max_answer_tokens: answer_tokens,
        ..tool_call(call_id, incarnation)
    }
}

/// What a stream of an answer told.
#[derive(Debug, Default)]
pub struct Told {
    pub admitted: usize,
    pub offsets: Vec<u64>,
    pub parts: Vec<String>,
    pub pings: usize,
    pub finished: Option<Finished>,
    pub refusal: Option<Refusal>,
    pub failure: Option<Failure>,
}

impl Told {
    pub fn take(&mut self, event: AnswerEvent) {
        match event.event.unwrap() {
            Event::Admitted(_) => self.admitted += 1,
            Event::Part(part) => {
                self.offsets.push(part.offset);
                self.parts
                    .push(String::from_utf8(part.data.to_vec()).unwrap());
            }
            Event::Finished(finished) => self.finished = Some(finished),
            Event::Refusal(refusal) => self.refusal = Some(refusal),
            Event::Failure(failure) => self.failure = Some(failure),
            Event::Ping(_) => self.pings += 1,
        }
    }
}

pub async fn read_all(mut stream: Streaming<AnswerEvent>) -> Told {
    let mut told = Told::default();
    while let Some(event) = stream.message().await.unwrap() {
        told.take(event);
    }
    told
}

pub async fn dispatch(client: &mut Client, request: DispatchRequest) -> Told {
    read_all(client.dispatch(request).await.unwrap().into_inner()).await
}

pub async fn resume(client: &mut Client, call_id: &str, offset: u64, epoch: u64) -> Told {
    let request = ResumeRequest {
        fence: fence(epoch),
        call_id: call_id.to_owned(),
        offset,
    };
    read_all(client.resume(request).await.unwrap().into_inner()).await
}
