//! HTTP towards the engine or service, on a thread of its own.
//!
//! Jobs come in from the control thread. Parts of answers go straight into
//! the [`SharedAnswer`]; how a job ended goes back as a [`Command`].

mod client;
mod holds;
mod model;
mod order;
mod tool;

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use rosebend_coordination::endpoint::{
    fence::Fence,
    order::OrderId,
    outcome::{Failure, FailureReason, Finished, Outcome, Refusal, RefusalReason},
};
use rosebend_state::{
    id::CallId,
    settings::{EndpointKind, SidecarSettings},
};
use rosebend_transport::{metrics_page::Metrics, store::StoreClient};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
};

use self::client::{ClientError, EndpointClient};
use crate::{
    answer::SharedAnswer,
    control::{Command, OrderReply},
};

/// When to come back after the endpoint took no connection.
const ENDPOINT_DOWN_RETRY: Duration = Duration::from_secs(1);

/// What the endpoint is asked.
#[derive(Clone, Debug)]
pub(crate) enum EndpointRequest {
    /// A chat completion; the body is forced to stream.
    Model {
        body: Bytes,
        /// Name under which the engine holds the cache afterwards.
        hold_name: Option<String>,
        /// Most bytes of the answer's events; a longer answer is none.
        max_answer_bytes: u64,
    },
    /// A tool's or service's call.
    Tool { target: String, body: Bytes },
}

/// One call for the endpoint.
#[derive(Debug)]
pub(crate) struct RunJob {
    pub(crate) id: CallId,
    /// Names this attempt towards the engine.
    pub(crate) request_id: String,
    pub(crate) request: EndpointRequest,
    pub(crate) answer: Arc<SharedAnswer>,
    /// Time left until the caller's deadline or the tool's timeout.
    pub(crate) time_left: Option<Duration>,
}

/// One order for the engine.
#[derive(Debug)]
pub(crate) struct OrderJob {
    pub(crate) id: OrderId,
    pub(crate) kind: String,
    pub(crate) target: String,
    pub(crate) fence: Fence,
    pub(crate) reply: oneshot::Sender<OrderReply>,
}

/// Work for the endpoint's thread.
#[derive(Debug)]
pub(crate) enum Job {
    Run(RunJob),
    /// Free held caches by name.
    Free(Vec<String>),
    /// Ask for the names of held caches.
    ListHolds,
    /// Read the row of an order's shard before the order is decided.
    CheckOrder(OrderJob),
    Order(OrderJob),
}

/// The client and address of the endpoint.
pub(crate) struct Endpoint {
    client: EndpointClient,
    store: StoreClient,
    is_engine: bool,
    metrics: Metrics,
    commands: mpsc::Sender<Command>,
}

impl Endpoint {
    pub(crate) fn new(
        settings: &SidecarSettings,
        metrics: Metrics,
        commands: mpsc::Sender<Command>,
    ) -> Self {
        Self {
            client: EndpointClient::new(&settings.endpoint_url),
            store: StoreClient::from_settings(&settings.platform),
            is_engine: settings.kind == EndpointKind::Engine,
            metrics,
            commands,
        }
    }

    /// Starts jobs as they come, until the control thread is gone.
    ///
    /// # Panics
    ///
    /// Panics when a job does: nobody could tell how its call ended.
    pub(crate) async fn run(self, mut jobs: mpsc::UnboundedReceiver<Job>) {
        let endpoint = Rc::new(self);
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                job = jobs.recv() => {
                    let Some(job) = job else { return };
                    let endpoint = Rc::clone(&endpoint);
                    tasks.spawn_local(async move { endpoint.serve(job).await });
                }
                Some(ended) = tasks.join_next() => {
                    ended.expect("no job is cancelled, and none panics");
                }
            }
        }
    }

    async fn serve(&self, job: Job) {
        match job {
            Job::Run(job) => self.run_call(job).await,
            Job::Free(names) => self.free_holds(names).await,
            Job::ListHolds if self.is_engine => self.list_holds().await,
            Job::ListHolds => {}
            Job::CheckOrder(job) => self.check_order(job).await,
            Job::Order(job) => self.run_order(job).await,
        }
    }

    async fn run_call(&self, job: RunJob) {
        let outcome = match &job.request {
            EndpointRequest::Model {
                body,
                hold_name,
                max_answer_bytes,
            } => {
                let run = model::ModelRun::new(&job, *max_answer_bytes);
                self.run_model(run, body, hold_name.as_deref()).await
            }
            EndpointRequest::Tool { target, body } => self.run_tool(&job, target, body).await,
        };
        job.answer.pack();
        let id = job.id;
        self.report(Command::Ended { id, outcome }).await;
    }

    /// The control thread ends after this one has nothing more to report.
    async fn report(&self, command: Command) {
        let _ = self.commands.send(command).await;
    }
}

/// A piece of a path with everything but unreserved characters encoded.
fn encode_segment(raw: &str) -> String {
    use std::fmt::Write;
    let mut encoded = String::with_capacity(raw.len());
    for byte in raw.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                encoded.push(char::from(byte));
            }
            _ => write!(encoded, "%{byte:02X}").expect("writing to a string does not fail"),
        }
    }
    encoded
}

/// The outcome of a request that got no answer. Only a connection that was
/// never made proves that the endpoint did not see the call.
fn send_error(error: &ClientError) -> Outcome {
    match error {
        ClientError::NotConnected(_) => Outcome::Refused(Refusal::new(
            RefusalReason::EndpointDown,
            ENDPOINT_DOWN_RETRY,
            error.to_string(),
        )),
        ClientError::InvalidRequest(_) | ClientError::Connection(_) => failed(
            FailureReason::EndpointCrashed,
            format!("no answer: {error}"),
        ),
    }
}

fn failed(reason: FailureReason, detail: impl Into<String>) -> Outcome {
    Outcome::Failed(Failure {
        reason,
        may_have_run: true,
        detail: detail.into(),
        suspects: Vec::new(),
    })
}

fn finished(answer: &SharedAnswer, status: u16) -> Finished {
    Finished {
        parts: answer.parts(),
        status,
        digest: answer.digest(),
        ..Finished::default()
    }
}
