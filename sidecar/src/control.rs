//! The thread that holds control state.
//!
//! It receives [`Command`]s one at a time and lets
//! [`rosebend_coordination::endpoint`] decide. It waits for no one: work for
//! the endpoint goes out as [`Job`]s, answers come back as commands.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rosebend_coordination::{
    configuration::AppliedConfiguration,
    endpoint::{
        CallSpec, Calls, Dispatched, EndpointLimits, RetainedCall, Start,
        claim::ClaimOutcome,
        fence::{Fence, StaleEpoch},
        order::{OrderDecision, OrderId, Orders},
        outcome::{Failure, FailureReason, Outcome, Refusal, RefusalReason},
    },
};
use rosebend_protocol::peer;
use rosebend_state::{
    id::{CallId, Epoch, Incarnation, ProgramId, Revision, Shard},
    resource::{ConfigUpdate, ResourceKey, ResourceKind, ResourceSpec},
};
use rosebend_transport::{
    event::{Event, EventKind, log_event},
    metrics_page::{Metrics, Quantity, Timing, refusal_label},
};
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    answer::SharedAnswer,
    convert,
    endpoint::{EndpointRequest, Job, OrderJob, RunJob},
};

/// How often waiting calls and leases are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// How often the engine's own list of holds is asked for.
const HOLDS_INTERVAL: Duration = Duration::from_secs(2);

/// What the sender of a dispatch or resume gets.
#[derive(Debug)]
pub(crate) enum DispatchReply {
    /// The answer to read.
    Follow(Arc<SharedAnswer>),
    Refused(Refusal),
    Ended(Failure),
}

/// What becomes of an order.
#[derive(Debug)]
pub(crate) enum OrderReply {
    Done,
    /// The engine did not say that it did it.
    NotDone(String),
    /// Another order is at the engine.
    Busy,
    /// The shard's row could not be read, so that nobody knows its owner.
    NoRow(String),
    Stale(StaleEpoch),
}

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Command {
    Dispatch {
        spec: CallSpec,
        request: EndpointRequest,
        reply: oneshot::Sender<DispatchReply>,
    },
    Resume {
        fence: Fence,
        id: CallId,
        reply: oneshot::Sender<DispatchReply>,
    },
    Claim {
        fence: Fence,
        id: CallId,
        attempt: u32,
        incarnation: Incarnation,
        reply: oneshot::Sender<ClaimOutcome>,
    },
    Acknowledge {
        fence: Fence,
        ids: Vec<CallId>,
    },
    Retained {
        fences: Vec<Fence>,
        reply: oneshot::Sender<Vec<RetainedCall>>,
    },
    Holds {
        fences: Vec<Fence>,
        programs: HashSet<ProgramId>,
        lease: Duration,
        reply: oneshot::Sender<HoldsAnswer>,
    },
    /// An order, after the epoch of its shard's row was read.
    Order {
        order: OrderJob,
        row_epoch: Epoch,
    },
    /// An update of the configuration; the reply is the revision in force.
    Configure {
        update: ConfigUpdate,
        reply: oneshot::Sender<Revision>,
    },
    /// The endpoint is done with a call.
    Ended {
        id: CallId,
        outcome: Outcome,
    },
    /// The endpoint gave the first part of a model call's answer.
    FirstPart(CallId),
    /// The names of the caches that the engine holds.
    EngineHolds(Vec<String>),
    /// The engine answered an order.
    OrderAnswered {
        id: OrderId,
        done: bool,
    },
    /// Take no new work.
    Leave,
}

/// Reply to a renewal of holds.
#[derive(Debug)]
pub(crate) struct HoldsAnswer {
    pub(crate) freed: usize,
    pub(crate) held: Vec<ProgramId>,
}

/// What still keeps a leaving sidecar.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Remaining {
    pub(crate) in_flight: u64,
    pub(crate) retained: u64,
}

/// What the control thread tells all others.
#[derive(Clone, Debug)]
pub(crate) struct Published {
    pub(crate) load: watch::Receiver<peer::Load>,
    pub(crate) remaining: watch::Receiver<Remaining>,
}

/// Control state of the sidecar.
pub(crate) struct Control {
    started: Instant,
    calls: Calls,
    orders: Orders,
    /// Every call that is not over has its answer here.
    answers: HashMap<CallId, Arc<SharedAnswer>>,
    /// Bodies of the calls that wait.
    requests: HashMap<CallId, (EndpointRequest, Option<Duration>)>,
    configuration: AppliedConfiguration,
    jobs: mpsc::UnboundedSender<Job>,
    metrics: Metrics,
    load: watch::Sender<peer::Load>,
    remaining: watch::Sender<Remaining>,
}

impl Control {
    pub(crate) fn new(
        incarnation: Incarnation,
        limits: EndpointLimits,
        jobs: mpsc::UnboundedSender<Job>,
        metrics: Metrics,
    ) -> (Self, Published) {
        let load = watch::Sender::new(peer::Load {
            incarnation: incarnation.clone(),
            kv_tokens_limit: limits.kv_tokens,
            ..Default::default()
        });
        let remaining = watch::Sender::new(Remaining::default());
        let published = Published {
            load: load.subscribe(),
            remaining: remaining.subscribe(),
        };
        let control = Self {
            started: Instant::now(),
            calls: Calls::new(incarnation, limits),
            orders: Orders::default(),
            answers: HashMap::new(),
            requests: HashMap::new(),
            configuration: AppliedConfiguration::new(),
            jobs,
            metrics,
            load,
            remaining,
        };
        (control, published)
    }

    /// Serves commands until all senders are gone.
    pub(crate) async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut sweep = actix_rt::time::interval(SWEEP_INTERVAL);
        let mut list_holds = actix_rt::time::interval(HOLDS_INTERVAL);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.serve(command),
                    None => return,
                },
                _ = sweep.tick() => self.sweep(),
                _ = list_holds.tick() => self.send(Job::ListHolds),
            }
            self.publish();
        }
    }

    fn serve(&mut self, command: Command) {
        match command {
            Command::Dispatch {
                spec,
                request,
                reply,
            } => answer(reply, self.dispatch(spec, request)),
            Command::Resume { fence, id, reply } => {
                let dispatched = self.calls.resume(fence, &id);
                answer(reply, self.follow(&id, dispatched));
            }
            Command::Claim {
                fence,
                id,
                attempt,
                incarnation,
                reply,
            } => answer(reply, self.claim(fence, &id, attempt, &incarnation)),
            Command::Acknowledge { fence, ids } => self.acknowledge(fence, &ids),
            Command::Retained { fences, reply } => answer(reply, self.calls.retained(&fences)),
            Command::Holds {
                fences,
                programs,
                lease,
                reply,
            } => answer(reply, self.renew_holds(&fences, &programs, lease)),
            Command::Order { order, row_epoch } => self.order(order, row_epoch),
            Command::Configure { update, reply } => answer(reply, self.configure(update)),
            Command::Ended { id, outcome } => self.ended(&id, outcome),
            Command::FirstPart(id) => self.calls.first_part(self.now(), &id),
            Command::EngineHolds(names) => self.reconcile_holds(&names),
            Command::OrderAnswered { id, done } => self.orders.answered(&id, done),
            Command::Leave => self.leave(),
        }
    }

    fn dispatch(&mut self, spec: CallSpec, request: EndpointRequest) -> DispatchReply {
        let now = self.now();
        let (id, deadline) = (spec.id.clone(), spec.deadline);
        let dispatched = self.calls.dispatch(now, spec);
        self.drop_answers();
        if dispatched == Dispatched::Queued {
            self.answers.insert(id.clone(), SharedAnswer::new());
            self.requests.insert(id.clone(), (request, deadline));
        }
        // The reply holds the answer, so that it is there even when the call
        // is given up at once.
        let reply = self.follow(&id, dispatched);
        self.admit();
        reply
    }

    fn follow(&self, id: &CallId, dispatched: Dispatched) -> DispatchReply {
        match dispatched {
            Dispatched::Queued | Dispatched::Follow => match self.answers.get(id) {
                Some(answer) => DispatchReply::Follow(Arc::clone(answer)),
                None => DispatchReply::Ended(Failure {
                    reason: FailureReason::Cancelled,
                    may_have_run: true,
                    detail: "the answer is gone".to_owned(),
                    suspects: Vec::new(),
                }),
            },
            Dispatched::Refused(refusal) => {
                self.count_refusal(refusal.reason);
                DispatchReply::Refused(refusal)
            }
            Dispatched::Ended(failure) => DispatchReply::Ended(failure),
        }
    }

    fn claim(
        &mut self,
        fence: Fence,
        id: &CallId,
        attempt: u32,
        incarnation: &str,
    ) -> ClaimOutcome {
        let outcome = self
            .calls
            .claim(self.now(), fence, id, attempt, incarnation);
        let left_queue = matches!(outcome, ClaimOutcome::Buried | ClaimOutcome::Failed(_));
        if left_queue && self.requests.contains_key(id) {
            let detail = "the call was claimed before it ran";
            let refusal = Refusal::new(RefusalReason::Buried, Duration::ZERO, detail);
            self.give_up(vec![(id.clone(), refusal)]);
        }
        outcome
    }

    fn acknowledge(&mut self, fence: Fence, ids: &[CallId]) {
        for id in self.calls.acknowledge(self.now(), fence, ids) {
            self.answers.remove(&id);
        }
    }

    fn renew_holds(
        &mut self,
        fences: &[Fence],
        programs: &HashSet<ProgramId>,
        lease: Duration,
    ) -> HoldsAnswer {
        let now = self.now();
        let shards: HashSet<Shard> = fences
            .iter()
            .filter(|fence| self.calls.fences().check(**fence).is_ok())
            .map(|fence| fence.shard)
            .collect();
        let freed = self.calls.holds().renew(now, &shards, programs, lease);
        let answer = HoldsAnswer {
            freed: freed.len(),
            held: self.calls.holds().programs(),
        };
        self.free(
            freed.iter().map(ProgramId::to_string).collect(),
            "not_listed",
        );
        answer
    }

    fn order(&mut self, order: OrderJob, row_epoch: Epoch) {
        let fences = self.calls.fences();
        let decision = self
            .orders
            .submit(fences, row_epoch, order.fence, &order.id);
        match decision {
            OrderDecision::Start => self.send(Job::Order(order)),
            OrderDecision::Done => answer(order.reply, OrderReply::Done),
            OrderDecision::Busy => answer(order.reply, OrderReply::Busy),
            OrderDecision::Stale(stale) => {
                let event = Event::new(EventKind::OrderRefused);
                log_event(&event.shard(order.fence.shard).epoch(order.fence.epoch));
                answer(order.reply, OrderReply::Stale(stale));
            }
        }
    }

    fn configure(&mut self, update: ConfigUpdate) -> Revision {
        let has_advanced = self.configuration.take(update);
        let revision = self.configuration.revision();
        if has_advanced {
            log_event(&Event::new(EventKind::ConfigurationApplied).revision(revision));
        }
        revision
    }

    fn ended(&mut self, id: &CallId, outcome: Outcome) {
        let bytes = self.answers.get(id).map_or(0, |answer| answer.bytes());
        let outcome = self.calls.ended(self.now(), id, outcome, bytes);
        self.log_end(id, &outcome);
        // The end is told with the load, which must not be an older one.
        self.publish();
        if let Some(answer) = self.answers.get(id) {
            answer.end(outcome.clone());
        }
        if matches!(outcome, Outcome::Refused(_)) {
            self.answers.remove(id);
        }
        self.admit();
    }

    fn reconcile_holds(&mut self, names: &[String]) {
        let in_flight = self.calls.programs_that_will_hold();
        let unknown = self.calls.holds().unknown(names, &in_flight);
        let unknown = unknown.into_iter().cloned().collect();
        self.free(unknown, "not_leased");
    }

    fn leave(&mut self) {
        log_event(&Event::new(EventKind::EndpointLeaving));
        let now = self.now();
        let refused = self.calls.leave(now);
        self.give_up(refused);
    }

    fn sweep(&mut self) {
        let now = self.now();
        let (refused, freed) = self.calls.sweep(now);
        self.give_up(refused);
        self.free(
            freed.iter().map(ProgramId::to_string).collect(),
            "lease_over",
        );
        self.drop_answers();
        self.admit();
    }

    fn admit(&mut self) {
        let admission = self.calls.admit(self.now());
        self.give_up(admission.refused);
        self.free(
            admission.freed.iter().map(ProgramId::to_string).collect(),
            "no_room",
        );
        for start in admission.starts {
            self.start(start);
        }
    }

    fn start(&mut self, start: Start) {
        let answer = self.answers.get(&start.id);
        let request = self.requests.remove(&start.id);
        let (Some(answer), Some((request, deadline))) = (answer, request) else {
            return;
        };
        answer.admit(start.queued);
        self.metrics.observe(Timing::Queue, start.queued);
        let until_deadline = deadline.map(|deadline| deadline.saturating_sub(start.queued));
        let until_timeout = self.tool_timeout(&request);
        self.send(Job::Run(RunJob {
            request_id: format!("{}.{}", start.id, start.attempt),
            id: start.id,
            request,
            answer: Arc::clone(answer),
            time_left: until_deadline.into_iter().chain(until_timeout).min(),
        }));
    }

    /// How long the configuration lets a tool run, if it declares the tool.
    fn tool_timeout(&self, request: &EndpointRequest) -> Option<Duration> {
        let EndpointRequest::Tool { target, .. } = request else {
            return None;
        };
        let key = ResourceKey::new(ResourceKind::Tool, target).ok()?;
        match &self.configuration.get(&key)?.spec {
            ResourceSpec::Tool(tool) => Some(tool.timeout),
            _ => None,
        }
    }

    /// Ends calls that left the queue without being run.
    fn give_up(&mut self, refused: Vec<(CallId, Refusal)>) {
        for (id, refusal) in refused {
            self.count_refusal(refusal.reason);
            self.requests.remove(&id);
            if let Some(answer) = self.answers.remove(&id) {
                answer.end(Outcome::Refused(refusal));
            }
        }
    }

    fn drop_answers(&mut self) {
        let released = self.calls.take_released();
        for id in released.iter().chain(&self.calls.take_forgotten()) {
            self.answers.remove(id);
        }
    }

    fn count_refusal(&self, reason: RefusalReason) {
        if reason == RefusalReason::RetentionFull {
            let count = self.calls.load().retained;
            log_event(&Event::new(EventKind::RetentionFull).count(count));
        }
        let reason = convert::refusal_reason(reason);
        self.metrics.count_refusal(refusal_label(reason));
    }

    /// A crash is logged once, by the first call that notices it.
    fn log_crash(&self, failure: &Failure) {
        let is_crash = failure.reason == FailureReason::EndpointCrashed;
        if is_crash && self.calls.is_first_of_crash(&failure.suspects) {
            let count = failure.suspects.len() as u64;
            log_event(&Event::new(EventKind::EndpointCrashed).count(count));
        }
    }

    fn log_end(&self, id: &CallId, outcome: &Outcome) {
        match outcome {
            Outcome::Finished(_) => log_event(&Event::new(EventKind::CallFinished).call(id)),
            Outcome::Failed(failure) => {
                let reason = convert::failure_name(failure.reason);
                self.log_crash(failure);
                log_event(&Event::new(EventKind::CallFailed).call(id).reason(reason));
            }
            Outcome::Refused(refusal) => self.count_refusal(refusal.reason),
        }
    }

    fn free(&mut self, names: Vec<String>, reason: &'static str) {
        if names.is_empty() {
            return;
        }
        let count = names.len() as u64;
        log_event(
            &Event::new(EventKind::HoldsFreed)
                .count(count)
                .reason(reason),
        );
        self.send(Job::Free(names));
    }

    /// The endpoint's thread outlives this one, so that its channel is open.
    fn send(&self, job: Job) {
        let _ = self.jobs.send(job);
    }

    fn publish(&self) {
        let own = self.calls.load();
        self.metrics.set(Quantity::RunningCalls, own.running);
        self.metrics.set(Quantity::QueuedCalls, own.queued);
        self.metrics.set(Quantity::Holds, own.holds);
        self.metrics
            .set(Quantity::RetainedBytes, own.retained_bytes);
        self.metrics
            .set(Quantity::ConfigRevision, self.configuration.revision());
        self.load.send_modify(|load| convert::set_load(load, &own));
        self.remaining.send_replace(Remaining {
            in_flight: own.running + own.queued,
            retained: own.retained,
        });
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Sends a reply; a receiver that is gone asked in vain.
fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    let _ = reply.send(value);
}
