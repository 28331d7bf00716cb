//! Refused programs that are expected to return, and the time after which they should.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rosebend_util::hash_parts;

/// Time for which a refused program is remembered. Callers return within about 1 s, and
/// their program sends a turn again at most twice.
const RETENTION: Duration = Duration::from_secs(3);
/// Maximum number of remembered programs. It bounds the memory, and a group that refuses
/// more programs within the retention time asks all of them to wait the longest time.
const MAX_PROGRAMS: usize = 4_096;
/// Window over which the rate of admitted programs is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Minimum retry time, in milliseconds. A return before turns have ended is refused again.
const MIN_RETRY_AFTER_MS: f64 = 100.0;
/// Maximum retry time before spreading, in milliseconds. Callers follow it up to a third
/// of their own deadline.
const MAX_RETRY_AFTER_MS: f64 = 1_000.0;
/// Largest part of the retry time that is added so that callers do not return together.
const MAX_SPREAD: f64 = 0.25;

/// Hash of a program.
pub(super) type ProgramHash = u64;

/// Refused programs, and the rate of admitted ones.
#[derive(Debug, Default)]
pub(super) struct Returns {
    /// Refused programs that have not returned, with the time of their refusal.
    refused: HashMap<ProgramHash, Duration>,
    order: VecDeque<(Duration, ProgramHash)>,
    admitted: VecDeque<Duration>,
}

impl Returns {
    /// Removes a program that asks again, and returns whether it was refused before.
    pub(super) fn take(&mut self, program: ProgramHash, now: Duration) -> bool {
        self.expire(now);
        self.refused.remove(&program).is_some()
    }

    /// Remembers a refused program and returns the time after which it may return, in
    /// milliseconds.
    pub(super) fn record_refusal(
        &mut self,
        program: ProgramHash,
        turn_remaining_ms: u64,
        now: Duration,
    ) -> u64 {
        self.expire(now);
        // Programs that have returned leave entries in the order, which count as well, so
        // that the order stays bounded.
        while self.order.len() >= MAX_PROGRAMS {
            self.forget_oldest();
        }
        self.refused.insert(program, now);
        self.order.push_back((now, program));
        let rate_per_ms = self.admitted.len() as f64 / (RATE_WINDOW.as_secs_f64() * 1_000.0);
        let delay_ms = self.refused.len() as f64 / rate_per_ms;
        retry_after_ms(delay_ms, program, turn_remaining_ms)
    }

    /// Counts an admitted program.
    pub(super) fn record_admission(&mut self, now: Duration) {
        self.expire(now);
        self.admitted.push_back(now);
    }

    fn expire(&mut self, now: Duration) {
        let admitted = &mut self.admitted;
        while admitted.front().is_some_and(|&at| at + RATE_WINDOW <= now) {
            admitted.pop_front();
        }
        let order = &self.order;
        let mut expired = order
            .iter()
            .take_while(|(at, _)| *at + RETENTION <= now)
            .count();
        while expired > 0 {
            self.forget_oldest();
            expired -= 1;
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((at, program)) = self.order.pop_front()
            && self.refused.get(&program) == Some(&at)
        {
            self.refused.remove(&program);
        }
    }
}

/// Returns the retry time for a delay, spread by the program and limited by the caller's
/// deadline, in milliseconds.
pub(super) fn retry_after_ms(delay_ms: f64, program: ProgramHash, turn_remaining_ms: u64) -> u64 {
    let delay_ms = delay_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    let hash_slot = hash_parts(&[&program.to_le_bytes()]) % 1_024;
    let spread = hash_slot as f64 / 1_024.0 * MAX_SPREAD;
    let retry_after_ms = (delay_ms * (1.0 + spread)) as u64;
    retry_after_ms.min(turn_remaining_ms / 3)
}
