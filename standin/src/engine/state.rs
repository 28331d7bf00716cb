//! All state of an engine, behind one lock: its batch, the answers it keeps,
//! held KV caches, orders and counts.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::{
    batch::{Batch, Job, JobId, Plan, Progress},
    cache::{BLOCK_TOKENS, BlockId, block_ids, token_count},
    chat::{ChatRequest, Usage, answer_text, prompt_hash},
    config::EngineConfig,
    order::Orders,
    report::{EventLog, LaggingLoad, LoadReport},
};

/// Finished answers that are kept for a resume.
const MAX_FINISHED_ANSWERS: usize = 5000;
/// Request ids whose runs are counted.
const MAX_COUNTED_IDS: usize = 200_000;

/// Faults of the engine, set by `POST /faults`.
#[derive(Clone, Debug)]
pub struct Faults {
    /// The process crashes when it admits a prompt with this in it.
    pub crash_on: Option<String>,
    /// Factor on the time of every step.
    pub slow_factor: f64,
    /// Whether nothing moves and nothing is answered.
    pub hang: bool,
    /// Completions that fail without being run.
    pub fail_next: u64,
    /// Streams that are cut after a few parts, while the request runs on.
    pub cut_next: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            crash_on: None,
            slow_factor: 1.0,
            hang: false,
            fail_next: 0,
            cut_next: 0,
        }
    }
}

/// Counts since the start, as `GET /stats` tells them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineStats {
    /// How often each request id was run.
    pub runs: BTreeMap<String, u64>,
    /// Prompt tokens that were computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens that were found in the cache.
    pub cached_tokens: u64,
    /// Tokens of answers.
    pub answer_tokens: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Requests that run now.
    pub running: u64,
    /// Requests that wait now.
    pub waiting: u64,
    /// KV memory that cannot be evicted now, in tokens.
    pub kv_tokens_pinned: u64,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerStatus {
    /// It waits or runs.
    Open,
    /// All tokens are there.
    Finished,
    /// It was cancelled.
    Cancelled,
}

/// A request and what there is of its answer.
#[derive(Debug)]
pub struct Answer {
    /// The job that makes it.
    pub job: JobId,
    /// The model's name.
    pub model: String,
    /// What the answer's tokens follow from.
    pub prompt_hash: u64,
    /// Where it stands.
    pub status: AnswerStatus,
    /// Tokens of the prompt, found in the cache, and produced so far.
    pub usage: Usage,
    /// Told at each new token and change of status.
    pub progress: watch::Sender<u64>,
    /// The prompt, until the request is finished.
    prompt: String,
    /// Name under which the KV cache is held afterwards.
    hold: Option<String>,
}

/// A held KV cache.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct HeldKv {
    /// Its blocks, which stay pinned.
    pub blocks: Vec<BlockId>,
}

impl HeldKv {
    /// Tokens that the hold keeps in memory.
    pub fn tokens(&self) -> u64 {
        self.blocks.len() as u64 * BLOCK_TOKENS
    }
}

/// A request cannot be run, however long it waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NeverFits;

/// All state of an engine.
#[derive(Debug)]
pub struct EngineState {
    /// Present faults.
    pub faults: Faults,
    /// Counts.
    pub stats: EngineStats,
    /// Load as others see it.
    pub load: LaggingLoad,
    /// Changes of the cache as others see them.
    pub events: EventLog,
    /// Held KV caches by name.
    pub holds: BTreeMap<String, HeldKv>,
    /// Orders that were carried out.
    pub orders: Orders,
    /// Models that are served; any when empty.
    pub models: BTreeSet<String>,
    batch: Batch,
    answers: HashMap<String, Answer>,
    /// Request ids of jobs in the batch.
    request_ids: HashMap<JobId, String>,
    finished: VecDeque<(String, JobId)>,
    last_job: JobId,
    started_at: Instant,
}

impl EngineState {
    /// An idle engine with an empty cache.
    pub fn new(config: &EngineConfig, now: Instant) -> Self {
        let kv_tokens_limit = config.kv_tokens / BLOCK_TOKENS * BLOCK_TOKENS;
        Self {
            faults: Faults::default(),
            stats: EngineStats::default(),
            load: LaggingLoad::new(config.load_lag, kv_tokens_limit),
            events: EventLog::new(config.event_lag, config.event_gap_percent, config.seed),
            holds: BTreeMap::new(),
            orders: Orders::new(config.check_fences),
            models: config.models.iter().cloned().collect(),
            batch: Batch::new(config),
            answers: HashMap::new(),
            request_ids: HashMap::new(),
            finished: VecDeque::new(),
            last_job: 0,
            started_at: now,
        }
    }

    /// Queues a request. An earlier one of the same id is forgotten, though
    /// it runs on: the engine does not tell repetitions apart.
    ///
    /// # Errors
    ///
    /// Fails when the request needs more than the whole memory.
    pub fn submit(
        &mut self,
        request_id: &str,
        chat: &ChatRequest,
        hold: Option<String>,
    ) -> Result<JobId, NeverFits> {
        let prompt = chat.prompt();
        let prompt_tokens = token_count(&prompt);
        let poison = self.faults.crash_on.as_ref();
        let job = Job {
            id: self.last_job + 1,
            blocks: block_ids(&prompt),
            prompt_tokens,
            answer_tokens: chat.answer_tokens(),
            poisonous: poison.is_some_and(|text| prompt.contains(text)),
        };
        if !self.batch.could_fit(&job) {
            return Err(NeverFits);
        }
        self.last_job = job.id;
        self.count_run(request_id);
        let answer = Answer {
            job: job.id,
            model: chat.model.clone(),
            prompt_hash: prompt_hash(&prompt),
            status: AnswerStatus::Open,
            usage: Usage {
                prompt_tokens,
                ..Usage::default()
            },
            progress: watch::channel(0).0,
            prompt,
            hold,
        };
        self.answers.insert(request_id.to_owned(), answer);
        self.request_ids.insert(job.id, request_id.to_owned());
        self.batch.submit(job);
        Ok(self.last_job)
    }

    /// An id for a request that brought none.
    pub fn anonymous_id(&self) -> String {
        format!("anonymous-{}", self.last_job + 1)
    }

    /// What there is of a request's answer.
    pub fn answer(&self, request_id: &str) -> Option<&Answer> {
        self.answers.get(request_id)
    }

    /// Cancels a request; false when it is unknown or at its end.
    pub fn cancel(&mut self, request_id: &str) -> bool {
        let Some(answer) = self.answers.get_mut(request_id) else {
            return false;
        };
        if answer.status != AnswerStatus::Open {
            return false;
        }
        answer.status = AnswerStatus::Cancelled;
        answer.progress.send_modify(|changes| *changes += 1);
        let job = answer.job;
        self.stats.cancelled += 1;
        self.batch.cancel(job);
        self.request_ids.remove(&job);
        self.forget_oldest(request_id.to_owned(), job);
        true
    }

    /// Plans the next step, in the engine's present state of health.
    pub fn plan(&mut self) -> Plan {
        if self.faults.hang {
            return Plan::Idle;
        }
        match self.batch.plan() {
            Plan::Step(time) => Plan::Step(time.mul_f64(self.faults.slow_factor)),
            plan @ (Plan::Idle | Plan::Crash) => plan,
        }
    }

    /// Ends the planned step.
    pub fn complete(&mut self, now: Instant) {
        for progress in self.batch.complete() {
            match progress {
                Progress::Admitted { job, cached_tokens } => self.admitted(job, cached_tokens),
                Progress::Token(job) => self.token(job),
                Progress::Finished(job) => self.finish(job),
            }
        }
        self.report(now);
    }

    /// Brings the load and the cache events up to date.
    pub fn report(&mut self, now: Instant) {
        let changes = self.batch.cache.take_changes();
        self.events.push(changes, now);
        let load = self.load_now(now);
        self.load.push(load, now);
    }

    /// The counts, with the present load among them.
    pub fn stats_now(&self) -> EngineStats {
        EngineStats {
            running: self.batch.running_count() as u64,
            waiting: self.batch.waiting_count() as u64,
            kv_tokens_pinned: self.batch.cache.pinned_blocks() * BLOCK_TOKENS,
            ..self.stats.clone()
        }
    }

    /// Frees a held cache and returns its tokens; none when there is none.
    pub fn free_hold(&mut self, name: &str) -> Option<u64> {
        let held = self.holds.remove(name)?;
        self.batch.cache.unpin(&held.blocks);
        Some(held.tokens())
    }

    /// Holds imported blocks; false when memory lacks.
    pub fn import(&mut self, name: &str, held: HeldKv) -> bool {
        if !self.batch.cache.admit(&held.blocks, 0) {
            return false;
        }
        self.hold(name.to_owned(), held);
        true
    }

    fn load_now(&self, now: Instant) -> LoadReport {
        let uptime: Duration = now.saturating_duration_since(self.started_at);
        LoadReport {
            running: self.batch.running_count() as u64,
            waiting: self.batch.waiting_count() as u64,
            kv_tokens_used: self.batch.cache.pinned_blocks() * BLOCK_TOKENS,
            kv_tokens_limit: self.batch.cache.capacity_blocks() * BLOCK_TOKENS,
            as_of_ms: u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn admitted(&mut self, job: JobId, cached_tokens: u64) {
        let Some(answer) = self.answer_of(job) else {
            return;
        };
        answer.usage.cached_tokens = cached_tokens;
        let prefilled_tokens = answer.usage.prompt_tokens - cached_tokens;
        self.stats.cached_tokens += cached_tokens;
        self.stats.prefilled_tokens += prefilled_tokens;
    }

    fn token(&mut self, job: JobId) {
        self.stats.answer_tokens += 1;
        if let Some(answer) = self.answer_of(job) {
            answer.usage.answer_tokens += 1;
            answer.progress.send_modify(|changes| *changes += 1);
        }
    }

    fn finish(&mut self, job: JobId) {
        let Some(answer) = self.answer_of(job) else {
            // A repetition took its id, so nobody can ask for the answer.
            self.batch.retire(job, &[], false);
            return;
        };
        answer.status = AnswerStatus::Finished;
        let mut text = std::mem::take(&mut answer.prompt);
        text.push_str(&answer_text(answer.prompt_hash, answer.usage.answer_tokens));
        let hold = answer.hold.take();
        let blocks = block_ids(&text);
        self.batch.retire(job, &blocks, hold.is_some());
        if let Some(name) = hold {
            self.hold(name, HeldKv { blocks });
        }
        if let Some(answer) = self.answer_of(job) {
            answer.progress.send_modify(|changes| *changes += 1);
        }
        if let Some(request_id) = self.request_ids.remove(&job) {
            self.forget_oldest(request_id, job);
        }
    }

    /// Puts pinned blocks under a name, in place of what was held there.
    fn hold(&mut self, name: String, held: HeldKv) {
        if let Some(previous) = self.holds.insert(name, held) {
            self.batch.cache.unpin(&previous.blocks);
        }
    }

    fn answer_of(&mut self, job: JobId) -> Option<&mut Answer> {
        let request_id = self.request_ids.get(&job)?;
        let answer = self.answers.get_mut(request_id)?;
        (answer.job == job).then_some(answer)
    }

    /// Keeps an ended answer, and drops the oldest when there are too many.
    fn forget_oldest(&mut self, request_id: String, job: JobId) {
        self.finished.push_back((request_id, job));
        if self.finished.len() <= MAX_FINISHED_ANSWERS {
            return;
        }
        let Some((oldest, job)) = self.finished.pop_front() else {
            return;
        };
        if self.answers.get(&oldest).is_some_and(|a| a.job == job) {
            self.answers.remove(&oldest);
        }
    }

    fn count_run(&mut self, request_id: &str) {
        let runs = &mut self.stats.runs;
        if runs.len() < MAX_COUNTED_IDS || runs.contains_key(request_id) {
            *runs.entry(request_id.to_owned()).or_default() += 1;
        }
    }
}
