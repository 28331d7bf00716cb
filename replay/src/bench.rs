//! What a decision costs: the time of a routing decision with many endpoints
//! known, and of an admission with many calls queued.

use std::hint::black_box;
use std::time::{Duration, Instant};

use rosebend_coordination::queue::{LoadView, Queue, QueueSettings, Waiting};
use rosebend_coordination::routing::{
    CallEnd, EndpointInfo, EndpointState, Request, Router, RouterSettings,
};
use rosebend_coordination::warmth::SharedPrefix;
use rosebend_state::id::CallId;

const ENDPOINTS: [usize; 4] = [9, 90, 360, 720];
const QUEUED: [usize; 4] = [10, 100, 1_000, 4_000];
const DECISIONS: usize = 200_000;
const PROGRAMS: usize = 5_000;
const CUSTOMERS: usize = 20;

/// Measures and tells the mean of each decision.
pub fn run() -> String {
    let mut text = String::from("decision | size | ns each\n");
    for endpoints in ENDPOINTS {
        let (choose, cycle) = routing(endpoints);
        text += &format!("route, choose alone | {endpoints} endpoints | {choose}\n");
        text += &format!("route, choose + sent + ended | {endpoints} endpoints | {cycle}\n");
    }
    for queued in QUEUED {
        let (push, next, cycle) = admission(queued);
        text += &format!("queue, push alone | {queued} queued | {push}\n");
        text += &format!("queue, next alone | {queued} queued | {next}\n");
        text += &format!("queue, push to finished | {queued} queued | {cycle}\n");
    }
    text
}

fn call(program: usize, sequence: usize) -> CallId {
    let name = format!("c{}/renewal-{program}#{sequence}", program % CUSTOMERS);
    CallId::try_from(name).expect("the name is a call id")
}

/// As many prefixes as an entry keeps: one that many programs have, and four
/// of the program's own.
fn prefixes(n: usize) -> Vec<SharedPrefix> {
    let common = n as u64 % 50;
    let own = (1..=4).map(|k| (1_000 + n as u64 * 4 + k, 100 + k * 50));
    let all = std::iter::once((common, 100)).chain(own);
    all.map(|(id, tokens)| SharedPrefix { id, tokens })
        .collect()
}

fn router(endpoints: usize) -> Router {
    let mut router = Router::new(RouterSettings::default());
    let info = |n| EndpointInfo {
        id: format!("llm-{n}"),
        zone: format!("zone-{}", n % 7),
        targets: vec!["agent-llm".to_owned()],
        incarnation: "a".to_owned(),
        state: EndpointState::Live,
    };
    router.set_endpoints((0..endpoints).map(info).collect());
    for n in 0..endpoints {
        let load = LoadView {
            running: (n % 17) as u64,
            queued: (n % 5) as u64,
            queued_tokens: (n % 13 * 997) as u64,
            token_us: 20_000,
            prefill_token_us: 100,
            ..LoadView::default()
        };
        let (id, run) = (format!("llm-{n}"), "a".to_owned());
        router.report(Duration::ZERO, &id, &run, Duration::ZERO, load);
    }
    router
}

/// Nanoseconds of a choice alone, and with what is noted around it.
fn routing(endpoints: usize) -> (u128, u128) {
    let mut router = router(endpoints);
    let calls: Vec<CallId> = (0..PROGRAMS).map(|n| call(n, 1)).collect();
    let shared: Vec<Vec<SharedPrefix>> = (0..PROGRAMS).map(prefixes).collect();
    let now = Duration::from_secs(1);
    let mut choosing = Duration::ZERO;
    let started = Instant::now();
    for n in 0..DECISIONS {
        let call = &calls[n % PROGRAMS];
        let request = Request {
            program: &call.program,
            target: "agent-llm",
            prompt_tokens: 8_000,
            warm: None,
            shared_prefixes: &shared[n % PROGRAMS],
            excluded: &[],
        };
        let before = Instant::now();
        let choice = black_box(router.choose(now, &request)).expect("all are live");
        choosing += before.elapsed();
        router.sent(now, call, &request, &choice);
        router.ended(now, call, CallEnd::Finished { answer_tokens: 200 });
    }
    let decisions = DECISIONS as u128;
    (
        choosing.as_nanos() / decisions,
        started.elapsed().as_nanos() / decisions,
    )
}

/// Nanoseconds to push a call, to admit the next, and for the whole way of a
/// call.
fn admission(queued: usize) -> (u128, u128, u128) {
    let settings = QueueSettings {
        max_queued: usize::MAX,
        max_queued_for_new: usize::MAX,
        ..QueueSettings::default()
    };
    let mut queue = Queue::new(settings);
    let waiting = |n: usize| {
        let call = call(n, n);
        Waiting {
            customer: call.program.customer().to_owned(),
            call,
            share_weight: 1 + (n % 3) as u32,
            prompt_tokens: 500 + (n * 7_919 % 3_000) as u64,
            max_answer_tokens: 200,
            attained_tokens: (n * 104_729 % 50_000) as u64,
            program_age: Duration::from_millis((n * 31 % 9_000) as u64),
            deadline: n
                .is_multiple_of(2)
                .then(|| Duration::from_secs(60 + n as u64)),
            warm_tokens: (n * 13 % 400) as u64,
            shared_prefixes: prefixes(n),
            alone: false,
        }
    };
    for n in 0..queued {
        queue
            .push(Duration::ZERO, waiting(n))
            .expect("there is room");
    }
    let more: Vec<Waiting> = (queued..queued + DECISIONS).map(waiting).collect();
    let (mut pushing, mut admitting) = (Duration::ZERO, Duration::ZERO);
    let started = Instant::now();
    for (n, waiting) in more.into_iter().enumerate() {
        let now = Duration::from_micros(n as u64);
        let before = Instant::now();
        queue.push(now, waiting).expect("there is room");
        let pushed = Instant::now();
        let admission = black_box(queue.next(now)).expect("one at a time fits");
        admitting += pushed.elapsed();
        pushing += pushed - before;
        queue.first_token(now, &admission.call);
        queue.finished(now, &admission.call, 150);
    }
    let each = |time: Duration| time.as_nanos() / DECISIONS as u128;
    (each(pushing), each(admitting), each(started.elapsed()))
}
