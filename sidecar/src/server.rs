//! The gRPC service towards owners.
//!
//! It checks messages and passes them to the control thread; a refusal is a
//! message of the protocol, never a gRPC status.

use std::{collections::HashSet, pin::Pin, sync::Arc, time::Duration};

use futures_util::{Stream, StreamExt, stream};
use rosebend_coordination::endpoint::{
    CallSpec,
    outcome::{Refusal, RefusalReason},
};
use rosebend_protocol::{
    configuration::from_messages,
    peer::{self, AnswerEvent, CallKind, sidecar_server::Sidecar},
};
use rosebend_state::{
    id::{self, AvailabilityZone, CallId, HostId, ProgramId},
    resource::ConfigUpdate,
    settings::EndpointKind,
};
use rosebend_transport::event::{Event, EventKind, log_event};
use tokio::sync::{mpsc, oneshot};
use tonic::{Request, Response, Status};

use crate::{
    answer::AnswerReader,
    control::{Command, DispatchReply, OrderReply, Published},
    convert::{self, MessageError},
    endpoint::{EndpointRequest, Job, OrderJob},
    start_epochs::StartEpochs,
};

/// Longest silence on a stream of answers.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Expected bytes of one token of an answer, as a chunk's JSON.
const TOKEN_BYTES: u64 = 256;
/// Factor by which an answer of a model may be larger than expected.
const MAX_ANSWER_FACTOR: u64 = 4;
/// Bytes that an answer of a model may always have, and those of one whose tokens are not
/// declared.
const MAX_ANSWER_BYTES: (u64, u64) = (1 << 20, 16 << 20);
/// Expected bytes of a tool's answer.
const TOOL_ANSWER_BYTES: u64 = 16 << 10;
/// When to ask again while another order is at the engine.
const ORDER_RETRY: Duration = Duration::from_secs(1);

type AnswerStream = Pin<Box<dyn Stream<Item = Result<AnswerEvent, Status>> + Send>>;

/// The service; it holds no state of its own.
#[derive(Clone, Debug)]
pub(crate) struct SidecarService {
    pub(crate) host: HostId,
    pub(crate) availability_zone: AvailabilityZone,
    pub(crate) kind: EndpointKind,
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) jobs: mpsc::UnboundedSender<Job>,
    pub(crate) published: Published,
    /// Epochs of the shards when this run started.
    pub(crate) started: StartEpochs,
}

impl SidecarService {
    /// Asks the control thread.
    async fn ask<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, Status> {
        let (reply, answer) = oneshot::channel();
        let sent = self.commands.send(command(reply)).await;
        sent.map_err(|_| stopped())?;
        answer.await.map_err(|_| stopped())
    }

    fn load(&self) -> peer::Load {
        self.published.load.borrow().clone()
    }

    async fn dispatch_checked(
        &self,
        request: peer::DispatchRequest,
    ) -> Result<Result<DispatchReply, Refusal>, Status> {
        let (spec, request) = match self.check(request) {
            Ok(checked) => checked,
            Err(refusal) => return Ok(Err(refusal)),
        };
        let reply = self
            .ask(|reply| Command::Dispatch {
                spec,
                request,
                reply,
            })
            .await?;
        Ok(Ok(reply))
    }

    /// Checks a dispatch and prepares its body, away from the control thread.
    fn check(&self, raw: peer::DispatchRequest) -> Result<(CallSpec, EndpointRequest), Refusal> {
        let id = convert::call_id(&raw.call_id)?;
        let kind = raw.kind();
        let mut spec = CallSpec::new(id, convert::fence(raw.fence)?, &raw.incarnation);
        if raw.attempt == 0 {
            return Err(MessageError::NoAttempt.into());
        }
        spec.attempt = raw.attempt;
        spec.repeatable = raw.repeatable;
        spec.record = Arc::from(raw.record.as_ref());
        spec.fingerprint = fingerprint(&raw);
        spec.prompt_tokens = raw.prompt_tokens;
        spec.max_answer_tokens = raw.max_answer_tokens;
        spec.shared_prefixes = convert::shared_prefixes(&raw.shared_prefixes);
        spec.attained_tokens = raw.attained_tokens;
        spec.program_age = Duration::from_millis(raw.program_age_ms);
        spec.share_weight = raw.share_weight;
        spec.deadline = (raw.deadline_ms > 0).then(|| Duration::from_millis(raw.deadline_ms));
        spec.alone = raw.alone;
        match (kind, self.kind) {
            (CallKind::Model, EndpointKind::Engine) => {
                let hold_name = raw.hold_kv.then(|| spec.id.program.to_string());
                spec.hold_kv = raw.hold_kv;
                spec.answer_bytes = raw.max_answer_tokens.saturating_mul(TOKEN_BYTES);
                let request = EndpointRequest::Model {
                    body: streamed(&raw.body)?,
                    hold_name,
                    max_answer_bytes: max_answer_bytes(spec.answer_bytes),
                };
                Ok((spec, request))
            }
            (CallKind::Tool, EndpointKind::Service) => {
                id::check_name(&raw.target).map_err(MessageError::Target)?;
                spec.answer_bytes = TOOL_ANSWER_BYTES;
                let (target, body) = (raw.target, raw.body);
                Ok((spec, EndpointRequest::Tool { target, body }))
            }
            (CallKind::Unspecified, _) => Err(MessageError::NoKind.into()),
            (CallKind::Model, EndpointKind::Service) | (CallKind::Tool, EndpointKind::Engine) => {
                Err(Refusal::new(
                    RefusalReason::UnknownTarget,
                    Duration::ZERO,
                    "the endpoint does not serve this kind of call",
                ))
            }
        }
    }

    fn stream(&self, reply: DispatchReply, offset: u64) -> AnswerStream {
        match reply {
            DispatchReply::Follow(answer) => follow(answer.reader(offset), self.published.clone()),
            DispatchReply::Refused(refusal) => single(convert::refusal_event(refusal)),
            DispatchReply::Ended(failure) => single(convert::failure_event(failure)),
        }
    }
}

#[tonic::async_trait]
impl Sidecar for SidecarService {
    type DispatchStream = AnswerStream;
    type ResumeStream = AnswerStream;

    async fn dispatch(
        &self,
        request: Request<peer::DispatchRequest>,
    ) -> Result<Response<Self::DispatchStream>, Status> {
        let stream = match self.dispatch_checked(request.into_inner()).await? {
            Ok(reply) => self.stream(reply, 0),
            Err(refusal) => single(convert::refusal_event(refusal)),
        };
        Ok(Response::new(stream))
    }

    async fn resume(
        &self,
        request: Request<peer::ResumeRequest>,
    ) -> Result<Response<Self::ResumeStream>, Status> {
        let raw = request.into_inner();
        let checked = convert::fence(raw.fence)
            .and_then(|fence| Ok((fence, convert::call_id(&raw.call_id)?)));
        let stream = match checked {
            Ok((fence, id)) => {
                let reply = self
                    .ask(|reply| Command::Resume { fence, id, reply })
                    .await?;
                self.stream(reply, raw.offset)
            }
            Err(error) => single(convert::refusal_event(error.into())),
        };
        Ok(Response::new(stream))
    }

    async fn claim(
        &self,
        request: Request<peer::ClaimRequest>,
    ) -> Result<Response<peer::ClaimReply>, Status> {
        let raw = request.into_inner();
        let fence = convert::fence(raw.fence).map_err(invalid)?;
        let id = convert::call_id(&raw.call_id).map_err(invalid)?;
        let (incarnation, attempt) = (raw.incarnation, raw.attempt);
        let outcome = self
            .ask(|reply| Command::Claim {
                fence,
                id,
                attempt,
                incarnation,
                reply,
            })
            .await?;
        Ok(Response::new(convert::claim_reply(outcome, &self.load())))
    }

    async fn acknowledge(
        &self,
        request: Request<peer::AcknowledgeRequest>,
    ) -> Result<Response<peer::AcknowledgeReply>, Status> {
        let raw = request.into_inner();
        let fence = convert::fence(raw.fence).map_err(invalid)?;
        let ids = call_ids(&raw.call_ids).map_err(invalid)?;
        let sent = self
            .commands
            .send(Command::Acknowledge { fence, ids })
            .await;
        sent.map_err(|_| stopped())?;
        Ok(Response::new(peer::AcknowledgeReply {}))
    }

    async fn retained(
        &self,
        request: Request<peer::RetainedRequest>,
    ) -> Result<Response<peer::RetainedReply>, Status> {
        let fences = fences(request.into_inner().fences);
        let started = self.started.of(fences.iter().map(|fence| fence.shard));
        let calls = self
            .ask(|reply| Command::Retained { fences, reply })
            .await?;
        let load = self.load();
        Ok(Response::new(peer::RetainedReply {
            incarnation: load.incarnation.clone(),
            started,
            calls: calls
                .into_iter()
                .map(|call| convert::retained_call(call, &load))
                .collect(),
        }))
    }

    async fn holds(
        &self,
        request: Request<peer::HoldsRequest>,
    ) -> Result<Response<peer::HoldsReply>, Status> {
        let raw = request.into_inner();
        let fences = fences(raw.fences);
        let programs =
            programs(&raw.programs).map_err(|error| Status::invalid_argument(error.to_string()))?;
        let lease = Duration::from_millis(raw.lease_ms);
        let answer = self
            .ask(|reply| Command::Holds {
                fences,
                programs,
                lease,
                reply,
            })
            .await?;
        Ok(Response::new(peer::HoldsReply {
            freed: answer.freed as u64,
            held: answer.held.iter().map(ProgramId::to_string).collect(),
        }))
    }

    async fn order(
        &self,
        request: Request<peer::OrderRequest>,
    ) -> Result<Response<peer::OrderReply>, Status> {
        let raw = request.into_inner();
        let fence = convert::fence(raw.fence).map_err(invalid)?;
        let (reply, answer) = oneshot::channel();
        let order = OrderJob {
            id: raw.order_id,
            kind: raw.kind,
            target: raw.target,
            fence,
            reply,
        };
        let sent = self.jobs.send(Job::CheckOrder(order));
        sent.map_err(|_| stopped())?;
        let outcome = answer.await.map_err(|_| stopped())?;
        Ok(Response::new(order_reply(outcome)))
    }

    async fn status(
        &self,
        request: Request<peer::StatusRequest>,
    ) -> Result<Response<peer::StatusReply>, Status> {
        let update = config_update(&request.into_inner());
        let config_revision = self
            .ask(|reply| Command::Configure { update, reply })
            .await?;
        Ok(Response::new(peer::StatusReply {
            host: self.host.clone(),
            availability_zone: self.availability_zone.clone(),
            load: Some(self.load()),
            config_revision,
        }))
    }
}

/// What the sender hands over. An update that cannot be read changes nothing,
/// so that the sidecar keeps what it has and the status shows that it lags.
fn config_update(request: &peer::StatusRequest) -> ConfigUpdate {
    let revision = request.config_revision;
    match from_messages(revision, &request.changes, request.snapshot) {
        Ok(update) => update,
        Err(error) => {
            let event = Event::new(EventKind::ConfigurationInvalid);
            log_event(&event.revision(revision).error(&error));
            ConfigUpdate::Changes(Vec::new())
        }
    }
}

/// A stream of one event.
fn single(event: AnswerEvent) -> AnswerStream {
    Box::pin(stream::iter([Ok(event)]))
}

/// Tells an answer from the reader's offset on, with pings while it is
/// silent.
fn follow(reader: AnswerReader, published: Published) -> AnswerStream {
    let batches = stream::unfold(Some((reader, published)), |place| async move {
        let (mut reader, published) = place?;
        let Ok(progress) = tokio::time::timeout(PING_INTERVAL, reader.next()).await else {
            return Some((vec![convert::ping_event()], Some((reader, published))));
        };
        let is_end = progress.is_end();
        let events = convert::progress_events(progress, &published.load.borrow());
        Some((events, (!is_end).then_some((reader, published))))
    });
    Box::pin(batches.flat_map(|events| stream::iter(events.into_iter().map(Ok))))
}

/// A model call's body, made to stream and to tell its usage.
fn streamed(body: &[u8]) -> Result<bytes::Bytes, MessageError> {
    let mut body: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(body).map_err(|_| MessageError::Body)?;
    body.insert("stream".to_owned(), true.into());
    let options = serde_json::json!({"include_usage": true});
    body.insert("stream_options".to_owned(), options);
    let body = serde_json::to_vec(&body).expect("a JSON object can be written");
    Ok(body.into())
}

/// Hash of the request's fingerprint; zero when it is not told.
fn fingerprint(raw: &peer::DispatchRequest) -> u64 {
    if raw.fingerprint.is_empty() {
        return 0;
    }
    let target = raw.target.as_bytes();
    rosebend_util::hash_parts(&[raw.fingerprint.as_bytes(), target]).max(1)
}

fn order_reply(outcome: OrderReply) -> peer::OrderReply {
    let refusal = match outcome {
        OrderReply::Done => None,
        OrderReply::NotDone(detail) | OrderReply::NoRow(detail) => Some(Refusal::new(
            RefusalReason::EndpointDown,
            ORDER_RETRY,
            detail,
        )),
        OrderReply::Busy => Some(Refusal::new(
            RefusalReason::QueueFull,
            ORDER_RETRY,
            "another order is at the engine",
        )),
        OrderReply::Stale(stale) => {
            let detail = stale.to_string();
            let mut refusal = Refusal::new(RefusalReason::StaleEpoch, Duration::ZERO, detail);
            refusal.epoch = stale.epoch;
            Some(refusal)
        }
    };
    peer::OrderReply {
        done: refusal.is_none(),
        refusal: refusal.map(convert::refusal),
    }
}

fn fences(raw: Vec<peer::Fence>) -> Vec<rosebend_coordination::endpoint::fence::Fence> {
    raw.into_iter()
        .filter_map(|fence| convert::fence(Some(fence)).ok())
        .collect()
}

fn call_ids(raw: &[String]) -> Result<Vec<CallId>, MessageError> {
    raw.iter().map(|id| convert::call_id(id)).collect()
}

fn programs(raw: &[String]) -> Result<HashSet<ProgramId>, id::IdError> {
    raw.iter()
        .map(|name| ProgramId::try_from(name.as_str()))
        .collect()
}

fn stopped() -> Status {
    Status::unavailable("the sidecar has stopped")
}

fn invalid(error: MessageError) -> Status {
    Status::invalid_argument(error.to_string())
}

/// Most bytes of an answer of a model, by its expected size.
fn max_answer_bytes(expected_bytes: u64) -> u64 {
    let (least, undeclared) = MAX_ANSWER_BYTES;
    match expected_bytes {
        0 => undeclared,
        expected => expected.saturating_mul(MAX_ANSWER_FACTOR).max(least),
    }
}
