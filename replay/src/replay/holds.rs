//! KV memory of programs that wait for a tool.

use rosebend_coordination::pause::{Pause, PauseAction};

use super::{Event, HoldUse, Replay};
use crate::site::micros;

/// A hold without a limit is looked at again after this time.
const LONGEST_HOLD_US: u64 = 3_600_000_000;

impl Replay<'_> {
    /// Decides what a thread that calls a tool does with its cache.
    pub(super) fn begin_pause(&mut self, thread: usize, tool: &str) {
        if self.threads[thread].paused.is_some() {
            return;
        }
        self.threads[thread].paused = Some((tool.to_owned(), self.now_us));
        let Some(site) = self.threads[thread].last_site else {
            return;
        };
        match self.decide(thread, site, tool) {
            PauseAction::Keep { hold } => self.keep(thread, site, micros(hold)),
            PauseAction::Export => self.export(thread, site),
            PauseAction::Drop => self.measures.count("pause-drop"),
        }
    }

    /// Learns the length of a pause that ends with a model call.
    pub(super) fn end_pause(&mut self, thread: usize) {
        let root = self.threads[thread].root;
        let Some((tool, since_us)) = self.threads[thread].paused.take() else {
            return;
        };
        let pause = self.now() - std::time::Duration::from_micros(since_us);
        self.pauses[self.roots[root].entry].observe(&tool, pause);
    }

    /// Frees a thread's holds when its next call is admitted at a site, whose
    /// engine keeps what it runs on.
    pub(super) fn hold_served(&mut self, thread: usize, site: usize) {
        for other in 0..self.sites.len() {
            let hold_use = if other == site {
                HoldUse::Used
            } else {
                HoldUse::Unused
            };
            self.free(other, thread, hold_use);
        }
    }

    pub(super) fn hold_expires(&mut self, thread: usize, since_us: u64) {
        if self.threads[thread].paused.is_none() {
            return;
        }
        let Some(site) = self.threads[thread].last_site else {
            return;
        };
        let hold = self.sites[site].holds.get(&thread);
        if hold.is_some_and(|hold| hold.since_us == since_us) {
            self.measures.count("hold-expired");
            self.free(site, thread, HoldUse::Unused);
            self.pump(site);
        }
    }

    /// A thread has ended: its holds go, and what it alone had in the cache.
    pub(super) fn free_everywhere(&mut self, thread: usize) {
        for site in 0..self.sites.len() {
            self.free(site, thread, HoldUse::Unused);
        }
        if !self.policy.frees_ended {
            return;
        }
        if let Some(site) = self.threads[thread].last_site
            && let Some(engine) = self.sites[site].engine()
        {
            engine
                .cache
                .remove_unshared(self.threads[thread].own_path());
        }
    }

    pub(super) fn free_all_of_site(&mut self, site: usize) {
        while let Some(thread) = self.sites[site].oldest_hold() {
            self.free(site, thread, HoldUse::Unused);
        }
    }

    pub(super) fn free(&mut self, site: usize, thread: usize, hold_use: HoldUse) {
        let Some(hold) = self.sites[site].free(thread) else {
            return;
        };
        let ended_us = self.roots[self.threads[thread].root].ended_us;
        let until_us = ended_us.unwrap_or(self.now_us).max(hold.since_us);
        let token_time = |from: u64, to: u64| u128::from(hold.tokens) * u128::from(to - from);
        let before_end = token_time(hold.since_us, until_us);
        match hold_use {
            HoldUse::Used => self.measures.held_used += before_end,
            HoldUse::Unused => self.measures.held_unused += before_end,
        }
        self.measures.held_ended += token_time(until_us, self.now_us);
    }

    fn decide(&mut self, thread: usize, site: usize, tool: &str) -> PauseAction {
        let root = self.threads[thread].root;
        let entry = self.roots[root].entry;
        let kv_used_percent = self.sites[site].kv_used_percent();
        let load = self.sites[site].load();
        let thread = &self.threads[thread];
        let shared_tokens = thread.shared.last().map_or(0, |prefix| prefix.tokens);
        let transfer_token_us = match self.sites[site].engine() {
            Some(engine) => engine.spec().transfer_token_us,
            None => 0,
        };
        self.pauses[entry].decide(&Pause {
            tool,
            kv_tokens: thread.history_tokens().saturating_sub(shared_tokens),
            elapsed: std::time::Duration::ZERO,
            prefill_token_us: load.prefill_token_us,
            transfer_token_us,
            kv_used_percent,
        })
    }

    fn keep(&mut self, thread: usize, site: usize, hold_us: u64) {
        let now = self.now();
        self.measures.count("pause-keep");
        self.sites[site].hold(thread, &self.threads[thread].path, now);
        let since_us = self.now_us;
        let event = Event::HoldExpires { thread, since_us };
        self.after(hold_us.min(LONGEST_HOLD_US), event);
    }

    fn export(&mut self, thread: usize, site: usize) {
        self.measures.count("pause-export");
        let Some(engine) = self.sites[site].engine() else {
            return;
        };
        let freed_tokens = engine
            .cache
            .remove_unshared(self.threads[thread].own_path());
        self.threads[thread].exported_tokens = freed_tokens;
    }
}
