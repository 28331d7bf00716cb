//! Programs under way in a replay: where each one stands in its steps.

use rosebend_coordination::warmth::SharedPrefix;
use rosebend_state::id::{CallId, ProgramId};

use crate::cache::Segment;
use crate::fake::EngineSpec;
use crate::trace::{ProgramSpec, Step, Trace};

/// Time between a caller's program, its entry and an endpoint, one way.
pub const HOP_US: u64 = 1_500;

/// A root program.
#[derive(Debug)]
pub struct Root {
    /// Its position in the trace.
    pub spec: usize,
    /// The entry that owns it.
    pub entry: usize,
    /// When it started.
    pub started_us: u64,
    /// Tokens computed for it so far.
    pub attained_tokens: u64,
    /// Calls made so far.
    pub turns: u64,
    /// When it ended.
    pub ended_us: Option<u64>,
    /// When it gave its first token.
    pub first_token_us: Option<u64>,
}

/// A chain of steps: a root program or a sub-agent.
#[derive(Debug)]
pub struct Thread {
    /// Its root.
    pub root: usize,
    /// Its own id.
    pub program: ProgramId,
    /// The thread that waits for it.
    pub parent: Option<usize>,
    /// Sub-agents that it waits for.
    pub children: usize,
    /// Its history, which is the prompt of its next call.
    pub path: Vec<Segment>,
    /// Calls made so far.
    pub sequence: u64,
    /// Tokens at the end of the history that were exported.
    pub exported_tokens: u64,
    /// The tool that it waits for and since when.
    pub paused: Option<(String, u64)>,
    /// The endpoint of its last model call.
    pub last_site: Option<usize>,
    /// Segments at the start of its history that others may use as well.
    pub shared_segments: usize,
    /// Prefixes that it shares with other programs, by their last segments.
    pub shared: Vec<SharedPrefix>,
    steps: Vec<Step>,
    position: usize,
    endless: bool,
}

impl Thread {
    /// The thread of a root program.
    pub fn of_root(root: usize, spec: &ProgramSpec) -> Self {
        let prefix = spec.prefix.map(|(id, tokens)| Segment { id, tokens });
        Self {
            root,
            program: spec.id.clone(),
            parent: None,
            children: 0,
            path: prefix.into_iter().collect(),
            sequence: 0,
            exported_tokens: 0,
            paused: None,
            last_site: None,
            shared_segments: usize::from(spec.prefix.is_some()),
            shared: prefix.map(shared_prefix).into_iter().collect(),
            steps: spec.steps.clone(),
            position: 0,
            endless: spec.endless,
        }
    }

    /// A sub-agent with the history of its parent.
    pub fn of_sub_agent(parent: usize, thread: &Self, number: usize, steps: Vec<Step>) -> Self {
        let session = format!("{}/a{}-{number}", thread.program.session(), thread.position);
        let program = ProgramId::new(thread.program.customer(), &session)
            .expect("a sub-agent's name is accepted");
        let mut shared = thread.shared.clone();
        shared.extend(thread.path.last().map(|last| SharedPrefix {
            id: last.id,
            tokens: thread.history_tokens(),
        }));
        Self {
            program,
            parent: Some(parent),
            children: 0,
            path: thread.path.clone(),
            sequence: 0,
            exported_tokens: 0,
            paused: None,
            last_site: thread.last_site,
            shared_segments: thread.path.len(),
            shared,
            steps,
            position: 0,
            endless: false,
            root: thread.root,
        }
    }

    /// The next step, which the thread then stands behind.
    pub fn next_step(&mut self) -> Option<Step> {
        if self.endless && self.position == self.steps.len() {
            self.position = 0;
        }
        let step = self.steps.get(self.position)?.clone();
        self.position += 1;
        Some(step)
    }

    /// Names the next call.
    pub fn next_call(&mut self) -> CallId {
        self.sequence += 1;
        CallId {
            program: self.program.clone(),
            sequence: self.sequence,
        }
    }

    /// The part of its history that no other program has.
    pub fn own_path(&self) -> &[Segment] {
        &self.path[self.shared_segments..]
    }

    /// Length of the history.
    pub fn history_tokens(&self) -> u64 {
        self.path.iter().map(|segment| segment.tokens).sum()
    }
}

fn shared_prefix(segment: Segment) -> SharedPrefix {
    let Segment { id, tokens } = segment;
    SharedPrefix { id, tokens }
}

/// Time of a program whose calls never wait and find all history warm.
pub fn critical_path_us(spec: &ProgramSpec, engine: &EngineSpec) -> u64 {
    chain_us(&spec.steps, engine)
}

fn chain_us(steps: &[Step], engine: &EngineSpec) -> u64 {
    let step_us = |step: &Step| match step {
        Step::Model {
            added_tokens,
            answer_tokens,
        } => 2 * HOP_US + engine.alone_us(*added_tokens, *answer_tokens),
        Step::Tool { run_ms, .. } => 2 * HOP_US + run_ms * 1_000,
        Step::Fork(branches) => {
            let longest = branches.iter().map(|branch| chain_us(branch, engine)).max();
            longest.unwrap_or(0)
        }
    };
    steps.iter().map(step_us).sum()
}

/// Engine time that a trace needs when all history stays warm, as a share of
/// the time of its engines until the last arrival, in percent.
pub fn offered_percent(trace: &Trace) -> f64 {
    let engines: Vec<EngineSpec> = trace.engines().map(|(_, kv)| EngineSpec::new(kv)).collect();
    let Some(engine) = engines.first() else {
        return 0.0;
    };
    let finite = trace.programs.iter().filter(|spec| !spec.endless);
    let work_us: u64 = finite.map(|spec| chain_work_us(&spec.steps, engine)).sum();
    let last_ms = trace.programs.last().map_or(0, |spec| spec.at_ms);
    let available_us = last_ms * 1_000 * engines.len() as u64;
    100.0 * work_us as f64 / available_us.max(1) as f64
}

fn chain_work_us(steps: &[Step], engine: &EngineSpec) -> u64 {
    let work = |step: &Step| match step {
        Step::Model {
            added_tokens,
            answer_tokens,
        } => engine.work_us(*added_tokens, *answer_tokens),
        Step::Tool { .. } => 0,
        Step::Fork(branches) => branches.iter().map(|b| chain_work_us(b, engine)).sum(),
    };
    steps.iter().map(work).sum()
}
