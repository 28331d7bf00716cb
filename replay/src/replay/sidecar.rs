//! What happens beside an endpoint: the queue, the engine, the service.

use std::time::Duration;

use rosebend_coordination::queue::Waiting;
use rosebend_coordination::retry::RetryReason;
use rosebend_coordination::routing::{CallEnd, EndpointState};

use super::{Event, HoldUse, Replay, Work, answer_limit};
use crate::cache::Segment;
use crate::clairvoyant::Access;
use crate::fake::{EngineCall, EngineOutput, EngineSpec};
use crate::program::HOP_US;
use crate::site::Backend;

impl Replay<'_> {
    /// The call comes to the sidecar.
    pub(super) fn arrive(&mut self, index: usize, attempt: u64) {
        let call = &self.calls[index];
        if call.attempt != attempt {
            return;
        }
        let site = &self.sites[call.site];
        match site.state {
            EndpointState::Down => return self.not_run(index, RetryReason::EndpointDown),
            EndpointState::Leaving | EndpointState::Draining => {
                return self.not_run(index, RetryReason::Leaving);
            }
            EndpointState::Live if site.incarnation() != call.incarnation => {
                return self.not_run(index, RetryReason::OtherIncarnation);
            }
            EndpointState::Live => {}
        }
        let waiting = self.waiting(index);
        let (site, id) = (self.calls[index].site, self.calls[index].id.clone());
        let now = self.now();
        match self.sites[site].queue.push(now, waiting) {
            Ok(()) => {
                self.sites[site].calls.insert(id, index);
                self.pump(site);
            }
            Err(refusal) => {
                let entry = self.entry(index);
                let retry_after = refusal.retry_after;
                self.routers[entry].ended(now, &id, CallEnd::Refused { retry_after });
                self.send_again(index, RetryReason::QueueFull);
            }
        }
    }

    pub(super) fn waiting(&self, index: usize) -> Waiting {
        let call = &self.calls[index];
        let thread = &self.threads[call.thread];
        let root = &self.roots[thread.root];
        let spec = &self.trace.programs[root.spec];
        let deadline_us = root.started_us + spec.deadline_ms * 1_000;
        let (prompt_tokens, max_answer_tokens) = match &call.work {
            Work::Model { answer } => (thread.history_tokens(), answer_limit(answer.tokens)),
            Work::Tool { .. } => (0, 0),
        };
        Waiting {
            call: call.id.clone(),
            customer: spec.id.customer().to_owned(),
            share_weight: 1,
            prompt_tokens,
            max_answer_tokens,
            attained_tokens: root.attained_tokens,
            program_age: Duration::from_micros(self.now_us - root.started_us),
            // A caller whose deadline has passed still waits for the end.
            deadline: (deadline_us > self.now_us).then(|| Duration::from_micros(deadline_us)),
            warm_tokens: call.warm_tokens,
            shared_prefixes: self.shared(thread).to_vec(),
            alone: false,
        }
    }

    /// Hands over what the queue admits and keeps the endpoint going.
    pub(super) fn pump(&mut self, site: usize) {
        let now = self.now();
        while let Some(admission) = self.sites[site].queue.next(now) {
            let index = self.sites[site].calls[&admission.call];
            self.admit(site, index);
        }
        self.begin_step(site);
    }

    pub(super) fn admit(&mut self, site: usize, index: usize) {
        self.calls[index].admitted_us = self.now_us;
        let call = &self.calls[index];
        let thread = &self.threads[call.thread];
        match (&call.work, &mut self.sites[site].backend) {
            (Work::Model { answer }, Backend::Engine(engine)) => {
                engine.submit(EngineCall {
                    call: index,
                    path: thread.path.clone(),
                    answer: *answer,
                    max_answer_tokens: answer_limit(answer.tokens),
                    exported_tokens: thread.exported_tokens,
                });
                let path = thread.path.clone();
                self.measures.accesses.push(Access {
                    path,
                    is_prompt: true,
                });
                let thread = call.thread;
                self.hold_served(thread, site);
            }
            (
                Work::Tool {
                    run_us, repeatable, ..
                },
                Backend::Service { slow_factor },
            ) => {
                let run_us = run_us * *slow_factor;
                if !repeatable {
                    *self
                        .measures
                        .effects
                        .entry(call.id.to_string())
                        .or_default() += 1;
                }
                let attempt = call.attempt;
                self.after(
                    run_us,
                    Event::ServiceDone {
                        call: index,
                        attempt,
                    },
                );
            }
            _ => unreachable!("model calls go to engines and tool calls to services"),
        }
    }

    pub(super) fn begin_step(&mut self, site: usize) {
        let now_us = self.now_us;
        let Some(engine) = self.sites[site].engine() else {
            return;
        };
        if let Some(step_us) = engine.begin_step(now_us) {
            let step = engine.step_number;
            self.measures.busy_us += step_us;
            self.after(step_us, Event::Step { site, step });
        }
        if self.sites[site].holds_too_much() {
            let oldest = self.sites[site].oldest_hold().expect("there is one");
            self.free(site, oldest, HoldUse::Unused);
            self.measures.count("hold-freed-for-room");
            self.begin_step(site);
        }
    }

    pub(super) fn engine_step(&mut self, site: usize, step: u64) {
        let now_us = self.now_us;
        let Some(engine) = self.sites[site].engine() else {
            return;
        };
        if engine.step_number != step {
            return;
        }
        let outputs = engine.finish_step(now_us);
        for output in outputs {
            match output {
                EngineOutput::FirstToken { call } => self.first_token(site, call),
                EngineOutput::Finished {
                    call,
                    cached_tokens,
                } => {
                    self.model_done(site, call, cached_tokens);
                }
            }
        }
        self.pump(site);
    }

    pub(super) fn first_token(&mut self, site: usize, index: usize) {
        let now = self.now();
        let call = &self.calls[index];
        self.sites[site].queue.first_token(now, &call.id);
        let elapsed_us = self.now_us + 2 * HOP_US - call.submitted_us;
        self.measures.first_token_us.push(elapsed_us);
        let root = &mut self.roots[self.threads[call.thread].root];
        root.first_token_us.get_or_insert(self.now_us + 2 * HOP_US);
    }

    pub(super) fn model_done(&mut self, site: usize, index: usize, cached_tokens: u64) {
        let call = &self.calls[index];
        let Work::Model { answer } = call.work else {
            return;
        };
        let thread = &mut self.threads[call.thread];
        let prompt_tokens = thread.history_tokens();
        self.measures.prompt_tokens += prompt_tokens;
        self.measures.cached_tokens += cached_tokens;
        self.measures.running +=
            u128::from(prompt_tokens + answer.tokens) * u128::from(self.now_us - call.submitted_us);
        thread.path.push(answer);
        self.sites[site].queue.cached(&call.id, cached_tokens);
        thread.exported_tokens = 0;
        thread.last_site = Some(site);
        let path = thread.path.clone();
        self.measures.accesses.push(Access {
            path,
            is_prompt: false,
        });
        self.roots[thread.root].attained_tokens += prompt_tokens - cached_tokens + answer.tokens;
        self.note_served(index, answer);
        self.call_done(site, index, answer.tokens);
    }

    /// Counts what was asked for; what was computed again is the policy's loss.
    pub(super) fn note_served(&mut self, index: usize, answer: Segment) {
        let call = &self.calls[index];
        let path = &self.threads[call.thread].path;
        let added_tokens = path.iter().rev().nth(1).map_or(0, |added| added.tokens);
        let work_us = EngineSpec::new(0).work_us(added_tokens, answer.tokens);
        let customer = call.id.program.customer();
        let shares = &mut self.measures.shares;
        shares.served(call.admitted_us, self.now_us, customer, work_us);
    }

    pub(super) fn service_done(&mut self, index: usize, attempt: u64) {
        if self.calls[index].attempt != attempt {
            return;
        }
        let site = self.calls[index].site;
        self.call_done(site, index, 0);
        self.pump(site);
    }

    pub(super) fn call_done(&mut self, site: usize, index: usize, answer_tokens: u64) {
        let now = self.now();
        let entry = self.entry(index);
        let id = self.calls[index].id.clone();
        self.sites[site].calls.remove(&id);
        self.sites[site].queue.finished(now, &id, answer_tokens);
        self.routers[entry].ended(now, &id, CallEnd::Finished { answer_tokens });
        self.after(2 * HOP_US, Event::Advance(self.calls[index].thread));
    }
}
