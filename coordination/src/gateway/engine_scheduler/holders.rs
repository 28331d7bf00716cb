//! The turns of each host: those that hold a slot, those that wait, and those that ended
//! recently.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use rosebend_state::deployment::{CustomerName, EndpointIdentity};

use super::message::{AdmissionOutcome, PlacementOutcome, RequestNumber};
use super::queue::QueueKey;
use crate::gateway::ledger::ProcessId;

/// Time after which a host that has sent nothing holds no placements. A host that holds
/// any reports them every 250 ms.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Time for which the answer to a request that has ended is kept, so that a copy of the
/// request that arrives late gets no slot.
const ANSWER_RETENTION: Duration = Duration::from_secs(1);

/// A slot that a turn holds.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub(super) engine: EndpointIdentity,
    pub(super) customer: Option<CustomerName>,
    pub(super) assigned_at: Duration,
    /// Last time at which the host asked for the placement or was given it.
    pub(super) confirmed_at: Duration,
    /// Work time of the engine at the assignment.
    pub(super) work_time_percent: u32,
}

/// State of a turn that has not ended.
#[derive(Clone, Debug)]
pub(super) enum Turn {
    Waiting(QueueKey),
    Placed(Placement),
}

/// Answers to requests that have ended.
#[derive(Debug)]
pub(super) struct RecentAnswers<T> {
    answers: HashMap<RequestNumber, T>,
    order: VecDeque<(Duration, RequestNumber)>,
}

impl<T> Default for RecentAnswers<T> {
    fn default() -> Self {
        Self {
            answers: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl<T: Clone> RecentAnswers<T> {
    /// Keeps an answer.
    pub(super) fn insert(&mut self, number: RequestNumber, answer: T, now: Duration) {
        self.expire(now);
        if self.answers.insert(number, answer).is_none() {
            self.order.push_back((now, number));
        }
    }

    /// Returns the answer to a request, if it is kept.
    pub(super) fn get(&mut self, number: RequestNumber, now: Duration) -> Option<T> {
        self.expire(now);
        self.answers.get(&number).cloned()
    }

    fn expire(&mut self, now: Duration) {
        while let Some(&(kept_at, number)) = self.order.front() {
            if now < kept_at + ANSWER_RETENTION {
                break;
            }
            self.order.pop_front();
            self.answers.remove(&number);
        }
    }
}

/// The turns of one host.
#[derive(Debug, Default)]
pub(super) struct Holder {
    last_message_at: Duration,
    pub(super) turns: HashMap<RequestNumber, Turn>,
    pub(super) ended: RecentAnswers<PlacementOutcome>,
    pub(super) admissions: RecentAnswers<AdmissionOutcome>,
}

/// The turns of all hosts.
#[derive(Debug, Default)]
pub(super) struct Holders {
    by_process: BTreeMap<ProcessId, Holder>,
    /// Time before which no host expires, or none if no host is known.
    next_expiry: Option<Duration>,
}

impl Holders {
    /// Returns the turns of a host that has sent a message now.
    pub(super) fn record_message(&mut self, process: &ProcessId, now: Duration) -> &mut Holder {
        if !self.by_process.contains_key(process) {
            let expiry = now + SILENCE_LIMIT;
            self.next_expiry = Some(self.next_expiry.map_or(expiry, |next| next.min(expiry)));
            self.by_process.insert(process.clone(), Holder::default());
        }
        let holder = self.by_process.get_mut(process);
        let holder = holder.expect("the holder was inserted");
        holder.last_message_at = holder.last_message_at.max(now);
        holder
    }

    /// Returns the turns of a host.
    pub(super) fn get_mut(&mut self, process: &ProcessId) -> Option<&mut Holder> {
        self.by_process.get_mut(process)
    }

    /// Removes the hosts that have sent nothing for too long, and returns their turns.
    pub(super) fn take_silent(&mut self, now: Duration) -> Vec<Turn> {
        if self.next_expiry.is_none_or(|next| now < next) {
            return Vec::new();
        }
        let mut ended = Vec::new();
        self.by_process.retain(|_, holder| {
            let is_silent = holder.last_message_at + SILENCE_LIMIT <= now;
            if is_silent {
                ended.extend(holder.turns.drain().map(|(_, turn)| turn));
            }
            !is_silent
        });
        let times = self
            .by_process
            .values()
            .map(|holder| holder.last_message_at);
        self.next_expiry = times
            .min()
            .map(|last_message_at| last_message_at + SILENCE_LIMIT);
        ended
    }
}
