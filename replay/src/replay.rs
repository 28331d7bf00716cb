//! Replays a trace through the decisions under a virtual clock.
//!
//! The replay plays the caller, the entries, the sidecars' plumbing and the
//! faults; every decision is made by `rosebend_coordination`, in the form in
//! which the processes run it. Equal traces, policies and seeds give equal
//! results.

use std::collections::BTreeMap;
use std::time::Duration;

use rosebend_coordination::pause::PauseDecider;
use rosebend_coordination::queue::LoadView;
use rosebend_coordination::retry::{RetryBudget, RetryReason, RetrySettings};
use rosebend_coordination::routing::{Router, RouterSettings};
use rosebend_state::id::{CallId, EndpointId};

use crate::cache::Segment;
use crate::fake::EngineSpec;
use crate::measure::{Measures, ProgramEnd, ProgramResult};
use crate::policies::Policy;
use crate::program::{HOP_US, Root, Thread, critical_path_us};
use crate::site::{MODEL, Site};
use crate::trace::{Step, Trace};

mod faults;
mod holds;
mod owner;
mod sidecar;

/// Longest answer that callers declare, as a multiple of this.
const ANSWER_LIMIT_STEP_TOKENS: u64 = 256;

/// Time between load reports of an endpoint.
const REPORT_INTERVAL_US: u64 = 500_000;

/// Time between samples of the engines' load.
const SAMPLE_INTERVAL_US: u64 = 1_000_000;

/// Wait before a call whose retry was denied is sent again.
const DENIED_RETRY_US: u64 = 1_000_000;

/// Time from a caller's stop of a program to the freeing of its holds.
const FREE_US: u64 = 2 * HOP_US;

/// What is due at a point in time.
#[derive(Debug)]
enum Event {
    Start(usize),
    Choose(usize),
    Arrive { call: usize, attempt: u64 },
    Step { site: usize, step: u64 },
    ServiceDone { call: usize, attempt: u64 },
    Advance(usize),
    Report,
    Reported(usize, String, LoadView, Duration),
    FaultBegins(usize),
    FaultEnds(usize),
    HoldExpires { thread: usize, since_us: u64 },
    Free(usize),
    Sample,
}

/// One call and where it stands.
#[derive(Debug)]
struct Call {
    id: CallId,
    thread: usize,
    work: Work,
    submitted_us: u64,
    admitted_us: u64,
    attempt: u64,
    site: usize,
    incarnation: String,
    warm_tokens: u64,
    excluded: Vec<EndpointId>,
}

#[derive(Debug)]
enum Work {
    Model {
        answer: Segment,
    },
    Tool {
        name: String,
        repeatable: bool,
        run_us: u64,
    },
}

impl Call {
    fn target(&self) -> &str {
        match &self.work {
            Work::Model { .. } => MODEL,
            Work::Tool { name, .. } => name,
        }
    }
}

/// Whether the memory that was held served a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HoldUse {
    Used,
    Unused,
}

/// A replay under way.
#[derive(Debug)]
pub struct Replay<'a> {
    trace: &'a Trace,
    policy: &'a Policy,
    now_us: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_segment: u64,
    roots: Vec<Root>,
    threads: Vec<Thread>,
    calls: Vec<Call>,
    sites: Vec<Site>,
    site_by_id: BTreeMap<EndpointId, usize>,
    /// One for each entry.
    routers: Vec<Router>,
    retries: Vec<RetryBudget>,
    pauses: Vec<PauseDecider>,
    under_way: usize,
    measures: Measures,
}

impl<'a> Replay<'a> {
    /// Replays a trace to its end.
    pub fn run(trace: &'a Trace, policy: &'a Policy, seed: u64) -> Measures {
        let mut replay = Self::new(trace, policy, seed);
        replay.schedule_trace();
        while replay.under_way > 0 {
            let Some(((at, _), event)) = replay.events.pop_first() else {
                break;
            };
            replay.now_us = at;
            replay.handle(event);
        }
        replay.measures.end_us = replay.now_us;
        for site in 0..replay.sites.len() {
            replay.free_all_of_site(site);
        }
        replay.measures
    }

    fn new(trace: &'a Trace, policy: &'a Policy, seed: u64) -> Self {
        let sites: Vec<Site> = trace
            .endpoints
            .iter()
            .map(|spec| Site::new(spec, policy))
            .collect();
        let entries = trace.setting("entries", 3) as usize;
        let router = |entry: usize| {
            let zone = sites.get(entry).map(|site| site.info().zone);
            let mut router = Router::new(RouterSettings {
                policy: policy.routing.clone(),
                zone: zone.unwrap_or_default(),
                seed,
                ..RouterSettings::default()
            });
            router.set_endpoints(sites.iter().map(Site::info).collect());
            router
        };
        let measures = Measures {
            cache_tokens: trace.engines().map(|(_, kv_tokens)| kv_tokens).sum(),
            ..Measures::default()
        };
        Self {
            trace,
            policy,
            now_us: 0,
            events: BTreeMap::new(),
            next_event: 0,
            next_segment: 1 << 32,
            roots: Vec::new(),
            threads: Vec::new(),
            calls: Vec::new(),
            site_by_id: sites
                .iter()
                .enumerate()
                .map(|(n, s)| (s.id.clone(), n))
                .collect(),
            routers: (0..entries).map(router).collect(),
            retries: (0..entries)
                .map(|_| RetryBudget::new(RetrySettings::default()))
                .collect(),
            pauses: (0..entries)
                .map(|_| PauseDecider::new(policy.pause))
                .collect(),
            sites,
            under_way: trace.programs.len(),
            measures,
        }
    }

    fn schedule_trace(&mut self) {
        for (index, spec) in self.trace.programs.iter().enumerate() {
            self.schedule(spec.at_ms * 1_000, Event::Start(index));
        }
        for (index, fault) in self.trace.faults.iter().enumerate() {
            self.schedule(fault.at_ms * 1_000, Event::FaultBegins(index));
        }
        self.schedule(REPORT_INTERVAL_US, Event::Report);
        self.schedule(SAMPLE_INTERVAL_US, Event::Sample);
    }

    fn now(&self) -> Duration {
        Duration::from_micros(self.now_us)
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.events.insert((at_us, self.next_event), event);
        self.next_event += 1;
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.schedule(self.now_us + delay_us, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(spec) => self.start(spec),
            Event::Choose(call) => self.choose(call),
            Event::Arrive { call, attempt } => self.arrive(call, attempt),
            Event::Step { site, step } => self.engine_step(site, step),
            Event::ServiceDone { call, attempt } => self.service_done(call, attempt),
            Event::Advance(thread) => self.advance(thread),
            Event::Report => self.report(),
            Event::Reported(site, incarnation, load, age) => {
                self.reported(site, &incarnation, load, age);
            }
            Event::FaultBegins(fault) => self.fault_begins(fault),
            Event::FaultEnds(fault) => self.fault_ends(fault),
            Event::HoldExpires { thread, since_us } => self.hold_expires(thread, since_us),
            Event::Free(thread) => self.free_everywhere(thread),
            Event::Sample => self.sample(),
        }
    }

    fn start(&mut self, spec_index: usize) {
        let spec = &self.trace.programs[spec_index];
        let root = self.roots.len();
        let shard = spec.id.shard(128) as usize;
        self.roots.push(Root {
            spec: spec_index,
            entry: shard % self.routers.len(),
            started_us: self.now_us,
            attained_tokens: 0,
            turns: 0,
            ended_us: None,
            first_token_us: None,
        });
        self.threads.push(Thread::of_root(root, spec));
        self.advance(self.threads.len() - 1);
    }

    /// Begins the next step of a thread.
    fn advance(&mut self, thread: usize) {
        let root = self.threads[thread].root;
        if self.roots[root].ended_us.is_some() {
            return;
        }
        if self.roots[root].turns >= self.trace.setting("max_turns", 310) {
            self.measures.count("ended-by-limit");
            return self.end_root(thread, ProgramEnd::Limited);
        }
        match self.threads[thread].next_step() {
            Some(Step::Model {
                added_tokens,
                answer_tokens,
            }) => {
                self.begin_model_call(thread, added_tokens, answer_tokens);
            }
            Some(Step::Tool {
                name,
                repeatable,
                run_ms,
            }) => {
                self.begin_pause(thread, &name);
                let run_us = run_ms * 1_000;
                self.begin_call(
                    thread,
                    Work::Tool {
                        name,
                        repeatable,
                        run_us,
                    },
                );
            }
            Some(Step::Fork(branches)) => self.fork(thread, branches),
            None => self.end_thread(thread),
        }
    }

    fn begin_model_call(&mut self, thread: usize, added_tokens: u64, answer_tokens: u64) {
        self.end_pause(thread);
        let added = self.new_segment(added_tokens);
        let answer = self.new_segment(answer_tokens);
        self.threads[thread].path.push(added);
        self.measures.calls += 1;
        let work_us = EngineSpec::new(0).work_us(added_tokens, answer_tokens);
        let customer = self.threads[thread].program.customer();
        self.measures.shares.asked(self.now_us, customer, work_us);
        self.begin_call(thread, Work::Model { answer });
    }

    fn begin_call(&mut self, thread: usize, work: Work) {
        let id = self.threads[thread].next_call();
        let root = self.threads[thread].root;
        self.roots[root].turns += 1;
        self.calls.push(Call {
            id,
            thread,
            work,
            submitted_us: self.now_us,
            admitted_us: 0,
            attempt: 0,
            site: 0,
            incarnation: String::new(),
            warm_tokens: 0,
            excluded: Vec::new(),
        });
        let call = self.calls.len() - 1;
        let entry = self.entry(call);
        let target = self.calls[call].target().to_owned();
        let now = self.now();
        self.retries[entry].first_attempt(now, &target);
        self.after(HOP_US, Event::Choose(call));
    }

    fn fork(&mut self, thread: usize, branches: Vec<Vec<Step>>) {
        self.threads[thread].children = branches.len();
        for (number, steps) in branches.into_iter().enumerate() {
            let child = Thread::of_sub_agent(thread, &self.threads[thread], number, steps);
            self.threads.push(child);
            self.after(0, Event::Advance(self.threads.len() - 1));
        }
    }

    fn end_thread(&mut self, thread: usize) {
        let Some(parent) = self.threads[thread].parent else {
            return self.end_root(thread, ProgramEnd::Finished);
        };
        self.after(FREE_US, Event::Free(thread));
        self.threads[parent].children -= 1;
        if self.threads[parent].children == 0 {
            self.after(0, Event::Advance(parent));
        }
    }

    fn end_root(&mut self, thread: usize, end: ProgramEnd) {
        let root_index = self.threads[thread].root;
        let root = &mut self.roots[root_index];
        root.ended_us = Some(self.now_us);
        let spec = &self.trace.programs[root.spec];
        let latency_us = self.now_us - root.started_us;
        let first_token_us = root.first_token_us.unwrap_or(self.now_us);
        self.measures.programs.push(ProgramResult {
            customer: spec.id.customer().to_owned(),
            end,
            latency_us,
            critical_path_us: critical_path_us(spec, &EngineSpec::new(0)),
            first_token_us: first_token_us - root.started_us,
            in_time: latency_us <= spec.deadline_ms * 1_000,
        });
        self.under_way -= 1;
        let entry = root.entry;
        for index in 0..self.threads.len() {
            if self.threads[index].root == root_index {
                self.after(FREE_US, Event::Free(index));
                self.routers[entry].program_ended(&self.threads[index].program);
            }
        }
    }

    fn new_segment(&mut self, tokens: u64) -> Segment {
        self.next_segment += 1;
        Segment {
            id: self.next_segment,
            tokens,
        }
    }

    fn entry(&self, call: usize) -> usize {
        self.roots[self.threads[self.calls[call].thread].root].entry
    }
}

/// The longest answer that a caller declares for one of this length.
fn answer_limit(answer_tokens: u64) -> u64 {
    answer_tokens.next_multiple_of(ANSWER_LIMIT_STEP_TOKENS)
}

fn retry_event(reason: RetryReason) -> &'static str {
    match reason {
        RetryReason::Leaving => "retried-leaving",
        RetryReason::QueueFull => "retried-queue-full",
        RetryReason::OtherIncarnation => "retried-other-incarnation",
        RetryReason::EndpointDown => "retried-endpoint-down",
        RetryReason::ConnectionLost => "retried-connection-lost",
    }
}
