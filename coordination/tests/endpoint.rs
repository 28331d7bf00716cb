//! Random interleavings of two owners' messages at one endpoint: delayed,
//! doubled, reordered and lost, with rising epochs and restarts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use proptest::prelude::*;
use rosebend_coordination::endpoint::{
    Admission, CallSpec, Calls, Dispatched, EndpointLimits, REMEMBERED,
    claim::ClaimOutcome,
    fence::Fence,
    outcome::{Failure, FailureReason, Finished, Outcome, Refusal, RefusalReason},
};
use rosebend_state::id::{CallId, Epoch};

const CALLS: usize = 5;
const SHARDS: u32 = 2;
const ANSWER_BYTES: u64 = 100;

#[derive(Clone, Debug)]
enum Step {
    /// The shard's owner sends a message about a call.
    Send(Kind, usize),
    /// A message arrives; it may arrive again later.
    Deliver {
        index: usize,
        again: bool,
    },
    /// The shard gets another owner.
    Takeover(u32),
    End(usize, End),
    Restart,
    Advance(u64),
    Leave,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// A dispatch under the attempt after the last one.
    Dispatch,
    Claim,
    Resume,
    Acknowledge,
}

#[derive(Clone, Copy, Debug)]
enum End {
    Finished,
    Crashed,
    Down,
}

#[derive(Clone, Debug)]
struct Message {
    kind: Kind,
    call: usize,
    epoch: Epoch,
    attempt: u32,
    incarnation: u32,
}

/// What happened to attempts of one call in one run of the sidecar.
#[derive(Debug, Default)]
struct History {
    started: BTreeSet<u32>,
    failed: bool,
    /// Attempts whose senders wait for this call's answer.
    asked: BTreeSet<u32>,
    /// Epoch of the newest message that asked for the call.
    epoch: Epoch,
}

struct World {
    calls: Calls,
    incarnation: u32,
    now: Duration,
    epochs: BTreeMap<u32, Epoch>,
    /// Highest epochs that arrived in this run.
    seen: BTreeMap<u32, Epoch>,
    attempts: [u32; CALLS],
    network: Vec<Message>,
    running: Vec<(CallId, u32)>,
    history: BTreeMap<(usize, u32), History>,
    /// Attempts handed over, over all runs of the sidecar.
    handed_over: BTreeSet<(usize, u32)>,
    /// Attempts promised not to have run, nor to run ever.
    not_run: BTreeSet<(usize, u32)>,
}

fn id(call: usize) -> CallId {
    let name = format!("caribmar/renewal-{call}#1");
    CallId::try_from(name.as_str()).unwrap()
}

fn index_of(id: &CallId) -> usize {
    (0..CALLS).find(|call| self::id(*call) == *id).unwrap()
}

fn shard(call: usize) -> u32 {
    u32::try_from(call).unwrap() % SHARDS
}

/// Half of the calls may be repeated.
fn is_repeatable(call: usize) -> bool {
    call >= 3
}

impl World {
    fn new() -> Self {
        Self {
            calls: Self::sidecar(0),
            incarnation: 0,
            now: Duration::ZERO,
            epochs: (0..SHARDS).map(|shard| (shard, 1)).collect(),
            seen: BTreeMap::new(),
            attempts: [0; CALLS],
            network: Vec::new(),
            running: Vec::new(),
            history: BTreeMap::new(),
            handed_over: BTreeSet::new(),
            not_run: BTreeSet::new(),
        }
    }

    fn sidecar(incarnation: u32) -> Calls {
        let limits = EndpointLimits {
            queued: 2,
            running: 2,
            kv_tokens: 1000,
            retention_bytes: 4 * ANSWER_BYTES,
        };
        Calls::new(incarnation.to_string(), limits)
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Send(kind, call) => self.send(kind, call),
            Step::Deliver { index, again } => self.deliver(index, again),
            Step::Takeover(shard) => *self.epochs.get_mut(&shard).unwrap() += 1,
            Step::End(index, end) => self.end(index, end),
            Step::Restart => self.restart(),
            Step::Advance(ms) => self.now += Duration::from_millis(ms),
            Step::Leave => {
                let refused = self.calls.leave(self.now);
                self.refused_in_queue(refused);
            }
        }
        let (refused, _) = self.calls.sweep(self.now);
        self.refused_in_queue(refused);
        for id in self.calls.take_released() {
            let call = index_of(&id);
            assert!(is_repeatable(call), "released what cannot be had again");
            self.history(call).failed = true;
        }
        let admission = self.calls.admit(self.now);
        self.admitted(admission);
    }

    fn send(&mut self, kind: Kind, call: usize) {
        if kind == Kind::Dispatch {
            self.attempts[call] += 1;
        }
        self.network.push(Message {
            kind,
            call,
            epoch: self.epochs[&shard(call)],
            attempt: self.attempts[call],
            incarnation: self.incarnation,
        });
    }

    fn deliver(&mut self, index: usize, again: bool) {
        if self.network.is_empty() {
            return;
        }
        let index = index % self.network.len();
        let message = match again {
            true => self.network[index].clone(),
            false => self.network.swap_remove(index),
        };
        let seen = self.seen.entry(shard(message.call)).or_default();
        *seen = message.epoch.max(*seen);
        let is_stale = message.epoch < *seen;
        match message.kind {
            Kind::Dispatch => self.dispatch(&message, is_stale),
            Kind::Claim => self.claim(&message, is_stale),
            Kind::Resume => self.resume(&message, is_stale),
            Kind::Acknowledge => {
                let ids = [id(message.call)];
                let dropped = self.calls.acknowledge(self.now, fence(&message), &ids);
                assert!(
                    !is_stale || dropped.is_empty(),
                    "a stale owner acknowledged"
                );
            }
        }
    }

    fn dispatch(&mut self, message: &Message, is_stale: bool) {
        let incarnation = message.incarnation.to_string();
        let mut spec = CallSpec::new(id(message.call), fence(message), &incarnation);
        spec.attempt = message.attempt;
        spec.repeatable = is_repeatable(message.call);
        spec.prompt_tokens = 10;
        spec.answer_bytes = ANSWER_BYTES;
        spec.deadline = Some(Duration::from_secs(5));
        let dispatched = self.calls.dispatch(self.now, spec);
        self.told(message, is_stale, dispatched);
    }

    fn resume(&mut self, message: &Message, is_stale: bool) {
        let dispatched = self.calls.resume(fence(message), &id(message.call));
        assert_ne!(dispatched, Dispatched::Queued);
        self.told(message, is_stale, dispatched);
    }

    fn told(&mut self, message: &Message, is_stale: bool, dispatched: Dispatched) {
        if is_stale {
            let Dispatched::Refused(refusal) = dispatched else {
                panic!("a stale owner was served: {dispatched:?}");
            };
            assert_eq!(refusal.reason, RefusalReason::StaleEpoch);
            return;
        }
        let history = self.history(message.call);
        history.epoch = message.epoch;
        match dispatched {
            Dispatched::Queued => history.asked = BTreeSet::from([message.attempt]),
            Dispatched::Follow if message.kind == Kind::Resume => {}
            Dispatched::Follow => {
                history.asked.insert(message.attempt);
            }
            // A resume names no attempt; it is told what the sidecar knows.
            Dispatched::Refused(_) if message.kind == Kind::Resume => {}
            Dispatched::Refused(refusal) => self.refused(message.call, message.attempt, &refusal),
            Dispatched::Ended(_) => {}
        }
    }

    fn claim(&mut self, message: &Message, is_stale: bool) {
        let incarnation = message.incarnation.to_string();
        let call = id(message.call);
        let (now, attempt) = (self.now, message.attempt);
        let outcome = self
            .calls
            .claim(now, fence(message), &call, attempt, &incarnation);
        match outcome {
            ClaimOutcome::Refused(refusal) => {
                assert!(is_stale);
                assert_eq!(refusal.reason, RefusalReason::StaleEpoch);
            }
            ClaimOutcome::Buried => {
                assert!(!is_stale);
                assert_eq!(
                    message.incarnation, self.incarnation,
                    "buried by another run"
                );
                // An attempt that may be repeated is told apart from earlier
                // ones, which may have run.
                let call = message.call;
                let before = self.history(call).started.clone();
                for attempt in 0..=attempt {
                    let is_earlier = attempt < message.attempt && before.contains(&attempt);
                    if !(is_repeatable(call) && is_earlier) {
                        self.promise(call, attempt);
                    }
                }
            }
            ClaimOutcome::Running => assert!(self.running.iter().any(|(id, _)| *id == call)),
            ClaimOutcome::Finished(_) | ClaimOutcome::Failed(_) => {
                assert!(!self.history(message.call).started.is_empty());
            }
            ClaimOutcome::Unknown => {}
        }
    }

    fn end(&mut self, index: usize, end: End) {
        if self.running.is_empty() {
            return;
        }
        let index = index % self.running.len();
        let (id, attempt) = self.running.swap_remove(index);
        let call = index_of(&id);
        let outcome = match end {
            End::Finished => Outcome::Finished(Finished::default()),
            End::Crashed => Outcome::Failed(Failure {
                reason: FailureReason::EndpointCrashed,
                may_have_run: true,
                detail: String::new(),
                suspects: Vec::new(),
            }),
            End::Down => {
                // It was admitted, but the endpoint never saw it.
                self.handed_over.remove(&(call, attempt));
                let history = self.history(call);
                history.started.remove(&attempt);
                history.failed = !history.started.is_empty();
                let retry_after = Duration::from_secs(1);
                Outcome::Refused(Refusal::new(RefusalReason::EndpointDown, retry_after, ""))
            }
        };
        match self.calls.ended(self.now, &id, outcome, ANSWER_BYTES) {
            Outcome::Failed(failure) => {
                assert!(failure.suspects.contains(&id));
                self.history(call).failed = true;
            }
            Outcome::Refused(refusal) => self.refused_in_queue(vec![(id, refusal)]),
            Outcome::Finished(_) => {}
        }
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.calls = Self::sidecar(self.incarnation);
        self.running.clear();
        self.seen.clear();
    }

    fn admitted(&mut self, admission: Admission) {
        self.refused_in_queue(admission.refused);
        for start in admission.starts {
            let call = index_of(&start.id);
            let newest = self.seen[&shard(call)];
            let attempt = (call, start.attempt);
            assert!(
                !self.not_run.contains(&attempt),
                "handed over after a promise that it is not run"
            );
            assert!(
                self.handed_over.insert(attempt),
                "an attempt handed over twice"
            );
            let history = self.history(call);
            assert_eq!(history.epoch, newest, "handed over for a stale owner");
            assert!(
                history.started.is_empty() || (is_repeatable(call) && history.failed),
                "handed over twice"
            );
            history.started.insert(start.attempt);
            history.failed = false;
            self.running.push((start.id, start.attempt));
        }
        let load = self.calls.load();
        assert_eq!(load.running, self.running.len() as u64);
        assert!(load.retained_bytes <= 4 * ANSWER_BYTES);
    }

    fn refused_in_queue(&mut self, refused: Vec<(CallId, Refusal)>) {
        for (id, refusal) in refused {
            let call = index_of(&id);
            for attempt in std::mem::take(&mut self.history(call).asked) {
                self.refused(call, attempt, &refusal);
            }
        }
    }

    /// A refusal promises that its attempt is not run; a stale owner is only
    /// told that it does not decide any more.
    fn refused(&mut self, call: usize, attempt: u32, refusal: &Refusal) {
        if refusal.reason != RefusalReason::StaleEpoch {
            self.promise(call, attempt);
        }
    }

    fn promise(&mut self, call: usize, attempt: u32) {
        assert!(
            !self.history(call).started.contains(&attempt),
            "promised not to have run after it was handed over"
        );
        self.not_run.insert((call, attempt));
    }

    fn history(&mut self, call: usize) -> &mut History {
        self.history.entry((call, self.incarnation)).or_default()
    }
}

fn fence(message: &Message) -> Fence {
    Fence {
        shard: shard(message.call),
        epoch: message.epoch,
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let kind = prop_oneof![
        4 => Just(Kind::Dispatch),
        2 => Just(Kind::Claim),
        1 => Just(Kind::Resume),
        1 => Just(Kind::Acknowledge),
    ];
    let end = prop_oneof![
        3 => Just(End::Finished),
        2 => Just(End::Crashed),
        1 => Just(End::Down),
    ];
    // Less than the time for which calls that are over are remembered, in all.
    let longest_ms = u64::try_from(REMEMBERED.as_millis()).unwrap() / 200;
    let step = prop_oneof![
        8 => (kind, 0..CALLS).prop_map(|(kind, call)| Step::Send(kind, call)),
        12 => (any::<usize>(), any::<bool>())
            .prop_map(|(index, again)| Step::Deliver { index, again }),
        1 => (0..SHARDS).prop_map(Step::Takeover),
        5 => (any::<usize>(), end).prop_map(|(index, end)| Step::End(index, end)),
        1 => Just(Step::Restart),
        2 => (0..longest_ms).prop_map(Step::Advance),
        1 => prop::bool::weighted(0.1)
            .prop_map(|leave| if leave { Step::Leave } else { Step::Advance(1) }),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn calls_run_once_and_every_promise_is_kept(steps in steps()) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
    }
}

#[test]
fn a_failed_attempt_is_not_told_the_refusal_of_a_later_one() {
    let mut world = World::new();
    let call = CALLS - 1;
    assert!(is_repeatable(call));
    let deliver = |again| Step::Deliver { index: 0, again };
    let steps = [
        Step::Send(Kind::Dispatch, call),
        deliver(true),
        Step::End(0, End::Crashed),
        Step::Send(Kind::Dispatch, call),
        Step::Deliver {
            index: 1,
            again: false,
        },
        // The first attempt's message comes again while the second runs.
        deliver(false),
        Step::End(0, End::Down),
    ];
    for step in steps {
        world.step(step);
    }
    assert!(world.not_run.contains(&(call, 2)));
    assert!(!world.not_run.contains(&(call, 1)));
}
