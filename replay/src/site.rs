//! An endpoint of a replay with the queue before it and its KV holds.

use std::collections::BTreeMap;
use std::time::Duration;

use rosebend_coordination::queue::{LoadView, Queue, QueueSettings};
use rosebend_coordination::routing::{EndpointInfo, EndpointState};
use rosebend_state::id::{CallId, EndpointId};

use crate::cache::{Segment, SegmentId};
use crate::fake::{Engine, EngineSpec};
use crate::policies::Policy;
use crate::trace::{EndpointKind, EndpointSpec};

/// The target of model calls.
pub const MODEL: &str = "model";

/// Share of KV memory that running calls and holds may fill together before
/// the oldest hold is freed.
const HOLD_LIMIT_PERCENT: u64 = 90;

/// What runs behind the queue.
#[derive(Debug)]
pub enum Backend {
    /// A model engine.
    Engine(Box<Engine>),
    /// A tool service, with the factor by which it is slow.
    Service {
        /// Calls take this many times as long.
        slow_factor: u64,
    },
}

/// KV memory that a paused program keeps.
#[derive(Clone, Debug)]
pub struct Hold {
    /// The pinned segment.
    pub segment: SegmentId,
    /// Tokens that only this program uses.
    pub tokens: u64,
    /// Since when.
    pub since_us: u64,
}

/// An endpoint, its sidecar's queue and its holds.
#[derive(Debug)]
pub struct Site {
    /// The endpoint's name.
    pub id: EndpointId,
    /// What runs there.
    pub backend: Backend,
    /// The queue before it.
    pub queue: Queue,
    /// Whether it takes calls.
    pub state: EndpointState,
    /// Counts restarts.
    pub run: u64,
    /// Holds by thread.
    pub holds: BTreeMap<usize, Hold>,
    /// Calls in the queue or at the endpoint, by id.
    pub calls: BTreeMap<CallId, usize>,
    info: EndpointInfo,
    settings: QueueSettings,
}

impl Site {
    /// Makes an idle endpoint.
    pub fn new(spec: &EndpointSpec, policy: &Policy) -> Self {
        let (backend, targets, limits) = match &spec.kind {
            EndpointKind::Engine { kv_tokens } => {
                let spec = EngineSpec::new(*kv_tokens);
                let limits = QueueSettings::for_engine(spec.max_batch, *kv_tokens);
                let engine = Backend::Engine(Box::new(Engine::new(spec)));
                (engine, vec![MODEL.to_owned()], limits)
            }
            EndpointKind::Service { tools, slots } => {
                let service = Backend::Service { slow_factor: 1 };
                (service, tools.clone(), service_limits(*slots))
            }
        };
        let is_engine = matches!(backend, Backend::Engine(_));
        let limits = if is_engine && !policy.queue_before_engine {
            service_limits(usize::MAX)
        } else {
            limits
        };
        let settings = QueueSettings {
            order: policy.order.clone(),
            fair_share: policy.fair_share,
            ..limits
        };
        Self {
            id: spec.id.clone(),
            backend,
            queue: Queue::new(settings.clone()),
            state: EndpointState::Live,
            run: 0,
            holds: BTreeMap::new(),
            calls: BTreeMap::new(),
            info: EndpointInfo {
                id: spec.id.clone(),
                zone: spec.zone.clone(),
                targets,
                incarnation: "0".to_owned(),
                state: EndpointState::Live,
            },
            settings,
        }
    }

    /// The endpoint as it is listed at the start.
    pub fn info(&self) -> EndpointInfo {
        self.info.clone()
    }

    /// The run of its sidecar.
    pub fn incarnation(&self) -> String {
        self.run.to_string()
    }

    /// Its engine, if it is one.
    pub fn engine(&mut self) -> Option<&mut Engine> {
        match &mut self.backend {
            Backend::Engine(engine) => Some(engine),
            Backend::Service { .. } => None,
        }
    }

    /// Its load as the sidecar reports it.
    pub fn load(&self) -> LoadView {
        self.queue.load()
    }

    /// Share of KV memory that running calls and holds fill, in percent.
    pub fn kv_used_percent(&mut self) -> u64 {
        let held: u64 = self.holds.values().map(|hold| hold.tokens).sum();
        let running = self.queue.load().kv_tokens_in_flight;
        match &self.backend {
            Backend::Engine(engine) => (running + held) * 100 / engine.spec().kv_tokens,
            Backend::Service { .. } => 0,
        }
    }

    /// Whether the oldest hold must go to make room for calls.
    pub fn holds_too_much(&mut self) -> bool {
        let lacks_memory = self.engine().is_some_and(|engine| engine.lacks_memory());
        !self.holds.is_empty() && (lacks_memory || self.kv_used_percent() > HOLD_LIMIT_PERCENT)
    }

    /// Holds the history of a thread, if it is still in the cache.
    pub fn hold(&mut self, thread: usize, path: &[Segment], now: Duration) {
        let Some(engine) = self.engine() else {
            return;
        };
        let (cached_tokens, Some(segment)) = engine.cache.longest(path) else {
            return;
        };
        engine.cache.pin(segment);
        // A prefix that the trace names is shared; the rest is the program's.
        let shared_tokens = path.first().map_or(0, |first| first.tokens);
        let hold = Hold {
            segment,
            tokens: cached_tokens.saturating_sub(shared_tokens),
            since_us: micros(now),
        };
        if let Some(before) = self.holds.insert(thread, hold)
            && let Some(engine) = self.engine()
        {
            engine.cache.unpin(before.segment);
        }
    }

    /// Frees the hold of a thread.
    pub fn free(&mut self, thread: usize) -> Option<Hold> {
        let hold = self.holds.remove(&thread)?;
        if let Some(engine) = self.engine() {
            engine.cache.unpin(hold.segment);
        }
        Some(hold)
    }

    /// The thread whose hold is oldest.
    pub fn oldest_hold(&self) -> Option<usize> {
        let oldest = self.holds.iter().min_by_key(|(_, hold)| hold.since_us);
        oldest.map(|(thread, _)| *thread)
    }

    /// Loses everything that the endpoint had in memory; tells its calls.
    pub fn crash(&mut self) -> Vec<usize> {
        if let Some(engine) = self.engine() {
            engine.crash();
        }
        self.holds.clear();
        self.state = EndpointState::Down;
        self.queue = Queue::new(self.settings.clone());
        std::mem::take(&mut self.calls).into_values().collect()
    }

    /// Comes back under a new incarnation.
    pub fn restart(&mut self) {
        self.run += 1;
        self.state = EndpointState::Live;
    }
}

/// Limits without regard to KV memory.
fn service_limits(max_running: usize) -> QueueSettings {
    QueueSettings {
        max_running,
        ..QueueSettings::default()
    }
}

/// A time in microseconds.
pub fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
