//! Continuous batching: which jobs run, and what each step of them costs.
//!
//! The batch reads no clock. [`Batch::plan`] says how long the next step
//! takes, and [`Batch::complete`] what the step brought. Jobs are admitted in
//! the order they came, as memory allows; the engine knows no priorities.

use std::{collections::VecDeque, time::Duration};

use super::{
    cache::{BLOCK_TOKENS, BlockId, PrefixCache},
    config::EngineConfig,
};

/// Prompt tokens that one step computes at most.
const PREFILL_CHUNK_TOKENS: u64 = 2048;
/// Part of the decode time by which each further running job slows a step.
const SLOWDOWN_PER_JOB: f64 = 0.03;

/// Names a job within its engine.
pub type JobId = u64;

/// A request on its way through the batch.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job's name.
    pub id: JobId,
    /// Full blocks of the prompt.
    pub blocks: Vec<BlockId>,
    /// Tokens of the prompt, the last partial block included.
    pub prompt_tokens: u64,
    /// Tokens that the answer will have; at least 1.
    pub answer_tokens: u64,
    /// Whether the engine crashes when it admits the job.
    pub poisonous: bool,
}

impl Job {
    /// Blocks beyond the prompt's full ones that the job needs at its end.
    pub fn extra_blocks(&self) -> u64 {
        let total = self.prompt_tokens + self.answer_tokens;
        total.div_ceil(BLOCK_TOKENS) - self.blocks.len() as u64
    }

    fn total_blocks(&self) -> u64 {
        self.blocks.len() as u64 + self.extra_blocks()
    }
}

#[derive(Clone, Debug)]
struct RunningJob {
    job: Job,
    /// Prompt tokens still to be computed.
    cold_tokens: u64,
    produced_tokens: u64,
    /// Whether the planned step gives the job a token.
    advances: bool,
}

/// What the next step is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// There is nothing to run.
    Idle,
    /// The step takes so long.
    Step(Duration),
    /// A poisonous job was admitted: the process crashes.
    Crash,
}

/// Something that happened to a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The job was admitted with this many prompt tokens found in the cache.
    Admitted {
        /// The job.
        job: JobId,
        /// Its prompt tokens that were cached.
        cached_tokens: u64,
    },
    /// The job has its next token.
    Token(JobId),
    /// The job has all of its tokens. Its blocks stay pinned until
    /// [`Batch::retire`].
    Finished(JobId),
}

/// The jobs of an engine and its memory.
#[derive(Clone, Debug)]
pub struct Batch {
    token_time: Duration,
    prefill_token_time: Duration,
    max_running: usize,
    /// The engine's memory.
    pub cache: PrefixCache,
    waiting: VecDeque<Job>,
    running: Vec<RunningJob>,
    finished: Vec<Job>,
    progress: Vec<Progress>,
}

impl Batch {
    /// An empty batch.
    pub fn new(config: &EngineConfig) -> Self {
        Self {
            token_time: config.token_time,
            prefill_token_time: config.prefill_token_time,
            max_running: config.max_running,
            cache: PrefixCache::new(config.kv_tokens / BLOCK_TOKENS),
            waiting: VecDeque::new(),
            running: Vec::new(),
            finished: Vec::new(),
            progress: Vec::new(),
        }
    }

    /// Whether the job would fit into the memory if it were alone.
    pub fn could_fit(&self, job: &Job) -> bool {
        job.total_blocks() <= self.cache.capacity_blocks()
    }

    /// Queues a job.
    pub fn submit(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Takes a job out, wherever it is; its memory is free at once.
    pub fn cancel(&mut self, id: JobId) {
        self.waiting.retain(|job| job.id != id);
        if let Some(index) = self.running.iter().position(|r| r.job.id == id) {
            let job = self.running.remove(index).job;
            self.cache.release(job.extra_blocks());
            self.cache.unpin(&job.blocks);
        }
    }

    /// Admits what fits and says how long the next step takes.
    pub fn plan(&mut self) -> Plan {
        if self.admit() == Admission::Poison {
            return Plan::Crash;
        }
        if self.running.is_empty() {
            return Plan::Idle;
        }
        Plan::Step(self.plan_step())
    }

    /// Ends the planned step.
    pub fn complete(&mut self) -> Vec<Progress> {
        for running in self.running.iter_mut().filter(|r| r.advances) {
            running.produced_tokens += 1;
            self.progress.push(Progress::Token(running.job.id));
        }
        let done = |r: &mut RunningJob| r.produced_tokens >= r.job.answer_tokens;
        for running in self.running.extract_if(.., done) {
            self.progress.push(Progress::Finished(running.job.id));
            self.finished.push(running.job);
        }
        std::mem::take(&mut self.progress)
    }

    /// Takes a finished job out. `whole` are the full blocks of its prompt and
    /// answer, which stay in the cache; they are left pinned when `hold` is
    /// set. False when the job is not among the finished ones.
    pub fn retire(&mut self, id: JobId, whole: &[BlockId], hold: bool) -> bool {
        let Some(index) = self.finished.iter().position(|job| job.id == id) else {
            return false;
        };
        let job = self.finished.swap_remove(index);
        self.cache.fill(whole, job.extra_blocks());
        self.cache.unpin(&job.blocks);
        if !hold {
            self.cache.unpin(whole);
        }
        true
    }

    /// Number of jobs that run.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Number of jobs that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn admit(&mut self) -> Admission {
        while self.running.len() < self.max_running
            && let Some(job) = self.waiting.front()
        {
            let cached_tokens = self.cache.cached_prefix(&job.blocks) as u64 * BLOCK_TOKENS;
            if !self.cache.admit(&job.blocks, job.extra_blocks()) {
                break;
            }
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            if job.poisonous {
                return Admission::Poison;
            }
            self.progress.push(Progress::Admitted {
                job: job.id,
                cached_tokens,
            });
            self.running.push(RunningJob {
                cold_tokens: job.prompt_tokens - cached_tokens,
                job,
                produced_tokens: 0,
                advances: false,
            });
        }
        Admission::Done
    }

    /// Shares out the step's prefill chunk and returns the step's time.
    fn plan_step(&mut self) -> Duration {
        let mut chunk = PREFILL_CHUNK_TOKENS;
        let mut decoding = 0_u32;
        for running in &mut self.running {
            let prefilled = running.cold_tokens.min(chunk);
            decoding += u32::from(running.cold_tokens == 0);
            chunk -= prefilled;
            running.cold_tokens -= prefilled;
            running.advances = running.cold_tokens == 0;
        }
        let prefilled = PREFILL_CHUNK_TOKENS - chunk;
        let prefill = self.prefill_token_time.mul_f64(prefilled as f64);
        let decode = match decoding {
            0 => Duration::ZERO,
            count => {
                let slowdown = 1.0 + SLOWDOWN_PER_JOB * f64::from(count - 1);
                self.token_time.mul_f64(slowdown)
            }
        };
        prefill + decode
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Admission {
    Done,
    Poison,
}
