//! The queue before one endpoint: which call goes to the endpoint next.
//!
//! Engines admit requests as they arrive and know no priorities, so the order
//! is decided here, and a call is handed over only when the queue's own count
//! of running calls and of KV tokens leaves room for it. The engine's load
//! report is not consulted, because it lags.
//!
//! Within a customer, calls are ordered by their whole program: see
//! [`Order::Program`]. Between customers, each gets a share of the endpoint
//! in proportion to its weight by start-time fair queueing; the order of
//! programs decides among the customers that are within
//! [`QueueSettings::share_slack_tokens`] of the one furthest behind.
//!
//! Every key is fixed when a call is pushed. Ageing needs no update over time:
//! all waiting calls age at the same rate, so their order does not change.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use rosebend_state::id::{CallId, CustomerId};

use crate::speed::Speed;

mod limit;
mod memory;
mod order;
mod waiting;

use self::limit::KvLimit;
use self::memory::{Footprint, KvMemory};
pub use self::order::{Order, ProgramOrder};
pub use self::waiting::{
    ANSWER_TOKEN_COST, Admission, LoadView, QueueSettings, Refusal, RefusalReason, Waiting,
};

/// How many customers are compared by program order for one admission.
const CUSTOMERS_COMPARED: usize = 8;

#[derive(Debug)]
struct Entry {
    waiting: Waiting,
    pushed_at: Duration,
    key: i64,
    share: CustomerId,
}

#[derive(Debug)]
struct Running {
    footprint: Footprint,
    share: CustomerId,
    share_weight: u64,
    max_answer_tokens: u64,
    pending_tokens: u64,
    warm_tokens: u64,
    admitted_at: Duration,
    first_token_at: Option<Duration>,
    alone: bool,
}

/// Service that a customer has had, in tokens divided by its weight.
#[derive(Debug, Default)]
struct Share {
    virtual_tokens: u64,
    ready: BTreeSet<(i64, u64)>,
    running: usize,
}

/// The calls waiting before one endpoint and those running on it.
///
/// ```
/// use std::time::Duration;
/// use rosebend_coordination::queue::{Queue, QueueSettings, Waiting};
/// use rosebend_state::id::CallId;
///
/// let mut queue = Queue::new(QueueSettings::default());
/// let call = CallId::try_from("caribmar/renewal-17#1")?;
/// let waiting = Waiting {
///     call: call.clone(),
///     customer: "caribmar".to_owned(),
///     share_weight: 1,
///     prompt_tokens: 2_000,
///     max_answer_tokens: 200,
///     attained_tokens: 0,
///     program_age: Duration::ZERO,
///     deadline: None,
///     warm_tokens: 0,
///     shared_prefixes: Vec::new(),
///     alone: false,
/// };
/// queue.push(Duration::ZERO, waiting).expect("the queue is empty");
/// let admission = queue.next(Duration::ZERO).expect("there is room");
/// assert_eq!(admission.call, call);
/// queue.finished(Duration::from_secs(3), &call, 180);
/// assert_eq!(queue.load().running, 0);
/// # Ok::<(), rosebend_state::id::IdError>(())
/// ```
#[derive(Debug)]
pub struct Queue {
    settings: QueueSettings,
    /// Waiting calls by ticket; tickets grow, so they also break ties.
    waiting: HashMap<u64, Entry>,
    /// Every waiting call is in `waiting` under this ticket.
    tickets: HashMap<CallId, u64>,
    running: HashMap<CallId, Running>,
    shares: BTreeMap<CustomerId, Share>,
    /// Exactly the customers with waiting calls, least served first.
    backlogged: BTreeSet<(u64, CustomerId)>,
    deadlines: BTreeSet<(Duration, u64)>,
    memory: KvMemory,
    next_ticket: u64,
    /// Service of the customer admitted last; a customer that comes back
    /// after a pause starts from here and saves up nothing.
    virtual_tokens: u64,
    pending_tokens: u64,
    alone_running: bool,
    kv_limit: KvLimit,
    prefill_ended_at: Duration,
    speed: Speed,
}

impl Queue {
    /// Makes an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            kv_limit: KvLimit::new(&settings),
            settings,
            waiting: HashMap::new(),
            tickets: HashMap::new(),
            running: HashMap::new(),
            shares: BTreeMap::new(),
            backlogged: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            memory: KvMemory::default(),
            next_ticket: 0,
            virtual_tokens: 0,
            pending_tokens: 0,
            alone_running: false,
            prefill_ended_at: Duration::ZERO,
            speed: Speed::default(),
        }
    }

    /// Takes a call into the queue.
    ///
    /// # Errors
    ///
    /// Refuses a call that is here already, that can never fit, whose deadline
    /// has passed, or that finds the queue full. The call was then not run.
    pub fn push(&mut self, now: Duration, waiting: Waiting) -> Result<(), Refusal> {
        self.check(now, &waiting)?;
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let key = self.settings.order.key(now, &waiting);
        let share = self.share_name(&waiting);
        self.enqueue_share(&share, key, ticket);
        if let Some(deadline) = waiting.deadline {
            self.deadlines.insert((deadline, ticket));
        }
        self.pending_tokens += waiting.cold_tokens();
        self.tickets.insert(waiting.call.clone(), ticket);
        let entry = Entry {
            waiting,
            pushed_at: now,
            key,
            share,
        };
        self.waiting.insert(ticket, entry);
        Ok(())
    }

    /// The next call to hand over, if there is room for it.
    ///
    /// A call that is first in order but does not fit holds the others back;
    /// letting smaller calls pass would starve long contexts.
    pub fn next(&mut self, now: Duration) -> Option<Admission> {
        let ticket = self.first_ticket()?;
        if !self.fits(&self.waiting[&ticket].waiting) {
            return None;
        }
        let entry = self.take(ticket)?;
        let queued = now.saturating_sub(entry.pushed_at);
        let call = entry.waiting.call.clone();
        self.start(now, entry);
        Some(Admission { call, queued })
    }

    /// Notes the first token of a running call, which ends its prefill.
    pub fn first_token(&mut self, now: Duration, call: &CallId) {
        let Some(running) = self.running.get_mut(call) else {
            return;
        };
        if running.first_token_at.is_some() {
            return;
        }
        running.first_token_at = Some(now);
        self.memory.computed(&mut running.footprint);
        // Engines prefill in the order of admission, so the time before the
        // last call's first token went to that call's prompt.
        let began_at = running.admitted_at.max(self.prefill_ended_at);
        self.prefill_ended_at = now;
        self.speed
            .prefilled(running.pending_tokens, now.saturating_sub(began_at));
        self.pending_tokens -= running.pending_tokens;
        running.pending_tokens = 0;
    }

    /// Notes how much of a running call's prompt the engine found in its
    /// cache, which moves the limit of KV tokens in flight.
    pub fn cached(&mut self, call: &CallId, cached_tokens: u64) {
        if let Some(running) = self.running.get(call) {
            self.kv_limit.observe(running.warm_tokens, cached_tokens);
        }
    }

    /// Notes the end of a running call, however it ended.
    ///
    /// `answer_tokens` corrects the customer's share, which was charged for
    /// the longest answer.
    pub fn finished(&mut self, now: Duration, call: &CallId, answer_tokens: u64) {
        let Some(running) = self.running.remove(call) else {
            return;
        };
        if let Some(first) = running.first_token_at {
            self.speed.decoded(answer_tokens, now.saturating_sub(first));
        }
        self.pending_tokens -= running.pending_tokens;
        self.memory.release(&running.footprint);
        if running.alone {
            self.alone_running = false;
        }
        self.settle_share(&running, answer_tokens);
    }

    /// Takes a waiting call out, because its caller gave up. Returns whether
    /// it was waiting; a running call is not touched.
    pub fn remove(&mut self, call: &CallId) -> bool {
        match self.tickets.get(call) {
            Some(&ticket) => self.take(ticket).is_some(),
            None => false,
        }
    }

    /// Takes out the waiting calls whose deadline has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<CallId> {
        let mut expired = Vec::new();
        while let Some(&(deadline, ticket)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            let entry = self.take(ticket).expect("a deadline has a waiting call");
            expired.push(entry.waiting.call);
        }
        expired
    }

    /// When the next waiting call reaches its deadline.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Whether the call is waiting here.
    pub fn is_waiting(&self, call: &CallId) -> bool {
        self.tickets.contains_key(call)
    }

    /// Whether the call is at the endpoint.
    pub fn is_running(&self, call: &CallId) -> bool {
        self.running.contains_key(call)
    }

    /// What the endpoint carries.
    pub fn load(&self) -> LoadView {
        LoadView {
            running: self.running.len() as u64,
            queued: self.waiting.len() as u64,
            kv_tokens_in_flight: self.memory.tokens(),
            kv_tokens_limit: self.kv_limit.tokens(),
            queued_tokens: self.pending_tokens,
            token_us: self.speed.token_us(),
            prefill_token_us: self.speed.prefill_token_us(),
        }
    }

    fn check(&self, now: Duration, waiting: &Waiting) -> Result<(), Refusal> {
        let refuse = |reason, retry_after| {
            Err(Refusal {
                reason,
                retry_after,
            })
        };
        if self.is_waiting(&waiting.call) || self.is_running(&waiting.call) {
            return refuse(RefusalReason::Duplicate, Duration::ZERO);
        }
        let kv_tokens = waiting.prompt_tokens + waiting.max_answer_tokens;
        if kv_tokens > self.settings.max_call_kv_tokens {
            return refuse(RefusalReason::TooLarge, Duration::ZERO);
        }
        if waiting.deadline.is_some_and(|deadline| deadline <= now) {
            return refuse(RefusalReason::Deadline, Duration::ZERO);
        }
        let limit = if waiting.attained_tokens == 0 {
            self.settings.max_queued_for_new
        } else {
            self.settings.max_queued
        };
        if self.waiting.len() >= limit {
            return refuse(RefusalReason::QueueFull, self.retry_after());
        }
        Ok(())
    }

    /// Time in which about half of the waiting prompts are computed.
    fn retry_after(&self) -> Duration {
        let wait_us = self.pending_tokens * self.speed.prefill_token_us() / 2;
        Duration::from_micros(wait_us).clamp(Duration::from_secs(1), Duration::from_secs(60))
    }

    fn share_name(&self, waiting: &Waiting) -> CustomerId {
        if self.settings.fair_share {
            waiting.customer.clone()
        } else {
            CustomerId::new()
        }
    }

    fn enqueue_share(&mut self, name: &CustomerId, key: i64, ticket: u64) {
        if !self.shares.contains_key(name) {
            self.shares.insert(name.clone(), Share::default());
        }
        let share = self.shares.get_mut(name).expect("it was just inserted");
        if share.ready.is_empty() {
            share.virtual_tokens = share.virtual_tokens.max(self.virtual_tokens);
            self.backlogged.insert((share.virtual_tokens, name.clone()));
        }
        share.ready.insert((key, ticket));
    }

    /// The first call in program order of the customers that are within the
    /// slack of the one furthest behind.
    fn first_ticket(&self) -> Option<u64> {
        let (least, _) = self.backlogged.first()?;
        let bound = least.saturating_add(self.settings.share_slack_tokens);
        self.backlogged
            .iter()
            .take(CUSTOMERS_COMPARED)
            .take_while(|(served, _)| *served <= bound)
            .filter_map(|(_, name)| self.shares[name].ready.first())
            .min()
            .map(|(_, ticket)| *ticket)
    }

    fn fits(&self, waiting: &Waiting) -> bool {
        if self.running.is_empty() {
            return true;
        }
        if waiting.alone || self.alone_running {
            return false;
        }
        let kv_tokens = self.memory.tokens_with(&Footprint::of(waiting));
        self.running.len() < self.settings.max_running && kv_tokens <= self.kv_limit.tokens()
    }

    fn start(&mut self, now: Duration, entry: Entry) {
        let waiting = entry.waiting;
        let footprint = Footprint::of(&waiting);
        self.memory.take(&footprint);
        let share_weight = u64::from(waiting.share_weight.max(1));
        self.charge_share(&entry.share, waiting.cost_tokens() / share_weight);
        self.pending_tokens += waiting.cold_tokens();
        self.alone_running = waiting.alone;
        let running = Running {
            footprint,
            share: entry.share,
            share_weight,
            max_answer_tokens: waiting.max_answer_tokens,
            pending_tokens: waiting.cold_tokens(),
            warm_tokens: waiting.warm_tokens,
            admitted_at: now,
            first_token_at: None,
            alone: waiting.alone,
        };
        self.running.insert(waiting.call, running);
    }

    fn charge_share(&mut self, name: &CustomerId, tokens: u64) {
        let share = self.shares.get_mut(name).expect("an admitted call has one");
        self.virtual_tokens = self.virtual_tokens.max(share.virtual_tokens);
        let before = share.virtual_tokens;
        share.virtual_tokens += tokens;
        share.running += 1;
        let after = share.virtual_tokens;
        self.move_backlogged(name, before, after);
    }

    fn settle_share(&mut self, running: &Running, answer_tokens: u64) {
        let share = self
            .shares
            .get_mut(&running.share)
            .expect("a running call has a share");
        // The cold prompt was computed; only the answer may be shorter.
        let unused_tokens = running.max_answer_tokens.saturating_sub(answer_tokens);
        let refund_tokens = unused_tokens * ANSWER_TOKEN_COST / running.share_weight;
        let before = share.virtual_tokens;
        share.virtual_tokens = before.saturating_sub(refund_tokens);
        share.running -= 1;
        let after = share.virtual_tokens;
        let idle = share.running == 0 && share.ready.is_empty();
        self.move_backlogged(&running.share, before, after);
        if idle && after <= self.virtual_tokens {
            self.shares.remove(&running.share);
        }
    }

    fn move_backlogged(&mut self, name: &CustomerId, before: u64, after: u64) {
        if self.backlogged.remove(&(before, name.clone())) {
            self.backlogged.insert((after, name.clone()));
        }
    }

    fn take(&mut self, ticket: u64) -> Option<Entry> {
        let entry = self.waiting.remove(&ticket)?;
        self.tickets.remove(&entry.waiting.call);
        if let Some(deadline) = entry.waiting.deadline {
            self.deadlines.remove(&(deadline, ticket));
        }
        self.pending_tokens -= entry.waiting.cold_tokens();
        let share = self
            .shares
            .get_mut(&entry.share)
            .expect("a waiting call has a share");
        share.ready.remove(&(entry.key, ticket));
        if share.ready.is_empty() {
            self.backlogged
                .remove(&(share.virtual_tokens, entry.share.clone()));
        }
        Some(entry)
    }
}
