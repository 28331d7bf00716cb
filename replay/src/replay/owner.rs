//! What the owner of a program does: choose, send, and send again.

use rosebend_coordination::retry::RetryReason;
use rosebend_coordination::routing::{CallEnd, NoEndpointReason, Request};
use rosebend_coordination::warmth::SharedPrefix;
use rosebend_state::id::EndpointId;

use super::{DENIED_RETRY_US, Event, Replay, Work, retry_event};
use crate::program::{HOP_US, Thread};
use crate::site::micros;

impl Replay<'_> {
    /// The owner chooses an endpoint and sends the call.
    pub(super) fn choose(&mut self, index: usize) {
        let entry = self.entry(index);
        let now = self.now();
        let call = &self.calls[index];
        let thread = &self.threads[call.thread];
        let is_model = matches!(call.work, Work::Model { .. });
        let parent_warm = self.parent_warm(entry, thread);
        let parent_warm = parent_warm.as_ref().map(|(id, tokens)| (id, *tokens));
        let request = Request {
            program: &thread.program,
            target: call.target(),
            prompt_tokens: if is_model { thread.history_tokens() } else { 0 },
            warm: if is_model { parent_warm } else { None },
            shared_prefixes: if is_model { self.shared(thread) } else { &[] },
            excluded: &call.excluded,
        };
        let choice = match self.routers[entry].choose(now, &request) {
            Ok(choice) => choice,
            Err(none) => {
                self.measures.count(match none.reason {
                    NoEndpointReason::UnknownTarget => "refused-unknown-target",
                    NoEndpointReason::NoneLive => "refused-none-live",
                    NoEndpointReason::AllRefuse => "refused-all-refuse",
                });
                self.calls[index].excluded.clear();
                return self.after(micros(none.retry_after), Event::Choose(index));
            }
        };
        self.routers[entry].sent(now, &call.id, &request, &choice);
        self.measures.dispatches += u64::from(is_model);
        let call = &mut self.calls[index];
        call.site = self.site_by_id[&choice.endpoint];
        call.incarnation = choice.incarnation;
        call.warm_tokens = choice.warm_tokens;
        call.attempt += 1;
        let attempt = call.attempt;
        self.after(
            HOP_US,
            Event::Arrive {
                call: index,
                attempt,
            },
        );
    }

    /// The shared prefixes that router and queue are told of.
    pub(super) fn shared<'t>(&self, thread: &'t Thread) -> &'t [SharedPrefix] {
        if self.policy.shared_prefixes {
            &thread.shared
        } else {
            &[]
        }
    }

    /// Where the history is warm that a sub-agent has from its parent.
    pub(super) fn parent_warm(&self, entry: usize, thread: &Thread) -> Option<(EndpointId, u64)> {
        let parent = &self.threads[thread.parent?];
        let (endpoint, tokens) = self.routers[entry].warm_endpoint(&parent.program)?;
        let shared = thread.shared.last()?;
        Some((endpoint.clone(), tokens.min(shared.tokens)))
    }

    /// A sidecar or an owner proved that the call was not run.
    pub(super) fn not_run(&mut self, index: usize, reason: RetryReason) {
        let entry = self.entry(index);
        let now = self.now();
        let call = &self.calls[index];
        let endpoint = self.sites[call.site].id.clone();
        self.routers[entry].ended(now, &call.id, CallEnd::Failed);
        match reason {
            RetryReason::Leaving => self.routers[entry].leaving(&endpoint),
            RetryReason::EndpointDown => self.routers[entry].down(now, &endpoint),
            _ => {}
        }
        self.send_again(index, reason);
    }

    /// Sends a call again, at once while the retry budget lasts.
    pub(super) fn send_again(&mut self, index: usize, reason: RetryReason) {
        let entry = self.entry(index);
        let target = self.calls[index].target().to_owned();
        let now = self.now();
        let granted = self.retries[entry].try_retry(now, &target, reason);
        let endpoint = self.sites[self.calls[index].site].id.clone();
        let call = &mut self.calls[index];
        call.attempt += 1;
        if granted || !self.policy.retry_budget {
            self.measures.count(retry_event(reason));
            call.excluded.push(endpoint);
            self.after(HOP_US, Event::Choose(index));
        } else {
            self.measures.count("refused-retry-budget");
            call.excluded.clear();
            self.after(DENIED_RETRY_US, Event::Choose(index));
        }
    }
}
