//! A small fake of a model engine and of a tool service.
//!
//! The engine batches continuously: a step decodes one token of every running
//! answer and prefills at most a chunk of one or more prompts. It admits calls
//! as they arrive, as far as its KV memory goes, and knows no priorities. Only
//! what a policy can see the effect of is modelled.

use std::collections::VecDeque;

use crate::cache::{PrefixCache, Segment, SegmentId};

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// KV memory.
    pub kv_tokens: u64,
    /// Most calls in a batch.
    pub max_batch: usize,
    /// Most tokens prefilled in a step.
    pub chunk_tokens: u64,
    /// Fixed time of a step.
    pub step_us: u64,
    /// Time of a step for each answer decoded in it.
    pub answer_us: u64,
    /// Time of a step for each token prefilled in it.
    pub prefill_token_us: u64,
    /// Time to import one exported token.
    pub transfer_token_us: u64,
}

impl EngineSpec {
    /// The engine of the traces, with its own memory.
    pub fn new(kv_tokens: u64) -> Self {
        Self {
            kv_tokens,
            max_batch: 32,
            chunk_tokens: 512,
            step_us: 14_000,
            answer_us: 400,
            prefill_token_us: 100,
            transfer_token_us: 8,
        }
    }

    /// Time of a call that runs alone, with `cold_tokens` to prefill.
    pub fn alone_us(&self, cold_tokens: u64, answer_tokens: u64) -> u64 {
        let chunks = cold_tokens.div_ceil(self.chunk_tokens).max(1);
        let decode_us = answer_tokens.saturating_sub(1) * (self.step_us + self.answer_us);
        chunks * self.step_us + cold_tokens * self.prefill_token_us + decode_us
    }

    /// Share of an engine's time that a call takes in a full batch.
    pub fn work_us(&self, cold_tokens: u64, answer_tokens: u64) -> u64 {
        let chunk_step_us = self.step_us / self.chunk_tokens.max(1);
        let decode_us = self.step_us / self.max_batch as u64 + self.answer_us;
        cold_tokens * (self.prefill_token_us + chunk_step_us / 2) + answer_tokens * decode_us
    }
}

/// A call handed to an engine.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Number of the call in the replay.
    pub call: usize,
    /// The prompt.
    pub path: Vec<Segment>,
    /// What the answer becomes in the history.
    pub answer: Segment,
    /// Longest answer, for which memory is reserved.
    pub max_answer_tokens: u64,
    /// Tokens at the end of the prompt that come from an export.
    pub exported_tokens: u64,
}

/// What a step brought about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineOutput {
    /// The first token of an answer.
    FirstToken {
        /// The call.
        call: usize,
    },
    /// The end of an answer.
    Finished {
        /// The call.
        call: usize,
        /// Prompt tokens that were in the cache.
        cached_tokens: u64,
    },
}

#[derive(Debug)]
struct Running {
    call: EngineCall,
    cached_tokens: u64,
    /// Tokens still to prefill, and those of them in this step.
    cold_left: u64,
    in_step: u64,
    answer_left: u64,
    /// Memory that is this call's alone.
    private_tokens: u64,
    pinned: Option<SegmentId>,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    /// The prefix cache; the replay pins in it what a policy holds.
    pub cache: PrefixCache,
    /// Steps take this many times as long.
    pub slow_factor: u64,
    /// Counts steps begun and crashes, so that an event of a step that a
    /// crash cut off is told apart.
    pub step_number: u64,
    waiting: VecDeque<EngineCall>,
    running: Vec<Running>,
    private_tokens: u64,
    stepping: bool,
    lacks_memory: bool,
}

impl Engine {
    /// Makes an idle engine with an empty cache.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            cache: PrefixCache::default(),
            slow_factor: 1,
            step_number: 0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            private_tokens: 0,
            stepping: false,
            lacks_memory: false,
        }
    }

    /// Its speed and size.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Takes a call.
    pub fn submit(&mut self, call: EngineCall) {
        self.waiting.push_back(call);
    }

    /// Calls that are running or waiting inside the engine.
    pub fn calls(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Whether memory lacked for a call when the last step began.
    pub fn lacks_memory(&self) -> bool {
        self.lacks_memory
    }

    /// Begins a step and tells how long it takes; none when there is nothing
    /// to do or a step is under way.
    pub fn begin_step(&mut self, now_us: u64) -> Option<u64> {
        if self.stepping {
            return None;
        }
        let import_us = self.admit(now_us);
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        self.step_number += 1;
        let mut budget = self.spec.chunk_tokens;
        let mut decoding = 0;
        for running in &mut self.running {
            running.in_step = running.cold_left.min(budget);
            budget -= running.in_step;
            if running.cold_left == 0 {
                decoding += 1;
            }
        }
        let prefilled = self.spec.chunk_tokens - budget;
        let step_us = self.spec.step_us
            + decoding * self.spec.answer_us
            + prefilled * self.spec.prefill_token_us
            + import_us;
        Some(step_us * self.slow_factor)
    }

    /// Ends the step that is under way.
    pub fn finish_step(&mut self, now_us: u64) -> Vec<EngineOutput> {
        self.stepping = false;
        let mut outputs = Vec::new();
        let mut index = 0;
        while index < self.running.len() {
            if self.advance(index, now_us, &mut outputs) {
                let ended = self.running.remove(index);
                outputs.push(self.end(ended, now_us));
            } else {
                index += 1;
            }
        }
        outputs
    }

    /// Loses everything; tells the calls that were inside.
    pub fn crash(&mut self) -> Vec<usize> {
        let waiting = self.waiting.drain(..).map(|call| call.call);
        let running = self.running.drain(..).map(|running| running.call.call);
        let lost = running.chain(waiting).collect();
        self.cache = PrefixCache::default();
        self.private_tokens = 0;
        self.stepping = false;
        self.step_number += 1;
        lost
    }

    /// Advances one call by the step; tells whether its answer has ended.
    fn advance(&mut self, index: usize, now_us: u64, outputs: &mut Vec<EngineOutput>) -> bool {
        let running = &mut self.running[index];
        if running.cold_left > 0 {
            running.cold_left -= running.in_step;
            if running.cold_left > 0 || running.in_step == 0 {
                return false;
            }
        }
        if running.answer_left == running.call.answer.tokens {
            let call = running.call.call;
            outputs.push(EngineOutput::FirstToken { call });
            self.share_prompt(index, now_us);
        }
        let running = &mut self.running[index];
        running.answer_left = running.answer_left.saturating_sub(1);
        running.answer_left == 0
    }

    /// Moves a computed prompt from the call's own memory into the cache.
    fn share_prompt(&mut self, index: usize, now_us: u64) {
        let running = &mut self.running[index];
        let cold_tokens = running.private_tokens - running.call.max_answer_tokens;
        self.private_tokens -= cold_tokens;
        running.private_tokens -= cold_tokens;
        let last = running.call.path.last().map(|segment| segment.id);
        self.cache.insert(&running.call.path, now_us);
        if let Some(last) = last {
            self.cache.pin(last);
        }
        if let Some(before) = std::mem::replace(&mut running.pinned, last) {
            self.cache.unpin(before);
        }
    }

    fn end(&mut self, ended: Running, now_us: u64) -> EngineOutput {
        self.private_tokens -= ended.private_tokens;
        let mut path = ended.call.path;
        path.push(ended.call.answer);
        self.cache.insert(&path, now_us);
        if let Some(pinned) = ended.pinned {
            self.cache.unpin(pinned);
        }
        EngineOutput::Finished {
            call: ended.call.call,
            cached_tokens: ended.cached_tokens,
        }
    }

    /// Admits waiting calls in their order; tells the time of imports.
    fn admit(&mut self, now_us: u64) -> u64 {
        let mut import_us = 0;
        self.lacks_memory = false;
        while self.running.len() < self.spec.max_batch {
            let Some(call) = self.waiting.front() else {
                break;
            };
            let (cached_tokens, last) = self.cache.longest(&call.path);
            let prompt_tokens: u64 = call.path.iter().map(|segment| segment.tokens).sum();
            let private_tokens = prompt_tokens - cached_tokens + call.max_answer_tokens;
            if let Some(last) = last {
                self.cache.pin(last);
            }
            if !self.make_room(private_tokens) {
                if let Some(last) = last {
                    self.cache.unpin(last);
                }
                self.lacks_memory = true;
                break;
            }
            let call = self.waiting.pop_front().expect("it is in front");
            self.cache.touch(&call.path, now_us);
            let imported = call.exported_tokens.min(prompt_tokens - cached_tokens);
            import_us += imported * self.spec.transfer_token_us;
            self.private_tokens += private_tokens;
            self.running.push(Running {
                cached_tokens: cached_tokens + imported,
                cold_left: prompt_tokens - cached_tokens - imported,
                in_step: 0,
                answer_left: call.answer.tokens,
                private_tokens,
                pinned: last,
                call,
            });
        }
        import_us
    }

    fn make_room(&mut self, needed: u64) -> bool {
        let used = self.cache.tokens() + self.private_tokens;
        let lacking = (used + needed).saturating_sub(self.spec.kv_tokens);
        self.cache.evict(lacking) >= lacking
    }
}
