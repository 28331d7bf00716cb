//! What one host may serve of a customer's requests.

use std::time::Duration;

use rosebend_state::deployment::CustomerName;

use super::Decision;
use super::message::{Granted, Wanted};

/// How long what was granted may be used. An allocator that has heard of none of
/// it for longer counts it as used.
const VALID_FOR: Duration = Duration::from_secs(1);
/// Time over which the pace of requests is measured.
const PACE_TIME_S: f64 = 2.0;
/// Time for which requests are asked for ahead, so that most are served without a
/// question. What a host holds for longer, others lack.
const AHEAD_S: f64 = 0.3;
/// Pause before a question without an answer is asked again: datagrams are lost.
const ASK_AGAIN: Duration = Duration::from_millis(20);
/// Longest time for which an allocator is not told what was served.
const TELL_AFTER: Duration = Duration::from_millis(400);
/// Pause between questions for what has not come yet.
const AHEAD_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for which nothing is asked after an allocator had nothing left.
const REFUSED_FOR: Duration = Duration::from_millis(100);
/// Time without a request after which a customer is forgotten: its allocator has
/// forgotten what was told of it by then.
const IDLE_AFTER: Duration = Duration::from_secs(25);

/// What a request is to its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Demand {
    /// A program's first, which will need others.
    Begin,
    /// Any other.
    Request,
}

/// An allocator had nothing left.
#[derive(Clone, Copy, Debug, Default)]
struct Refused {
    until: Duration,
    /// After what time the caller may come again.
    wait: Duration,
}

/// Requests of one demand.
#[derive(Clone, Copy, Debug, Default)]
struct Lot {
    /// What may be served without asking.
    held: u32,
    /// Requests that wait.
    waiting: u32,
    /// Those of them that the allocator was last asked for.
    asked: u32,
    refused: Refused,
}

/// What one host has of a customer's limit.
#[derive(Clone, Debug, Default)]
pub struct Stock {
    requests: Lot,
    begins: Lot,
    valid_until: Duration,
    served: u64,
    begun: u64,
    /// What of this the allocator was last told: requests served, and held.
    told: (u64, u32),
    /// Requests a second, as of the last one.
    pace_per_s: f64,
    used_at: Duration,
    /// What may be served unasked while the allocator says nothing.
    unasked: f64,
    unasked_at: Option<Duration>,
    /// The newest question, and when it was asked.
    number: u64,
    asked_at: Duration,
    is_answered: bool,
}

impl Stock {
    /// Whether a request is served.
    pub fn decide(&mut self, demand: Demand, now: Duration) -> Decision {
        self.expire(now);
        let lot = self.lot(demand);
        if lot.held > 0 {
            lot.held -= 1;
            self.count(demand, now);
            return Decision::Admit;
        }
        match now < lot.refused.until {
            true => Decision::Refuse(lot.refused.wait),
            false => Decision::Ask,
        }
    }

    /// Whether a request is served while the allocator says nothing: as many go on
    /// as came before. They are told to it later.
    pub fn go_on(&mut self, demand: Demand, now: Duration) -> bool {
        let pace = self.pace(now);
        let since = self.unasked_at.replace(now);
        self.unasked = match since {
            None => 1.0,
            Some(since) => {
                let passed = now.saturating_sub(since).as_secs_f64();
                (self.unasked + pace * passed).min(pace.max(1.0))
            }
        };
        if self.unasked < 1.0 {
            return false;
        }
        self.unasked -= 1.0;
        self.count(demand, now);
        true
    }

    /// Counts a request that waits for the allocator's answer.
    pub fn begin_waiting(&mut self, demand: Demand) {
        self.lot(demand).waiting += 1;
    }

    /// Counts it no longer.
    pub fn end_waiting(&mut self, demand: Demand) {
        let lot = self.lot(demand);
        lot.waiting = lot.waiting.saturating_sub(1);
    }

    /// Takes back a request that was served and did not run.
    pub fn give_back(&mut self, demand: Demand) {
        self.served = self.served.saturating_sub(1);
        if demand == Demand::Begin {
            self.begun = self.begun.saturating_sub(1);
        }
    }

    /// Requests that this host has served, less those that did not run.
    pub fn served(&self) -> u64 {
        self.served
    }

    /// Whether requests wait.
    pub fn is_waiting(&self) -> bool {
        self.requests.waiting + self.begins.waiting > 0
    }

    /// Whether there is something to ask, or to tell.
    pub fn is_due(&self, now: Duration) -> bool {
        let silent_for = now.saturating_sub(self.asked_at);
        let is_open = self.number > 0 && !self.is_answered;
        if is_open && silent_for < ASK_AGAIN {
            return false;
        }
        let is_untold = self.told != (self.served, self.held());
        let is_low = f64::from(self.requests.held) < self.pace(now) * AHEAD_S / 2.0;
        let is_ahead = is_low && self.expected(now) > 0 && now >= self.requests.refused.until;
        self.is_waiting()
            || (is_ahead && silent_for >= AHEAD_PAUSE)
            || (is_untold && silent_for >= TELL_AFTER)
    }

    /// The next message to the allocator.
    pub fn ask(&mut self, customer: &CustomerName, number: u64, now: Duration) -> Wanted {
        self.expire(now);
        self.number = number;
        self.asked_at = now;
        self.is_answered = false;
        self.told = (self.served, self.held());
        self.requests.asked = self.requests.waiting;
        self.begins.asked = self.begins.waiting;
        Wanted {
            customer: customer.clone(),
            served: self.served,
            begun: self.begun,
            held: self.requests.held,
            held_begins: self.begins.held,
            waiting: self.requests.waiting,
            waiting_begins: self.begins.waiting,
            expected: self.expected(now),
        }
    }

    /// Takes what was granted. An answer to an older question is passed over: the
    /// allocator was told since that nothing of it is held.
    pub fn take(&mut self, granted: &Granted, number: u64, now: Duration) {
        if number != self.number || self.is_answered {
            return;
        }
        self.is_answered = true;
        self.unasked_at = None;
        self.valid_until = self.asked_at + VALID_FOR;
        self.requests.take(granted.requests, granted.wait_ms, now);
        self.begins.take(granted.begins, granted.begin_wait_ms, now);
    }

    /// Whether the customer may be forgotten.
    pub fn is_idle(&self, now: Duration) -> bool {
        !self.is_waiting() && now.saturating_sub(self.used_at.max(self.asked_at)) > IDLE_AFTER
    }

    fn lot(&mut self, demand: Demand) -> &mut Lot {
        match demand {
            Demand::Begin => &mut self.begins,
            Demand::Request => &mut self.requests,
        }
    }

    fn held(&self) -> u32 {
        self.requests.held + self.begins.held
    }

    fn expire(&mut self, now: Duration) {
        if now > self.valid_until {
            self.requests.held = 0;
            self.begins.held = 0;
        }
    }

    fn count(&mut self, demand: Demand, now: Duration) {
        self.served += 1;
        if demand == Demand::Begin {
            self.begun += 1;
        }
        self.pace_per_s = self.pace(now) + 1.0 / PACE_TIME_S;
        self.used_at = now;
    }

    fn pace(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.used_at).as_secs_f64();
        self.pace_per_s * (-passed / PACE_TIME_S).exp()
    }

    /// Requests that are likely to come soon and for which nothing is held.
    fn expected(&self, now: Duration) -> u32 {
        let soon = (self.pace(now) * AHEAD_S) as u32;
        soon.saturating_sub(self.requests.held)
    }
}

impl Lot {
    fn take(&mut self, granted: u32, wait_ms: u64, now: Duration) {
        self.held += granted;
        if granted < self.asked {
            let wait = Duration::from_millis(wait_ms);
            let until = now + wait.min(REFUSED_FOR);
            self.refused = Refused { until, wait };
        }
    }
}
